package sageload

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// guard names a guard that a run leaves out, to show that it is needed.
type guard string

const (
	withWaitOut  guard = "new home waits for old grants"
	withRecheck  guard = "deadline re-checked at use"
	withMajority guard = "only a majority grants"
	withMargin   guard = "margin for clock drift"
	withAbstain  guard = "restarted voter abstains"
	withRamp     guard = "ramp restarts with the boot"
	withBoot     guard = "connection names its boot"
	withCarried  guard = "requests of dead routers counted"
	withOrder    guard = "late asks dropped"
	withOwn      guard = "restarted router leaves its guaranteed share unused"
	withTail     guard = "requests outlive the grant"
)

const (
	worldNodes = 5
	worldStep  = 20 * time.Millisecond
	worldWarm  = 12
	worldCold  = 2
	worldFloor = 4
	worldWork  = 8 // completed requests after which the floor is set aside
)

var worldLimits = Limits{GrantDuration: 1500 * time.Millisecond, PromiseDuration: 800 * time.Millisecond, RequestLifetime: 3 * time.Second,
	ReportLag: 200 * time.Millisecond, MaxClockDrift: 0.08}

// world is one upstream before five routers with drifting clocks, over a network that loses,
// repeats and delays. Everything follows from the seed.
type world struct {
	r       *rand.Rand
	without guard
	limits  Limits
	now     time.Duration
	nodes   []*worldNode
	rate    [5]float64 // of home moves, partitions, pauses, deaths and restarts in this run
	group   []int      // side of the partition by node
	home    int        // home as nodes learn it, sooner or later
	queue   []message
	boots   int
	past    []Report // one for each step
	done    uint64
	running []running
	// peak is the greatest excess over what the upstream bore.
	peak, total int
}

type message struct {
	at       time.Duration
	to, from int
	want     *GrantRequest
	grant    *Grant
}

type running struct {
	node *worldNode
	life int
	boot string
	ends time.Duration
}

type worldNode struct {
	id     int
	life   int
	rate   float64
	offset time.Duration
	paused time.Duration
	belief int
	busy   bool
	want   int
	next   time.Duration
	h      Allotment
	l      *Ledger
	ramp   Ramp
}

func newWorld(seed uint64, without guard) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 7)), without: without, limits: worldLimits, group: make([]int, worldNodes)}
	for i := range w.rate {
		w.rate[i] = []float64{0, 0.1, 0.3, 1}[w.r.IntN(4)]
	}
	for i := range worldNodes {
		n := &worldNode{id: i, rate: 1 + worldLimits.MaxClockDrift*(2*w.r.Float64()-1), offset: time.Duration(w.r.IntN(1e6)) * time.Millisecond}
		w.nodes = append(w.nodes, n)
		w.boot(n)
		n.h.AbstainUntil = time.Time{} // first start: nobody has promised anything yet
	}
	return w
}

func (w *world) clock(n *worldNode) time.Time {
	return time.Unix(0, 0).Add(n.offset + time.Duration(float64(w.now)*n.rate))
}

// boot starts the process of a node anew; it remembers nothing.
func (w *world) boot(n *worldNode) {
	n.life++
	id := fmt.Sprintf("n%d.%d", n.id, n.life)
	var roster []Member
	var names []string
	for i := range worldNodes {
		roster = append(roster, Member{Name: "n" + strconv.Itoa(i)})
		names = append(names, "n"+strconv.Itoa(i))
	}
	node := names[n.id]
	n.h = Allotment{Upstream: "u", Holder: id, Node: node, Voter: true, Limits: w.limits,
		Guaranteed: GuaranteedShare("u", node, roster, worldFloor), AbstainUntil: w.clock(n).Add(w.limits.long(w.limits.PromiseDuration))}
	if n.life > 1 {
		n.h.GuaranteedFrom = w.clock(n).Add(w.limits.long(w.limits.RequestLifetime))
	}
	n.l = &Ledger{Coordinator: id, Voters: names, Limits: w.limits, Floor: worldFloor, WarmAfterRequests: worldWork}
	n.ramp = Ramp{InitialCap: worldCold, CompletionsPerUnit: 2}
}

func (w *world) bears() int { return min(worldWarm, worldCold+int(w.done/2)) }

func (w *world) bootID() string { return "b" + strconv.Itoa(w.boots) }

func (w *world) chance(p float64) bool { return w.r.Float64() < p }

// step advances real time and lets every fault and every node act.
func (w *world) step() {
	w.now += worldStep
	if len(w.past) == 0 {
		w.past = append(w.past, Report{BootID: w.bootID(), Capacity: worldCold})
	}
	w.faults()
	w.finish()
	w.deliver()
	for _, n := range w.nodes {
		if n.paused > w.now {
			continue
		}
		w.act(n)
	}
	w.past = append(w.past, Report{BootID: w.bootID(), InFlight: w.inFlight(), Capacity: w.bears(), Completed: w.done})
	w.peak = max(w.peak, w.inFlight()-w.bears())
	w.total += w.inFlight()
}

