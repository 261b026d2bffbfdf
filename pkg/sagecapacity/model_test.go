package sagecapacity

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	modelSlots       = 6
	modelQueue       = 24
	modelService     = "app"
	modelNetworkTime = time.Millisecond // one way
	modelInterval    = 200 * time.Millisecond
	modelCountLag    = 200 * time.Millisecond // from the count to its arrival at all nodes
	modelTail        = 0.01                   // part of the runs that take modelTailRatio times as long
	modelTailRatio   = 5
	modelNoise       = 0.15 // part of the time in which an upstream is modelNoiseRatio times slower
	modelNoiseRatio  = 2.5
	modelNoiseSpell  = 600 * time.Millisecond
	modelSigma       = 0.5 // of the logarithm of run times
)

// policy chooses an upstream for a request at a node.
type policy func(m *model, n *modelNode, candidates []Candidate) int

// model is a service before some nodes, in virtual time. Requests are sent once more if they are declined, and, if
// resendAfter is set, a second time if there is no response after that time and the node's tracker allows it.
type model struct {
	nodes, upstreams int
	run              time.Duration // usual mean run, with the tail
	load             func(at time.Duration) float64
	choose           policy
	track            bool // the nodes' trackers are used
	admit            bool // requests beyond the target are refused
	always           bool // second sends are always allowed
	noSums           bool // runs of other nodes are unknown
	quiet            bool // upstreams run at an even speed
	resendAfter      time.Duration
	objective        time.Duration
	deadline         time.Duration
	slowness         func(upstream int, at time.Duration) float64
	lost             func(upstream int, at time.Duration) bool
	reported         func(upstream int, l Load) Load // figures in responses; nil if there are none

	now     time.Duration
	rng     *rand.Rand
	noise   *rand.Rand // the same spells for all policies
	events  events
	seq     int
	node    []*modelNode
	ups     []*modelUpstream
	tokens  float64
	filled  time.Duration
	results []modelResult
	sends   []modelSend
	// runs are complete runs, useless those whose request was answered or given up before, by the second.
	runs, useless, declines map[int]int
}

type modelNode struct {
	tracker *Tracker
	own     []int
	counted []int // own requests when the sums were made
	sums    []Upstream
	credits map[string]float64 // of round robin
	cands   []Candidate
}

type modelUpstream struct {
	running  int
	waiting  []*modelRequest
	inFlight int
	done     []time.Duration // ends of the runs of the last second
	noisy    bool
}

type modelRequest struct {
	node     int
	arrived  time.Duration
	upstream int // of the latest send
	sends    int
	answered bool
	failed   bool
	original *modelRequest
}

// modelResult is a request that was answered, after took, or failed (negative).
type modelResult struct{ arrived, took time.Duration }

type modelSend struct {
	at       time.Duration
	upstream int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now + d, m.seq, do})
}

func (m *model) instant() sageclock.Instant { return sageclock.Instant(time.Hour + m.now) }

// perSecond is the capacity of all upstreams, with the noise.
func (m *model) perSecond() float64 {
	speed := 1 - modelNoise + modelNoise/modelNoiseRatio
	if m.quiet {
		speed = 1
	}
	return float64(m.upstreams) * modelSlots / m.run.Seconds() * speed
}

