package sagesoak

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of crowds.
const (
	crowdDataCentres = 4
	crowdMemoryMB    = 136
	crowdEngines     = 4
	crowdApps        = 2
	crowdSlots       = 10
	crowdQueue       = 3
	crowdRun         = 100 * time.Millisecond
	crowdSpread      = 0.5
	crowdDeclined    = 0.03
	crowdMaxThink    = 40 * time.Millisecond
	crowdDeadline    = 3 * time.Second
	crowdGrace       = 2 * time.Second
	crowdWarmUp      = time.Second
	crowdSettle      = time.Second
	crowdMaxConns    = 24 // as the configuration states it
	crowdFewConns    = 3  // fewer than there are nodes, so that some are reset

	minShortDeadline = 40 * time.Millisecond
	maxShortDeadline = 400 * time.Millisecond

	shareSlice     = 13 * time.Millisecond
	sharePeriod    = 100 * time.Millisecond
	maxSharePhase  = 3 * time.Second
	maxStopGap     = 2 * time.Second
	minStop        = 100 * time.Millisecond
	maxStop        = 900 * time.Millisecond
	longStop       = 2500 * time.Millisecond
	sameIDShare    = 0.25
	maxCrowdDetail = 8 // of each promise
)

// MaxCrowdNodes is the largest number of nodes of a [Crowd].
const MaxCrowdNodes = 64

// Crowd has many nodes send requests that may run once only to upstreams at their capacity, beside one other fault. Exported fields
// are set before Run.
type Crowd struct {
	Name         string
	Program, Dir string
	Seed         uint64
	// Callers send one request after the other for a time.
	Nodes, Callers int
	Duration       time.Duration
	// Faults and Extra are what the upstreams do, Inside is the share of writes of a response before which a copy of an earlier
	// response is sent, InsideBare before which a rejection of no request is.
	Faults             standin.RunnerFaults
	Extra              standin.ExtraBytes
	Inside, InsideBare float64
	// Unstated and IdleTimeout are those of the upstreams, see [standin.PausableOptions].
	Unstated    float64
	IdleTimeout time.Duration
	// MaxConns is the number of connections beyond which an upstream resets new ones; 0 means no limit.
	MaxConns int
	// Shares has nodes get an eighth of a processor at times, Stops has them stand still for tenths of a second.
	Shares, Stops bool
	// MaxStop is the longest time for which a node stands still; 0 means 0.9 s.
	MaxStop time.Duration
	// ShortDeadlines has callers state deadlines that often end before the response.
	ShortDeadlines bool
	// Pairs has callers use two nodes at once, for some requests with the same ID.
	Pairs bool

	sys      *standin.PausableSystem
	outcomes standin.Outcomes
	mu       sync.Mutex
	sends    map[string]int
}

// CrowdResult is what became of the requests of a [Crowd].
type CrowdResult struct {
	Outcomes *standin.Outcomes
	// Declined is the number of rejections for lack of capacity, Resets of connections that were reset beyond the limit, Unasked of
	// rejections that belong to no request, Copies of responses that were sent a second time.
	Declined, Resets, Unasked, Copies int64
	Details                           []string
}

// Failed reports whether a promise was broken.
func (r *CrowdResult) Failed() bool { return r.Outcomes.Failures() > 0 }

// String returns the counts.
func (r *CrowdResult) String() string {
	p := PausesResult{Outcomes: r.Outcomes}
	return fmt.Sprintf("%v; closed after the deadline %d, full %d, connections reset %d, rejections of no request %d, copies %d", &p, r.Outcomes.ClosedLate, r.Declined, r.Resets, r.Unasked, r.Copies)
}

