package sageload

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// safeguard names a safeguard of the protocol that a run leaves out, to show that it is needed.
type safeguard string

const (
	waitForOldGrants safeguard = "new coordinator waits for old grants"
	deadlineRecheck  safeguard = "deadline re-checked at use"
	majorityOnly     safeguard = "only a majority grants"
	driftMargin      safeguard = "margin for clock drift"
	voterAbstention  safeguard = "restarted voter abstains"
	rampRestart      safeguard = "ramp restarts with the boot"
	bootCheck        safeguard = "connection names its boot"
	inheritedCount   safeguard = "requests of dead routers counted"
	requestOrder     safeguard = "late requests dropped"
	shareDelay       safeguard = "restarted router leaves its guaranteed share unused"
	tailCount        safeguard = "requests outlive the grant"
)

const (
	simNodes             = 5
	simStep              = 20 * time.Millisecond
	simWarmCapacity      = 12
	simColdCapacity      = 2
	simFloor             = 4
	simWarmAfterRequests = 8 // see Ledger.WarmAfterRequests
)

var simLimits = Limits{GrantDuration: 1500 * time.Millisecond, PromiseDuration: 800 * time.Millisecond, RequestLifetime: 3 * time.Second,
	ReportLag: 200 * time.Millisecond, MaxClockDrift: 0.08}

// simulation is one upstream and five routers with drifting clocks, over a network that loses,
// duplicates and delays messages. Everything is determined by the seed.
type simulation struct {
	rng         *rand.Rand
	without     safeguard
	limits      Limits
	now         time.Duration
	nodes       []*simNode
	faultRates  [5]float64 // of coordinator changes, partitions, pauses, router deaths and upstream restarts
	partition   []int      // side of the partition, by node
	coordinator int        // the nodes learn of it with a delay
	queue       []message
	bootCount   int
	reports     []Report // the upstream's state at each step
	completed   uint64
	requests    []simRequest
	// maxExcess is the greatest number of requests in flight beyond the upstream's capacity.
	maxExcess, inFlightSum int
}

type message struct {
	deliverAt time.Duration
	to, from  int
	request   *GrantRequest
	grant     *Grant
}

type simRequest struct {
	node        *simNode
	incarnation int
	boot        string
	endsAt      time.Duration
}

type simNode struct {
	id          int
	incarnation int
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Duration
	coordinator int
	busy        bool
	wantedUnits int
	nextRequest time.Duration
	allotment   Allotment
	ledger      *Ledger
	ramp        Ramp
}

func newSimulation(seed uint64, without safeguard) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), without: without, limits: simLimits, partition: make([]int, simNodes)}
	for i := range w.faultRates {
		w.faultRates[i] = []float64{0, 0.1, 0.3, 1}[w.rng.IntN(4)]
	}
	for i := range simNodes {
		n := &simNode{id: i, clockRate: 1 + simLimits.MaxClockDrift*(2*w.rng.Float64()-1), clockOffset: time.Duration(w.rng.IntN(1e6)) * time.Millisecond}
		w.nodes = append(w.nodes, n)
		w.restartNode(n)
		n.allotment.AbstainUntil = time.Time{} // first start: there are no promises yet
	}
	return w
}

func (w *simulation) clock(n *simNode) time.Time {
	return time.Unix(0, 0).Add(n.clockOffset + time.Duration(float64(w.now)*n.clockRate))
}

// restartNode replaces the process of a node by a new one without state.
func (w *simulation) restartNode(n *simNode) {
	n.incarnation++
	id := fmt.Sprintf("n%d.%d", n.id, n.incarnation)
	var roster []Member
	var names []string
	for i := range simNodes {
		roster = append(roster, Member{Name: "n" + strconv.Itoa(i)})
		names = append(names, "n"+strconv.Itoa(i))
	}
	node := names[n.id]
	n.allotment = Allotment{Upstream: "u", Holder: id, Node: node, Voter: true, Limits: w.limits,
		Guaranteed: GuaranteedShare("u", node, roster, simFloor), AbstainUntil: w.clock(n).Add(w.limits.stretch(w.limits.PromiseDuration))}
	if n.incarnation > 1 {
		n.allotment.GuaranteedFrom = w.clock(n).Add(w.limits.stretch(w.limits.RequestLifetime))
	}
	n.ledger = &Ledger{Coordinator: id, Voters: names, Limits: w.limits, Floor: simFloor, WarmAfterRequests: simWarmAfterRequests}
	n.ramp = Ramp{InitialCap: simColdCapacity, CompletionsPerUnit: 2}
}

func (w *simulation) capacity() int { return min(simWarmCapacity, simColdCapacity+int(w.completed/2)) }

func (w *simulation) bootID() string { return "b" + strconv.Itoa(w.bootCount) }

func (w *simulation) chance(p float64) bool { return w.rng.Float64() < p }

// step advances the time and runs the faults and the nodes.
func (w *simulation) step() {
	w.now += simStep
	if len(w.reports) == 0 {
		w.reports = append(w.reports, Report{BootID: w.bootID(), Capacity: simColdCapacity})
	}
	w.injectFaults()
	w.finishRequests()
	w.deliver()
	for _, n := range w.nodes {
		if n.pausedUntil > w.now {
			continue
		}
		w.runNode(n)
	}
	w.reports = append(w.reports, Report{BootID: w.bootID(), InFlight: w.inFlight(), Capacity: w.capacity(), Completed: w.completed})
	w.maxExcess = max(w.maxExcess, w.inFlight()-w.capacity())
	w.inFlightSum += w.inFlight()
}

