package sagesoak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of the variants of planned work.
const (
	minRollGap     = time.Second // between two stops in series
	maxRollGap     = 2 * time.Second
	plannedWork    = 30 * time.Second // of configurations and SIGHUP without a stop
	fewSlots       = 6                // of applications at their capacity
	fewWait        = 4
	fullRun        = 100 * time.Millisecond
	shortKeepAlive = time.Second // of applications' idle connections
	freshIdle      = 50 * time.Millisecond
	pathCutTime    = 3 * time.Second // until nodes know that they reach no upstream
)

// stopVariant is how a case of [Stops] differs from stops in series of nodes that get the requests themselves.
type stopVariant struct {
	// CutOff is the number of nodes, from the first one, that reach no upstream and relay requests to peers.
	CutOff int
	// First is the first node that stops. With Repeated, the same nodes stop in all rounds, as soon as they have started.
	First    int
	Repeated bool
	// ToCutOff has the requests of a stop sent to nodes that are cut off.
	ToCutOff bool
	// MaxBodyPause bounds the pause within the bodies of requests; 0 means none.
	MaxBodyPause time.Duration
	// Pipelined is the number of requests that are sent at once on a connection; 0 means that each waits for the response.
	Pipelined int
	// Full has the callers ask for more than the applications can run.
	Full bool
	// Rolling has all nodes stop with short gaps, under callers that ask the directory. Unstopped has no node stop: the
	// configuration changes, and nodes get SIGHUP.
	Rolling, Unstopped bool
	lateVariant

	proxies map[string]*proxy // by the address that the upstream registers
	terms   map[string]time.Time
}

// moreStopCases returns the cases of the variants. grid sets the times of requests.
func moreStopCases(grid func(*Stops) *Stops) []*Stops {
	ms := time.Millisecond
	return []*Stops{
		grid(&Stops{Name: "hop first node stops", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 2, stopVariant: stopVariant{CutOff: 2}}),
		grid(&Stops{Name: "hop second node stops", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 2, stopVariant: stopVariant{CutOff: 4, First: 4, ToCutOff: true}}),
		grid(&Stops{Name: "hop second node stops, short runs", MinRun: 20 * ms, MaxRun: 600 * ms, Rounds: 2, stopVariant: stopVariant{CutOff: 4, First: 4, ToCutOff: true}}),
		{Name: "rolling stops", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 1, stopVariant: stopVariant{Rolling: true}},
		{Name: "rolling stops, short runs", MinRun: 20 * ms, MaxRun: 600 * ms, Rounds: 1, stopVariant: stopVariant{Rolling: true}},
		grid(&Stops{Name: "stops after a start", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 3, stopVariant: stopVariant{Repeated: true}}),
		{Name: "planned work without a stop", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 1, stopVariant: stopVariant{Unstopped: true}},
		grid(&Stops{Name: "full applications", MinRun: 200 * ms, MaxRun: 3000 * ms, Rounds: 2, stopVariant: stopVariant{Full: true}}),
		grid(&Stops{Name: "slow bodies", MinRun: 200 * ms, MaxRun: 4000 * ms, Rounds: 2, stopVariant: stopVariant{MaxBodyPause: 4500 * ms}}),
		grid(&Stops{Name: "slow bodies, short runs", MinRun: 20 * ms, MaxRun: 200 * ms, Rounds: 2, stopVariant: stopVariant{MaxBodyPause: 4500 * ms}}),
		grid(&Stops{Name: "pipelined requests", MinRun: 200 * ms, MaxRun: 3000 * ms, Rounds: 2, stopVariant: stopVariant{Pipelined: 3}}),
		grid(&Stops{Name: "pipelined requests, short runs", MinRun: 20 * ms, MaxRun: 200 * ms, Rounds: 2, stopVariant: stopVariant{Pipelined: 3}}),
	}
}

// prepare sets what the variant needs of the system before it starts.
func (s *Stops) prepare() {
	s.terms, s.sys.RouteTimeout = make(map[string]time.Time), stopDeadline
	if s.CutOff > 0 {
		s.proxies = make(map[string]*proxy)
		s.sys.Advertise = func(address string) (string, error) {
			p := &proxy{target: address}
			registered, err := p.listen()
			s.proxies[registered] = p
			return registered, err
		}
	}
	if s.Full || s.Unstopped {
		s.sys.AppCapacity = func(i int) *standin.Capacity {
			c := &standin.Capacity{Queue: fewWait, MeanRun: fullRun, KeepAlive: shortKeepAlive, Seed: s.Seed + uint64(i)}
			c.SetLoadReport(standin.LoadTrue, false)
			return c
		}
	}
	if s.Full {
		s.sys.AppSlots = fewSlots
	}
}

// cutPaths cuts nodes off from all upstreams for good.
func (s *Stops) cutPaths() {
	for n := range s.CutOff {
		for _, p := range s.proxies {
			p.setSourceMode(s.sys.NodeIP(n), linkReset)
		}
	}
	if s.CutOff > 0 {
		time.Sleep(pathCutTime)
	}
}

// stopping returns the i-th of the nodes that stop in a round at once.
func (s *Stops) stopping(round, i int) int {
	atOnce := max(1, s.AtOnce)
	switch {
	case s.Repeated:
		return s.First + i
	case s.CutOff > 0 && s.First == 0:
		return (round*atOnce + i) % s.CutOff
	}
	return s.First + (round*atOnce+i)%(stopNodes-s.First)
}

// entryOf returns the node that gets the requests of a stop.
func (s *Stops) entryOf(node int) int {
	if s.ToCutOff {
		return node % s.CutOff
	}
	return node
}

// idle returns the longest time between the first request of a kept connection and SIGTERM.
func (s *Stops) idle() time.Duration {
	if s.Repeated {
		return freshIdle
	}
	return stopIdle
}

