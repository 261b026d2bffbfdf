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
	ErrServiceNotFound = errors.New("no service with this name")
	ErrWrongType       = errors.New("service has a different type")
	ErrDuplicateName   = errors.New("service name already registered")
	ErrServiceExited   = errors.New("service exited before it was stopped")
	ErrStopTimeout     = errors.New("service did not stop in time")
	errStopRequested   = errors.New("stop requested")
)

// Service is a part of a process that runs until ctx ends. It then finishes its current work and
// returns nil.
type Service interface {
	Run(ctx context.Context) error
}

// registration is a registered value. A value without a Run method only serves calls.
type registration struct {
	name  string
	value any
}

// Kernel runs the services of one process.
type Kernel struct {
	// StopTimeout limits the total time in which all services must stop.
	StopTimeout time.Duration
	Log         sagelog.Logger

	mu       sync.Mutex
	services []registration
	stopBy   time.Time
	timedOut []string
}

// Register adds a service. A value without a Run method is available only to Lookup. Register panics
// with [ErrDuplicateName] if the name is taken, since that is a programming error.
func (k *Kernel) Register(name string, s any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range k.services {
		if n.name == name {
			panic(fmt.Errorf("register %s: %w", name, ErrDuplicateName))
		}
	}
	k.services = append(k.services, registration{name: name, value: s})
}

// Lookup returns the service with the given name as a T.
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

// Names returns the registered names in order of registration.
func (k *Kernel) Names() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	names := make([]string, len(k.services))
	for i, n := range k.services {
		names[i] = n.name
	}
	return names
}

// Run runs every service until ctx ends or one of them fails, then stops them in reverse order. It
// returns nil if ctx ended and every service stopped in time.
func (k *Kernel) Run(ctx context.Context) error {
	var g run.Group
	k.addStop(ctx, &g)
	k.mu.Lock()
	services := append([]registration(nil), k.services...)
	k.mu.Unlock()
	// The group interrupts its actors one after another, in the order in which they were added.
	for i := len(services) - 1; i >= 0; i-- {
		if s, ok := services[i].value.(Service); ok {
			k.add(&g, services[i].name, s)
		}
	}
	err := g.Run()
	k.mu.Lock()
	timedOut := k.timedOut
	k.mu.Unlock()
	if len(timedOut) > 0 {
		return fmt.Errorf("%v: %w", timedOut, ErrStopTimeout)
	}
	if errors.Is(err, errStopRequested) {
		return nil
	}
	return err
}

// addStop adds the actor that waits for the end of ctx.
func (k *Kernel) addStop(ctx context.Context, g *run.Group) {
	inner, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-inner.Done()
		return errStopRequested
	}, func(error) {
		cancel()
		k.mu.Lock()
		k.stopBy = time.Now().Add(k.StopTimeout)
		k.mu.Unlock()
	})
}

// add adds one service. The service has its own context, and its interrupt function waits until it has
// stopped, so that the next service is stopped only after it.
func (k *Kernel) add(g *run.Group, name string, s Service) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	abandoned := make(chan struct{})
	g.Add(func() error {
		var err error
		go func() {
			defer close(done)
			err = s.Run(ctx)
		}()
		select {
		case <-done:
		case <-abandoned:
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
		deadline := k.stopBy
		k.mu.Unlock()
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		select {
		case <-done:
			k.Log.Info("Service stopped.", "service", name)
		case <-t.C:
			k.mu.Lock()
			k.timedOut = append(k.timedOut, name)
			k.mu.Unlock()
			k.Log.Error("Service did not stop by the deadline.", "service", name, "deadline", deadline)
			close(abandoned)
		}
	})
}
