package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of a series.
const (
	seriesLanes      = 5 // kinds of trouble at once
	seriesUpstreams  = 6 // that a kind of trouble befalls
	minSeriesTime    = 300 * time.Millisecond
	maxSeriesTime    = 2500 * time.Millisecond
	maxSeriesGap     = 500 * time.Millisecond
	maxSeriesRestart = 2 * standin.StopTimeout
	seriesEngineConn = 8  // connections that the configuration allows for a time
	seriesAppConn    = 6  // the same for applications
	seriesAppLimit   = 40 // connections beyond which an application resets new ones
	longBodyShare    = 0.1
	maxLongBody      = 256 << 10
	givenUpShare     = 0.15
	maxGivenUp       = 400 * time.Millisecond
)

// seriesKinds are the kinds of requests that callers send in a series beside the usual ones.
var seriesKinds = []standin.Kind{standin.Booking, standin.Booking, standin.Booking, standin.Booking, standin.Booking, standin.Reply, standin.Lookup}

// upstreamTrouble is what upstreams do while a kind of trouble lasts.
type upstreamTrouble struct {
	upstreams []int
	set       func(f *standin.RunnerFaults, x *standin.ExtraBytes)
}

// seriesState is the state of a series.
type seriesState struct {
	mu       sync.Mutex
	next     int // number of the next kind of trouble
	order    []int
	troubles []*upstreamTrouble
	events   []string

	connsMu sync.Mutex // held while the limits on connections are low
}

// apply changes what an upstream does, by the troubles that last.
func (s *seriesState) apply(i int, f *standin.RunnerFaults, x *standin.ExtraBytes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.troubles {
		if slices.Contains(u.upstreams, i) {
			u.set(f, x)
		}
	}
}

func (s *seriesState) note(name, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("series %s: %s %s", time.Now().Format("15:04:05.000"), name, detail))
}

// take returns the index of the next kind of trouble of n, and its number. Each kind comes once before any comes again.
func (s *seriesState) take(seed uint64, n int) (kind, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next%n == 0 {
		s.order = rand.New(rand.NewPCG(seed, uint64(s.next))).Perm(n)
	}
	kind, number = s.order[s.next%n], s.next
	s.next++
	return kind, number
}

// appConns returns the limit on connections of applications.
func (t *Takeovers) appConns() int {
	if t.Series {
		return seriesAppLimit
	}
	return 0
}

// seriesTrouble is a kind of trouble. run returns when it is over, and what it befell.
type seriesTrouble struct {
	name string
	run  func(ctx context.Context, rng *rand.Rand, d time.Duration) string
}

// seriesTroubles returns all kinds of trouble.
func (t *Takeovers) seriesTroubles() []seriesTrouble {
	store := func(m standin.Mode) func(context.Context, *rand.Rand, time.Duration) string {
		return func(ctx context.Context, rng *rand.Rand, d time.Duration) string { return t.cutStore(ctx, rng, d, m) }
	}
	path := func(m linkMode) func(context.Context, *rand.Rand, time.Duration) string {
		return func(ctx context.Context, rng *rand.Rand, d time.Duration) string {
			nodes := rng.Perm(takeoverNodes)[:1+rng.IntN(takeoverCutNodes)]
			t.holdNodes(ctx, nodes, m, d)
			return fmt.Sprint("nodes ", nodes)
		}
	}
	upstreams := func(set func(f *standin.RunnerFaults, x *standin.ExtraBytes)) func(context.Context, *rand.Rand, time.Duration) string {
		return func(ctx context.Context, rng *rand.Rand, d time.Duration) string {
			return t.troubleUpstreams(ctx, rng, d, set)
		}
	}
	node := func(run func(ctx context.Context, node int)) func(context.Context, *rand.Rand, time.Duration) string {
		return func(ctx context.Context, rng *rand.Rand, d time.Duration) string {
			return t.troubleNode(ctx, rng, d, run)
		}
	}
	return []seriesTrouble{
		{"SIGTERM", node(func(ctx context.Context, i int) { t.restartFully(ctx, i, syscall.SIGTERM) })},
		{"kill", node(func(ctx context.Context, i int) { t.restartFully(ctx, i, syscall.SIGKILL) })},
		{"stand still", node(func(ctx context.Context, i int) {
			back := t.sendSignal(i, syscall.SIGSTOP)
			<-ctx.Done()
			t.sys.Signal(i, syscall.SIGCONT)
			back()
		})},
		{"eighth of a processor", node(func(ctx context.Context, i int) { t.shareProcessor(ctx, i, shareSlice) })},
		{"0.4 of a processor", node(func(ctx context.Context, i int) { t.shareProcessor(ctx, i, largeShareSlice) })},
		{"store refuses", store(standin.ModeBusy)},
		{"store silent", store(standin.ModeStalled)},
		{"store resets", store(standin.ModeReset)},
		{"path held up", path(linkHeld)},
		{"path reset", path(linkReset)},
		{"path held up to upstreams", path(linkHeldOut)},
		{"path held up from upstreams", path(linkHeldBack)},
		{"answers reset", upstreams(func(f *standin.RunnerFaults, _ *standin.ExtraBytes) {
			f.Lost, f.Cut, f.Torn, f.Dropped, f.Declined, f.Unframed = 0.1, 0.15, 0.1, 0.05, 0.05, 0.3
		})},
		{"late second answers", upstreams(func(_ *standin.RunnerFaults, x *standin.ExtraBytes) { x.Repeated, x.Cut = 0.2, 0.05 })},
		{"answers without ID", upstreams(func(f *standin.RunnerFaults, x *standin.ExtraBytes) {
			f.Declined, x.Repeated, x.NoID, x.Unasked, x.Early, x.Attached = 0.1, 0.1, 0.5, 0.05, 0.1, 0.05
		})},
		{"slow upstreams", upstreams(func(f *standin.RunnerFaults, _ *standin.ExtraBytes) { f.SlowTimes = takeoverSlowTimes })},
		{"hanging upstreams", upstreams(func(f *standin.RunnerFaults, _ *standin.ExtraBytes) { f.Hang = 0.15 })},
		{"upstream crashes", func(_ context.Context, rng *rand.Rand, _ time.Duration) string {
			i := rng.IntN(takeoverEngines)
			t.crashUpstream(i)
			return fmt.Sprint("upstream ", i)
		}},
		{"configuration grows", func(ctx context.Context, _ *rand.Rand, d time.Duration) string {
			t.setGrown(true)
			sageclock.Sleep(ctx, d)
			t.setGrown(false)
			return ""
		}},
		{"connection limit", func(ctx context.Context, _ *rand.Rand, d time.Duration) string {
			t.limitConns(ctx, d)
			return ""
		}},
	}
}

