package sagekernel

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagelog"
)

// Errors of the kernel.
var (
	ErrServiceNotFound = errors.New("no service of that name")
	ErrWrongType       = errors.New("service has another type")
	ErrDuplicateName   = errors.New("service name registered twice")
	ErrServiceExited   = errors.New("service stopped by itself")
	ErrStopTimeout     = errors.New("service did not stop in time")
	errKernelDone      = errors.New("kernel asked to stop")
)

// Service is a part of a process that runs until ctx ends. It returns nil when it stopped because
// ctx ended, after finishing its own work in hand.
type Service interface {
	Run(ctx context.Context) error
}

// named is a registered value; services that only answer calls have no runner.
type named struct {
	name  string
	value any
}

// Kernel holds the services of one process.
type Kernel struct {
	// StopWithin bounds the whole ordered stop; the deadline is taken when the stop begins.
	StopTimeout time.Duration
	Log         sagelog.Logger

	mu       sync.Mutex
	services []named
	stopBy   time.Time
	late     []string
}

// Register adds a service. A value that has no Run method only answers lookups. It panics with
// [ErrDuplicateName] when the name is taken, which is a mistake in the program.
func (k *Kernel) Register(name string, s any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range k.services {
		if n.name == name {
			panic(fmt.Errorf("register %s: %w", name, ErrDuplicateName))
		}
	}
	k.services = append(k.services, named{name: name, value: s})
}

// Lookup returns the service of that name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range k.services {
		if n.name != name {
			continue
		}
		v, ok := n.value.(T)
		if !ok {
			return zero, fmt.Errorf("%s is a %T, not a %T: %w", name, n.value, &zero, ErrWrongType)
		}
		return v, nil
	}
	return zero, fmt.Errorf("%s: %w", name, ErrServiceNotFound)
}

// Names returns the registered names in order.
func (k *Kernel) Names() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	names := make([]string, len(k.services))
	for i, n := range k.services {
		names[i] = n.name
	}
	return names
}

// Run runs every service until ctx ends or one of them fails, then stops them in reverse order.
// It returns nil after an ordered stop that ctx asked for.
func (k *Kernel) Run(ctx context.Context) error {
	var g run.Group
	k.addStop(ctx, &g)
	k.mu.Lock()
	services := append([]named(nil), k.services...)
	k.mu.Unlock()
	// The group interrupts its actors in the order in which they were added, one after another.
	for i := len(services) - 1; i >= 0; i-- {
		if s, ok := services[i].value.(Service); ok {
			k.add(&g, services[i].name, s)
		}
	}
	err := g.Run()
	k.mu.Lock()
	late := k.late
	k.mu.Unlock()
	if len(late) > 0 {
		return fmt.Errorf("%v: %w", late, ErrStopTimeout)
	}
	if errors.Is(err, errKernelDone) {
		return nil
	}
	return err
}

// addStop adds the actor that waits for ctx.
func (k *Kernel) addStop(ctx context.Context, g *run.Group) {
	inner, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-inner.Done()
		return errKernelDone
	}, func(error) {
		cancel()
		k.mu.Lock()
		k.stopBy = time.Now().Add(k.StopTimeout)
		k.mu.Unlock()
	})
}

// add adds one service: it runs on a context of its own, and the interrupt waits for its end, so
// that the next one is stopped only after it.
func (k *Kernel) add(g *run.Group, name string, s Service) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	released := make(chan struct{})
	g.Add(func() error {
		var err error
		go func() {
			defer close(done)
			err = s.Run(ctx)
		}()
		select {
		case <-done:
		case <-released:
			return fmt.Errorf("%s: %w", name, ErrStopTimeout)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if ctx.Err() == nil {
			return fmt.Errorf("%s: %w", name, ErrServiceExited)
		}
		return nil
	}, func(error) {
		cancel()
		k.mu.Lock()
		by := k.stopBy
		k.mu.Unlock()
		t := time.NewTimer(time.Until(by))
		defer t.Stop()
		select {
		case <-done:
			k.Log.Info("Service stopped.", "service", name)
		case <-t.C:
			k.mu.Lock()
			k.late = append(k.late, name)
			k.mu.Unlock()
			k.Log.Error("Service did not stop by the deadline.", "service", name, "deadline", by)
			close(released)
		}
	})
}