// Crowds returns the cases.
func Crowds() []*Crowd {
	all := &Crowd{
		Name: "all bytes of no request", Faults: standin.RunnerFaults{Unframed: 0.3}, Inside: 0.02, Unstated: 0.02,
		Extra: standin.ExtraBytes{Repeated: 0.1, Cut: 0.05, NoID: 0.2, Unasked: 0.02},
	}
	return []*Crowd{
		{Name: "no fault"},
		{Name: "processor shares", Shares: true},
		{Name: "nodes stand still", Stops: true},
		{Name: "connections reset", MaxConns: crowdFewConns, Faults: standin.RunnerFaults{Lost: 0.03}},
		{Name: "idle connections closed", IdleTimeout: 25 * time.Millisecond, Faults: standin.RunnerFaults{Lost: 0.03}},
		{Name: "reset before execution", Faults: standin.RunnerFaults{Dropped: 0.05}},
		{Name: "reset after execution", Faults: standin.RunnerFaults{Lost: 0.05}},
		{Name: "rejections of no request", Extra: standin.ExtraBytes{Unasked: 0.05}},
		{Name: "early rejections of no request", Extra: standin.ExtraBytes{Early: 0.05}},
		{Name: "attached rejections of no request", Extra: standin.ExtraBytes{Attached: 0.05}},
		{Name: "early and attached beside stops", Stops: true, ShortDeadlines: true, Extra: standin.ExtraBytes{Early: 0.03, Attached: 0.03}},
		{Name: "early and attached beside hangs", Faults: standin.RunnerFaults{Hang: 0.01, Lost: 0.02, Dropped: 0.02}, Extra: standin.ExtraBytes{Early: 0.05, Attached: 0.05}},
		{Name: "rejections without ID", Extra: standin.ExtraBytes{NoID: 0.5, Early: 0.05}},
		{Name: "late copies", Extra: standin.ExtraBytes{Repeated: 0.3}},
		{Name: "late copies without ID", Extra: standin.ExtraBytes{Repeated: 0.3, NoID: 0.5}},
		{Name: "copies inside streams", Faults: standin.RunnerFaults{Unframed: 0.5}, Inside: 0.05},
		{Name: "rejections of no request inside streams", Faults: standin.RunnerFaults{Unframed: 0.5}, InsideBare: 0.02},
		{Name: "cut copies", Extra: standin.ExtraBytes{Cut: 0.3}},
		{Name: "refusals without statement", Unstated: 0.05},
		all,
		{Name: "nodes stand still past deadlines", ShortDeadlines: true, Stops: true, MaxStop: longStop},
		{Name: "short deadlines", ShortDeadlines: true, Stops: true},
		{Name: "short deadlines beside shares", ShortDeadlines: true, Shares: true},
		{Name: "two nodes at once", Pairs: true},
		{Name: "two nodes at once beside stops", Pairs: true, Stops: true, Faults: standin.RunnerFaults{Lost: 0.03}},
		{Name: "stops beside resets", Stops: true, MaxConns: crowdMaxConns, Faults: standin.RunnerFaults{Dropped: 0.03, Lost: 0.03}},
		{Name: "stops beside rejections of no request", Stops: true, ShortDeadlines: true, Extra: standin.ExtraBytes{Unasked: 0.03}},
	}
}

// Run plays the case. It returns an error if it can't be played.
func (c *Crowd) Run(ctx context.Context) (CrowdResult, error) {
	c.sends = make(map[string]int)
	var capacities []*standin.Capacity
	c.sys = &standin.PausableSystem{
		System: standin.System{Nodes: c.Nodes, Program: c.Program, Dir: c.Dir, Subnet: 34, DataCentres: crowdDataCentres, MemoryMB: crowdMemoryMB},
		Options: standin.PausableOptions{
			Slots: crowdSlots, Unstated: c.Unstated, IdleTimeout: c.IdleTimeout,
			Capacity: func(i int) *standin.Capacity {
				x := &standin.Capacity{Queue: crowdQueue, MeanRun: crowdRun, RunSpread: crowdSpread, MaxConns: c.MaxConns, Seed: c.Seed + uint64(i)}
				capacities = append(capacities, x)
				return x
			},
		},
	}
	for i := range crowdEngines + crowdApps {
		service := "engine"
		if i >= crowdEngines {
			service = "app"
		}
		c.sys.Options.Services = append(c.sys.Options.Services, service)
	}
	defer c.sys.Stop()
	if err := c.sys.Start(ctx); err != nil {
		return CrowdResult{}, fmt.Errorf("start system: %w", err)
	}
	if err := c.sys.StartRunners(); err != nil {
		return CrowdResult{}, fmt.Errorf("start upstreams: %w", err)
	}
	c.configure()
	faults := c.Faults
	faults.Declined = crowdDeclined
	for i, r := range c.sys.Runners {
		r.InjectFaults(faults)
		r.InjectExtra(c.Extra)
		c.sys.Gates[i].InsertCopies(c.Inside)
		c.sys.Gates[i].InsertRejections(c.InsideBare)
	}
	sageclock.Sleep(ctx, crowdWarmUp)
	loadCtx, stop := context.WithTimeout(ctx, c.Duration)
	defer stop()
	var all sync.WaitGroup
	for i := range c.Callers {
		all.Go(func() { c.sendLoop(loadCtx, i) })
	}
	for i := range c.Nodes {
		rng := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		switch {
		case c.Shares:
			all.Go(func() { c.shareProcessor(loadCtx, i, rng) })
		case c.Stops:
			all.Go(func() { c.stopAtTimes(loadCtx, i, rng) })
		}
	}
	all.Wait()
	sageclock.Sleep(ctx, crowdSettle)
	out := c.result()
	for _, x := range capacities {
		out.Declined += x.Declined()
		out.Resets += x.ResetConns()
	}
	return out, nil
}

