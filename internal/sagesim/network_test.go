package sagesim

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// The network between the nodes.
const (
	oneWayLatency = 900 * time.Microsecond
	// maxQueueDelay is the longest wait of a datagram for a link.
	maxQueueDelay = 500 * time.Millisecond
	// socketBuffer is how many datagrams wait for a process that is busy.
	socketBuffer = 1024
)

// virtualNow returns the time of the virtual clock.
func virtualNow() sageclock.Instant { return sageclock.Instant(time.Now().UnixNano()) }

// link is one direction of a node's link.
type link struct {
	mbps   float64
	mu     sync.Mutex
	freeAt sageclock.Instant
	bytes  atomic.Int64
}

// reserve queues a message on the link and returns when it has passed.
func (l *link) reserve(at sageclock.Instant, size int) sageclock.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes.Add(int64(size))
	l.freeAt = max(l.freeAt, at).Add(time.Duration(float64(size*8) / l.mbps * float64(time.Microsecond)))
	return l.freeAt
}

// processor is a node's share of a core. Work of one node doesn't overlap.
type processor struct {
	share float64
	token chan struct{}
	used  atomic.Int64 // nanoseconds of a whole core
}

func newProcessor(share float64) *processor {
	return &processor{share: share, token: make(chan struct{}, 1)}
}

// run occupies the processor for work that takes d on a whole core.
func (p *processor) run(d time.Duration) {
	p.token <- struct{}{}
	time.Sleep(time.Duration(float64(d) / p.share))
	<-p.token
	p.used.Add(int64(d))
}

// Processor time of datagrams.
const (
	datagramTime     = 12 * time.Microsecond
	datagramByteTime = 8 * time.Nanosecond
)

func datagramCost(size int) time.Duration { return datagramTime + time.Duration(size)*datagramByteTime }

// datagram is a received datagram.
type datagram struct {
	data []byte
	from net.Addr
}

// socket is the datagram socket of a node. It implements [net.PacketConn].
type socket struct {
	net.PacketConn // nil; the methods that the mesh doesn't use
	node           *node
	in             chan datagram
	closed         chan struct{}
	sent           atomic.Int64
	dropped        atomic.Int64
}

func (s *socket) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case <-s.closed:
		return 0, nil, net.ErrClosed
	case d := <-s.in:
		s.node.cpu.run(datagramCost(len(d.data)))
		return copy(b, d.data), d.from, nil
	}
}

func (s *socket) WriteTo(b []byte, to net.Addr) (int, error) {
	s.node.cpu.run(datagramCost(len(b)))
	s.sent.Add(1)
	s.node.fleet.deliver(s.node, append([]byte(nil), b...), to.String())
	return len(b), nil
}

func (s *socket) Close() error {
	close(s.closed)
	return nil
}

// deliver sends a datagram over the links of both nodes.
func (f *fleet) deliver(from *node, data []byte, to string) {
	n := f.byAddress[to]
	now := virtualNow()
	if n == nil || from.down.Load() {
		return
	}
	departed := from.out.reserve(now, len(data))
	if departed.Sub(now) > maxQueueDelay {
		from.socket.dropped.Add(1)
		return
	}
	time.AfterFunc(departed.Add(oneWayLatency).Sub(now), func() {
		now := virtualNow()
		if n.down.Load() {
			return
		}
		arrived := n.in.reserve(now, len(data))
		if arrived.Sub(now) > maxQueueDelay {
			n.socket.dropped.Add(1)
			return
		}
		select {
		case n.socket.in <- datagram{data, from.addr}:
		default:
			n.socket.dropped.Add(1)
		}
	})
}

// transfer waits while a message of some size passes the links from one node to another.
func transfer(from, to *node, size int) {
	now := virtualNow()
	arrived := max(from.out.reserve(now, size), to.in.reserve(now, size))
	time.Sleep(arrived.Sub(now) + oneWayLatency)
}
