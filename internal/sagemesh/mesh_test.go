package sagemesh

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagerpc/heartbeat"
	"sagestand.example/sagestand/pkg/sageclock"
)

// node is one service with what it heard.
type node struct {
	*Service
	mu     sync.Mutex
	stamps int
	stop   func()
}

func freePort(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func start(t *testing.T, name, address string, seeds ...string) *node {
	t.Helper()
	n := new(node)
	n.Service = &Service{
		Name: name, Address: address, Seeds: seeds,
		Fill: func(h *Heartbeat) { h.Ready = true; h.Copies = map[string]sagefollow.Position{"k": {AsOf: 1}} },
		Heard: func(_ *Heartbeat, stamp sageclock.Instant) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if stamp != 0 {
				n.stamps++
			}
		},
		Joined: func(Member) {}, Lost: func(Member) {},
	}
	require.NoError(t, n.Open())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	n.stop = func() { cancel(); <-done }
	t.Cleanup(n.stop)
	return n
}

func (n *node) echoed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stamps
}

const patience = 20 * time.Second

// A node knows one seed only, and the directory names nobody else: all nodes have to hear of each
// other, and one that dies has to be dropped.
func TestNodesFindEachOtherThroughOneSeed(t *testing.T) {
	addrs := []string{freePort(t), freePort(t), freePort(t)}
	a := start(t, "a", addrs[0])
	b := start(t, "b", addrs[1], addrs[0])
	c := start(t, "c", addrs[2], addrs[0])
	for _, n := range []*node{a, b, c} {
		require.Eventually(t, func() bool { return len(n.Live()) == 2 }, patience, 10*time.Millisecond)
		require.Eventually(t, func() bool { return n.echoed() > 0 }, patience, 10*time.Millisecond, "its stamps come back")
		require.Len(t, n.Known(), 3)
	}
	ranks := map[int]bool{a.Rank(false): true, b.Rank(false): true, c.Rank(false): true}
	require.Len(t, ranks, 3, "one place each")
	c.stop()
	require.Eventually(t, func() bool { return len(a.Live()) == 1 && len(b.Live()) == 1 }, patience, 10*time.Millisecond)
}

// A VM restarts and its clock since boot begins anew. A peer echoes a stamp of the process before,
// which is later than now, and keys that were taken away seem fresh for hours.
func TestEchoOfAnEarlierProcessProvesNothing(t *testing.T) {
	n := start(t, "a", freePort(t))
	var got []sageclock.Instant
	n.Heard = func(_ *Heartbeat, stamp sageclock.Instant) { got = append(got, stamp) }
	other := freePort(t)
	n.hear(&Heartbeat{Identity: Identity{Node: "b"}, Address: other, Stamp: Stamp{1, 5}, Echo: Stamp{n.incarnation + 1, 999}})
	n.hear(&Heartbeat{Identity: Identity{Node: "b"}, Address: other, Stamp: Stamp{1, 6}, Echo: Stamp{n.incarnation, 42}})
	n.hear(&Heartbeat{Identity: Identity{Node: "b"}, Address: other, Stamp: Stamp{1, 4}, Echo: Stamp{n.incarnation, 43}})
	require.Equal(t, []sageclock.Instant{0, 42}, got, "an overtaken heartbeat is left out")
	n.hear(&Heartbeat{Identity: Identity{Node: "b"}, Address: other, Stamp: Stamp{2, 1}, Echo: Stamp{n.incarnation, 44}})
	require.Len(t, got, 3, "a new process counts from the start")
}