func (w *simulation) inFlight() int {
	n := 0
	for _, q := range w.requests {
		if q.boot == w.bootID() {
			n++
		}
	}
	return n
}

func (w *simulation) injectFaults() {
	if w.chance(0.002 * w.faultRates[0]) { // another node becomes coordinator, see runNode for when nodes learn of it
		old := w.coordinator
		w.coordinator = w.rng.IntN(simNodes)
		if w.chance(0.4) { // the VM of the old one has died
			w.restartNode(w.nodes[old])
		}
		if w.chance(0.3) { // together with others of its rack
			w.restartNode(w.nodes[w.rng.IntN(simNodes)])
			w.restartNode(w.nodes[w.rng.IntN(simNodes)])
		}
	}
	if w.chance(0.05) {
		n := w.nodes[w.rng.IntN(simNodes)]
		n.busy = !n.busy
	}
	if w.chance(0.002 * w.faultRates[1]) {
		for i := range w.partition {
			w.partition[i] = w.rng.IntN(2)
		}
	}
	if w.chance(0.004) {
		clear(w.partition)
	}
	if w.chance(0.003 * w.faultRates[2]) {
		w.nodes[w.rng.IntN(simNodes)].pausedUntil = w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond
	}
	if w.chance(0.002 * w.faultRates[3]) { // a VM dies; its requests continue at the upstream
		w.restartNode(w.nodes[w.rng.IntN(simNodes)])
	}
	if w.chance(0.0015 * w.faultRates[4]) { // the upstream restarts cold
		w.bootCount++
		w.completed = 0
	}
}

func (w *simulation) finishRequests() {
	kept := w.requests[:0]
	for _, q := range w.requests {
		if q.boot == w.bootID() && q.endsAt > w.now {
			kept = append(kept, q)
			continue
		}
		if q.boot == w.bootID() {
			w.completed++
		}
		if q.node.incarnation == q.incarnation {
			q.node.allotment.Release()
		}
	}
	w.requests = kept
}

func (w *simulation) send(m message) {
	if w.partition[m.to] != w.partition[m.from] || w.chance(0.05) {
		return
	}
	m.deliverAt = w.now + time.Duration(w.rng.IntN(60))*time.Millisecond
	if w.chance(0.03) {
		m.deliverAt += time.Duration(w.rng.IntN(3000)) * time.Millisecond
	}
	w.queue = append(w.queue, m)
	if w.chance(0.05) {
		m.deliverAt += time.Duration(w.rng.IntN(1500)) * time.Millisecond
		w.queue = append(w.queue, m)
	}
}

func (w *simulation) deliver() {
	var kept, due []message
	for _, m := range w.queue {
		if m.deliverAt > w.now || w.nodes[m.to].pausedUntil > w.now {
			kept = append(kept, m)
		} else {
			due = append(due, m)
		}
	}
	w.queue = kept
	for _, m := range due {
		n := w.nodes[m.to]
		if m.grant != nil {
			n.allotment.ApplyGrant(*m.grant)
			continue
		}
		g := w.handleRequest(n, *m.request)
		w.send(message{to: m.from, from: m.to, grant: &g})
	}
}

func (w *simulation) handleRequest(n *simNode, r GrantRequest) Grant {
	now := w.clock(n)
	if h := n.ledger.holders[r.Holder]; h != nil && w.without == requestOrder {
		h.seq = 0
	}
	return n.ledger.HandleRequest(now, r)
}

func (w *simulation) runNode(n *simNode) {
	if n.coordinator != w.coordinator && w.chance(0.02) {
		n.coordinator = w.coordinator
	}
	if w.now >= n.nextRequest {
		n.nextRequest = w.now + 200*time.Millisecond
		w.probe(n)
		if w.chance(0.1) {
			n.wantedUnits = w.rng.IntN(2 * simWarmCapacity)
		}
		if r, ok := n.allotment.Request(w.clock(n), "n"+strconv.Itoa(n.coordinator), n.wantedUnits); ok {
			if n.coordinator == n.id {
				n.allotment.ApplyGrant(w.handleRequest(n, r))
			} else {
				w.send(message{to: n.coordinator, from: n.id, request: &r})
			}
		}
	}
	for range 4 {
		if n.busy && w.chance(0.5) {
			w.dispatch(n)
		}
	}
}

// probe reads the upstream's load, whose figures lag, at a node that takes itself for the coordinator.
func (w *simulation) probe(n *simNode) {
	if n.coordinator != n.id {
		return
	}
	r := w.reports[max(0, len(w.reports)-1-w.rng.IntN(int(simLimits.ReportLag/simStep)))]
	if r.BootID != w.bootID() {
		r = Report{BootID: w.bootID(), Capacity: simColdCapacity}
	}
	limit := n.ramp.Observe(r)
	if w.without == rampRestart {
		limit = simWarmCapacity
	}
	n.ledger.RecordReport(w.clock(n), w.clock(n), r, limit)
}

func (w *simulation) dispatch(n *simNode) {
	now := w.clock(n)
	if w.without != bootCheck {
		n.allotment.ObserveBoot(w.bootID())
	}
	if !n.allotment.Acquire(now) {
		return
	}
	duration := time.Duration(w.rng.IntN(int(simLimits.RequestLifetime/2))) / 2
	if w.chance(0.2) {
		duration *= 4
	}
	w.requests = append(w.requests, simRequest{node: n, incarnation: n.incarnation, boot: w.bootID(), endsAt: w.now + duration})
}
