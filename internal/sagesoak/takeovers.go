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

// Parameters of streams that callers take up at other nodes.
const (
	takeoverNodes       = 9
	takeoverDataCentres = 3
	takeoverEngines     = 18
	takeoverApps        = 3
	takeoverAppSlots    = 6
	takeoverQueue       = 3
	takeoverAppRun      = 30 * time.Millisecond
	takeoverCallers     = 72
	takeoverDeadline    = 12 * time.Second
	takeoverThink       = 60 * time.Millisecond // longest pause of a caller
	takeoverReturns     = 3                     // times that a caller takes up one stream
	takeoverSlowTimes   = 5
	takeoverWarmUp      = time.Second
	takeoverSettle      = 2 * time.Second
	minTakeoverRun      = 200 * time.Millisecond // of streams
	maxTakeoverRun      = 2500 * time.Millisecond
	maxTakeoverLeave    = 1500 * time.Millisecond
	maxStopAfter        = 9 // events
	maxTakeoverDetail   = 8
	takeoverWorksOn     = 250 * time.Millisecond
	stallTick           = 5 * time.Millisecond
	minMachineStall     = 100 * time.Millisecond // from which a late tick shows that the machine stood still
	droppedWithin       = 100 * time.Millisecond // in which an upstream ends a request whose sender has given it up
)

// takeoverSignal says how nodes are disturbed.
type takeoverSignal int

const (
	signalNone      takeoverSignal = iota
	signalTerm                     // nodes are stopped in turn and started again
	signalKill                     // nodes are killed and started again at the same address at once
	signalStop                     // nodes stand still
	signalShare                    // nodes get a quarter of a processor
	signalShareMore                // nodes get 0.4 of a processor
)

// Takeovers has callers take up streams that broke off, or that they left, at another node at once, and counts streams that two
// upstreams execute at once and requests that run more often than they may. Exported fields are set before Run.
type Takeovers struct {
	Name         string
	Program, Dir string
	Seed         uint64
	Duration     time.Duration
	Callers      int
	// Leaves has callers leave streams after some events or a time.
	Leaves bool
	// Faults and Extra are what the upstreams do. Slow is the share of the engines that are slow.
	Faults standin.RunnerFaults
	Extra  standin.ExtraBytes
	Slow   float64
	// MinRun and MaxRun bound how long streams take at an upstream that isn't slow.
	MinRun, MaxRun time.Duration
	// ShortDeadlines has callers state deadlines that often end before the answer.
	ShortDeadlines bool
	// Cuts has nodes cut from the upstreams, so that peers serve. Signal disturbs nodes, Crashes replaces upstreams, Changes adds
	// routes and changes timeouts.
	Cuts             bool
	Signal           takeoverSignal
	Crashes, Changes bool
	// Grows adds many routes and takes them away again, OneWay holds up what some nodes send to upstreams, or get from them.
	Grows, OneWay bool
	// WorksOn is how long upstreams work on after their connection was reset. It is below standin.MaxOverlap, and isn't deducted
	// from overlaps.
	WorksOn time.Duration
	// Series has all kinds of trouble follow each other and overlap, and callers give up requests of all kinds and send long bodies.
	Series bool

	sys      *standin.System
	proxies  map[string]*proxy // by the address that the upstream registers
	outcomes standin.Outcomes
	mu       sync.Mutex
	entries  map[string]string // IP address of the node that got a request, by ID
	away     []absence
	stalls   []absence // of this process
	lost     []standin.RequestEnd
	ending   [takeoverNodes]sync.Mutex // held while a node's process is disturbed
	series   seriesState
}

// absence is a time in which a node was out of touch, from its end on for contactTime more.
type absence struct {
	ip       string
	from, to time.Time // to is zero while it lasts
}

// TakeoversResult is what became of the requests of a [Takeovers].
type TakeoversResult struct {
	Outcomes *standin.Outcomes
	// Streams is the number of resumable streams that ran, Moved of those that several upstreams executed one after the other,
	// MovedWithin of executions that followed another one of the same attempt.
	Streams, Moved, MovedWithin int
	// Hops is the number of executions that a peer of the caller's node sent.
	Hops int
	// Excused is the number of overlaps whose node was out of touch, Dropped of those whose second execution ended at once without an
	// event, since its sender had given it up before it arrived, Stalled of those that
	// are longer than standin.MaxOverlap only since this process stood still.
	Excused, Dropped, Stalled int
	// LostAway is the number of lost requests whose node was out of touch.
	LostAway int
	// Stalls is the number of times at which this process stood still, Longest the longest.
	Stalls  int
	Longest time.Duration
	Details []string
}

// Failed reports whether a promise was broken.
func (r *TakeoversResult) Failed() bool { return r.Outcomes.Failures() > r.excused()+r.LostAway }

