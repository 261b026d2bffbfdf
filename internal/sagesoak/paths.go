package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of cuts between nodes and upstreams, and of brittle and unresponsive upstreams.
const (
	contactTime       = 3 * time.Second // within which a cut node has to be served through others, and limits may shrink
	maxCutDuration    = 6 * time.Second
	maxCutGap         = 1200 * time.Millisecond
	flapInterval      = 500 * time.Millisecond // between cut and heal in series
	maxFlaps          = 5
	brittleDeclines   = 3
	brittleQueue      = 8
	unresponsiveTime  = time.Second
	stickyInterval    = 50 * time.Millisecond // mean time between two requests of a caller that keeps its node
	minServedRatio    = 2.0 / 3               // of first tries at cut nodes against those at others
	allowedFailures   = 10                    // of first tries at cut nodes, and as many again as one in allowedFailureOdd
	allowedFailureOdd = 50
	allowedFalls      = 2 // of brittle upstreams, and a tenth of their number
)

// pathFaults cuts nodes from upstreams, and makes upstreams brittle or unresponsive. It uses its own random numbers, so that the
// other faults of a seed don't depend on it. Without other faults, cuts don't overlap, and what callers of cut nodes get
// is checked.
type pathFaults struct {
	soak    *Soak
	rng     *rand.Rand
	checked bool
	pending sync.WaitGroup
	shares  []string
	// closures is nil if what callers of cut nodes get is checked.
	closures *closures
}

// newPathFaults returns the path faults of the seed, or nil if the soak has none.
func (s *Soak) newPathFaults() *pathFaults {
	if !s.Paths {
		return nil
	}
	p := &pathFaults{soak: s, rng: rand.New(rand.NewPCG(s.Seed, 4)), checked: s.NoFaults}
	if !p.checked {
		p.closures = &closures{soak: s, rng: rand.New(rand.NewPCG(s.Seed, 11))}
	}
	return p
}

// sendLoop sends the requests of a caller that keeps the address of one node.
func (p *pathFaults) sendLoop(ctx context.Context, node int) {
	c := p.soak.sys.Caller(node)
	c.Node = p.soak.sys.EntryAddress(node)
	defer c.Close()
	for ctx.Err() == nil {
		go c.Do(context.WithoutCancel(ctx), requestKinds[rand.IntN(len(requestKinds))])
		sageclock.Sleep(ctx, stickyInterval/2+rand.N(stickyInterval))
	}
}

// run injects path faults until the soak's duration has passed.
func (p *pathFaults) run(ctx context.Context) {
	s := p.soak
	for s.injects(ctx) {
		switch p.rng.IntN(8) {
		case 0:
			p.makeBrittle(ctx)
		case 1:
			p.holdUpstream(ctx)
		default:
			p.cut(ctx)
		}
		sageclock.Sleep(ctx, time.Duration(p.rng.Int64N(int64(maxCutGap))))
	}
}

// cutNodes draws the nodes of a cut: one, a data centre, all but one, or all.
func (p *pathFaults) cutNodes() (string, []int) {
	var all []int
	for i := range p.soak.Nodes {
		all = append(all, i)
	}
	one := p.rng.IntN(len(all))
	switch p.rng.IntN(4) {
	case 0:
		return "one", []int{one}
	case 1:
		return "zone", slices.DeleteFunc(all, func(i int) bool { return !p.soak.sys.InZone(i, one) })
	case 2:
		return "all but one", slices.Delete(all, one, one+1)
	}
	return "all", all
}

// cutUpstreams draws the upstreams of a cut, by index: all, those of one service, or some for each node.
func (p *pathFaults) cutUpstreams() (string, func(node, upstream int) bool) {
	sys := p.soak.sys
	switch p.rng.IntN(6) {
	case 0:
		return "engines", func(_, u int) bool { return u < sys.Engines }
	case 1:
		return "apps", func(_, u int) bool { return u >= sys.Engines }
	case 2:
		return "some", func(n, u int) bool { return (n+u)%3 != 0 }
	}
	return "all", func(int, int) bool { return true }
}

func (p *pathFaults) setMode(nodes []int, cut func(node, upstream int) bool, mode linkMode) {
	s := p.soak
	for u := range s.sys.Runners {
		for _, n := range nodes {
			if cut(n, u) {
				s.proxy(u).setSourceMode(s.sys.NodeIP(n), mode)
				s.sys.Runner(u).SetCutFrom(s.sys.NodeIP(n), mode != linkOpen)
			}
		}
	}
}

