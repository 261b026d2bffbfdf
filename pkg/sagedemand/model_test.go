package sagedemand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefair"
	"sagestand.example/sagestand/pkg/sageflight"
)

const (
	modelService   = "app"
	modelTick      = 20 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	// modelCountLag is the assumed age of this node's counts in the sums.
	modelCountLag = 700 * time.Millisecond
	// exchangeBound is how long the shares may differ from what is asked.
	exchangeBound = 1500 * time.Millisecond
	floodStart    = sageclock.Instant(2 * time.Second)
	steadyNames   = 24
	manyAccounts  = 32_000
	burstSeconds  = 0.1
	windowWidth   = 100 * time.Millisecond
	// modelObjective and modelDeadline are those of the requests at the gates.
	modelObjective, modelDeadline = 300 * time.Millisecond, time.Second
)

// tokenBucket admits requests at a rate.
type tokenBucket struct {
	tokens float64
	at     sageclock.Instant
}

func (b *tokenBucket) take(now sageclock.Instant, rate, depth float64) bool {
	if b.at == 0 {
		b.tokens = depth
	}
	b.tokens = min(depth, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// modelNode is a node of the model.
type modelNode struct {
	name    string
	meter   Meter
	counter sageflight.Counter
	history History
	shares  sagefair.Shares
	buckets map[string]*tokenBucket
	other   tokenBucket
	gate    sagefair.Gate // used instead of the buckets if the model has gates
	phase   time.Duration
	// down nodes do nothing and get no requests, cut ones send and receive no counts, old ones neither count nor limit.
	down, cut, old bool
}

func (n *modelNode) admit(now sageclock.Instant, account string) bool {
	rate, listed := n.shares.Rates[account]
	if !listed {
		rate = n.shares.Other
		if !n.other.take(now, n.shares.OtherTotal, max(8, n.shares.OtherTotal*burstSeconds)) {
			return false
		}
	}
	b := n.buckets[account]
	if b == nil {
		b = new(tokenBucket)
		n.buckets[account] = b
	}
	return b.take(now, rate, max(2, rate*burstSeconds))
}

// delivery is a message under way.
type delivery struct {
	at     sageclock.Instant
	counts map[string]int
	from   *modelNode // to the aggregator
	to     *modelNode // from the aggregator
}

// fleetModel is a fleet whose counts are added up by an aggregator.
type fleetModel struct {
	capacity  float64
	localOnly bool // no counts are exchanged
	gates     bool // requests are admitted by gates
	nodes     []*modelNode
	// known is the number of nodes that the nodes know.
	known     int
	down      int                // nodes that get no requests
	sum       sageflight.Counter // the aggregator's
	sumCut    bool               // the aggregator's sums are lost
	transit   []delivery
	rnd       *rand.Rand
	end       sageclock.Instant
	now       sageclock.Instant
	asked     map[string]int
	admitted  map[string]int
	perWindow []map[string]int // admitted by account, in windows of windowWidth
	// flood returns what the flooding account asks at a node in requests per second.
	flood func(node int) float64
	// steadyPart is the part of the capacity for which the steady accounts ask together, floodPart that of the flooding account.
	steadyPart, floodPart float64
	names                 []string // of the steady accounts
	// at are changes of the fleet by time.
	at map[time.Duration]func()
	// measureFrom is when asked and admitted begin to count.
	measureFrom sageclock.Instant
}

func newFleetModel(size modelSize) *fleetModel {
	nodes := size.nodes
	m := &fleetModel{capacity: size.capacity, end: sageclock.Instant(size.end), steadyPart: 0.6, floodPart: 4, known: nodes, rnd: rand.New(rand.NewPCG(1, uint64(nodes))), at: make(map[time.Duration]func()), measureFrom: floodStart.Add(exchangeBound)}
	for i := range nodes {
		m.nodes = append(m.nodes, &modelNode{name: fmt.Sprint("vm", i), phase: time.Duration(m.rnd.Int64N(int64(reportInterval/modelTick))) * modelTick})
		m.restart(m.nodes[i])
	}
	m.setAccounts(steadyNames)
	m.flood = func(int) float64 { return m.floodRate() / float64(m.serving()) }
	return m
}

// serving returns the number of nodes that get requests.
func (m *fleetModel) serving() int { return len(m.nodes) - m.down }

// setAccounts sets the number of steady accounts.
func (m *fleetModel) setAccounts(n int) {
	m.names = nil
	for i := range n {
		m.names = append(m.names, fmt.Sprintf("steady%05d", i))
	}
}

// steadyRate is what the steady accounts ask of the fleet.
func (m *fleetModel) steadyRate() float64 { return m.steadyPart * m.capacity }

// floodRate is what the flooding account asks of the fleet.
func (m *fleetModel) floodRate() float64 {
	if m.now < floodStart {
		return 0
	}
	return m.floodPart * m.capacity
}

// restart makes a node forget everything.
func (m *fleetModel) restart(n *modelNode) {
	n.meter, n.counter, n.history = Meter{}, sageflight.Counter{}, History{}
	n.buckets, n.other, n.shares = make(map[string]*tokenBucket), tokenBucket{}, sagefair.Shares{}
	n.gate = sagefair.Gate{}
	n.cut = false
	if !n.old {
		m.exchange(n)
	}
}

// run simulates until the end.
func (m *fleetModel) run() {
	m.asked, m.admitted = make(map[string]int), make(map[string]int)
	for m.now = sageclock.Instant(modelTick); m.now < m.end; m.now = m.now.Add(modelTick) {
		if f := m.at[time.Duration(m.now)]; f != nil {
			f()
		}
		if time.Duration(m.now)%windowWidth == 0 {
			m.perWindow = append(m.perWindow, make(map[string]int))
		}
		m.deliver()
		if time.Duration(m.now)%reportInterval == 0 && !m.sumCut {
			m.sendSums()
		}
		for i, n := range m.nodes {
			if n.down {
				continue
			}
			m.arrive(i, n)
			m.advanceGate(n)
			if (time.Duration(m.now)+n.phase)%reportInterval == 0 && !n.old {
				m.exchange(n)
			}
		}
	}
}

// arrive simulates the requests of a tick.
func (m *fleetModel) arrive(i int, n *modelNode) {
	for range poisson(m.rnd, m.steadyRate()/float64(m.serving())*modelTick.Seconds()) {
		m.request(n, m.names[m.rnd.IntN(len(m.names))])
	}
	for range poisson(m.rnd, m.flood(i)*modelTick.Seconds()) {
		m.request(n, "flood")
	}
}

// request simulates a request.
func (m *fleetModel) request(n *modelNode, account string) {
	n.meter.RecordRequest(m.now, modelService, account)
	if n.old {
		return
	}
	if m.measured(m.now) {
		m.asked[account]++
	}
	if m.gates {
		a := sagefair.Arrival{Account: account, Objective: m.now.Add(modelObjective), Deadline: m.now.Add(modelDeadline)}
		if e := n.gate.Offer(m.now, a); e.State == sagefair.Running {
			m.started(account, m.now)
		}
		return
	}
	if n.admit(m.now, account) {
		m.started(account, m.now)
	}
}

// advanceGate starts requests that waited at a node.
func (m *fleetModel) advanceGate(n *modelNode) {
	decided, _ := n.gate.Advance(m.now)
	for _, e := range decided {
		if e.State == sagefair.Running {
			m.started(e.Arrival.Account, e.Arrived)
		}
	}
}

// measured reports whether a request counts by its arrival. Those that may still wait at the end don't.
func (m *fleetModel) measured(arrived sageclock.Instant) bool {
	return arrived >= m.measureFrom && arrived < m.end.Add(-modelObjective)
}

// started counts a request that starts now.
func (m *fleetModel) started(account string, arrived sageclock.Instant) {
	if len(m.perWindow) > 0 {
		m.perWindow[len(m.perWindow)-1][account]++
	}
	if m.measured(arrived) {
		m.admitted[account]++
	}
}

// poisson returns a random number of events, given their mean.
func poisson(r *rand.Rand, mean float64) int {
	if mean == 0 {
		return 0
	}
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}

// lost reports whether a message is lost, one in twenty.
func (m *fleetModel) lost() bool { return m.rnd.IntN(20) == 0 }

// exchange sends a node's counts and updates its shares.
func (m *fleetModel) exchange(n *modelNode) {
	contended := func(string) bool {
		return float64(n.counter.Sum(m.now)[Key{Requests, modelService, ""}.String()]) > 0.5*m.capacity
	}
	if m.localOnly {
		contended = func(string) bool { return true }
	}
	counts := n.meter.Counts(m.now, contended)
	n.history.Put(m.now, counts)
	n.counter.Set(counts)
	sent := n.counter.Report()
	if !n.cut && !m.localOnly && !m.lost() {
		m.transit = append(m.transit, delivery{at: m.now.Add(m.delay(20, 200)), counts: sent, from: n})
	}
	fleet := map[string]int(n.counter.Sum(m.now))
	n.shares = Split(Of(modelService, n.history.At(m.now.Add(-modelCountLag)), fleet), Params{Capacity: m.capacity, Nodes: m.known})
	n.gate.SetShares(m.now, n.shares)
}

// delay returns a random delay.
func (m *fleetModel) delay(fromMillis, toMillis int) time.Duration {
	return time.Duration(fromMillis+m.rnd.IntN(toMillis-fromMillis)) * time.Millisecond
}

// sendSums sends the sum of all nodes to each node. With the intervals the counts arrive 0.2 to 1 s old.
func (m *fleetModel) sendSums() {
	sum := Truncate(m.sum.Sum(m.now))
	for _, n := range m.nodes {
		if !n.cut && !n.down && !m.localOnly && !m.lost() {
			m.transit = append(m.transit, delivery{at: m.now.Add(m.delay(20, 600)), counts: sum, to: n})
		}
	}
}

// deliver hands over the messages that arrive.
func (m *fleetModel) deliver() {
	kept := m.transit[:0]
	for _, d := range m.transit {
		switch {
		case d.at > m.now:
			kept = append(kept, d)
		case d.from != nil:
			m.sum.UpdateNode(m.now, d.from.name, "all", d.counts)
		case !d.to.down && !d.to.cut && !d.to.old && len(d.counts) > 0:
			d.to.counter.UpdateTotal(m.now, d.counts)
		}
	}
	m.transit = kept
}

// result is what a run gave.
type result struct {
	steadyServed float64 // part of the steady accounts' requests that was admitted, after the exchange's bound
	worstServed  float64 // the same of the account that got least
	capacityUsed float64 // after the exchange's bound
	// overCapacity is the longest time during which more than 1.1 times the capacity was admitted, overShare that during which
	// the flooding account got more than twice its share.
	overCapacity, overShare time.Duration
	// peak is the largest part of the capacity that was admitted, over half a second.
	peak float64
}

func (m *fleetModel) result() result {
	r := result{worstServed: 1}
	asked, admitted := 0, 0
	for _, a := range m.names {
		asked, admitted = asked+m.asked[a], admitted+m.admitted[a]
		if m.asked[a] > 0 {
			r.worstServed = min(r.worstServed, float64(m.admitted[a])/float64(m.asked[a]))
		}
	}
	r.steadyServed = float64(admitted) / float64(asked)
	r.capacityUsed = m.meanRate() / m.capacity
	share := m.capacity - m.steadyRate()
	all := func(w map[string]int) float64 {
		sum := 0
		for _, n := range w {
			sum += n
		}
		return float64(sum)
	}
	r.overCapacity, r.peak = m.longest(all, 1.1*m.capacity)
	r.overShare, _ = m.longest(func(w map[string]int) float64 { return float64(w["flood"]) }, 2*share)
	r.peak /= m.capacity
	return r
}

// meanRate returns the rate of starts from measureFrom to the end.
func (m *fleetModel) meanRate() float64 {
	first := int(time.Duration(m.measureFrom)/windowWidth) - 1 // the first window begins after one width
	sum := 0
	for _, w := range m.perWindow[first:] {
		for _, n := range w {
			sum += n
		}
	}
	return float64(sum) / (float64(len(m.perWindow)-first) * windowWidth.Seconds())
}

// longest returns the longest time during which the mean rate over half a second exceeded a limit, and the largest rate.
func (m *fleetModel) longest(count func(map[string]int) float64, limit float64) (longest time.Duration, peak float64) {
	const span = 5
	run := time.Duration(0)
	for i := span; i <= len(m.perWindow); i++ {
		sum := 0.0
		for _, w := range m.perWindow[i-span : i] {
			sum += count(w)
		}
		rate := sum / (span * windowWidth.Seconds())
		peak = max(peak, rate)
		if rate <= limit {
			run = 0
			continue
		}
		run += windowWidth
		longest = max(longest, run)
	}
	return longest, peak
}

func (r result) String() string {
	return fmt.Sprintf("steady %.3f (worst %.3f), capacity used %.3f, over capacity %v, peak %.2f, over share %v", r.steadyServed, r.worstServed, r.capacityUsed, r.overCapacity, r.peak, r.overShare)
}

// modelSize is the size of a fleet, the capacity of its service in requests per second, and for how long it is simulated.
type modelSize struct {
	nodes    int
	capacity float64
	end      time.Duration
}

var modelSizes = []modelSize{{4, 400, 8 * time.Second}, {65, 1200, 8 * time.Second}, {133, 600, 8 * time.Second}, {1000, 36_000, 5 * time.Second}}

// setDown stops or resumes a node. Its requests go to the others meanwhile.
func (m *fleetModel) setDown(n *modelNode, down bool) {
	if n.down != down {
		n.down = down
		if down {
			m.down++
		} else {
			m.down--
		}
	}
}

// floodThrough lets the flooding account ask at one node only while a condition holds.
func (m *fleetModel) floodThrough(node int, while func() bool) {
	otherwise := m.flood
	m.flood = func(i int) float64 {
		switch {
		case !while():
			return otherwise(i)
		case i == node:
			return m.floodRate()
		}
		return 0
	}
}

func always() bool { return true }
