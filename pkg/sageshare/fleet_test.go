package sageshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simStep is the time step of the simulation, in ms. Requests arrive at multiples of it.
const simStep = 50

// simFleet is a fleet of limiters before one service, in virtual time.
type simFleet struct {
	rnd          *rand.Rand
	ratio, slack float64
	window       int // ms
	nodes        []*simNode
	// requests and retries count what callers sent and what arrived at the service, by step.
	requests, retries []int
}

// simNode is one node; limiter is replaced when it restarts.
type simNode struct {
	limiter *RetryLimiter
	// down and frozen are the times until which it doesn't run.
	down, frozen int
	// counted is the number of nodes that it divides by, 0 for none, and counts again at recount.
	counted, recount int
}

func newSimFleet(seed uint64, nodes int, slack float64) *simFleet {
	f := &simFleet{rnd: rand.New(rand.NewPCG(seed, uint64(nodes))), ratio: 0.2, slack: slack, window: 10_000}
	for range nodes {
		n := new(simNode)
		f.nodes = append(f.nodes, n)
		f.start(n, 0)
	}
	return f
}

// start starts a node. It knows some of the others from the store after a while, or never.
func (f *simFleet) start(n *simNode, ms int) {
	n.limiter = &RetryLimiter{Start: at(ms), Ratio: f.ratio, Slack: f.slack, Window: time.Duration(f.window) * time.Millisecond, Rand: f.rnd.Float64}
	n.counted, n.recount = 0, ms+f.rnd.IntN(2000)
	if f.rnd.IntN(10) == 0 {
		n.recount = 1 << 30 // the store never answers it
	}
}

// disturb kills, freezes or restarts a drawn part of the nodes.
func (f *simFleet) disturb(ms int) {
	share, kind := f.rnd.Float64(), f.rnd.IntN(3)
	if f.rnd.IntN(3) == 0 {
		share = 1
	}
	for _, n := range f.nodes {
		if f.rnd.Float64() >= share {
			continue
		}
		switch kind {
		case 0:
			n.frozen = ms + f.rnd.IntN(5000)
		default:
			n.down = ms + f.rnd.IntN(1000)
			f.start(n, n.down)
		}
	}
}

// run simulates a time in which requests fail with a drawn share and nodes are disturbed at drawn times.
func (f *simFleet) run(ms int, perSecond float64) {
	steps := ms / simStep
	f.requests, f.retries = make([]int, steps), make([]int, steps+2*1000/simStep)
	failing, nextChange, nextDisturbance := 0.0, 0, f.rnd.IntN(4000)
	rate := perSecond
	for s := range steps {
		now := s * simStep
		if now >= nextChange {
			failing, nextChange = []float64{0, 0.1, 0.5, 1, 1}[f.rnd.IntN(5)], now+500+f.rnd.IntN(6000)
			rate = perSecond * []float64{0.1, 1, 1, 3}[f.rnd.IntN(4)]
		}
		if now >= nextDisturbance {
			f.disturb(now)
			nextDisturbance = now + 200 + f.rnd.IntN(6000)
		}
		for range f.poisson(rate * simStep / 1000) {
			f.request(s, f.nodes[f.rnd.IntN(len(f.nodes))], failing)
		}
	}
}

// poisson returns a number of arrivals with a mean.
func (f *simFleet) poisson(mean float64) int {
	n := 0
	for t := f.rnd.ExpFloat64(); t < mean; t += f.rnd.ExpFloat64() {
		n++
	}
	return n
}

// request sends a request to a node, and its retries, which arrive up to 300 ms after they were allowed.
func (f *simFleet) request(step int, n *simNode, failing float64) {
	now := step * simStep
	f.requests[step]++
	if now < n.down || now < n.frozen {
		return
	}
	if now >= n.recount {
		n.counted, n.recount = len(f.nodes), 1<<30
	}
	n.limiter.RecordFirstSend(at(now), "s", n.counted)
	for range 3 {
		if f.rnd.Float64() >= failing || !n.limiter.Allow(at(now), "s", n.counted) {
			return
		}
		f.retries[step+f.rnd.IntN(300/simStep)]++
	}
}