// excused returns the number of overlaps that aren't the nodes' fault.
func (r *TakeoversResult) excused() int { return r.Excused + r.Dropped + r.Stalled }

// String returns the counts.
func (r *TakeoversResult) String() string {
	o := r.Outcomes
	return fmt.Sprintf("%d requests, %d served, %d refused, %d failed, %d timed out, %d cut or left; %d resumable streams, %d at several upstreams, %d moved within an attempt, %d over a peer; TWICE %d, at once %d (and %d out of touch, %d dropped on arrival, %d beside a stall), REFUSED %d, ORDER %d, MIXED %d, LOST %d (and %d out of touch); %d stalls of the machine up to %v",
		o.Requests, o.Served, o.Refused, o.Failed, o.TimedOut, o.Cut, r.Streams, r.Moved, r.MovedWithin, r.Hops, o.Twice, o.Overlaps-r.excused(), r.Excused, r.Dropped, r.Stalled,
		o.RefusedRan, o.Order, o.Mixed, o.Lost-r.LostAway, r.LostAway, r.Stalls, r.Longest.Round(time.Millisecond))
}

// TakeoverCases returns the cases.
func TakeoverCases() []*Takeovers {
	lost := standin.RunnerFaults{Lost: 0.04, Dropped: 0.03, Declined: 0.03}
	broken := standin.RunnerFaults{Cut: 0.1, Torn: 0.1, Lost: 0.04, Dropped: 0.03, Declined: 0.03, Unframed: 0.3}
	hanging := standin.RunnerFaults{Hang: 0.06, Lost: 0.02}
	extra := standin.ExtraBytes{Repeated: 0.1, Cut: 0.05, NoID: 0.1, Unasked: 0.02}
	return []*Takeovers{
		{Name: "callers leave", Leaves: true},
		{Name: "streams cut", Leaves: true, Faults: broken},
		{Name: "slow upstreams", Leaves: true, Slow: 0.4},
		{Name: "hanging upstreams", Leaves: true, Faults: hanging},
		{Name: "extra answers", Leaves: true, Faults: broken, Extra: extra},
		{Name: "upstreams crash", Leaves: true, Crashes: true},
		{Name: "hops", Leaves: true, Cuts: true},
		{Name: "hops beside slow and hanging upstreams", Leaves: true, Cuts: true, Slow: 0.4, Faults: hanging},
		{Name: "hops beside nodes that are killed", Leaves: true, Cuts: true, Signal: signalKill, Slow: 0.2, Faults: lost},
		{Name: "hops beside nodes that stop", Leaves: true, Cuts: true, Signal: signalTerm, Slow: 0.2, Faults: lost, MaxRun: 6 * time.Second},
		{Name: "nodes stop in turn", Signal: signalTerm, MinRun: time.Second, MaxRun: 6 * time.Second},
		{Name: "nodes stop beside slow upstreams and changes", Leaves: true, Signal: signalTerm, Slow: 0.4, Faults: broken, Changes: true, MaxRun: 4 * time.Second},
		{Name: "nodes killed", Leaves: true, Signal: signalKill, Faults: lost},
		{Name: "nodes stand still", Leaves: true, Signal: signalStop, Slow: 0.2},
		{Name: "processor shares", Leaves: true, Signal: signalShare, Slow: 0.2, Faults: lost},
		{Name: "overload", Leaves: true, ShortDeadlines: true, Callers: 240, Faults: lost},
		{Name: "slow upstreams beside nodes with 0.4 of a processor", Leaves: true, Signal: signalShareMore, Slow: 0.4, Faults: lost},
		{Name: "overload beside nodes with 0.4 of a processor", Leaves: true, ShortDeadlines: true, Callers: 240, Signal: signalShareMore, Faults: lost},
		{Name: "configuration grows", Leaves: true, Grows: true, Slow: 0.2, Faults: lost},
		{Name: "configuration grows beside nodes with 0.4 of a processor", Leaves: true, Grows: true, Signal: signalShareMore, Slow: 0.2, Faults: lost},
		{Name: "upstreams work on", Leaves: true, WorksOn: takeoverWorksOn, Slow: 0.2, Faults: hanging},
		{Name: "paths held up in one direction", Leaves: true, OneWay: true, Slow: 0.2, Faults: lost},
		{Name: "series", Leaves: true, Series: true, Callers: 108, Extra: standin.ExtraBytes{Repeated: 0.02, NoID: 0.1, Early: 0.08}},
		{Name: "all", Leaves: true, ShortDeadlines: true, Cuts: true, Signal: signalTerm, Crashes: true, Changes: true, Slow: 0.3, Faults: broken, Extra: extra, MaxRun: 4 * time.Second},
	}
}

