package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of parts of prompts that crash engines.
const (
	partEngines      = 12
	partSlots        = 4 // so that requests wait for them only while engines are down
	maxFatalInterval = 700 * time.Millisecond
	minFatalInterval = 120 * time.Millisecond
	soundInterval    = 25 * time.Millisecond
	soundTime        = 1500 * time.Millisecond // before the first fatal request
	meanCrashGap     = 2 * time.Second         // between crashes for other reasons
	minStopGap       = 700 * time.Millisecond  // between faults of nodes
	tornStreams      = 0.2                     // share of the streams that end inside an event, while responses are unframed
)

// partFaults sends requests with fatal parts, no two alike, beside sound ones that share all their other parts. Engines also
// crash for other reasons, and nodes are stopped, frozen and restarted meanwhile. It uses its own random numbers, so that
// the other faults of a seed don't depend on it. Without other faults it is checked that sound requests begin.
type partFaults struct {
	soak        *Soak
	rng         *rand.Rand
	checked     bool
	load        *standin.PartLoad
	prefill     time.Duration
	executes    int
	crashes     bool // engines crash for other reasons
	stops       bool // nodes are stopped
	until       time.Time
	pending     sync.WaitGroup
	spontaneous int
}

// newPartFaults returns the part faults of the seed, or nil if the soak has none.
func (s *Soak) newPartFaults() *partFaults {
	if !s.Parts {
		return nil
	}
	rng := rand.New(rand.NewPCG(s.Seed, 6))
	p := &partFaults{soak: s, rng: rng, checked: s.NoFaults, prefill: time.Duration(10+rng.IntN(100)) * time.Millisecond}
	p.load = &standin.PartLoad{
		Position: rng.IntN(3), FatalInterval: minFatalInterval + time.Duration(rng.Int64N(int64(maxFatalInterval-minFatalInterval))), SoundInterval: soundInterval, Repeat: rng.IntN(3) == 0,
		InTouch: p.inTouchAddress,
	}
	for i := range 1 + rng.IntN(2) {
		p.load.Parts = append(p.load.Parts, &standin.FatalPart{ID: fmt.Sprintf("fa7a%d", i), AfterEvents: 2 * rng.IntN(2), OnCrash: p.restart, InTouch: p.inTouchIP})
	}
	if rng.IntN(3) == 0 {
		p.executes = partSlots
	}
	p.crashes, p.stops = rng.IntN(2) == 0, rng.IntN(3) > 0
	return p
}

// configure sets the system's fields.
func (p *partFaults) configure(sys *standin.System) {
	sys.Engines, sys.FatalParts, sys.PrefillTime, sys.Executes = partEngines, p.load.Parts, p.prefill, p.executes
}

// inTouchIP reports whether the node with an IP address was in touch.
func (p *partFaults) inTouchIP(ip string, at time.Time) bool {
	for i := range p.soak.Nodes {
		if p.soak.sys.NodeIP(i) == ip {
			return p.soak.inTouch(i, at)
		}
	}
	return false
}

// inTouchAddress reports whether the node with an entry address was in touch.
func (p *partFaults) inTouchAddress(address string, at time.Time) bool {
	ip, _, _ := strings.Cut(address, ":")
	return p.inTouchIP(ip, at)
}

// restart starts a replacement of an engine that has crashed.
func (p *partFaults) restart(r *standin.Runner) {
	s := p.soak
	i, ok := s.sys.Index(r)
	if !ok {
		return
	}
	s.proxy(i).shutDown()
	p.pending.Go(func() {
		time.Sleep(replaceDelay)
		if err := s.sys.Replace(i); err != nil {
			s.sys.Ledger.RecordViolation("runner %d was not replaced: %v", i, err)
		}
	})
}

// run sends requests and injects faults until the soak's duration has passed.
func (p *partFaults) run(ctx context.Context) {
	s := p.soak
	for i := range s.Nodes {
		c := s.sys.Caller(i)
		c.Node = s.sys.EntryAddress(i)
		p.load.Callers = append(p.load.Callers, c)
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { p.load.RunSound(loadCtx) })
	sageclock.Sleep(ctx, soundTime)
	wg.Go(func() { p.load.RunFatal(loadCtx) })
	if p.crashes {
		wg.Go(func() { p.crashEngines(loadCtx) })
	}
	for s.injects(ctx) {
		if p.stops {
			p.stopNodes()
		}
		if p.rng.IntN(3) == 0 {
			p.unframe(ctx)
		}
		sageclock.Sleep(ctx, minStopGap+time.Duration(p.rng.Int64N(int64(maxFaultGap))))
	}
	p.until = time.Now()
	stop()
	wg.Wait()
	for _, c := range p.load.Callers {
		c.Close()
	}
}

// crashEngines crashes random engines at random times.
func (p *partFaults) crashEngines(ctx context.Context) {
	for ctx.Err() == nil {
		sageclock.Sleep(ctx, time.Duration(rand.ExpFloat64()*float64(meanCrashGap)))
		r := p.soak.sys.Runner(rand.IntN(partEngines))
		if ctx.Err() == nil && r.CrashOnce() {
			p.spontaneous++
			p.restart(r)
		}
	}
}

// unframe has a random runner send responses that end with their connection for some time, some of them inside an event.
func (p *partFaults) unframe(ctx context.Context) {
	s := p.soak
	r := s.sys.Runner(p.rng.IntN(len(s.sys.Runners)))
	duration := maxFaultDuration/2 + time.Duration(p.rng.Int64N(int64(maxFaultDuration)))
	r.InjectFaults(standin.RunnerFaults{Unframed: 1, Torn: tornStreams})
	s.recordInjected(r.ID+" sends unframed responses", duration)
	p.pending.Go(func() {
		sageclock.Sleep(ctx, duration)
		r.InjectFaults(standin.RunnerFaults{})
	})
}

// stopNodes restarts nodes one after the other or all at once, kills, stops or freezes one.
func (p *partFaults) stopNodes() {
	switch p.rng.IntN(6) {
	case 0:
		for i := range p.soak.Nodes {
			p.soak.signalFor(&p.pending, "restart in turn", syscall.SIGTERM, i, restartGap)
			time.Sleep(restartGap)
		}
	case 1:
		for i := range p.soak.Nodes {
			p.soak.signalFor(&p.pending, "kill all", syscall.SIGKILL, i, restartGap)
		}
	case 2:
		p.soak.signalFor(&p.pending, "freeze", syscall.SIGSTOP, p.rng.IntN(p.soak.Nodes), maxFaultDuration/2)
	default:
		p.soak.signalFor(&p.pending, "kill", syscall.SIGKILL, p.rng.IntN(p.soak.Nodes), restartGap)
	}
}

// check checks the bounds. Other faults may keep sound requests from beginning.
func (p *partFaults) check() {
	var found []string
	if p.checked {
		found = p.load.Check(p.until)
	} else {
		for _, part := range p.load.Parts {
			found = append(found, part.Check())
		}
	}
	for _, text := range found {
		if text != "" {
			p.soak.sys.Ledger.RecordViolation("%s", text)
		}
	}
}

// summary returns how many engines crashed, and how many sound requests began.
func (p *partFaults) summary() string {
	var out []string
	for _, part := range p.load.Parts {
		out = append(out, fmt.Sprintf("%s: %d crashes, %d late sends", part.ID, len(part.Crashes()), part.LateSends()))
	}
	begun, sent := p.load.Begun(time.Time{}, p.until)
	return fmt.Sprintf("%s; %d other crashes; %d of %d sound requests begun", strings.Join(out, ", "), p.spontaneous, begun, sent)
}
