package sagesoak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of the disturbances of [Takeovers].
const (
	takeoverTermEvery   = 1500 * time.Millisecond
	takeoverKillEvery   = 1200 * time.Millisecond
	takeoverCutEvery    = 3 * time.Second
	takeoverCutFor      = 2500 * time.Millisecond
	takeoverCutNodes    = 3 // at once
	takeoverCrashEvery  = 900 * time.Millisecond
	takeoverChange      = 200 * time.Millisecond
	takeoverRoutes      = 40 // that changes add
	takeoverGrowEvery   = 900 * time.Millisecond
	takeoverFirstRoutes = 4
	takeoverGrowth      = 350 // routes that a large change adds
	takeoverHoldEvery   = 1200 * time.Millisecond
	maxTakeoverHold     = 900 * time.Millisecond
	largeShareSlice     = 40 * time.Millisecond
)

// disturb begins what happens beside the requests, until ctx ends.
func (t *Takeovers) disturb(ctx context.Context, all *sync.WaitGroup) {
	start := func(on bool, stream uint64, run func(rng *rand.Rand)) {
		if on {
			all.Go(func() { run(rand.New(rand.NewPCG(t.Seed, stream))) })
		}
	}
	const first = 1_000_000 // numbers of the callers are smaller
	start(t.Cuts, first, func(rng *rand.Rand) { t.cutNodes(ctx, rng) })
	start(t.Signal == signalTerm, first+1, func(*rand.Rand) { t.signalInTurn(ctx, syscall.SIGTERM, takeoverTermEvery, all) })
	start(t.Signal == signalKill, first+1, func(*rand.Rand) { t.signalInTurn(ctx, syscall.SIGKILL, takeoverKillEvery, all) })
	start(t.Crashes, first+2, func(rng *rand.Rand) { t.crashUpstreams(ctx, rng) })
	start(t.Changes, first+3, func(*rand.Rand) { t.change(ctx) })
	start(t.Grows, first+4, func(*rand.Rand) { t.grow(ctx) })
	start(t.OneWay, first+5, func(rng *rand.Rand) { t.holdOneWay(ctx, rng) })
	for i := range seriesLanes {
		start(t.Series, first+6, func(*rand.Rand) { t.runSeries(ctx, i) })
	}
	for i := range takeoverNodes {
		start(t.Signal == signalStop, uint64(first+10+i), func(rng *rand.Rand) { t.standStill(ctx, i, rng) })
		start(t.Signal == signalShare, uint64(first+10+i), func(*rand.Rand) { t.shareProcessor(ctx, i, 2*shareSlice) })
		start(t.Signal == signalShareMore, uint64(first+10+i), func(*rand.Rand) { t.shareProcessor(ctx, i, largeShareSlice) })
	}
}

// signalInTurn ends one node after the other and starts it again.
func (t *Takeovers) signalInTurn(ctx context.Context, sig syscall.Signal, every time.Duration, all *sync.WaitGroup) {
	for i := 0; sageclock.Sleep(ctx, every) && ctx.Err() == nil; i++ {
		all.Go(func() {
			node := i % takeoverNodes
			t.ending[node].Lock()
			defer t.ending[node].Unlock()
			t.restart(ctx, node, sig)
		})
	}
}

// restart ends a node and starts it again. A node that stops is out of touch for contactTime after SIGTERM and from its exit on.
func (t *Takeovers) restart(ctx context.Context, node int, sig syscall.Signal) {
	t.sendSignal(node, sig)()
	kill := time.AfterFunc(standin.StopTimeout, func() { t.sys.Signal(node, syscall.SIGKILL) })
	<-t.sys.Exited(node)
	kill.Stop()
	back := t.setAway(node)
	if err := t.sys.StartNode(node); err != nil {
		t.sys.Ledger.RecordViolation("start node: %v", err)
	}
	for !t.sys.Ready(ctx, node) && ctx.Err() == nil {
		sageclock.Sleep(ctx, stopLoopThink)
	}
	back()
}

// standStill has a node stand still at times.
func (t *Takeovers) standStill(ctx context.Context, node int, rng *rand.Rand) {
	for sageclock.Sleep(ctx, maxStop+time.Duration(rng.Int64N(int64(4*maxStopGap)))) && ctx.Err() == nil {
		back := t.sendSignal(node, syscall.SIGSTOP)
		time.Sleep(minStop + time.Duration(rng.Int64N(int64(longStop))))
		t.sys.Signal(node, syscall.SIGCONT)
		back()
	}
}

// shareProcessor lets a node run for a slice of each sharePeriod. It stays in touch.
func (t *Takeovers) shareProcessor(ctx context.Context, node int, slice time.Duration) {
	for ctx.Err() == nil {
		t.sys.Signal(node, syscall.SIGSTOP)
		time.Sleep(sharePeriod - slice)
		t.sys.Signal(node, syscall.SIGCONT)
		time.Sleep(slice)
	}
}