// excess returns the largest excess over the fleet's limit in any window, and the retries in all.
func (f *simFleet) excess() (excess float64, retries int) {
	w := f.window / simStep
	count := func(xs []int, from int) int {
		n := 0
		for _, x := range xs[max(0, min(from, len(xs))):max(0, min(from+w, len(xs)))] {
			n += x
		}
		return n
	}
	excess = -f.slack
	for from := range f.requests {
		requests := max(count(f.requests, from), count(f.requests, from-w/2), count(f.requests, from-w))
		excess = max(excess, float64(count(f.retries, from))-f.ratio*float64(requests)-f.slack)
	}
	for _, n := range f.retries {
		retries += n
	}
	return excess, retries
}

// Prevents nodes that restart, freeze or don't know each other from sending together more retries than the fleet may.
func TestRetriesStayWithinLimitOverRestarts(t *testing.T) {
	for _, tt := range []struct {
		nodes, seeds     int
		slack, perSecond float64
	}{
		{4, 60, 48, 20},
		{4, 20, 48, 2},
		{4, 20, 8, 100},
		{7, 60, 54, 65},
		{65, 10, 170, 500},
		{65, 10, 170, 20},
		{133, 5, 330, 800},
		{1000, 2, 1040, 700},
		{1000, 2, 1040, 50},
		{1000, 2, 60, 700},
	} {
		t.Run(fmt.Sprintf("%d nodes, slack %g, %g a second", tt.nodes, tt.slack, tt.perSecond), func(t *testing.T) {
			all := 0
			for seed := range uint64(tt.seeds) {
				f := newSimFleet(seed, tt.nodes, tt.slack)
				f.run(40_000, tt.perSecond)
				excess, retries := f.excess()
				require.LessOrEqual(t, excess, 0.0, "seed %d", seed)
				all += retries
			}
			require.Positive(t, all)
		})
	}
}

// Prevents the limit from holding only because nodes hardly retry: a fleet in steady state uses the greater part of it.
func TestSteadyFleetUsesItsRetries(t *testing.T) {
	for _, tt := range []struct {
		nodes            int
		slack, perSecond float64
	}{{4, 48, 20}, {7, 54, 65}, {65, 170, 500}, {133, 330, 800}, {1000, 1040, 700}} {
		f := newSimFleet(1, tt.nodes, tt.slack)
		for _, n := range f.nodes {
			n.recount = 0
		}
		const seconds = 40
		f.requests, f.retries = make([]int, seconds*1000/simStep), make([]int, (seconds+1)*1000/simStep)
		for s := range f.requests {
			for range f.poisson(tt.perSecond * simStep / 1000) {
				f.request(s, f.nodes[f.rnd.IntN(len(f.nodes))], 1)
			}
		}
		excess, retries := f.excess()
		require.LessOrEqual(t, excess, 0.0)
		require.Greater(t, float64(retries), 0.7*f.ratio*tt.perSecond*seconds, "%d nodes", tt.nodes)
	}
}

// Prevents a service of few requests, or a node that has just started, from getting no retry for ever.
func TestSlackIsEarnedOverTime(t *testing.T) {
	r := &RetryLimiter{Slack: 54, Window: 10 * time.Second}
	require.False(t, r.Allow(at(0), "s", 7), "a node that has just started")
	u := r.Usage(at(0), "s", 7)
	part := slackFraction * 54 / 7
	require.InDelta(t, burstFraction*part, u.Capacity, 1e-9)
	require.InDelta(t, (1-burstFraction)*part/10, u.SlackPerSecond, 1e-9)
	first := int(1000/u.SlackPerSecond) + 1
	require.False(t, r.Allow(at(first-10), "s", 7))
	require.True(t, r.Allow(at(first), "s", 7))
	full := int(u.Capacity) // after a long time
	for range full {
		require.True(t, r.Allow(at(1_000_000), "s", 7))
	}
	require.False(t, r.Allow(at(1_000_000), "s", 7))
}