func (w *world) inFlight() int {
	n := 0
	for _, q := range w.running {
		if q.boot == w.bootID() {
			n++
		}
	}
	return n
}

func (w *world) faults() {
	if w.chance(0.002 * w.rate[0]) { // another node becomes home in everybody's view, one after the other
		old := w.home
		w.home = w.r.IntN(worldNodes)
		if w.chance(0.4) { // because the VM of the old one died
			w.boot(w.nodes[old])
		}
		if w.chance(0.3) { // and a rack with it
			w.boot(w.nodes[w.r.IntN(worldNodes)])
			w.boot(w.nodes[w.r.IntN(worldNodes)])
		}
	}
	if w.chance(0.05) {
		n := w.nodes[w.r.IntN(worldNodes)]
		n.busy = !n.busy
	}
	if w.chance(0.002 * w.rate[1]) {
		for i := range w.group {
			w.group[i] = w.r.IntN(2)
		}
	}
	if w.chance(0.004) {
		clear(w.group)
	}
	if w.chance(0.003 * w.rate[2]) {
		w.nodes[w.r.IntN(worldNodes)].paused = w.now + time.Duration(w.r.IntN(4000))*time.Millisecond
	}
	if w.chance(0.002 * w.rate[3]) { // the VM dies; what it sent runs on at the upstream
		w.boot(w.nodes[w.r.IntN(worldNodes)])
	}
	if w.chance(0.0015 * w.rate[4]) { // the upstream restarts cold
		w.boots++
		w.done = 0
	}
}

func (w *world) finish() {
	kept := w.running[:0]
	for _, q := range w.running {
		if q.boot == w.bootID() && q.ends > w.now {
			kept = append(kept, q)
			continue
		}
		if q.boot == w.bootID() {
			w.done++
		}
		if q.node.life == q.life {
			q.node.h.Release()
		}
	}
	w.running = kept
}

func (w *world) send(m message) {
	if w.group[m.to] != w.group[m.from] || w.chance(0.05) {
		return
	}
	m.at = w.now + time.Duration(w.r.IntN(60))*time.Millisecond
	if w.chance(0.03) {
		m.at += time.Duration(w.r.IntN(3000)) * time.Millisecond
	}
	w.queue = append(w.queue, m)
	if w.chance(0.05) {
		m.at += time.Duration(w.r.IntN(1500)) * time.Millisecond
		w.queue = append(w.queue, m)
	}
}

func (w *world) deliver() {
	var kept, due []message
	for _, m := range w.queue {
		if m.at > w.now || w.nodes[m.to].paused > w.now {
			kept = append(kept, m)
		} else {
			due = append(due, m)
		}
	}
	w.queue = kept
	for _, m := range due {
		n := w.nodes[m.to]
		if m.grant != nil {
			n.h.ApplyGrant(*m.grant)
			continue
		}
		g := w.ask(n, *m.want)
		w.send(message{to: m.from, from: m.to, grant: &g})
	}
}

func (w *world) ask(n *worldNode, want GrantRequest) Grant {
	now := w.clock(n)
	if h := n.l.holders[want.Holder]; h != nil && w.without == withOrder {
		h.seq = 0
	}
	return n.l.HandleRequest(now, want)
}

func (w *world) act(n *worldNode) {
	if n.belief != w.home && w.chance(0.02) {
		n.belief = w.home
	}
	if w.now >= n.next {
		n.next = w.now + 200*time.Millisecond
		w.probe(n)
		if w.chance(0.1) {
			n.want = w.r.IntN(2 * worldWarm)
		}
		if want, ok := n.h.Request(w.clock(n), "n"+strconv.Itoa(n.belief), n.want); ok {
			if n.belief == n.id {
				n.h.ApplyGrant(w.ask(n, want))
			} else {
				w.send(message{to: n.belief, from: n.id, want: &want})
			}
		}
	}
	for range 4 {
		if n.busy && w.chance(0.5) {
			w.dispatch(n)
		}
	}
}

// probe reads the upstream's load, whose figures lag, at the node that takes itself for home.
func (w *world) probe(n *worldNode) {
	if n.belief != n.id {
		return
	}
	r := w.past[max(0, len(w.past)-1-w.r.IntN(int(worldLimits.ReportLag/worldStep)))]
	if r.BootID != w.bootID() {
		r = Report{BootID: w.bootID(), Capacity: worldCold}
	}
	bears := n.ramp.Observe(r)
	if w.without == withRamp {
		bears = worldWarm
	}
	n.l.RecordReport(w.clock(n), w.clock(n), r, bears)
}

func (w *world) dispatch(n *worldNode) {
	now := w.clock(n)
	if w.without != withBoot {
		n.h.ObserveBoot(w.bootID())
	}
	if !n.h.Acquire(now) {
		return
	}
	life := time.Duration(w.r.IntN(int(worldLimits.RequestLifetime/2))) / 2
	if w.chance(0.2) {
		life *= 4
	}
	w.running = append(w.running, running{node: n, life: n.life, boot: w.bootID(), ends: w.now + life})
}
