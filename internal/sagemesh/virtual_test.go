package sagemesh

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// oneWayLatency is the latency of a datagram: the value that the users specify for links between data centres.
const oneWayLatency = 900 * time.Microsecond

// event is a function that runs at an instant of virtual time. Events at the same instant run in the order of seq.
type event struct {
	at  sageclock.Instant
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// virtualFleet is a fleet of nodes in virtual time, with the real codec and without sockets.
type virtualFleet struct {
	t           testing.TB
	rnd         *rand.Rand
	now         sageclock.Instant
	seq         int
	queue       events
	nodes       []*virtualNode
	byAddr      map[string]*virtualNode
	maxLinkWait time.Duration                    // longest wait of a datagram for a link; 0: no link limits
	lossRate    float64                          // fraction of datagrams lost at random
	cutOff      func(from, to *virtualNode) bool // selects datagrams that are lost
	falseDrops  int                              // nodes dropped although they were up
}

type virtualNode struct {
	*Service
	down bool
	// heldUpdates are the observed parts that the node sends next.
	heldUpdates map[string][]uint64
	// firstReceived is when each observed part was first received.
	firstReceived map[uint64]sageclock.Instant
	// listedUpdates are the listed parts that the node sends next, knownListed those that it has received.
	listedUpdates map[string][]sagechain.PartHash
	knownListed   map[string]map[sagechain.PartHash]bool
	sent          int
	bytes         int
	// outFreeAt and inFreeAt are when the node's link is free again in each direction.
	outFreeAt, inFreeAt sageclock.Instant
}

// passLink sends a datagram through one direction of a node's link, which is free at freeAt. It returns when the
// datagram has passed, or false if it is dropped because the wait would be too long.
func (v *virtualFleet) passLink(n *virtualNode, freeAt *sageclock.Instant, size int) (sageclock.Instant, bool) {
	if v.maxLinkWait == 0 {
		return v.now, true
	}
	start := max(v.now, *freeAt)
	if start.Sub(v.now) > v.maxLinkWait {
		return 0, false
	}
	*freeAt = start.Add(time.Duration(float64(size*8) / float64(n.LinkMbps) * float64(time.Microsecond)))
	return *freeAt, true
}

// newVirtualFleet returns a fleet whose nodes start within 0.3 s and know each other's addresses, as they would
// from the store. The first three nodes of each data centre have fast links.
func newVirtualFleet(t testing.TB, seed uint64, nodes, centres int) *virtualFleet {
	v := &virtualFleet{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[string]*virtualNode), now: sageclock.Instant(time.Hour)}
	v.cutOff = func(*virtualNode, *virtualNode) bool { return false }
	for i := range nodes {
		addr := fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1)
		n := &virtualNode{firstReceived: make(map[uint64]sageclock.Instant), knownListed: make(map[string]map[sagechain.PartHash]bool)}
		link := 20
		if i/centres < 3 {
			link = 200
		}
		n.Service = &Service{
			Name: fmt.Sprint("vm", i), Address: addr, Entry: addr, DataCentre: fmt.Sprint("dc", i%centres), LinkMbps: link,
			Fill:    func(h *Heartbeat) { h.Ready = true },
			FillSum: func(h *Heartbeat, _ bool) { h.Sum = new(Sum) },
			FillUpdates: func(h *Heartbeat) {
				h.Held, h.Listed = n.heldUpdates, n.listedUpdates
				n.heldUpdates, n.listedUpdates = nil, nil
			},
			OnJoined: func(Member) {},
			OnLost: func(m Member) {
				if !v.byAddr[m.Address].down {
					v.falseDrops++
				}
			},
			now: func() sageclock.Instant { return v.now },
		}
		n.OnHeartbeat = func(h *Heartbeat, _ sageclock.Instant) { n.record(v.now, h) }
		n.write = func(b []byte, to *net.UDPAddr) { v.send(n, b, to.String()) }
		n.initState(rand.New(rand.NewPCG(seed, uint64(i))))
		v.nodes = append(v.nodes, n)
		v.byAddr[addr] = n
	}
	for _, n := range v.nodes {
		for _, o := range v.nodes {
			require.NoError(t, n.AddPeer(o.Address))
		}
		v.schedule(time.Duration(v.rnd.IntN(300))*time.Millisecond, func() { v.tickForever(n) })
	}
	return v
}

func (n *virtualNode) record(now sageclock.Instant, h *Heartbeat) {
	for _, parts := range h.Held {
		for _, p := range parts {
			if _, ok := n.firstReceived[p]; !ok {
				n.firstReceived[p] = now
			}
		}
	}
	for u, parts := range h.Listed {
		if n.knownListed[u] == nil {
			n.knownListed[u] = make(map[sagechain.PartHash]bool)
		}
		for _, p := range parts {
			n.knownListed[u][p] = true
		}
	}
}

// runTriggered does what the loop of Run does when an announcement is queued or a broadcast is triggered.
func (n *virtualNode) runTriggered() {
	select {
	case a := <-n.announceQueue:
		n.sendAnnouncements(a)
	case <-n.triggerAll:
		n.broadcast(false)
	default:
	}
}

func (v *virtualFleet) schedule(d time.Duration, run func()) {
	v.seq++
	heap.Push(&v.queue, event{v.now.Add(d), v.seq, run})
}

func (v *virtualFleet) send(from *virtualNode, b []byte, to string) {
	from.sent++
	from.bytes += len(b)
	n := v.byAddr[to]
	if from.down || n == nil || v.cutOff(from, n) || v.rnd.Float64() < v.lossRate {
		return
	}
	departed, ok := v.passLink(from, &from.outFreeAt, len(b))
	if !ok {
		return
	}
	v.schedule(departed.Add(oneWayLatency).Sub(v.now), func() {
		arrived, ok := v.passLink(n, &n.inFreeAt, len(b))
		if n.down || !ok {
			return
		}
		v.schedule(arrived.Sub(v.now), func() {
			n.handleDatagram(b)
			n.runTriggered()
		})
	})
}

func (v *virtualFleet) tickForever(n *virtualNode) {
	if !n.down {
		n.tick()
		n.runTriggered()
	}
	v.schedule(shortestInterval, func() { v.tickForever(n) })
}

// advance runs the events of the next d of virtual time.
func (v *virtualFleet) advance(d time.Duration) {
	until := v.now.Add(d)
	for len(v.queue) > 0 && v.queue[0].at <= until {
		e := heap.Pop(&v.queue).(event)
		v.now = e.at
		e.run()
	}
	v.now = until
}

// countStaleViews returns how many nodes that are up still count a node that is down as live.
func (v *virtualFleet) countStaleViews() int {
	n := 0
	for _, x := range v.nodes {
		if x.down {
			continue
		}
		for _, m := range x.Live() {
			if v.byAddr[m.Address].down {
				n++
				break
			}
		}
	}
	return n
}

// advanceUntil advances the time until done returns true and returns how long that took. The test fails after
// limit.
func (v *virtualFleet) advanceUntil(limit time.Duration, done func() bool) time.Duration {
	started := v.now
	for !done() {
		require.Less(v.t, v.now.Sub(started), limit)
		v.advance(50 * time.Millisecond)
	}
	return v.now.Sub(started)
}
