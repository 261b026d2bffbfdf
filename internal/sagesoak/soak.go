package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"sagestand.example/sagestand/platform/standin"
)

// Figures of a soak.
const (
	callers    = 6
	perCaller  = 30 * time.Millisecond // mean pause between two requests of a caller
	betweenMax = 900 * time.Millisecond
	lastsMax   = 3 * time.Second
	settle     = 6 * time.Second // from the end of all faults to the check of recovery
	lastWords  = 60              // requests of that check
	servedAt   = 0.9             // the part of them that has to be served
)

// family is a group of faults that a seed uses or leaves out.
type family int

const (
	planned family = iota // stops in turn, reloads, configurations, keys, drains, evacuations
	engines               // upstreams that fail
	network               // the way to upstreams
	store                 // the platform's store
	nodes                 // kills and freezes
	families
)

// Result is the outcome of a soak.
type Result struct {
	Seed       uint64         `json:"seed"`
	Violations []string       `json:"faults"`
	Counts     map[string]int `json:"counts"`
	// Done are the faults that were injected, in order.
	InjectedFaults []string `json:"done"`
}

// Soak is one run. Exported fields are set before Run.
type Soak struct {
	Seed     uint64
	Program  string
	Dir      string
	Nodes    int
	Duration time.Duration
	// Calm injects nothing.
	NoFaults bool

	sys     *standin.System
	rnd     *rand.Rand
	uses    [families]bool
	mu      sync.Mutex
	proxies []*proxy
	done    []string
	busy    map[int]bool // nodes that a fault has in hand
	healing sync.WaitGroup
	began   time.Time
	fatal   *fatal // nil if no request ends upstreams
}

// Run runs the soak and returns what it saw. An error means that it could not run.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	s.rnd = rand.New(rand.NewPCG(s.Seed, 0))
	s.busy = make(map[int]bool)
	for f := range s.uses {
		s.uses[f] = s.rnd.IntN(5) < 3
	}
	s.fatal = s.newFatal()
	s.sys = &standin.System{FatalBody: fatalBody, OnFatalCrash: s.ended, Nodes: s.Nodes, Engines: 4, Apps: 3, Program: s.Program, Dir: s.Dir, Subnet: int(s.Seed%200) + 20, Advertise: s.advertise}
	defer s.sys.Stop()
	if err := s.sys.Start(ctx); err != nil {
		return Result{}, fmt.Errorf("start system: %w", err)
	}
	s.began = time.Now()
	load, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { s.call(load, i) })
	}
	if s.fatal != nil {
		wg.Go(func() { s.fatal.call(load) })
	}
	s.inject(ctx)
	s.healing.Wait()
	pause(ctx, settle)
	if s.fatal != nil {
		s.fatal.settled()
	}
	s.recovered(ctx)
	stop()
	wg.Wait()
	if s.fatal != nil {
		s.fatal.replacing.Wait()
	}
	return Result{Seed: s.Seed, Violations: s.sys.Ledger.Violations(), Counts: s.sys.Ledger.Counts(), InjectedFaults: s.done}, nil
}

func (s *Soak) advertise(address string) (string, error) {
	p := &proxy{target: address}
	s.mu.Lock()
	s.proxies = append(s.proxies, p)
	s.mu.Unlock()
	return p.listen()
}

// proxy returns the proxy before the runner in a place.
func (s *Soak) proxy(i int) *proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proxies[i]
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// kinds are the requests of callers.
var kinds = []standin.Kind{standin.Chat, standin.Reply, standin.Booking, standin.Lookup}

func (s *Soak) call(ctx context.Context, i int) {
	c := s.sys.Caller(i)
	defer c.Close()
	for ctx.Err() == nil {
		go c.Do(context.WithoutCancel(ctx), kinds[rand.IntN(len(kinds))])
		pause(ctx, perCaller/2+rand.N(perCaller))
	}
}

// inject strikes until the time is over.
func (s *Soak) inject(ctx context.Context) {
	for time.Since(s.began) < s.Duration && ctx.Err() == nil {
		if !s.NoFaults {
			s.strike()
		}
		pause(ctx, time.Duration(s.rnd.Int64N(int64(betweenMax))))
	}
}

// strike injects one fault and arranges its end.
func (s *Soak) strike() {
	f := family(s.rnd.IntN(int(families)))
	lasts := lastsMax/6 + time.Duration(s.rnd.Int64N(int64(lastsMax)))
	if !s.uses[f] {
		return
	}
	var heal func()
	name := ""
	switch f {
	case planned:
		name, heal = s.plan(lasts)
	case engines:
		name, heal = s.spoil()
	case network:
		name, heal = s.sever()
	case store:
		name, heal = s.starve()
	case nodes:
		name, heal = s.wound()
	}
	if name == "" {
		return
	}
	s.done = append(s.done, fmt.Sprintf("%.1fs %s for %.1fs", time.Since(s.began).Seconds(), name, lasts.Seconds()))
	if heal != nil {
		s.healing.Go(func() { time.Sleep(lasts); heal() })
	}
}

