package sagesoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of upstreams that stand still while the configuration changes.
const (
	pausesNodes       = 4
	pausesUpstreams   = 3 // of each service
	pausesCallers     = 48
	pausesDeadline    = 3 * time.Second
	pausesMaxThink    = 20 * time.Millisecond
	pausesAttempts    = 3 // of a request, as the routes allow
	pausesStart       = time.Second
	pausesPeriod      = 6 * time.Second
	pausesChangeLead  = 600 * time.Millisecond // between a change of the configuration and the pause
	pausesWarmUp      = time.Second
	pausesSettle      = time.Second
	pausesSwapEvery   = 2500 * time.Millisecond
	pausesEntryStays  = 800 * time.Millisecond
	pausesCutEvery    = 4 * time.Second
	pausesCutFor      = 1500 * time.Millisecond
	pausesStoreEvery  = 3 * time.Second
	pausesStoreFor    = 2 * time.Second
	pausesSecondDelay = 15 * time.Millisecond // longest time between the two sends of one request
	pausesIdleLimit   = 250 * time.Millisecond
	pausesLongIdle    = 5 * time.Second
	pausesEndEvery    = 700 * time.Millisecond
	pausesLeaveTime   = 300 * time.Millisecond // between an announcement and the end
	pausesSignalEvery = time.Second
	pausesLongTimeout = 4000
	pausesTimeout     = 1100 // ms, the limit of a route that changes
)

// pausedShares are the shares of the upstreams that stand still, pausedFor the lengths, by turns.
var (
	pausedShares = [...]float64{1, 0.6, 1, 0.6}
	pausedFor    = [...]time.Duration{1200 * time.Millisecond, 1100 * time.Millisecond, 1300 * time.Millisecond, time.Second}
)

// MaxPauses is the largest number of pauses in a case.
const MaxPauses = len(pausedFor)

// Pauses has upstreams stand still as under SIGSTOP while the configuration changes, beside one other fault. Exported fields are set
// before Run.
type Pauses struct {
	Name         string
	Program, Dir string
	// Seed selects the upstreams that stand still.
	Seed uint64
	// Count is the number of pauses, at most [MaxPauses].
	Count int
	// Options are those of the upstreams, Faults and Extra what they do beside.
	Options standin.PausableOptions
	Faults  standin.RunnerFaults
	Extra   standin.ExtraBytes
	// Inside is the share of writes of a response before which a copy of an earlier response is sent.
	Inside float64
	// Queue, if positive, is the number of requests that may wait at an upstream with two slots.
	Queue int
	// Swaps has upstreams end and others take their addresses, Hops cuts a node from all upstreams, Store has the store fail.
	Swaps, Hops, Store bool
	// Twice has callers send the same request on two connections.
	Twice bool
	// Ends has upstreams end while they respond, and others start. Announces has them announce it before.
	Ends, Announces bool
	// CallerIdle has callers let connections rest for up to four fifths of the idle limit, which changes.
	CallerIdle bool
	// Signals has nodes read their settings again, and end in order.
	Signals bool

	sys      *standin.PausableSystem
	rng      *rand.Rand
	outcomes standin.Outcomes
	proxies  map[string]*proxy
	mu       sync.Mutex
	think    atomic.Int64   // four fifths of the idle limit
	sends    map[string]int // sends of requests that are sent twice
}

// PausesResult is what became of the requests of a [Pauses].
type PausesResult struct {
	Outcomes *standin.Outcomes
	Details  []string
}

// Failed reports whether a promise was broken.
func (r *PausesResult) Failed() bool { return r.Outcomes.Failures() > 0 }

// String returns the counts.
func (r *PausesResult) String() string {
	o := r.Outcomes
	return fmt.Sprintf("%d requests, %d served, %d refused, %d failed, %d timed out, %d cut, %d closed; TWICE %d, REFUSED %d, ORDER %d, MIXED %d, LOST %d, streams executed twice at once %d",
		o.Requests, o.Served, o.Refused, o.Failed, o.TimedOut, o.Cut, o.Closed, o.Twice, o.RefusedRan, o.Order, o.Mixed, o.Lost, o.Overlaps)
}