// configure adds the routes of the streams with few and with many events, and states the limit on connections.
func (c *Crowd) configure() {
	c.sys.ChangeConfig(func(routes []map[string]any, config map[string]any) {
		all := config["routes"].([]any)
		for _, r := range routes {
			if r["name"] != "r-"+string(standin.Reply) {
				continue
			}
			for _, k := range []standin.Kind{standin.Brief, standin.Digest} {
				added := make(map[string]any)
				for name, v := range r {
					added[name] = v
				}
				added["name"], added["path_prefix"] = "r-"+string(k), "/"+string(k)+"/"
				all = append(all, added)
			}
		}
		config["routes"] = all
		if c.MaxConns > 0 {
			for _, s := range config["services"].([]any) {
				s.(map[string]any)["max_conns"] = c.MaxConns
			}
		}
	})
}

// shareProcessor gives a node a small share of a processor at times.
func (c *Crowd) shareProcessor(ctx context.Context, node int, rng *rand.Rand) {
	for sageclock.Sleep(ctx, time.Duration(rng.Int64N(int64(maxSharePhase)))) && ctx.Err() == nil {
		until := time.Now().Add(time.Duration(rng.Int64N(int64(maxSharePhase))))
		for time.Now().Before(until) && ctx.Err() == nil {
			c.sys.Signal(node, syscall.SIGSTOP)
			time.Sleep(sharePeriod - shareSlice)
			c.sys.Signal(node, syscall.SIGCONT)
			time.Sleep(shareSlice)
		}
	}
}

// stopAtTimes has a node stand still at times.
func (c *Crowd) stopAtTimes(ctx context.Context, node int, rng *rand.Rand) {
	for sageclock.Sleep(ctx, time.Duration(rng.Int64N(int64(maxStopGap)))) && ctx.Err() == nil {
		c.sys.Signal(node, syscall.SIGSTOP)
		time.Sleep(minStop + time.Duration(rng.Int64N(int64(cmp.Or(c.MaxStop, maxStop)-minStop))))
		c.sys.Signal(node, syscall.SIGCONT)
	}
}

func (c *Crowd) caller(i int) *standin.CheckedCaller {
	return &standin.CheckedCaller{
		Node: c.sys.EntryAddress(i % c.Nodes), Key: func() string { return c.sys.Key(i) }, Ledger: &c.sys.Ledger, Outcomes: &c.outcomes,
		Timeout: crowdDeadline, Grace: crowdGrace + c.MaxStop,
	}
}

// sendLoop sends the requests of one caller, one after the other, or two at once.
func (c *Crowd) sendLoop(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(c.Nodes+i)))
	first, second := c.caller(i), c.caller(i+1)
	defer first.Close()
	defer second.Close()
	// Requests that may run once only reuse connections where repeatable ones of their service have, so there are some of both.
	kinds := [...]standin.Kind{
		standin.Brief, standin.Digest, standin.Brief, standin.Digest, standin.Reply, standin.Chat, standin.Booking, standin.Booking, standin.Lookup,
	}
	for ctx.Err() == nil {
		id, k := standin.NewRequestID(), kinds[rng.IntN(len(kinds))]
		if c.ShortDeadlines {
			first.Timeout = minShortDeadline + time.Duration(rng.Int64N(int64(maxShortDeadline-minShortDeadline)))
		}
		if c.Pairs {
			otherID, other := standin.NewRequestID(), kinds[rng.IntN(len(kinds))]
			if rng.Float64() < sameIDShare {
				otherID, other = id, k
				c.mu.Lock()
				c.sends[id] = 2
				c.mu.Unlock()
			}
			var sends sync.WaitGroup
			sends.Go(func() { first.Send(k, id, nil) })
			sends.Go(func() { second.Send(other, otherID, nil) })
			sends.Wait()
		} else {
			first.Send(k, id, nil)
		}
		sageclock.Sleep(ctx, time.Duration(rng.Int64N(int64(crowdMaxThink))))
	}
}

// result counts, and names some of the requests of each broken promise and where they arrived.
func (c *Crowd) result() CrowdResult {
	c.outcomes.Settle(&c.sys.Ledger, c.sends)
	out := CrowdResult{Outcomes: &c.outcomes}
	for _, r := range c.sys.Runners {
		out.Unasked += r.Unasked()
		out.Copies += r.Repeated()
	}
	named, kinds := make(map[string]int), make(map[string]int)
	for _, text := range c.outcomes.Details {
		words := strings.Fields(text)
		if len(words) > 1 {
			kinds[words[0]+" "+words[1]]++
		}
		if named[words[0]]++; named[words[0]] > maxCrowdDetail {
			continue
		}
		if len(words) > 2 {
			text += "; " + strings.Join(c.sys.Arrivals(strings.TrimSuffix(words[2], ":")), ", ")
		}
		out.Details = append(out.Details, text)
	}
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		out.Details = append(out.Details, fmt.Sprintf("%s: %d", k, kinds[k]))
	}
	return out
}