// Run plays the case. It returns an error if it can't be played.
func (t *Takeovers) Run(ctx context.Context) (TakeoversResult, error) {
	t.entries, t.proxies = make(map[string]string), make(map[string]*proxy)
	t.sys = &standin.System{
		Nodes: takeoverNodes, DataCentres: takeoverDataCentres, Engines: takeoverEngines, Apps: takeoverApps, AppSlots: takeoverAppSlots,
		AppCapacity: func(i int) *standin.Capacity {
			return &standin.Capacity{Queue: takeoverQueue, MeanRun: takeoverAppRun, RunSpread: crowdSpread, MaxConns: t.appConns(), Seed: t.Seed + uint64(i)}
		},
		Program: t.Program, Dir: t.Dir, Subnet: 60,
	}
	if t.Cuts || t.OneWay || t.Series || t.WorksOn > 0 {
		t.sys.Advertise = t.advertise
	}
	defer t.sys.Stop()
	if err := t.sys.Start(ctx); err != nil {
		return TakeoversResult{}, fmt.Errorf("start system: %w", err)
	}
	t.changeRoutes(takeoverDeadline, 0)
	for i := range t.sys.Runners {
		t.inject(i)
	}
	sageclock.Sleep(ctx, takeoverWarmUp)
	loadCtx, stop := context.WithTimeout(ctx, t.Duration)
	defer stop()
	var callers, others sync.WaitGroup
	for i := range max(t.Callers, takeoverCallers) {
		callers.Go(func() { t.sendLoop(loadCtx, i) })
	}
	t.disturb(loadCtx, &others)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go t.watchStalls(watchCtx)
	others.Wait()
	callers.Wait()
	sageclock.Sleep(ctx, takeoverSettle)
	return t.result(), nil
}

// inject has an upstream do what the case says.
func (t *Takeovers) inject(i int) {
	faults := t.Faults
	if i < takeoverEngines && float64(i%10) < t.Slow*10 {
		faults.SlowTimes = takeoverSlowTimes
	}
	extra := t.Extra
	t.series.apply(i, &faults, &extra)
	t.sys.Runner(i).InjectFaults(faults)
	t.sys.Runner(i).InjectExtra(extra)
}

func (t *Takeovers) advertise(address string) (string, error) {
	x := &proxy{target: address, closeDelay: t.WorksOn}
	registered, err := x.listen()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proxies[registered] = x
	return registered, err
}

func (t *Takeovers) caller(node int, rng *rand.Rand) *standin.CheckedCaller {
	c := &standin.CheckedCaller{
		Node: t.sys.EntryAddress(node), Key: func() string { return t.sys.Key(node) }, Ledger: &t.sys.Ledger, Outcomes: &t.outcomes, Timeout: takeoverDeadline, Grace: standin.StopTimeout,
		OnEnd: func(e standin.RequestEnd) {
			if e.Outcome == "lost" {
				t.mu.Lock()
				defer t.mu.Unlock()
				t.lost = append(t.lost, e)
			}
		},
	}
	if t.ShortDeadlines {
		c.Timeout = minShortDeadline + time.Duration(rng.Int64N(int64(maxTakeoverRun)))
	}
	return c
}

// send sends a request to a node, and notes which node that was.
func (t *Takeovers) send(c *standin.CheckedCaller, node int, k standin.Kind, st *standin.Stream) string {
	id := standin.NewRequestID()
	t.mu.Lock()
	t.entries[id] = t.sys.NodeIP(node)
	t.mu.Unlock()
	return c.Send(k, id, st)
}

// sendLoop sends the requests of one caller, one after the other. It takes up streams that aren't complete at the next node at once.
func (t *Takeovers) sendLoop(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(t.Seed, uint64(i)))
	kinds := []standin.Kind{standin.Chat, standin.Chat, standin.Chat, standin.Chat, standin.Reply, standin.Booking, standin.Booking, standin.Lookup}
	if t.Series {
		kinds = append(kinds, seriesKinds...)
	}
	node := i % takeoverNodes
	c := t.caller(node, rng)
	defer func() { c.Close() }()
	for ctx.Err() == nil {
		k := kinds[rng.IntN(len(kinds))]
		st := standin.NewStream(k)
		left := false
		if t.Series && rng.Float64() < longBodyShare {
			st.Content += strings.Repeat("b", rng.IntN(maxLongBody))
		}
		c.Path = ""
		if k == standin.Chat || k == standin.Reply {
			c.Path = standin.RunPath(t.randomRun(rng), 0)
		}
		for attempt := 0; attempt <= takeoverReturns && ctx.Err() == nil; attempt++ {
			c.StopAfter, c.Leave = 0, 0
			if t.Leaves && k == standin.Chat {
				switch rng.IntN(3) {
				case 0:
					c.StopAfter = 1 + rng.IntN(maxStopAfter)
				case 1:
					c.Leave = time.Millisecond + time.Duration(rng.Int64N(int64(maxTakeoverLeave)))
				}
			}
			if t.Series && k != standin.Chat && rng.Float64() < givenUpShare {
				c.Leave, left = time.Millisecond+time.Duration(rng.Int64N(int64(maxGivenUp))), true
			}
			outcome := t.send(c, node, k, st)
			if outcome == "200" {
				break
			}
			path := c.Path
			c.Close()
			node = (node + 1 + rng.IntN(takeoverNodes-1)) % takeoverNodes
			c = t.caller(node, rng)
			c.Path = path
			if k != standin.Chat || outcome == "wrong" {
				break
			}
		}
		if !left {
			sageclock.Sleep(ctx, time.Duration(rng.Int64N(int64(takeoverThink))))
		}
	}
}