// PauseCases returns the cases.
func PauseCases() []*Pauses {
	declined := standin.RunnerFaults{Declined: 0.16}
	return []*Pauses{
		{Name: "pauses alone"},
		{Name: "idle connections closed", Options: standin.PausableOptions{IdleTimeout: 25 * time.Millisecond}},
		{Name: "late copies", Faults: declined, Extra: standin.ExtraBytes{Repeated: 0.5}},
		{Name: "late copies without ID", Faults: declined, Extra: standin.ExtraBytes{Repeated: 0.3, NoID: 0.5}},
		{Name: "rejections of no request", Extra: standin.ExtraBytes{Unasked: 0.05}},
		{Name: "cut copies", Faults: declined, Extra: standin.ExtraBytes{Cut: 0.3}},
		{Name: "copies inside responses", Faults: declined, Inside: 0.05},
		{Name: "copies inside streams without length", Faults: standin.RunnerFaults{Declined: 0.16, Unframed: 0.5}, Inside: 0.05},
		{Name: "refusals without statement", Options: standin.PausableOptions{Unstated: 0.1}},
		{Name: "addresses used again", Swaps: true},
		{Name: "hops", Hops: true},
		{Name: "answers lost", Faults: standin.RunnerFaults{Lost: 0.08, Declined: 0.05}},
		{Name: "streams cut", Faults: standin.RunnerFaults{Cut: 0.1, Torn: 0.1, Unframed: 0.4}},
		{Name: "upstreams leave", Ends: true, Announces: true, Faults: standin.RunnerFaults{Unframed: 0.5}},
		{Name: "upstreams crash", Ends: true, Faults: standin.RunnerFaults{Unframed: 0.5}},
		{Name: "idle limit of callers", CallerIdle: true},
		{Name: "nodes reload and restart", Signals: true},
		{Name: "full queue", Queue: 2},
		{Name: "store away", Store: true},
		{Name: "sent twice", Twice: true},
	}
}

// Run plays the case. It returns an error if it can't be played.
func (p *Pauses) Run(ctx context.Context) (PausesResult, error) {
	p.rng, p.proxies, p.sends = rand.New(rand.NewPCG(p.Seed, 0)), make(map[string]*proxy), make(map[string]int)
	p.sys = &standin.PausableSystem{System: standin.System{Nodes: pausesNodes, Program: p.Program, Dir: p.Dir, Subnet: 30}, Options: p.Options}
	for _, service := range []string{"engine", "engine2", "app", "app2"} {
		for range pausesUpstreams {
			p.sys.Options.Services = append(p.sys.Options.Services, service)
		}
	}
	if p.Queue > 0 {
		p.sys.Options.Slots = 2
		p.sys.Options.Capacity = func(i int) *standin.Capacity {
			return &standin.Capacity{Queue: p.Queue, MeanRun: 25 * time.Millisecond, RunSpread: 0.5, Seed: p.Seed + uint64(i)}
		}
	}
	if p.Hops {
		p.sys.Advertise = p.advertise
	}
	defer p.sys.Stop()
	if err := p.sys.Start(ctx); err != nil {
		return PausesResult{}, fmt.Errorf("start system: %w", err)
	}
	if err := p.sys.StartRunners(); err != nil {
		return PausesResult{}, err
	}
	defer p.sys.OpenGates()
	p.sys.ChangeConfig(func(routes []map[string]any, config map[string]any) {
		services := config["services"].([]any)
		for _, s := range []int{0, 1} {
			second := make(map[string]any)
			for k, v := range services[s].(map[string]any) {
				second[k] = v
			}
			second["name"] = second["name"].(string) + "2"
			services = append(services, second)
		}
		config["services"] = services
		for _, r := range routes {
			r["max_attempts"] = pausesAttempts
		}
	})
	for i := range p.sys.Runners {
		p.inject(i)
	}
	sageclock.Sleep(ctx, pausesWarmUp)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers, others sync.WaitGroup
	for i := range pausesCallers {
		callers.Go(func() { p.sendLoop(loadCtx, i) })
	}
	var swapErr, endErr, signalErr error
	if p.Swaps {
		others.Go(func() { swapErr = p.swap(loadCtx) })
	}
	if p.Hops {
		others.Go(func() { p.cutNodes(loadCtx) })
	}
	if p.Store {
		others.Go(func() { p.failStore(loadCtx) })
	}
	if p.Ends {
		others.Go(func() { endErr = p.endUpstreams(loadCtx) })
	}
	if p.Signals {
		others.Go(func() { signalErr = p.signalNodes(loadCtx) })
	}
	p.pause(ctx)
	sageclock.Sleep(ctx, pausesSettle)
	stop()
	others.Wait()
	callers.Wait()
	sageclock.Sleep(ctx, pausesSettle)
	return p.result(), errors.Join(swapErr, endErr, signalErr)
}

