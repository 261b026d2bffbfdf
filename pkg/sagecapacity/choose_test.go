package sagecapacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func chooseByTracker(m *model, n *modelNode, candidates []Candidate) int {
	return n.tracker.Choose(m.instant(), modelService, candidates)
}

// chooseByTrackerWithLoads is chooseByTracker where upstreams report their load.
func chooseByTrackerWithLoads(m *model, n *modelNode, candidates []Candidate) int {
	m.reported = func(_ int, l Load) Load { return l }
	return chooseByTracker(m, n, candidates)
}

func chooseLeastLoaded(m *model, _ *modelNode, candidates []Candidate) int {
	off := m.rng.IntN(len(candidates))
	best := off
	for i := range candidates {
		if j := (off + i) % len(candidates); candidates[j].InFlight < candidates[best].InFlight {
			best = j
		}
	}
	return best
}

func chooseAtRandom(m *model, _ *modelNode, candidates []Candidate) int {
	return m.rng.IntN(len(candidates))
}

// weights returns the tracker's weights of the candidates, and their sum.
func weights(m *model, n *modelNode, candidates []Candidate) (ws []float64, total float64) {
	s := n.tracker.service(m.instant(), modelService)
	for i := range candidates {
		c := &candidates[i]
		w := s.upstream(m.instant(), c.ID).weigh(m.instant(), c, modelSlots, s.usualRun(m.instant()))
		ws = append(ws, w)
		total += w
	}
	return ws, total
}

func draw(m *model, ws []float64, total float64) int {
	x := m.rng.Float64() * total
	for i, w := range ws {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(ws) - 1
}

func chooseByWeight(m *model, n *modelNode, candidates []Candidate) int {
	ws, total := weights(m, n, candidates)
	return draw(m, ws, total)
}

// chooseRoundRobin is smooth weighted round robin, which begins at a random point.
func chooseRoundRobin(m *model, n *modelNode, candidates []Candidate) int {
	ws, total := weights(m, n, candidates)
	best, bestID := 0, ""
	for i, w := range ws {
		id := candidates[i].ID
		if n.credits[id] += w / total; bestID == "" || n.credits[id] > n.credits[bestID] {
			best, bestID = i, id
		}
	}
	n.credits[bestID]--
	return best
}

// chooseOfTwo compares two random candidates by all nodes' requests, of which this node's own are exact.
func chooseOfTwo(m *model, n *modelNode, candidates []Candidate) int {
	ws, total := weights(m, n, candidates)
	i, j := draw(m, ws, total), draw(m, ws, total)
	if float64(candidates[j].InFlight)/ws[j] < float64(candidates[i].InFlight)/ws[i] {
		return j
	}
	return i
}

// chooseOfTwoByOwn compares two random candidates by this node's own requests.
func chooseOfTwoByOwn(m *model, n *modelNode, candidates []Candidate) int {
	ws, total := weights(m, n, candidates)
	i, j := draw(m, ws, total), draw(m, ws, total)
	if float64(candidates[j].Own)/ws[j] < float64(candidates[i].Own)/ws[i] {
		return j
	}
	return i
}

var policies = []struct {
	name   string
	choose policy
	track  bool
}{
	{"least_loaded", chooseLeastLoaded, false},
	{"random", chooseAtRandom, false},
	{"weighted", chooseByWeight, true},
	{"round_robin", chooseRoundRobin, true},
	{"two_choices", chooseOfTwo, true},
	{"two_choices_own", chooseOfTwoByOwn, true},
	{"tracker", chooseByTracker, true},
	{"tracker_loads", chooseByTrackerWithLoads, true},
}

// BenchmarkPolicies compares ways to choose in the model: the part of the requests within their objective, the time within
// which 99 of 100 are answered, and declines.
func BenchmarkPolicies(b *testing.B) {
	for _, run := range []time.Duration{15 * time.Millisecond, 60 * time.Millisecond} {
		for _, nodes := range []int{4, 65, 133, 1000} {
			for _, upstreams := range []int{3, 6} {
				for _, load := range []float64{0.3, 0.6, 0.8, 0.95} {
					for _, p := range policies {
						name := fmt.Sprintf("run=%v/nodes=%d/upstreams=%d/load=%v/%s", run, nodes, upstreams, load, p.name)
						b.Run(name, func(b *testing.B) { comparePolicy(b, nodes, upstreams, run, load, p.choose, p.track) })
					}
				}
			}
		}
	}
}

func comparePolicy(b *testing.B, nodes, upstreams int, run time.Duration, load float64, choose policy, track bool) {
	var within, p99, declines float64
	const plays = 6
	for range b.N {
		within, p99, declines = 0, 0, 0
		for seed := range uint64(plays) {
			m := &model{nodes: nodes, upstreams: upstreams, run: run, load: constant(load), choose: choose, track: track, objective: objectiveOf(run)}
			m.play(seed, 12*time.Second)
			within += m.within(2*time.Second, 11*time.Second) / plays
			p99 += m.p99(2*time.Second).Seconds() * 1000 / plays
			declines += 100 * float64(sum(m.declines, 2*time.Second, 12*time.Second)) / float64(sum(m.runs, 2*time.Second, 12*time.Second)) / plays
		}
	}
	b.ReportMetric(100*within, "%within")
	b.ReportMetric(p99, "p99_ms")
	b.ReportMetric(declines, "declines/100")
}

func objectiveOf(run time.Duration) time.Duration {
	if run <= 15*time.Millisecond {
		return 120 * time.Millisecond
	}
	return 300 * time.Millisecond
}

func manyCandidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fmt.Sprint("a", i), Slots: 6, InFlight: i % 20, Own: i % 3}
	}
	return out
}