// sendPipelined sends requests at once.
func (s *Stops) sendPipelined(c *standin.CheckedCaller, k standin.Kind) {
	var ids []string
	for range s.Pipelined {
		ids = append(ids, standin.NewRequestID())
	}
	c.SendPipelined(k, ids...)
}

// playsAlone reports whether the variant has callers and events of its own.
func (s *Stops) playsAlone() bool { return s.Rolling || s.Unstopped }

// playAlone plays a variant with callers of the directory.
func (s *Stops) playAlone(ctx context.Context) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	for i := range stopLoops {
		load.Go(func() { s.directoryLoop(loadCtx, i) })
	}
	sageclock.Sleep(ctx, stopWarmUp)
	for range s.Rounds {
		if s.Rolling {
			s.roll(ctx)
		} else {
			s.workOn(ctx)
		}
	}
	stopLoad()
	load.Wait()
}

// roll stops and starts all nodes with short gaps, so that several leave at once.
func (s *Stops) roll(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	var stops sync.WaitGroup
	for n := range stopNodes {
		stops.Go(func() { s.stopAndStart(ctx, n) })
		sageclock.Sleep(ctx, minRollGap+time.Duration(rng.Int64N(int64(maxRollGap-minRollGap))))
	}
	stops.Wait()
}

// stopAndStart stops a node and starts it when it has ended.
func (s *Stops) stopAndStart(ctx context.Context, node int) {
	s.mu.Lock()
	s.terms[s.sys.EntryAddress(node)] = time.Now()
	s.mu.Unlock()
	s.sys.Signal(node, syscall.SIGTERM)
	kill := time.AfterFunc(standin.StopTimeout, func() { s.sys.Signal(node, syscall.SIGKILL) })
	<-s.sys.Exited(node)
	kill.Stop()
	if err := s.sys.StartNode(node); err != nil {
		s.sys.Ledger.RecordViolation("start again: %v", err)
		return
	}
	for !s.sys.Ready(ctx, node) && ctx.Err() == nil {
		sageclock.Sleep(ctx, stopLoopThink)
	}
}

// directoryLoop sends requests one after the other, on a connection to a node that the directory names.
func (s *Stops) directoryLoop(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(1_000_000+i)))
	kinds := [...]standin.Kind{standin.Chat, standin.Reply, standin.Booking, standin.Lookup}
	directory := s.sys.Caller(i)
	defer directory.Close()
	var c *standin.CheckedCaller
	drop := func() {
		if c != nil {
			c.Close()
		}
		c = nil
	}
	defer drop()
	for ctx.Err() == nil {
		addresses := directory.Addresses(ctx)
		if c != nil && !slices.Contains(addresses, c.Node) {
			drop()
		}
		if c == nil && len(addresses) > 0 {
			c = s.caller(0)
			c.Node = addresses[rng.IntN(len(addresses))]
		}
		if c != nil {
			run := s.randomRun(rng)
			c.Path, c.OnEnd = standin.RunPath(run, 0), func(e standin.RequestEnd) { s.recordEnd(e, c.Node, run) }
			if c.Send(kinds[i%len(kinds)], standin.NewRequestID(), nil) != "200" {
				drop()
			}
		}
		sageclock.Sleep(ctx, time.Duration(rng.Int64N(int64(stopLoopThink))))
	}
}

// recordEnd records the end of a request to a node, counted from the node's last SIGTERM. Without one, it is counted from the
// request.
func (s *Stops) recordEnd(e standin.RequestEnd, node string, run time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	term, ok := s.terms[node]
	if !ok || term.After(e.EndAt) {
		term = e.SentAt
	}
	index := 0
	for i := range stopNodes {
		if s.sys.EntryAddress(i) == node {
			index = i
		}
	}
	s.ends = append(s.ends, stopEnd{RequestEnd: e, node: index, sent: e.SentAt.Sub(term), end: e.EndAt.Sub(term), run: run})
}

// workOn changes the configuration and sends SIGHUP for a time.
func (s *Stops) workOn(ctx context.Context) {
	for i, end := 0, time.Now().Add(plannedWork); time.Now().Before(end) && ctx.Err() == nil; i++ {
		s.planWork(i)
		sageclock.Sleep(ctx, stopEvent)
	}
	s.setTimeouts(stopDeadline)
}

// planWork makes the i-th change.
func (s *Stops) planWork(i int) {
	switch step := i / 6; i % 6 {
	case 0:
		s.sys.Signal(step%stopNodes, syscall.SIGHUP)
	case 1:
		s.setTimeouts(stopDeadline - time.Duration(step%5)*time.Second)
	case 2: // how soon another upstream is tried
		s.eachRoute(func(r map[string]any) { r["target_latency_ms"], r["gap_aim_ms"] = 200+100*(step%4), 500-100*(step%4) })
	case 3: // the limits of connections
		s.sys.ChangeConfig(func(_ []map[string]any, config map[string]any) {
			for _, x := range config["services"].([]any) {
				x.(map[string]any)["max_conns"] = 50 + 50*(step%4)
			}
		})
	case 4: // the limits of requests
		s.sys.ChangeConfig(func(_ []map[string]any, config map[string]any) {
			config["limits"] = map[string]any{"max_header_bytes": 8192 << (step % 2), "max_body_bytes": 1 << (16 + step%5)}
		})
	case 5: // the routes themselves
		s.eachRoute(func(r map[string]any) { r["name"], r["priority"] = r["name"].(string)+"x", step%3 })
	}
}

func (s *Stops) eachRoute(change func(route map[string]any)) {
	s.sys.ChangeConfig(func(routes []map[string]any, _ map[string]any) {
		for _, r := range routes {
			change(r)
		}
	})
}
