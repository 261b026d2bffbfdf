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

// oneWay is how long a datagram takes, that of the users' sheets between data centres.
const oneWay = 900 * time.Microsecond

// event is something that happens in a virtual fleet.
type event struct {
	at  sageclock.Instant
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
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// virtual are many nodes in virtual time, with the real codec and without sockets.
type virtual struct {
	t         testing.TB
	rnd       *rand.Rand
	now       sageclock.Instant
	seq       int
	queue     events
	nodes     []*vnode
	byAddr    map[string]*vnode
	linkQueue time.Duration              // how long a datagram may wait for a link; 0 means links without end
	lossy     float64                    // share of datagrams that are lost
	cut       func(from, to *vnode) bool // datagrams that don't arrive
	falsely   int                        // live nodes that were dropped
}

type vnode struct {
	*Service
	dark bool
	// facts are what the node has to tell next.
	facts map[string][]uint64
	// heardOf is when each part was first heard of.
	heardOf map[uint64]sageclock.Instant
	// listed are the lists that the node has to tell next, knows how many parts it knows from lists.
	listed map[string][]sagechain.PartHash
	knows  map[string]map[sagechain.PartHash]bool
	sent   int
	bytes  int
	// out and in are when the node's link is free again.
	out, in sageclock.Instant
}

// pass lets a datagram through a link that is free at an instant, and reports when it is through, or false if
// the link is full.
func (v *virtual) pass(n *vnode, free *sageclock.Instant, size int) (sageclock.Instant, bool) {
	if v.linkQueue == 0 {
		return v.now, true
	}
	start := max(v.now, *free)
	if start.Sub(v.now) > v.linkQueue {
		return 0, false
	}
	*free = start.Add(time.Duration(float64(size*8) / float64(n.LinkMbps) * float64(time.Microsecond)))
	return *free, true
}

// newVirtual starts nodes in some data centres within 0.3 s, all known to each other as from the store. The
// first three of each data centre have wide links.
func newVirtual(t testing.TB, seed uint64, nodes, centres int) *virtual {
	v := &virtual{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[string]*vnode), now: sageclock.Instant(time.Hour)}
	v.cut = func(*vnode, *vnode) bool { return false }
	for i := range nodes {
		addr := fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1)
		n := &vnode{heardOf: make(map[uint64]sageclock.Instant), knows: make(map[string]map[sagechain.PartHash]bool)}
		link := 20
		if i/centres < 3 {
			link = 200
		}
		n.Service = &Service{
			Name: fmt.Sprint("vm", i), Address: addr, Entry: addr, DataCentre: fmt.Sprint("dc", i%centres), LinkMbps: link,
			Fill:    func(h *Heartbeat) { h.Ready = true },
			FillSum: func(h *Heartbeat, _ bool) { h.Sum = new(Sum) },
			FillUpdates: func(h *Heartbeat) {
				h.Held, h.Listed = n.facts, n.listed
				n.facts, n.listed = nil, nil
			},
			OnJoined: func(Member) {},
			OnLost: func(m Member) {
				if !v.byAddr[m.Address].dark {
					v.falsely++
				}
			},
			now: func() sageclock.Instant { return v.now },
		}
		n.OnHeartbeat = func(h *Heartbeat, _ sageclock.Instant) { n.learn(v.now, h) }
		n.write = func(b []byte, to *net.UDPAddr) { v.send(n, b, to.String()) }
		n.prepare(rand.New(rand.NewPCG(seed, uint64(i))))
		v.nodes = append(v.nodes, n)
		v.byAddr[addr] = n
	}
	for _, n := range v.nodes {
		for _, o := range v.nodes {
			require.NoError(t, n.AddPeer(o.Address))
		}
		v.after(time.Duration(v.rnd.IntN(300))*time.Millisecond, func() { v.often(n) })
	}
	return v
}

func (n *vnode) learn(now sageclock.Instant, h *Heartbeat) {
	for _, parts := range h.Held {
		for _, p := range parts {
			if _, ok := n.heardOf[p]; !ok {
				n.heardOf[p] = now
			}
		}
	}
	for u, parts := range h.Listed {
		if n.knows[u] == nil {
			n.knows[u] = make(map[sagechain.PartHash]bool)
		}
		for _, p := range parts {
			n.knows[u][p] = true
		}
	}
}

// due does what the loop of Run does when it is asked to.
func (n *vnode) due() {
	select {
	case a := <-n.announceTo:
		n.tellAnnounced(a)
	case <-n.nudge:
		n.tell(false)
	default:
	}
}

func (v *virtual) after(d time.Duration, do func()) {
	v.seq++
	heap.Push(&v.queue, event{v.now.Add(d), v.seq, do})
}

func (v *virtual) send(from *vnode, b []byte, to string) {
	from.sent++
	from.bytes += len(b)
	n := v.byAddr[to]
	if from.dark || n == nil || v.cut(from, n) || v.rnd.Float64() < v.lossy {
		return
	}
	through, ok := v.pass(from, &from.out, len(b))
	if !ok {
		return
	}
	v.after(through.Add(oneWay).Sub(v.now), func() {
		came, ok := v.pass(n, &n.in, len(b))
		if n.dark || !ok {
			return
		}
		v.after(came.Sub(v.now), func() {
			n.take(b)
			n.due()
		})
	})
}

func (v *virtual) often(n *vnode) {
	if !n.dark {
		n.between()
		n.due()
	}
	v.after(shortest, func() { v.often(n) })
}

// play lets time pass.
func (v *virtual) play(d time.Duration) {
	until := v.now.Add(d)
	for len(v.queue) > 0 && v.queue[0].at <= until {
		e := heap.Pop(&v.queue).(event)
		v.now = e.at
		e.do()
	}
	v.now = until
}

// naming returns how many of the living nodes count some dark node as live.
func (v *virtual) naming() int {
	n := 0
	for _, x := range v.nodes {
		if x.dark {
			continue
		}
		for _, m := range x.Live() {
			if v.byAddr[m.Address].dark {
				n++
				break
			}
		}
	}
	return n
}

// until plays on until done and returns how long that took, or fails after a while.
func (v *virtual) until(most time.Duration, done func() bool) time.Duration {
	began := v.now
	for !done() {
		require.Less(v.t, v.now.Sub(began), most)
		v.play(50 * time.Millisecond)
	}
	return v.now.Sub(began)
}