// cut cuts some nodes from upstreams, in one piece or again and again.
func (p *pathFaults) cut(ctx context.Context) {
	which, nodes := p.cutNodes()
	from, cut := p.cutUpstreams()
	mode := []linkMode{linkHeld, linkHeldBack, linkReset, linkRefuseNew}[p.rng.IntN(4)]
	duration := contactTime/6 + time.Duration(p.rng.Int64N(int64(maxCutDuration)))
	flaps := 1
	if p.rng.IntN(4) == 0 {
		flaps, duration = 2+p.rng.IntN(maxFlaps), flapInterval
	} else if p.checked {
		duration = max(duration, contactTime+time.Second)
	}
	p.soak.recordInjected(fmt.Sprintf("cut %s from %s: mode %d, %d times", which, from, mode, flaps), duration)
	if mode == linkHeld && p.closures != nil {
		p.closures.during(ctx, duration)
	}
	work := func() {
		for range flaps {
			start := time.Now()
			p.setMode(nodes, cut, mode)
			sageclock.Sleep(ctx, duration)
			p.setMode(nodes, cut, linkOpen)
			if p.checked && len(nodes) < p.soak.Nodes && from == "all" {
				p.checkServed(nodes, start, start.Add(duration))
			}
			sageclock.Sleep(ctx, flapInterval)
		}
	}
	if p.checked {
		work()
		return
	}
	p.pending.Go(work)
}

// checkServed checks what callers of cut nodes got from contactTime after the start of a cut on, and notes the shares by
// second.
func (p *pathFaults) checkServed(nodes []int, start, end time.Time) {
	sageclock.Sleep(context.Background(), contactTime) // outcomes are known by then
	sys := p.soak.sys
	isCut := make(map[string]bool)
	for _, n := range nodes {
		isCut[sys.EntryAddress(n)] = true
	}
	for from := start; from.Before(end); from = from.Add(time.Second) {
		cut, others := countTries(sys.Ledger.FirstTries(from, minTime(from.Add(time.Second), end)), isCut)
		p.shares = append(p.shares, fmt.Sprintf("%.0f s after the cut of %d of %d nodes: %v without a path, %v with one", from.Sub(start).Seconds(), len(nodes), p.soak.Nodes, cut, others))
	}
	cut, others := countTries(sys.Ledger.FirstTries(start.Add(contactTime), end), isCut)
	failed := cut.sent - cut.served
	if cut.ratio() < minServedRatio*others.ratio() && failed > allowedFailures+cut.sent/allowedFailureOdd {
		sys.Ledger.RecordViolation("cut nodes served %v first tries, the others %v", cut, others)
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// tries counts first tries.
type tries struct{ served, sent int }

// String returns the counts as served/sent.
func (t tries) String() string { return fmt.Sprintf("%d/%d", t.served, t.sent) }

func (t tries) ratio() float64 { return float64(t.served) / float64(max(1, t.sent)) }

func countTries(firstTries []standin.FirstTry, isCut map[string]bool) (cut, others tries) {
	for _, f := range firstTries {
		t := &others
		if isCut[f.Node] {
			t = &cut
		}
		t.sent++
		if f.Served {
			t.served++
		}
	}
	return cut, others
}

// makeBrittle makes the upstreams of one service brittle. They let fewer requests wait after contactTime.
func (p *pathFaults) makeBrittle(ctx context.Context) {
	s := p.soak
	first, last := 0, s.sys.Engines
	if p.rng.IntN(2) == 0 {
		first, last = s.sys.Engines, len(s.sys.Runners)
	}
	duration := contactTime + time.Duration(p.rng.Int64N(int64(maxCutDuration)))
	s.recordInjected(fmt.Sprintf("brittle %d to %d", first, last-1), duration)
	var runners []*standin.Runner
	for i := first; i < last; i++ {
		runners = append(runners, s.sys.Runner(i))
	}
	work := func() {
		before := countFalls(runners)
		for _, queue := range []int{brittleQueue, 0} {
			for _, r := range runners {
				r.SetBrittle(brittleDeclines, queue)
			}
			sageclock.Sleep(ctx, duration/2)
		}
		if falls := countFalls(runners) - before; p.checked && falls > allowedFalls+len(runners)/10 {
			s.sys.Ledger.RecordViolation("%d brittle upstreams fell over %d times", len(runners), falls)
		}
		for _, r := range runners {
			r.SetSturdy()
		}
	}
	if p.checked {
		work()
		return
	}
	p.pending.Go(work)
}

func countFalls(runners []*standin.Runner) int {
	n := 0
	for _, r := range runners {
		n += r.Falls()
	}
	return n
}

// holdUpstream holds up what one upstream sends and gets for a second.
func (p *pathFaults) holdUpstream(ctx context.Context) {
	u := p.rng.IntN(len(p.soak.sys.Runners))
	p.soak.recordInjected(fmt.Sprintf("no response of %d", u), unresponsiveTime)
	var nodes []int
	for i := range p.soak.Nodes {
		nodes = append(nodes, i)
	}
	only := func(_, upstream int) bool { return upstream == u }
	p.setMode(nodes, only, linkHeld)
	sageclock.Sleep(ctx, unresponsiveTime)
	p.setMode(nodes, only, linkOpen)
}