// A key that was taken away is trusted for seconds too long: a node was frozen while it made a
// heartbeat, heard a newer stamp when it went on, and echoed that with the age of its proof from before.
func TestEchoIsNotNewerThanWhatIsTold(t *testing.T) {
	to, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = to.Close() }()
	address := to.LocalAddr().String()
	n := &Service{Name: "a", Address: freePort(t), Heard: func(*Heartbeat, sageclock.Instant) {}, Joined: func(Member) {}, Lost: func(Member) {}}
	n.Fill = func(*Heartbeat) {
		n.hear(&Heartbeat{Identity: Identity{Node: "b"}, Address: address, Stamp: Stamp{1, 99}})
	}
	require.NoError(t, n.Open())
	defer func() { _ = n.conn.Close() }()
	n.hear(&Heartbeat{Identity: Identity{Node: "b"}, Address: address, Stamp: Stamp{1, 5}})
	n.tell(false)
	b := make([]byte, maxDatagram)
	size, _, err := to.ReadFrom(b)
	require.NoError(t, err)
	h, err := decode(b[:size])
	require.NoError(t, err)
	require.Equal(t, Stamp{1, 5}, h.Echo)
}

// The store refuses a node that is alive otherwise; were it ranked, nobody else would watch.
func TestBlindAndLeavingNodesAreNotRanked(t *testing.T) {
	n := start(t, "a", freePort(t))
	for i := range 20 {
		addr := freePort(t)
		n.hear(&Heartbeat{Identity: Identity{Node: addr}, Address: addr, Stamp: Stamp{1, 1}, Blind: i%2 == 0, Leaving: i%2 == 1})
	}
	require.Zero(t, n.Rank(false))
	require.LessOrEqual(t, n.Rank(true), 10, "a blind node counts the blind ones")
	seeing := freePort(t)
	before := n.Rank(true)
	n.hear(&Heartbeat{Identity: Identity{Node: seeing}, Address: seeing, Stamp: Stamp{1, 1}})
	require.Equal(t, before+1, n.Rank(true), "and comes behind those that see")
	n.hear(&Heartbeat{Identity: Identity{Node: "x"}, Address: "nonsense", Stamp: Stamp{1, 1}})
	require.Len(t, n.Known(), 22, "an address that can't be used names no node")
}

// In a large fleet heartbeats are a second apart. The nodes that watch the store are cut off, and a
// configuration is late everywhere because the next ones notice too late.
func TestStandbysTellEachOtherQuickly(t *testing.T) {
	n := start(t, "a", freePort(t))
	for range 60 {
		addr := freePort(t)
		n.hear(&Heartbeat{Identity: Identity{Node: addr}, Address: addr, Stamp: Stamp{1, 1}})
	}
	require.Greater(t, n.Interval(), shortest)
	standby := n.standby()
	require.Len(t, standby, quick)
	n.tellQuick()
	require.Equal(t, n.Rank(false) < quick, n.Quick())
	n.hear(&Heartbeat{Identity: Identity{Node: standby[0]}, Address: standby[0], Stamp: Stamp{1, 2}, Blind: true})
	if standby[0] != n.Address {
		require.NotContains(t, n.standby(), standby[0], "one that the store refuses does not stand by")
	}
}

// Prompts are read again in other data centres: what engines hold is told only once, and that once was a
// heartbeat to the nodes nearby or to those that stand by.
func TestNewsGoesToAllNodesOnly(t *testing.T) {
	n := &Service{Name: "a", Address: freePort(t), Heard: func(*Heartbeat, sageclock.Instant) {}, Joined: func(Member) {}, Lost: func(Member) {}}
	told := 0
	n.Fill = func(*Heartbeat) {}
	n.FillNews = func(*Heartbeat) { told++ }
	require.NoError(t, n.Open())
	defer func() { _ = n.conn.Close() }()
	n.tell(true)
	n.tellQuick()
	require.Zero(t, told)
	n.tell(false)
	require.Equal(t, 1, told)
}