// cutNodes cuts some nodes from all upstreams, again and again.
func (t *Takeovers) cutNodes(ctx context.Context, rng *rand.Rand) {
	modes := [...]linkMode{linkHeld, linkReset, linkHeldBack, linkRefuseNew}
	for i := 0; ctx.Err() == nil; i++ {
		nodes, mode := rng.Perm(takeoverNodes)[:takeoverCutNodes], modes[i%len(modes)]
		var back []func()
		for _, n := range nodes {
			back = append(back, t.setAway(n))
			t.setLink(n, mode)
		}
		sageclock.Sleep(ctx, takeoverCutFor)
		for k, n := range nodes {
			t.setLink(n, linkOpen)
			back[k]()
		}
		sageclock.Sleep(ctx, takeoverCutEvery-takeoverCutFor)
	}
}

func (t *Takeovers) setLink(node int, mode linkMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.proxies {
		x.setSourceMode(t.sys.NodeIP(node), mode)
	}
}

// crashUpstreams has upstreams crash, and others start in their place.
func (t *Takeovers) crashUpstreams(ctx context.Context, rng *rand.Rand) {
	for sageclock.Sleep(ctx, takeoverCrashEvery) && ctx.Err() == nil {
		t.crashUpstream(rng.IntN(takeoverEngines))
	}
}

func (t *Takeovers) crashUpstream(i int) {
	old := t.sys.Runner(i)
	t.mu.Lock()
	x := t.proxies[old.Address()]
	t.mu.Unlock()
	if x != nil {
		x.shutDown() // else something would still listen at the address
	}
	old.Crash()
	if err := t.sys.Replace(i); err != nil {
		t.sys.Ledger.RecordViolation("replace upstream: %v", err)
		return
	}
	t.inject(i)
}

// change changes the timeouts and adds routes, in quick succession.
func (t *Takeovers) change(ctx context.Context) {
	for i := 1; sageclock.Sleep(ctx, takeoverChange) && ctx.Err() == nil; i++ {
		t.changeRoutes(takeoverDeadline-time.Duration(i%4)*time.Second, min(i, takeoverRoutes))
	}
}

// changeRoutes sets the timeout of all routes, and adds the route with a number; 0 adds none.
func (t *Takeovers) changeRoutes(timeout time.Duration, added int) {
	t.sys.ChangeConfig(func(routes []map[string]any, config map[string]any) {
		for _, r := range routes {
			r["timeout_ms"] = timeout.Milliseconds()
		}
		if added == 0 || len(routes) >= takeoverRoutes {
			return
		}
		config["routes"] = append(config["routes"].([]any), addedRoute(routes, added))
	})
}

// addedRoute returns a route like one of the first ones, at a path of its own.
func addedRoute(routes []map[string]any, number int) map[string]any {
	route := maps.Clone(routes[number%takeoverFirstRoutes])
	route["name"], route["path_prefix"] = fmt.Sprint("added-", number), fmt.Sprintf("/added-%d/", number)
	return route
}

// grow adds many routes at once and takes them away again, by turns.
func (t *Takeovers) grow(ctx context.Context) {
	for grown := true; sageclock.Sleep(ctx, takeoverGrowEvery) && ctx.Err() == nil; grown = !grown {
		t.setGrown(grown)
	}
}

func (t *Takeovers) setGrown(grown bool) {
	t.sys.ChangeConfig(func(routes []map[string]any, config map[string]any) {
		all := slices.Clone(config["routes"].([]any)[:takeoverFirstRoutes])
		for i := 1; grown && i <= takeoverGrowth; i++ {
			all = append(all, addedRoute(routes, i))
		}
		config["routes"] = all
	})
}

// holdOneWay holds up what some nodes get from upstreams, or send to them, again and again. A node whose closes don't arrive is out
// of touch; one that only gets no answers isn't.
func (t *Takeovers) holdOneWay(ctx context.Context, rng *rand.Rand) {
	for i := 0; sageclock.Sleep(ctx, takeoverHoldEvery-maxTakeoverHold) && ctx.Err() == nil; i++ {
		mode := linkHeldBack
		if i%2 > 0 {
			mode = linkHeldOut
		}
		t.holdNodes(ctx, rng.Perm(takeoverNodes)[:takeoverCutNodes], mode, maxTakeoverHold)
	}
}

// holdNodes disturbs the links of some nodes for a time.
func (t *Takeovers) holdNodes(ctx context.Context, nodes []int, mode linkMode, d time.Duration) {
	var back []func()
	for _, n := range nodes {
		if mode != linkHeldBack {
			back = append(back, t.setAway(n))
		}
		t.setLink(n, mode)
	}
	sageclock.Sleep(ctx, d)
	for _, n := range nodes {
		t.setLink(n, linkOpen)
	}
	for _, f := range back {
		f()
	}
}