// Prevents the first retry of a service that gets few requests from being denied on a node that has run for long, or is new.
func TestFirstRetryOfAService(t *testing.T) {
	old := &RetryLimiter{Slack: 54, Window: 10 * time.Second}
	require.True(t, old.Allow(at(100_000), "s", 7))
	restarted := &RetryLimiter{Slack: 54, Window: 10 * time.Second, Start: at(100_000)}
	require.False(t, restarted.Allow(at(100_000), "s", 7))
	fresh := &RetryLimiter{Slack: 54, Window: 10 * time.Second, Start: at(100_000)}
	require.False(t, fresh.Allow(at(100_000), "s", 0))
	fresh.Fill()
	require.True(t, fresh.Allow(at(100_000), "s", 7))
	require.True(t, fresh.Allow(at(100_000), "t", 7))
	require.InDelta(t, fresh.Usage(at(100_000), "s", 7).Capacity, fresh.Usage(at(100_000), "s", 7).Tokens+1, 1e-9, "at most the capacity")
}

func TestRetriesOfUnknownFleet(t *testing.T) {
	r := &RetryLimiter{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	require.False(t, r.Allow(at(100_000), "s", 0), "none is earned by time")
	for range 100 {
		r.RecordFirstSend(at(100_000), "s", 0)
	}
	require.True(t, r.Allow(at(100_000), "s", 0), "earned by requests")
	require.False(t, r.Allow(at(200_000), "s", 0), "no more than one is saved, and none is earned by time")
}

// Prevents trials of upstreams that decline from taking the retries of other failures, and small shares from ending trials.
func TestTrialsLeaveRetries(t *testing.T) {
	for _, tt := range []struct {
		slack float64
		want  []bool // after 0, 1, 2, ... retries from a full bucket
	}{
		{54, []bool{true, true, false, false}},
		{12, []bool{true, false}},
		{4, []bool{true}},
	} {
		r := &RetryLimiter{Ratio: 0.2, Slack: tt.slack, Window: 10 * time.Second}
		require.False(t, r.AllowTrial(at(0), "s", 7))
		for range 200 {
			r.RecordFirstSend(at(0), "s", 7)
		}
		for i, want := range tt.want {
			require.Equal(t, want, r.AllowTrial(at(0), "s", 7), "slack %g after %d retries", tt.slack, i)
			r.Allow(at(0), "s", 7)
		}
	}
}

// Prevents a cold upstream from getting another request from each node that restarts.
func TestColdLimitHoldsOverRestarts(t *testing.T) {
	const step = 10
	for _, n := range []int{4, 7, 65} {
		for _, perSecond := range []float64{2, 10, 40} {
			for seed := range uint64(3) {
				rnd := rand.New(rand.NewPCG(seed, uint64(n)))
				all, limiters, next := names(n), make([]*ColdLimiter, n), make([]int, n)
				var sent []int
				for ms := 0; ms < 5000; ms += step {
					for i := range limiters {
						if ms >= next[i] {
							limiters[i] = &ColdLimiter{Self: all[i], Start: at(ms)}
							next[i] = ms + 200 + rnd.IntN(3000)
						}
						if limiters[i].Allow(at(ms), all, "engine", perSecond) {
							sent = append(sent, ms)
						}
					}
				}
				for i, from := range sent {
					k := 0
					for k < len(sent)-i && sent[i+k] < from+1000 {
						k++
					}
					require.LessOrEqual(t, float64(k), 1.5*perSecond+5, "%d nodes, %g a second, seed %d, from %d ms", n, perSecond, seed, from)
				}
			}
		}
	}
}