// runSeries has one kind of trouble follow the other in a lane.
func (t *Takeovers) runSeries(ctx context.Context, lane int) {
	all := t.seriesTroubles()
	for ctx.Err() == nil {
		kind, number := t.series.take(t.Seed, len(all))
		rng := rand.New(rand.NewPCG(t.Seed, uint64(1<<32+number)))
		d := minSeriesTime + time.Duration(rng.Int64N(int64(maxSeriesTime-minSeriesTime)))
		name := fmt.Sprintf("lane %d, %d, %s", lane, number, all[kind].name)
		t.series.note(name, "begins")
		what := all[kind].run(ctx, rng, d)
		t.series.note(name, "ends, "+what)
		sageclock.Sleep(ctx, time.Duration(rng.Int64N(int64(maxSeriesGap))))
	}
}

// troubleNode disturbs the process of a node whose process isn't disturbed, for a time at most.
func (t *Takeovers) troubleNode(ctx context.Context, rng *rand.Rand, d time.Duration, run func(ctx context.Context, node int)) string {
	for _, i := range rng.Perm(takeoverNodes) {
		if !t.ending[i].TryLock() {
			continue
		}
		defer t.ending[i].Unlock()
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		run(ctx, i)
		return fmt.Sprint("node ", i)
	}
	return "no node"
}

// restartFully ends a node and starts it again, also when ctx ends before it is ready.
func (t *Takeovers) restartFully(ctx context.Context, node int, sig syscall.Signal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxSeriesRestart)
	defer cancel()
	t.restart(ctx, node, sig)
}

// troubleUpstreams has some upstreams do what set says for a time.
func (t *Takeovers) troubleUpstreams(ctx context.Context, rng *rand.Rand, d time.Duration, set func(f *standin.RunnerFaults, x *standin.ExtraBytes)) string {
	u := &upstreamTrouble{upstreams: rng.Perm(takeoverEngines)[:seriesUpstreams], set: set}
	u.upstreams = append(u.upstreams, takeoverEngines+rng.IntN(takeoverApps))
	t.series.mu.Lock()
	t.series.troubles = append(t.series.troubles, u)
	t.series.mu.Unlock()
	t.injectAll(u.upstreams)
	sageclock.Sleep(ctx, d)
	t.series.mu.Lock()
	t.series.troubles = slices.DeleteFunc(t.series.troubles, func(x *upstreamTrouble) bool { return x == u })
	t.series.mu.Unlock()
	t.injectAll(u.upstreams)
	return fmt.Sprint("upstreams ", u.upstreams)
}

func (t *Takeovers) injectAll(upstreams []int) {
	for _, i := range upstreams {
		t.inject(i)
	}
}

// cutStore cuts some nodes from the store for a time. They stay in touch.
func (t *Takeovers) cutStore(ctx context.Context, rng *rand.Rand, d time.Duration, m standin.Mode) string {
	nodes := rng.Perm(takeoverNodes)[:1+rng.IntN(takeoverCutNodes)]
	for _, i := range nodes {
		t.sys.Store.SetMode(t.sys.StoreEndpoint(i), m)
	}
	sageclock.Sleep(ctx, d)
	for _, i := range nodes {
		t.sys.Store.SetMode(t.sys.StoreEndpoint(i), standin.ModeServing)
	}
	return fmt.Sprint("nodes ", nodes)
}

// limitConns lowers the numbers of connections that the configuration allows for a time.
func (t *Takeovers) limitConns(ctx context.Context, d time.Duration) {
	t.series.connsMu.Lock()
	defer t.series.connsMu.Unlock()
	var before []any
	limits := []any{seriesEngineConn, seriesAppConn}
	set := func(to []any) {
		t.sys.ChangeConfig(func(_ []map[string]any, config map[string]any) {
			before = nil
			for i, s := range config["services"].([]any) {
				service := s.(map[string]any)
				before = append(before, service["max_conns"])
				service["max_conns"] = to[i]
			}
		})
	}
	set(limits)
	usual := before
	sageclock.Sleep(ctx, d)
	set(usual)
}