func (t *Takeovers) randomRun(rng *rand.Rand) time.Duration {
	from, to := max(t.MinRun, minTakeoverRun), max(t.MaxRun, maxTakeoverRun)
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// setAway notes that a node is out of touch, until the returned function is called.
func (t *Takeovers) setAway(node int) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := len(t.away)
	t.away = append(t.away, absence{ip: t.sys.NodeIP(node), from: time.Now()})
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.away[i].to = time.Now()
	}
}

// inTouch reports whether a node was in touch from a time on until standin.MaxOverlap after it.
func (t *Takeovers) inTouch(ip string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.away {
		if a.ip == ip && a.from.Before(at.Add(standin.MaxOverlap)) && (a.to.IsZero() || at.Before(a.to.Add(contactTime))) {
			return false
		}
	}
	return true
}

// watchStalls notes when this process stands still, and the nodes most likely with it.
func (t *Takeovers) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallTick)
		now := time.Now()
		if now.Sub(last) >= minMachineStall {
			t.mu.Lock()
			t.stalls = append(t.stalls, absence{from: last, to: now})
			t.mu.Unlock()
		}
		last = now
	}
}

// stallTime returns for how long this process stood still between two times.
func (t *Takeovers) stallTime(from, to time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum time.Duration
	for _, s := range t.stalls {
		start, end := s.from, s.to
		if start.Before(from) {
			start = from
		}
		sum += max(0, minTime(end, to).Sub(start))
	}
	return sum
}

// result counts, and names what broke a promise.
func (t *Takeovers) result() TakeoversResult {
	t.outcomes.Settle(&t.sys.Ledger, nil)
	out := TakeoversResult{Outcomes: &t.outcomes}
	for _, runs := range t.sys.Ledger.StreamRuns() {
		out.Streams++
		runners := make(map[string]bool)
		for i, x := range runs {
			runners[x.Runner] = true
			if i > 0 && runs[i-1].ID == x.ID {
				out.MovedWithin++
			}
			if x.Sender != t.entries[x.ID] {
				out.Hops++
			}
		}
		if len(runners) > 1 {
			out.Moved++
		}
	}
	for _, x := range t.sys.Ledger.Overlaps() {
		switch {
		case !t.inTouch(x.Before.Sender, x.After.From):
			out.Excused++
			continue
		case x.After.Events == 0 && !x.After.To.IsZero() && x.After.To.Sub(x.After.From) < droppedWithin:
			out.Dropped++
			continue
		case x.Over-t.stallTime(x.After.From, x.After.From.Add(x.Over)) <= standin.MaxOverlap:
			out.Stalled++
		}
		out.Details = append(out.Details, fmt.Sprintf("%v; entry %s, then %s", x.String(), t.entries[x.Before.ID], t.entries[x.After.ID]))
	}
	for _, e := range t.lost {
		if !t.inTouch(t.entries[e.ID], e.EndAt) {
			out.LostAway++
		}
	}
	for _, s := range t.stalls {
		out.Stalls, out.Longest = out.Stalls+1, max(out.Longest, s.to.Sub(s.from))
	}
	named := 0
	for _, text := range t.outcomes.Details {
		if strings.HasPrefix(text, "closed ") || strings.HasPrefix(text, "TWICE stream ") {
			continue
		}
		if named++; named <= maxTakeoverDetail {
			out.Details = append(out.Details, text)
		}
	}
	if out.Failed() {
		out.Details = append(out.Details, t.series.events...)
	}
	return out
}

// sendSignal signals a node, and notes that it is out of touch.
func (t *Takeovers) sendSignal(node int, sig syscall.Signal) func() {
	back := t.setAway(node)
	t.sys.Signal(node, sig)
	return back
}