// judged reports whether upstreams that leave must get nothing after the bound: where the store and
// the nodes are left alone, every node hears of it.
func (s *Soak) judged() bool { return !s.uses[store] && !s.uses[nodes] }

func (s *Soak) runner() *standin.Runner { return s.sys.Runner(s.rnd.IntN(len(s.sys.Runners))) }

func (s *Soak) plan(time.Duration) (string, func()) {
	r := s.runner()
	switch s.rnd.IntN(6) {
	case 0:
		s.sys.Configure()
		return "configuration", nil
	case 1:
		s.sys.RotateKey()
		return "revoke", nil
	case 2:
		r.Drain(standin.MaxDrainDelay, s.judged())
		return "drain " + r.ID, r.MarkReady
	case 3:
		r.Deregister(standin.MaxDrainDelay, s.judged())
		return "withdraw " + r.ID, r.MarkReady
	case 4:
		i := s.rnd.IntN(s.Nodes)
		s.sys.Signal(i, syscall.SIGHUP)
		return fmt.Sprintf("hup %d", i), nil
	}
	return s.node("term", syscall.SIGTERM)
}

func (s *Soak) spoil() (string, func()) {
	r := s.runner()
	t := [...]standin.RunnerFaults{{Errors: 0.4}, {Hang: 0.3}, {Cut: 0.4}, {Lost: 0.3}, {Declined: 0.5}, {Foreign: 0.2}, {SlowTimes: 5}}[s.rnd.IntN(7)]
	r.InjectFaults(t)
	return fmt.Sprintf("%s %+v", r.ID, t), func() { r.InjectFaults(standin.RunnerFaults{}) }
}

func (s *Soak) sever() (string, func()) {
	i := s.rnd.IntN(len(s.sys.Runners))
	to := 1 + path(s.rnd.IntN(int(paths)-1))
	p := s.proxy(i)
	p.set(to)
	return fmt.Sprintf("way to %s: %d", s.sys.Runner(i).ID, to), func() { p.set(pass) }
}

func (s *Soak) starve() (string, func()) {
	door := ""
	if s.rnd.IntN(2) == 0 {
		door = s.sys.StoreEndpoint(s.rnd.IntN(s.Nodes))
	}
	switch s.rnd.IntN(4) {
	case 0:
		s.sys.Store.DropHistory()
		return "history goes", nil
	case 1:
		s.sys.Store.SetDelay(300 * time.Millisecond)
		return "store slow", func() { s.sys.Store.SetDelay(0) }
	}
	m := [...]standin.Mode{standin.ModeBusy, standin.ModeStalled, standin.ModeReset}[s.rnd.IntN(3)]
	s.sys.Store.SetMode(door, m)
	return fmt.Sprintf("store %s at %q", m, door), func() { s.sys.Store.SetMode(door, standin.ModeServing) }
}

func (s *Soak) wound() (string, func()) {
	if s.rnd.IntN(2) == 0 {
		return s.node("kill", syscall.SIGKILL)
	}
	return s.node("freeze", syscall.SIGSTOP)
}

// node sends a signal to a node that no other fault has in hand, and brings it back: a frozen one
// goes on, an ended one is started again.
func (s *Soak) node(what string, sig syscall.Signal) (string, func()) {
	i := s.rnd.IntN(s.Nodes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[i] {
		return "", nil
	}
	s.busy[i] = true
	s.sys.Signal(i, sig)
	return fmt.Sprintf("%s %d", what, i), func() {
		if sig == syscall.SIGSTOP {
			s.sys.Signal(i, syscall.SIGCONT)
		} else {
			<-s.sys.Exited(i)
			if err := s.sys.StartNode(i); err != nil {
				s.sys.Ledger.RecordViolation("node %d does not start again: %v", i, err)
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy[i] = false
	}
}

// recovered checks that the system serves again, and that planned things alone cut no stream.
func (s *Soak) recovered(ctx context.Context) {
	if !s.uses[engines] && !s.uses[network] && !s.uses[nodes] && s.fatal == nil {
		for _, k := range []standin.Kind{standin.Chat, standin.Reply} {
			if n := s.sys.Ledger.Counts()[string(k)+" cut"]; n > 0 {
				s.sys.Ledger.RecordViolation("%d streams of kind %s were cut though only planned things happened", n, k)
			}
		}
	}
	c, served := s.sys.Caller(0), 0
	for i := range lastWords {
		if c.Do(ctx, kinds[i%len(kinds)]) == "200" {
			served++
		}
	}
	if float64(served) < servedAt*lastWords {
		s.sys.Ledger.RecordViolation("only %d of %d requests were served %v after the last fault", served, lastWords, settle)
	}
}