// A VM restarts at the same address. The others leave out who they are, since they told the process
// before it, and the new one can name nobody to callers for an interval or, if it forgot them, for good.
func TestIdentityIsStatedAgainToANewIncarnation(t *testing.T) {
	n := &Service{Name: "a", Address: freePort(t), Heard: func(*Heartbeat, sageclock.Instant) {}, Joined: func(Member) {}, Lost: func(Member) {}}
	n.Fill = func(h *Heartbeat) { h.Entry, h.DataCentre = "entry", "dc" }
	require.NoError(t, n.Open())
	defer func() { _ = n.conn.Close() }()
	to, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = to.Close() }()
	other := to.LocalAddr().String()
	told := func() *Heartbeat {
		b := make([]byte, maxDatagram)
		size, _, err := to.ReadFrom(b)
		require.NoError(t, err)
		h, err := decode(b[:size])
		require.NoError(t, err)
		return h
	}
	id := Identity{Node: "b", Entry: "e", DataCentre: "z"}

	n.hear(&Heartbeat{Address: other, Stamp: Stamp{1, 1}})
	require.Empty(t, n.Live(), "nobody said who that is")
	require.Equal(t, other, <-n.strangers, "so it is asked at once")
	n.tellOne(other)
	require.Equal(t, Identity{"a", "entry", "dc"}, told().Identity)

	n.hear(&Heartbeat{Address: other, Identity: id, Stamp: Stamp{1, 2}, Echo: Stamp{n.incarnation, 1}})
	require.Equal(t, id, n.Live()[0].Identity)
	n.tell(false)
	require.Equal(t, Identity{}, told().Identity, "it knows this one")
	n.hear(&Heartbeat{Address: other, Stamp: Stamp{1, 3}, Echo: Stamp{n.incarnation, 2}})
	require.Equal(t, id, n.Live()[0].Identity, "kept from the first time")

	n.hear(&Heartbeat{Address: other, Identity: id, Stamp: Stamp{2, 1}, Echo: Stamp{77, 2}})
	n.tell(false)
	require.Equal(t, Identity{"a", "entry", "dc"}, told().Identity, "its new process doesn't")
}

// A datagram of another program, or a damaged one, comes in: it must not be taken for a node.
func TestDamagedHeartbeats(t *testing.T) {
	address, err := packAddress("127.0.0.1:9")
	require.NoError(t, err)
	good := func() *heartbeat.Heartbeat {
		return &heartbeat.Heartbeat{Address: address, Stamp: &heartbeat.Stamp{Incarnation: 1, At: 1}}
	}
	for _, tt := range []struct {
		name string
		harm func(m *heartbeat.Heartbeat)
		want error
	}{
		{"whole", func(*heartbeat.Heartbeat) {}, nil},
		{"no address", func(m *heartbeat.Heartbeat) { m.Address = nil }, ErrHeartbeat},
		{"long address", func(m *heartbeat.Heartbeat) { m.Address = make([]byte, 18) }, ErrHeartbeat},
		{"no stamp", func(m *heartbeat.Heartbeat) { m.Stamp = nil }, ErrHeartbeat},
		{"counts without upstreams", func(m *heartbeat.Heartbeat) { m.InFlight = []uint32{1} }, ErrHeartbeat},
		{"damaged known address", func(m *heartbeat.Heartbeat) { m.Known = [][]byte{{1}} }, ErrHeartbeat},
	} {
		m := good()
		tt.harm(m)
		b, err := proto.Marshal(m)
		require.NoError(t, err)
		_, err = decode(b)
		require.ErrorIs(t, err, tt.want, tt.name)
	}
	_, err = decode([]byte("GET / HTTP/1.1"))
	require.ErrorIs(t, err, ErrHeartbeat)
}

func TestHeartbeatRoundTrip(t *testing.T) {
	h := usual(4)
	h.Held = map[string][]uint64{"e": {1, 1 << 63}}
	h.Blind, h.Leaving = true, true
	common, err := h.encode()
	require.NoError(t, err)
	b, err := (&extra{h.Echo, &h.Identity, h.Known}).append(common)
	require.NoError(t, err)
	back, err := decode(b)
	require.NoError(t, err)
	require.Equal(t, h, back)
}

func FuzzHeartbeat(f *testing.F) {
	seed, err := usual(3).encode()
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, b []byte) {
		s := &Service{Name: "z", Address: "127.0.0.1:9", Heard: func(*Heartbeat, sageclock.Instant) {}, Joined: func(Member) {}, Lost: func(Member) {}}
		s.peers, s.live, s.ever = map[string]*peer{}, map[string]bool{}, map[string]bool{}
		s.take(b)
	})
}