// inject has an upstream do what the case says.
func (p *Pauses) inject(i int) {
	p.sys.Runner(i).InjectFaults(p.Faults)
	p.sys.Runner(i).InjectExtra(p.Extra)
	p.sys.Gates[i].InsertCopies(p.Inside)
}

func (p *Pauses) result() PausesResult {
	o := &p.outcomes
	o.Settle(&p.sys.Ledger, p.sends)
	out := PausesResult{Outcomes: o}
	for _, text := range o.Details {
		words := strings.Fields(text)
		if id := strings.TrimSuffix(words[min(2, len(words)-1)], ":"); len(words) > 2 {
			text += "; " + strings.Join(p.sys.Arrivals(id), ", ")
		}
		out.Details = append(out.Details, text)
	}
	if out.Failed() {
		out.Details = append(out.Details, p.sys.Ledger.Violations()...)
	}
	return out
}

func (p *Pauses) advertise(address string) (string, error) {
	x := &proxy{target: address}
	registered, err := x.listen()
	p.proxies[registered] = x
	return registered, err
}

// pause has upstreams stand still, each time after a change of the configuration.
func (p *Pauses) pause(ctx context.Context) {
	sageclock.Sleep(ctx, pausesStart)
	for i := range p.Count {
		start := time.Now()
		p.change(i)
		sageclock.Sleep(ctx, pausesChangeLead)
		n := len(p.sys.Gates)
		for _, g := range p.rng.Perm(n)[:int(pausedShares[i]*float64(n)+0.5)] {
			p.sys.Gates[g].Shut()
		}
		sageclock.Sleep(ctx, pausedFor[i])
		p.sys.OpenGates()
		if i < p.Count-1 {
			sageclock.Sleep(ctx, time.Until(start.Add(pausesPeriod)))
		}
	}
}

// change makes the i-th change of the configuration.
func (p *Pauses) change(i int) {
	p.sys.ChangeConfig(func(routes []map[string]any, config map[string]any) {
		switch i % 4 {
		case 0, 3:
			limit := p.idleLimit(i)
			p.think.Store(int64(limit) * 4 / 5)
			config["limits"].(map[string]any)["idle_timeout_ms"] = limit.Milliseconds()
		case 1:
			for _, r := range routes {
				r["timeout_ms"] = pausesTimeout
			}
		case 2:
			for _, r := range routes {
				r["timeout_ms"] = pausesLongTimeout
				r["service"] = r["service"].(string) + "2"
			}
		}
	})
}

// idleLimit returns the limit on idle connections of callers after the i-th change.
func (p *Pauses) idleLimit(i int) time.Duration {
	if p.CallerIdle {
		return pausesIdleLimit * time.Duration(1+i%2)
	}
	return pausesLongIdle + time.Duration(i)*time.Second
}

// endUpstreams has one upstream after the other end, and starts another in its place.
func (p *Pauses) endUpstreams(ctx context.Context) error {
	for i := 0; sageclock.Sleep(ctx, pausesEndEvery) && ctx.Err() == nil; i++ {
		at := i * 5 % len(p.sys.Gates) // all in turn, of another service each time
		old := p.sys.Runner(at)
		if p.Announces {
			old.Drain(0, false)
			sageclock.Sleep(ctx, pausesLeaveTime)
		}
		if err := p.sys.ReplacePausable(at, i+2); err != nil {
			return fmt.Errorf("replace upstream: %w", err)
		}
		p.inject(at)
	}
	return nil
}

