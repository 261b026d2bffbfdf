package sagesoak

import (
	"cmp"
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

// Parameters of planned stops.
const (
	stopNodes     = 6
	stopEngines   = 4
	stopApps      = 3
	stopWarmUp    = 6 * time.Second // in which the nodes see how long requests run
	stopDeadline  = 12 * time.Second
	stopLoops     = 24 // callers that send all the time
	stopLoopThink = 50 * time.Millisecond
	stopIdle      = time.Second // between the first request of a kept connection and SIGTERM, at most
	stopEvent     = 250 * time.Millisecond
	// A run that was sent before ruleSentBy, and at which its upstream is still at work at ruleWorkFrom, both counted from SIGTERM,
	// may be cut.
	ruleSentBy    = 3 * time.Second
	ruleWorkFrom  = standin.StopTimeout * 5 / 6
	maxStopDetail = 12
	// A node closes its listener at closeAt, and cuts requests at cutAt, both counted from SIGTERM.
	closeAt = 3500 * time.Millisecond
	cutAt   = 7300 * time.Millisecond
	// deadlineMargin is how much shorter than its deadline a run is at most that its deadline may end.
	deadlineMargin = time.Second
)

// stopEvents are what happens beside a stop.
type stopEvents int

const (
	nothingElse    stopEvents = iota
	configurations            // change the timeouts of all routes
	hangups                   // SIGHUP and further SIGTERM to the nodes that stop
	replacements              // of upstreams, one after the other
	standstills               // the nodes that stop get an eighth of a processor
)

// Stops has nodes stop in series under callers that keep their connections until the node closes them. Exported fields are set
// before Run.
type Stops struct {
	Name         string
	Program, Dir string
	Seed         uint64
	// MinRun and MaxRun bound how long upstreams run a request.
	MinRun, MaxRun time.Duration
	// From and To bound when requests are sent to a node that stops, counted from SIGTERM, Every is the time between two.
	From, To, Every time.Duration
	// EndFrom and EndTo, if set, bound when the runs of those requests end; MinRun and MaxRun then concern the other ones.
	EndFrom, EndTo time.Duration
	// ReadDelay and Extra have those callers read long responses slowly.
	ReadDelay time.Duration
	Extra     int
	// Fresh has those requests sent on new connections.
	Fresh bool
	// AtOnce is the number of nodes that stop at once; 0 means one. Rounds is the number of stops in series.
	AtOnce, Rounds int
	Beside         stopEvents
	// Unforeseen says that the requests to nodes that stop run for longer than any before, so that the rules' excuse counts.
	Unforeseen bool
	stopVariant

	sys      *standin.System
	outcomes standin.Outcomes
	mu       sync.Mutex
	ends     []stopEnd
	second   StopRetries
}

// stopEnd is the end of a request at a node that stops.
type stopEnd struct {
	standin.RequestEnd
	node int
	// sent and end are counted from SIGTERM, run is how long the upstream was to run it.
	sent, end, run time.Duration
}

// StopRetries counts requests that a leaving node refused and that their callers sent to another node.
type StopRetries struct {
	Refused, Served int
	// Slowest is the longest time from the first attempt to the start of the second one.
	Slowest time.Duration
}

// StopsResult is what became of the requests around the stops.
type StopsResult struct {
	Outcomes *standin.Outcomes
	// Sent is the number of requests sent to nodes after SIGTERM, Whole of those with a complete answer.
	Sent, Whole int
	// Lost is the number of requests that reached an upstream and got no complete answer. Excused of them may be cut after the rules.
	Lost, Excused int
	// Unread is the number of connections that ended without an answer of a request that reached no upstream.
	Unread int
	// CouldEnd is the number of requests that a leaving node refused and whose runs would have ended before it cuts requests.
	CouldEnd int
	Retries  StopRetries
	Details  []string
}

// Failed reports whether a planned stop cut a request or another promise was broken.
func (s *Stops) Failed(r *StopsResult) bool {
	lost := r.Lost
	if s.Unforeseen {
		lost -= r.Excused
	}
	o := r.Outcomes
	return lost > 0 || o.Twice+o.Overlaps+o.RefusedRan+o.Order+o.Mixed > 0
}

// String returns the counts.
func (r *StopsResult) String() string {
	return fmt.Sprintf("%d requests, %d sent after SIGTERM, %d whole; LOST %d (%d excused), closed unread %d, TWICE %d and %d at once, REFUSED %d, ORDER %d, MIXED %d; %d refused by leaving nodes (%d could have ended), %d of them served by another, sent again within %v",
		r.Outcomes.Requests, r.Sent, r.Whole, r.Lost, r.Excused, r.Unread, r.Outcomes.Twice, r.Outcomes.Overlaps, r.Outcomes.RefusedRan, r.Outcomes.Order, r.Outcomes.Mixed, r.Retries.Refused, r.CouldEnd, r.Retries.Served, r.Retries.Slowest.Round(time.Millisecond))
}

// StopCases returns the cases.
func StopCases() []*Stops {
	ms := time.Millisecond
	grid := func(s *Stops) *Stops {
		s.From, s.To, s.Every = -200*ms, 3600*ms, 50*ms
		return s
	}
	return append(append(moreStopCases(grid), lateStopCases(grid)...), []*Stops{
		grid(&Stops{Name: "runs of 5 s", MinRun: 5000 * ms, MaxRun: 5000 * ms, Rounds: 2}),
		grid(&Stops{Name: "runs of 0.2 to 5.5 s", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 2}),
		grid(&Stops{Name: "runs of 3.5 to 4.5 s", MinRun: 3500 * ms, MaxRun: 4500 * ms, Rounds: 2}),
		grid(&Stops{Name: "short runs", MinRun: 20 * ms, MaxRun: 600 * ms, Rounds: 2}),
		grid(&Stops{Name: "runs grow while the node leaves", MinRun: 100 * ms, MaxRun: 400 * ms, EndFrom: 6800 * ms, EndTo: 7600 * ms, Rounds: 2, Unforeseen: true}),
		grid(&Stops{Name: "new connections", MinRun: 5000 * ms, MaxRun: 5000 * ms, Fresh: true, Rounds: 2}),
		{Name: "runs grow while the node leaves beside little processor time", MinRun: 100 * ms, MaxRun: 400 * ms, From: 2800 * ms, To: 3300 * ms, Every: 10 * ms, EndFrom: 7600 * ms, EndTo: 8200 * ms, Rounds: 2, Unforeseen: true, Beside: standstills},
		{Name: "requests as the listener closes", MinRun: 20 * ms, MaxRun: 60 * ms, From: 3400 * ms, To: 3600 * ms, Every: ms, Rounds: 3},
		{Name: "requests as the listener closes beside little processor time", MinRun: 20 * ms, MaxRun: 60 * ms, From: 3300 * ms, To: 3800 * ms, Every: 2 * ms, Rounds: 3, Beside: standstills},
		{Name: "runs that end at the exit", MinRun: 20 * ms, MaxRun: 600 * ms, From: -2000 * ms, To: 2900 * ms, Every: 50 * ms, EndFrom: 6400 * ms, EndTo: 7400 * ms, Rounds: 2, Unforeseen: true},
		{Name: "slow readers", MinRun: 20 * ms, MaxRun: 600 * ms, From: -500 * ms, To: 2900 * ms, Every: 50 * ms, EndFrom: 3000 * ms, EndTo: 5000 * ms, ReadDelay: 5 * ms, Extra: 1 << 20, Rounds: 2},
		grid(&Stops{Name: "two nodes at once", MinRun: 200 * ms, MaxRun: 5500 * ms, AtOnce: 2, Rounds: 2}),
		grid(&Stops{Name: "configurations meanwhile", MinRun: 200 * ms, MaxRun: 5500 * ms, Beside: configurations, Rounds: 2}),
		grid(&Stops{Name: "SIGHUP and SIGTERM meanwhile", MinRun: 200 * ms, MaxRun: 3000 * ms, Beside: hangups, Rounds: 2}),
		grid(&Stops{Name: "upstreams are replaced meanwhile", MinRun: 200 * ms, MaxRun: 3000 * ms, Beside: replacements, Rounds: 2}),
	}...)
}

// Run plays the case. It returns an error if it can't be played.
func (s *Stops) Run(ctx context.Context) (StopsResult, error) {
	s.sys = &standin.System{Nodes: stopNodes, Engines: stopEngines, Apps: stopApps, Program: s.Program, Dir: s.Dir, Subnet: 48}
	s.prepare()
	defer s.sys.Stop()
	if err := s.sys.Start(ctx); err != nil {
		return StopsResult{}, fmt.Errorf("start system: %w", err)
	}
	s.setTimeouts(stopDeadline)
	s.cutPaths()
	if s.playsAlone() {
		s.playAlone(ctx)
		return s.result(), ctx.Err()
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	loops, warmUp := s.loops()
	for i := range loops {
		load.Go(func() { s.sendLoop(loadCtx, i) })
	}
	sageclock.Sleep(ctx, warmUp)
	for round := range s.Rounds {
		nodes := s.stoppingNodes(round)
		if err := s.stopNodes(ctx, nodes); err != nil {
			return StopsResult{}, err
		}
	}
	stopLoad()
	load.Wait()
	return s.result(), nil
}

// setTimeouts sets the timeout of all routes.
func (s *Stops) setTimeouts(d time.Duration) {
	s.sys.ChangeConfig(func(routes []map[string]any, _ map[string]any) {
		for _, r := range routes {
			r["timeout_ms"] = d.Milliseconds()
		}
	})
}

// stopNodes sends SIGTERM to nodes, sends them requests until they end, and starts them again.
func (s *Stops) stopNodes(ctx context.Context, nodes []int) error {
	term := time.Now().Add(max(0, -s.From) + s.idle())
	besideCtx, stopBeside := context.WithCancel(ctx)
	defer stopBeside()
	var callers, beside sync.WaitGroup
	var stops sync.WaitGroup
	for n, node := range nodes {
		term := term.Add(time.Duration(n) * s.Gap)
		for i, at := 0, s.From; at <= s.To; i, at = i+1, at+s.Every {
			rng := rand.New(rand.NewPCG(s.Seed, uint64(node*10_000+i)))
			callers.Go(func() { s.sendOnce(ctx, node, i, term, at, rng) })
		}
		beside.Go(func() { s.makeEvents(besideCtx, node, n == 0, term) })
		stops.Go(func() { s.terminate(ctx, node, term) })
	}
	stops.Wait()
	stopBeside()
	beside.Wait()
	callers.Wait()
	for _, node := range nodes {
		if err := s.sys.StartNode(node); err != nil {
			return fmt.Errorf("start again: %w", err)
		}
		s.awaitStart(ctx, node)
	}
	return nil
}

// terminate sends SIGTERM to a node at a time, and SIGKILL if it takes too long, and waits until it has ended.
func (s *Stops) terminate(ctx context.Context, node int, term time.Time) {
	s.holdUp(ctx, node, term)
	sageclock.Sleep(ctx, time.Until(term))
	s.sys.Signal(node, syscall.SIGTERM)
	kill := time.AfterFunc(time.Until(term.Add(standin.StopTimeout)), func() { s.sys.Signal(node, syscall.SIGKILL) })
	<-s.sys.Exited(node)
	kill.Stop()
}

// makeEvents makes the events beside the stop of a node until ctx ends. Those that concern all nodes are made for the first one only.
func (s *Stops) makeEvents(ctx context.Context, node int, first bool, term time.Time) {
	sageclock.Sleep(ctx, time.Until(term))
	defer func() {
		if s.Beside == configurations && first {
			s.setTimeouts(stopDeadline)
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		switch {
		case s.Beside == standstills:
			s.sys.Signal(node, syscall.SIGSTOP)
			time.Sleep(sharePeriod - shareSlice)
			s.sys.Signal(node, syscall.SIGCONT)
			time.Sleep(shareSlice)
			continue
		case s.Beside == hangups:
			s.sys.Signal(node, [...]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[i%2])
		case s.Beside == configurations && first:
			s.setTimeouts(stopDeadline - time.Duration(i%5)*time.Second)
		case s.Beside == replacements && first && i%4 == 0:
			s.replaceUpstream(i / 4 % (stopEngines + stopApps))
		}
		sageclock.Sleep(ctx, stopEvent)
	}
}

// replaceUpstream starts another upstream in the place of one, which drains and ends later.
func (s *Stops) replaceUpstream(i int) {
	old, err := s.sys.ReplaceVersion(i, "", false)
	if err != nil {
		s.sys.Ledger.RecordViolation("replace upstream: %v", err)
		return
	}
	s.sys.Store.Delete("servers", old.ID)
	time.AfterFunc(standin.StopTimeout, old.Crash)
}

// randomRun returns how long a request runs.
func (s *Stops) randomRun(rng *rand.Rand) time.Duration {
	return s.MinRun + time.Duration(rng.Int64N(int64(s.MaxRun-s.MinRun)+1))
}

func (s *Stops) caller(node int) *standin.CheckedCaller {
	return &standin.CheckedCaller{
		Node: s.sys.EntryAddress(node), Key: func() string { return s.sys.Key(node) }, Ledger: &s.sys.Ledger, Outcomes: &s.outcomes, Timeout: stopDeadline, Grace: standin.StopTimeout,
	}
}

// sendLoop sends requests to the nodes, one after the other.
func (s *Stops) sendLoop(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(1_000_000+i)))
	kinds := [...]standin.Kind{standin.Chat, standin.Reply, standin.Booking, standin.Lookup}
	k := kinds[i%len(kinds)]
	if s.Known {
		k = kinds[i/stopNodes%len(kinds)]
	}
	c, node := s.caller(i%stopNodes), i%stopNodes
	defer func() { c.Close() }()
	for ctx.Err() == nil {
		c.Path = standin.RunPath(s.randomRun(rng), 0)
		outcome := c.Send(k, standin.NewRequestID(), nil)
		if outcome != "200" {
			c.Close()
			node = (node + 1) % stopNodes
			c = s.caller(node)
		}
		sageclock.Sleep(ctx, time.Duration(rng.Int64N(int64(stopLoopThink))))
	}
}

// sendOnce sends one request to a node at a time counted from SIGTERM, on a connection that was used before unless Fresh is set. If the
// node refuses it, the request goes to another one.
func (s *Stops) sendOnce(ctx context.Context, node, i int, term time.Time, at time.Duration, rng *rand.Rand) {
	kinds := [...]standin.Kind{standin.Chat, standin.Reply, standin.Booking}
	k, run := kinds[i%len(kinds)], s.randomRun(rng)
	if s.EndTo > 0 {
		run = s.EndFrom + time.Duration(rng.Int64N(int64(s.EndTo-s.EndFrom)+1)) - at
	}
	if s.Extra > 0 {
		k = standin.Booking
	}
	stopping := node
	node = s.entryOf(node)
	c := s.caller(node)
	defer c.Close()
	if !s.Fresh {
		sageclock.Sleep(ctx, time.Until(term.Add(s.From-time.Duration(rng.Int64N(int64(s.idle()))))))
		c.Path = standin.RunPath(time.Millisecond, 0)
		c.Send(standin.Lookup, standin.NewRequestID(), nil)
	}
	sageclock.Sleep(ctx, time.Until(term.Add(at)))
	c.Path, c.ReadDelay, c.Timeout = standin.RunPath(run, s.Extra), s.ReadDelay, cmp.Or(s.Deadline, stopDeadline)
	c.OnEnd = func(e standin.RequestEnd) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ends = append(s.ends, stopEnd{RequestEnd: e, node: node, sent: e.SentAt.Sub(term), end: e.EndAt.Sub(term), run: run})
	}
	if s.Pipelined > 0 {
		s.sendPipelined(c, k)
		return
	}
	if s.MaxBodyPause > 0 {
		c.BodyPause = time.Duration(1 + rng.Int64N(int64(s.MaxBodyPause)))
	}
	if s.SingleBytes > 0 {
		c.BodyPause, c.SingleBytes = s.MaxBodyPause, 1+rng.IntN(s.SingleBytes)
	}
	if c.Send(k, standin.NewRequestID(), nil) != "503" {
		return
	}
	other := s.caller(s.nextNode(stopping))
	defer other.Close()
	other.Path = c.Path
	again := time.Since(term.Add(at))
	outcome := other.Send(k, standin.NewRequestID(), nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.second.Refused++
	s.second.Slowest = max(s.second.Slowest, again)
	if outcome == "200" {
		s.second.Served++
	}
}

// result counts, and describes the requests that were cut.
func (s *Stops) result() StopsResult {
	s.outcomes.Settle(&s.sys.Ledger, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := StopsResult{Outcomes: &s.outcomes, Retries: s.second}
	for _, e := range s.ends {
		if e.sent >= 0 {
			out.Sent++
		}
		switch e.Outcome {
		case "200":
			out.Whole++
			continue
		case "503":
			if e.sent >= 0 && e.sent < closeAt && e.sent+e.run < cutAt {
				out.CouldEnd++
			}
			continue
		case "cut", "lost", "closed late", "no answer in time":
		case "closed":
			if !e.Reached {
				out.Unread++
				continue
			}
		default:
			continue
		}
		if s.Deadline > 0 && e.end-e.sent >= s.Deadline && e.run >= s.Deadline-deadlineMargin {
			continue // its upstream had until its deadline
		}
		out.Lost++
		if e.sent <= ruleSentBy && e.sent+e.run >= ruleWorkFrom {
			out.Excused++
		}
		if out.Lost <= maxStopDetail {
			out.Details = append(out.Details, fmt.Sprintf("LOST %s %s: %s after %d events, node-%d, sent %v and ended %v after SIGTERM, run of %v", e.Kind, e.ID, e.Outcome, e.Events, e.node,
				e.sent.Round(time.Millisecond), e.end.Round(time.Millisecond), e.run))
		}
	}
	for _, text := range s.outcomes.Details {
		if !strings.HasPrefix(text, "closed ") && !strings.HasPrefix(text, "LOST ") {
			out.Details = append(out.Details, text)
		}
	}
	return out
}