// play runs the model for some time.
func (m *model) play(seed uint64, length time.Duration) {
	m.rng, m.noise = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	m.runs, m.useless, m.declines = map[int]int{}, map[int]int{}, map[int]int{}
	for range m.nodes {
		m.node = append(m.node, &modelNode{
			tracker: &Tracker{Rand: m.rng.Float64},
			own:     make([]int, m.upstreams), counted: make([]int, m.upstreams), sums: make([]Upstream, m.upstreams),
			credits: map[string]float64{}, cands: make([]Candidate, 0, m.upstreams),
		})
	}
	for u := range m.upstreams {
		m.ups = append(m.ups, &modelUpstream{})
		for _, n := range m.node {
			n.sums[u] = Upstream{ID: fmt.Sprint("a", u), Slots: modelSlots, RunsPerSecond: -1}
			n.credits[n.sums[u].ID] = m.rng.Float64()
		}
		if !m.quiet {
			m.after(time.Duration(m.noise.Float64()*float64(modelNoiseSpell)), func() { m.switchNoise(u) })
		}
	}
	m.after(0, m.arrive)
	m.after(modelInterval, m.count)
	for len(m.events) > 0 && m.events[0].at <= length {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func (m *model) switchNoise(u int) {
	m.ups[u].noisy = !m.ups[u].noisy
	spell := modelNoiseSpell
	if !m.ups[u].noisy {
		spell = time.Duration(float64(spell) * (1 - modelNoise) / modelNoise)
	}
	m.after(time.Duration(m.noise.ExpFloat64()*float64(spell)), func() { m.switchNoise(u) })
}

func (m *model) arrive() {
	m.after(time.Duration(m.rng.ExpFloat64()/(m.load(m.now)*m.perSecond())*float64(time.Second)), m.arrive)
	r := &modelRequest{node: m.rng.IntN(m.nodes), arrived: m.now, upstream: -1}
	if m.admit && !m.takeToken() {
		return
	}
	m.send(r, -1)
	if m.resendAfter > 0 {
		m.after(m.resendAfter, func() { m.resend(r) })
	}
}

// takeToken admits requests at the rate of the first node's target.
func (m *model) takeToken() bool {
	target := m.node[0].tracker.Estimate(modelService).Target
	if target == 0 {
		return true
	}
	m.tokens = min(m.tokens+target*(m.now-m.filled).Seconds(), max(1, target*0.01))
	m.filled = m.now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

func (m *model) resend(r *modelRequest) {
	if !r.answered && !r.failed && (m.always || m.node[r.node].tracker.AllowSecondSend(m.instant(), modelService)) {
		m.send(r, r.upstream)
	}
}

// send sends a request to an upstream other than except.
func (m *model) send(r *modelRequest, except int) {
	n := m.node[r.node]
	n.cands = n.cands[:0]
	for u := range m.upstreams {
		if u != except && !(m.lost != nil && m.lost(u, m.now)) {
			inFlight := max(n.sums[u].InFlight-n.counted[u], 0) + n.own[u]
			n.cands = append(n.cands, Candidate{ID: n.sums[u].ID, Slots: modelSlots, InFlight: inFlight, Own: n.own[u]})
		}
	}
	chosen := n.cands[m.choose(m, n, n.cands)]
	u := slices.IndexFunc(n.sums, func(s Upstream) bool { return s.ID == chosen.ID })
	r.upstream, r.sends = u, r.sends+1
	n.own[u]++
	m.ups[u].inFlight++
	sent := m.now
	m.sends = append(m.sends, modelSend{m.now, u})
	m.after(modelNetworkTime, func() { m.receive(r, u, sent) })
}

// receive handles a request at an upstream.
func (m *model) receive(r *modelRequest, u int, sent time.Duration) {
	up := m.ups[u]
	switch {
	case up.running < modelSlots:
		m.start(r, u, sent)
	case len(up.waiting) < modelQueue:
		up.waiting = append(up.waiting, &modelRequest{original: r, arrived: sent})
	default:
		m.declines[m.second()]++
		m.after(modelNetworkTime, func() { m.declined(r, u) })
	}
}

func (m *model) start(r *modelRequest, u int, sent time.Duration) {
	m.ups[u].running++
	run := float64(m.run) / (1 + modelTail*(modelTailRatio-1)) * math.Exp(m.rng.NormFloat64()*modelSigma-modelSigma*modelSigma/2)
	if m.rng.Float64() < modelTail {
		run *= modelTailRatio
	}
	if m.ups[u].noisy {
		run *= modelNoiseRatio
	}
	if m.slowness != nil {
		run *= m.slowness(u, m.now)
	}
	m.after(time.Duration(run), func() { m.end(r, u, sent) })
}

// end handles the end of a run at an upstream.
func (m *model) end(r *modelRequest, u int, sent time.Duration) {
	up := m.ups[u]
	up.running--
	up.done = append(up.done, m.now)
	for len(up.waiting) > 0 && up.running < modelSlots {
		next := up.waiting[0]
		up.waiting = up.waiting[1:]
		if m.deadline > 0 && m.now-next.original.arrived > m.deadline {
			m.leave(next.original, u)
			continue
		}
		m.start(next.original, u, next.arrived)
	}
	load := Load{Running: up.running, Waiting: len(up.waiting), Slots: modelSlots, Slowness: usualSlowness}
	if up.noisy {
		load.Slowness = int(usualSlowness * modelNoiseRatio)
	}
	m.after(modelNetworkTime, func() { m.respond(r, u, sent, load) })
}

func (m *model) respond(r *modelRequest, u int, sent time.Duration, l Load) {
	m.leave(r, u)
	if m.track {
		t := m.node[r.node].tracker
		t.RecordRun(m.instant(), modelService, m.node[0].sums[u].ID, m.now-sent)
		if m.reported != nil {
			_ = t.RecordLoad(m.instant(), modelService, m.node[0].sums[u].ID, m.reported(u, l))
		}
	}
	m.runs[m.second()]++
	if r.answered || m.deadline > 0 && m.now-r.arrived > m.deadline {
		m.useless[m.second()]++
		return
	}
	r.answered = true
	m.results = append(m.results, modelResult{r.arrived, m.now - r.arrived})
}

func (m *model) declined(r *modelRequest, u int) {
	m.leave(r, u)
	if m.track {
		m.node[r.node].tracker.RecordDecline(m.instant(), modelService, m.node[0].sums[u].ID)
	}
	if r.sends < 2 {
		m.send(r, u)
		return
	}
	if !r.answered && !r.failed {
		r.failed = true
		m.results = append(m.results, modelResult{r.arrived, -1})
	}
}

func (m *model) leave(r *modelRequest, u int) {
	m.node[r.node].own[u]--
	m.ups[u].inFlight--
}

func (m *model) second() int { return int(m.now / time.Second) }

// count makes sums and gives them to all nodes after modelCountLag.
func (m *model) count() {
	m.after(modelInterval, m.count)
	sums := make([]Upstream, m.upstreams)
	for u, up := range m.ups {
		for len(up.done) > 0 && up.done[0] < m.now-time.Second {
			up.done = up.done[1:]
		}
		sums[u] = Upstream{ID: m.node[0].sums[u].ID, Slots: modelSlots, InFlight: up.inFlight, RunsPerSecond: float64(len(up.done))}
		if m.noSums || m.now < time.Second {
			sums[u].RunsPerSecond = -1
		}
	}
	counted := make([][]int, m.nodes)
	for i, n := range m.node {
		counted[i] = slices.Clone(n.own)
	}
	m.after(modelCountLag, func() {
		for i, n := range m.node {
			copy(n.sums, sums)
			n.counted = counted[i]
			if m.track {
				m.update(n, sums)
			}
		}
	})
}

func (m *model) update(n *modelNode, sums []Upstream) {
	current := make([]Upstream, 0, len(sums))
	for u := range sums {
		if m.lost == nil || !m.lost(u, m.now) {
			current = append(current, sums[u])
		}
	}
	n.tracker.Update(m.instant(), modelService, current)
}

// within returns the part of the requests that arrived in a time span and were answered within the objective.
func (m *model) within(from, to time.Duration) float64 {
	n, good := 0, 0
	for _, r := range m.results {
		if r.arrived >= from && r.arrived < to {
			n++
			if r.took >= 0 && r.took <= m.objective {
				good++
			}
		}
	}
	return float64(good) / float64(n)
}

// p99 returns the time within which 99 of 100 requests were answered. Failed requests count as a second.
func (m *model) p99(from time.Duration) time.Duration {
	var took []time.Duration
	for _, r := range m.results {
		if r.arrived >= from {
			if r.took < 0 {
				r.took = time.Second
			}
			took = append(took, r.took)
		}
	}
	slices.Sort(took)
	return took[len(took)*99/100]
}

// share returns the part of the sends that went to an upstream in a time span.
func (m *model) share(upstream int, from, to time.Duration) float64 {
	n, there := 0, 0
	for _, s := range m.sends {
		if s.at >= from && s.at < to {
			n++
			if s.upstream == upstream {
				there++
			}
		}
	}
	return float64(there) / float64(n)
}

func sum(counts map[int]int, from, to time.Duration) (n int) {
	for second, c := range counts {
		if at := time.Duration(second) * time.Second; at >= from && at < to {
			n += c
		}
	}
	return n
}