func TestChooseDoesNotAllocate(t *testing.T) {
	tr := &Tracker{}
	candidates := manyCandidates(6)
	now := at(0)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		now++
		tr.Choose(now, "app", candidates)
		tr.RecordRun(now, "app", "a0", time.Millisecond)
		tr.AllowSecondSend(now, "app")
	}))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 6, 140} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr := &Tracker{}
			candidates := manyCandidates(n)
			for _, c := range candidates {
				tr.RecordRun(at(0), "app", c.ID, 15*time.Millisecond)
				tr.Update(at(0), "app", []Upstream{{c.ID, 6, 3, 200}})
			}
			b.ReportAllocs()
			for now := at(0); b.Loop(); now++ {
				tr.Choose(now, "app", candidates)
			}
		})
	}
}

func TestChooseByWeight(t *testing.T) {
	tr := &Tracker{Rand: rand.New(rand.NewPCG(1, 2)).Float64}
	updateFor(tr, 0, 5*time.Second, Upstream{"usual", 6, 3, 200}, Upstream{"large", 12, 6, 400}, Upstream{"slow", 6, 6, 100}, Upstream{"queue", 6, 56, 400})
	candidates := []Candidate{{ID: "usual", Slots: 6, InFlight: 3}, {ID: "large", Slots: 12, InFlight: 6}, {ID: "slow", Slots: 6, InFlight: 6}, {ID: "queue", Slots: 6, InFlight: 56}}
	chosen := make([]float64, 4)
	for range 20_000 {
		chosen[tr.Choose(at(5*time.Second), "app", candidates)]++
	}
	require.InEpsilon(t, 2, chosen[1]/chosen[0], 0.15)
	require.InEpsilon(t, 0.25, chosen[2]/chosen[0], 0.25)
	drained := 1 - 50/shiftTime.Seconds()/400 // of 400 per second, with a queue of 50
	require.InEpsilon(t, drained, chosen[3]/chosen[0], 0.15)
}

func TestChooseByOwnRequests(t *testing.T) {
	tr := &Tracker{}
	candidates := []Candidate{{ID: "a", Slots: 6, Own: 2}, {ID: "b", Slots: 6, Own: 1}, {ID: "c", Slots: 18, Own: 2}, {ID: "d", Slots: 0, Own: 1}}
	require.Equal(t, 3, tr.Choose(at(0), "app", candidates), "taken to have the mean number of slots")
	require.Equal(t, 2, tr.Choose(at(0), "app", candidates[:3]))
}

// Prevents that nodes which see the same counts all choose the same upstream.
func TestNodesDoNotHerd(t *testing.T) {
	for _, nodes := range []int{4, 65, 1000} {
		for _, load := range []float64{0.3, 0.6, 0.8} {
			old, m := newModel(nodes, load), newModel(nodes, load)
			old.choose = chooseLeastLoaded
			old.play(3, 8*time.Second)
			m.play(3, 8*time.Second)
			require.GreaterOrEqual(t, m.within(2*time.Second, 7*time.Second), old.within(2*time.Second, 7*time.Second), "%d nodes at %v", nodes, load)
			require.LessOrEqual(t, sum(m.declines, 2*time.Second, 7*time.Second), sum(old.declines, 2*time.Second, 7*time.Second), "%d nodes at %v", nodes, load)
		}
	}
}

// newModel returns a model of six upstreams with the usual noise.
func newModel(nodes int, load float64) *model {
	return &model{
		nodes: nodes, upstreams: 6, run: 15 * time.Millisecond, load: constant(load), choose: chooseByTracker, track: true,
		objective: objectiveOf(15 * time.Millisecond),
	}
}