// signalNodes has nodes read their settings again, and ends and starts one after the other.
func (p *Pauses) signalNodes(ctx context.Context) error {
	for i := 0; sageclock.Sleep(ctx, pausesSignalEvery) && ctx.Err() == nil; i++ {
		node := i / 2 % pausesNodes
		if i%2 == 0 {
			p.sys.Signal(node, syscall.SIGHUP)
			continue
		}
		p.sys.Signal(node, syscall.SIGTERM)
		<-p.sys.Exited(node)
		if err := p.sys.StartNode(node); err != nil {
			return fmt.Errorf("start node: %w", err)
		}
	}
	return nil
}

// swap has upstreams end and upstreams of other services take their addresses.
func (p *Pauses) swap(ctx context.Context) error {
	for generation := 2; sageclock.Sleep(ctx, pausesSwapEvery) && ctx.Err() == nil; generation++ {
		i := generation % pausesUpstreams
		if err := p.sys.SwapAddresses(i, i+2*pausesUpstreams, generation, pausesEntryStays); err != nil {
			return fmt.Errorf("swap addresses: %w", err)
		}
		p.inject(i)
		p.inject(i + 2*pausesUpstreams)
	}
	return nil
}

// cutNodes cuts one node after the other from all upstreams, so that its peers serve.
func (p *Pauses) cutNodes(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		sageclock.Sleep(ctx, pausesCutEvery-pausesCutFor)
		p.setCut(i%pausesNodes, [...]linkMode{linkHeld, linkReset, linkHeldBack}[i%3])
		sageclock.Sleep(ctx, pausesCutFor)
		p.setCut(i%pausesNodes, linkOpen)
	}
}

func (p *Pauses) setCut(node int, mode linkMode) {
	for _, x := range p.proxies {
		x.setSourceMode(p.sys.NodeIP(node), mode)
	}
}

// failStore has the store fail for a while, again and again.
func (p *Pauses) failStore(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		sageclock.Sleep(ctx, pausesStoreEvery-pausesStoreFor)
		p.sys.Store.SetMode("", [...]standin.Mode{standin.ModeStalled, standin.ModeReset, standin.ModeBusy}[i%3])
		sageclock.Sleep(ctx, pausesStoreFor)
		p.sys.Store.SetMode("", standin.ModeServing)
	}
}

func (p *Pauses) caller(i int) *standin.CheckedCaller {
	return &standin.CheckedCaller{
		Node: p.sys.EntryAddress(i % pausesNodes), Key: func() string { return p.sys.Key(i) }, Ledger: &p.sys.Ledger, Outcomes: &p.outcomes, Timeout: pausesDeadline,
	}
}

// sendLoop sends the requests of one caller, one after the other.
func (p *Pauses) sendLoop(ctx context.Context, i int) {
	c, second := p.caller(i), p.caller(i+i%2)
	defer c.Close()
	defer second.Close()
	kinds := [...]standin.Kind{standin.Lookup, standin.Booking, standin.Reply, standin.Lookup, standin.Booking, standin.Reply, standin.Chat}
	for ctx.Err() == nil {
		id, k := standin.NewRequestID(), kinds[rand.IntN(len(kinds))]
		switch {
		case p.Twice:
			p.mu.Lock()
			p.sends[id] = 2
			p.mu.Unlock()
			var sends sync.WaitGroup
			sends.Go(func() { c.Send(k, id, nil) })
			sends.Go(func() {
				time.Sleep(rand.N(pausesSecondDelay))
				second.Send(k, id, nil)
			})
			sends.Wait()
		case k == standin.Chat:
			st := standin.NewStream(k)
			if c.Send(k, id, st) == "cut" {
				c.Send(k, standin.NewRequestID(), st)
			}
		default:
			c.Send(k, id, nil)
		}
		sageclock.Sleep(ctx, rand.N(p.maxThink()))
	}
}

// maxThink returns the longest time between two requests of a caller.
func (p *Pauses) maxThink() time.Duration {
	if p.CallerIdle {
		return max(pausesMaxThink, time.Duration(p.think.Load()))
	}
	return pausesMaxThink
}
