package sagemesh

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagerpc/heartbeat"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagerollout"
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

// nobody returns the i-th of some addresses on loopback at which nothing listens. Ports that are free when
// they are drawn may be drawn again, or be taken by a node of another test.
func nobody(i int) string { return fmt.Sprintf("127.9.1.%d:9", i+1) }

// prepare returns a node that does not run yet.
func prepare(name, address string, seeds ...string) *node {
	n := new(node)
	n.Service = &Service{
		Name: name, Address: address, Seeds: seeds,
		Fill:        func(h *Heartbeat) { h.Ready = true; h.Copies = map[string]sagefollow.Position{"k": {AsOf: 1}} },
		FillSum:     func(h *Heartbeat, _ bool) { h.Sum = new(Sum) },
		FillUpdates: func(*Heartbeat) {},
		OnHeartbeat: func(_ *Heartbeat, stamp sageclock.Instant) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if stamp != 0 {
				n.stamps++
			}
		},
		OnJoined: func(Member) {}, OnLost: func(Member) {},
	}
	return n
}

// run runs a node until the test ends or it is stopped.
func (n *node) run(t *testing.T) *node {
	t.Helper()
	require.NoError(t, n.Open())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	n.stop = func() { cancel(); <-done }
	t.Cleanup(n.stop)
	return n
}

// listen lets a node hear until the test ends; what it tells is up to the test.
func (n *node) listen(t *testing.T) {
	t.Helper()
	require.NoError(t, n.Open())
	done := make(chan struct{})
	go func() { defer close(done); n.receive(t.Context()) }()
	t.Cleanup(func() { _ = n.conn.Close(); <-done })
}

func start(t *testing.T, name, address string, seeds ...string) *node {
	t.Helper()
	return prepare(name, address, seeds...).run(t)
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
		require.Len(t, n.KnownNodes(), 3)
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
	n.OnHeartbeat = func(_ *Heartbeat, stamp sageclock.Instant) { got = append(got, stamp) }
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
	n := &Service{Name: "a", Address: freePort(t), OnHeartbeat: func(*Heartbeat, sageclock.Instant) {}, OnJoined: func(Member) {}, OnLost: func(Member) {}}
	n.FillUpdates = func(*Heartbeat) {}
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
	h, err := decode(0, b[:size])
	require.NoError(t, err)
	require.Equal(t, Stamp{1, 5}, h.Echo)
}

// The store refuses a node that is alive otherwise; were it ranked, nobody else would watch.
func TestBlindAndLeavingNodesAreNotRanked(t *testing.T) {
	n := start(t, "a", freePort(t))
	for i := range 20 {
		addr := nobody(i)
		n.hear(&Heartbeat{Identity: Identity{Node: addr}, Address: addr, Stamp: Stamp{1, 1}, StoreUnreachable: i%2 == 0, Leaving: i%2 == 1})
	}
	require.Zero(t, n.Rank(false))
	require.LessOrEqual(t, n.Rank(true), 10, "a blind node counts the blind ones")
	seeing := nobody(20)
	before := n.Rank(true)
	n.hear(&Heartbeat{Identity: Identity{Node: seeing}, Address: seeing, Stamp: Stamp{1, 1}})
	require.Equal(t, before+1, n.Rank(true), "and comes behind those that see")
	n.hear(&Heartbeat{Identity: Identity{Node: "x"}, Address: "nonsense", Stamp: Stamp{1, 1}})
	require.Len(t, n.KnownNodes(), 22, "an address that can't be used names no node")
}

// In a large fleet heartbeats are a second apart. The nodes that watch the store are cut off, and a
// configuration is late everywhere because the next ones notice too late.
func TestStandbysTellEachOtherQuickly(t *testing.T) {
	n := prepare("a", freePort(t))
	require.NoError(t, n.Open())
	defer func() { _ = n.conn.Close() }()
	n.soonTo = make(map[string]bool)
	for i := range 60 {
		addr := nobody(i)
		n.hear(&Heartbeat{Identity: Identity{Node: addr}, Address: addr, Stamp: Stamp{1, 1}})
	}
	require.Greater(t, n.Interval(), shortest)
	standby := n.standby()
	require.Len(t, standby, quick)
	n.tellQuick()
	require.Equal(t, n.Rank(false) < quick, n.IsStandby())
	n.hear(&Heartbeat{Identity: Identity{Node: standby[0]}, Address: standby[0], Stamp: Stamp{1, 2}, StoreUnreachable: true})
	if standby[0] != n.Address {
		require.NotContains(t, n.standby(), standby[0], "one that the store refuses does not stand by")
	}
}

// Prompts are read again in other data centres: what engines hold is told only once, and that once was a
// heartbeat to the nodes nearby, to those that stand by, or to a hub that was just killed.
func TestNewsGoesToAllNodes(t *testing.T) {
	n := &Service{Name: "a", Address: freePort(t), OnHeartbeat: func(*Heartbeat, sageclock.Instant) {}, OnJoined: func(Member) {}, OnLost: func(Member) {}}
	facts := map[string][]uint64{"e": {7}}
	n.Fill = func(*Heartbeat) {}
	n.FillUpdates = func(h *Heartbeat) { h.Held, facts = facts, nil }
	n.FillSum = func(h *Heartbeat, _ bool) { h.Sum = new(Sum) }
	require.NoError(t, n.Open())
	defer func() { _ = n.conn.Close() }()
	var told []*Heartbeat
	n.write = func(b []byte, _ *net.UDPAddr) {
		h, err := decode(0, b)
		require.NoError(t, err)
		told = append(told, h)
	}
	const others = 2 * smallFleet
	for i := range others {
		n.hear(&Heartbeat{Identity: Identity{Node: nobody(i)}, Address: nobody(i), Stamp: Stamp{1, 1}})
	}
	n.tell(true)
	n.soonTo = make(map[string]bool)
	n.tellQuick()
	require.NotNil(t, facts, "not taken for these")
	n.tellHubs()
	require.Nil(t, facts)
	told = nil
	n.tell(false)
	require.Len(t, told, others)
	for _, h := range told {
		require.Equal(t, map[string][]uint64{"e": {7}}, h.Held, "hubs were told, all are told again")
	}
	told = nil
	n.tell(false)
	require.Empty(t, told[0].Held)
}

// A VM restarts at the same address. The others leave out who they are, since they told the process
// before it, and the new one can name nobody to callers for an interval or, if it forgot them, for good.
func TestIdentityIsStatedAgainToANewIncarnation(t *testing.T) {
	n := &Service{Name: "a", Address: freePort(t), Entry: "entry", DataCentre: "dc", OnHeartbeat: func(*Heartbeat, sageclock.Instant) {}, OnJoined: func(Member) {}, OnLost: func(Member) {}}
	n.Fill, n.FillUpdates = func(*Heartbeat) {}, func(*Heartbeat) {}
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
		h, err := decode(0, b[:size])
		require.NoError(t, err)
		return h
	}
	id := Identity{Node: "b", Entry: "e", DataCentre: "z"}

	n.hear(&Heartbeat{Address: other, Stamp: Stamp{1, 1}})
	require.Empty(t, n.Live(), "nobody said who that is")
	require.Equal(t, other, <-n.announceTo, "so it is asked at once")
	n.tellAnnounced(other)
	require.Equal(t, Identity{"a", "entry", "dc", 0}, told().Identity)

	n.hear(&Heartbeat{Address: other, Identity: id, Stamp: Stamp{1, 2}, Echo: Stamp{n.incarnation, 1}})
	require.Equal(t, id, n.Live()[0].Identity)
	n.tell(false)
	require.Equal(t, Identity{}, told().Identity, "it knows this one")
	n.hear(&Heartbeat{Address: other, Stamp: Stamp{1, 3}, Echo: Stamp{n.incarnation, 2}})
	require.Equal(t, id, n.Live()[0].Identity, "kept from the first time")

	n.hear(&Heartbeat{Address: other, Identity: id, Stamp: Stamp{2, 1}, Echo: Stamp{77, 2}})
	n.tell(false)
	require.Equal(t, Identity{"a", "entry", "dc", 0}, told().Identity, "its new process doesn't")
}

// In a large fleet nodes hear of each other once a second, fill the same engine together, and answers get
// slow there. One node a data centre gathers counts five times a second: all must agree on which, it must
// tell the others' hubs, their deputies and its own nodes, and a node that leaves must not be the one.
func TestOneNodeADataCentreIsTheHub(t *testing.T) {
	type sum struct {
		address string
		all     bool
	}
	var mu sync.Mutex
	told := map[string][]sum{}
	nodes := map[string]*node{}
	var addrs []string
	for range 6 {
		addrs = append(addrs, freePort(t))
	}
	for i, a := range addrs {
		n := prepare(a, a, addrs...)
		n.DataCentre = []string{"north", "south"}[i%2]
		nodes[a] = n
		n.FillSum = func(h *Heartbeat, all bool) { h.Sum = &Sum{FleetWide: all, InFlight: map[string]int{"e": 1}} }
		n.OnHeartbeat = func(h *Heartbeat, _ sageclock.Instant) {
			mu.Lock()
			defer mu.Unlock()
			if m := h.Member(); h.Sum != nil && n.IsAggregator(&m) {
				told[n.Address] = append(told[n.Address], sum{h.Address, h.Sum.FleetWide})
			}
		}
		n.listen(t)
	}
	require.Eventually(t, func() bool {
		known := true
		for _, n := range nodes {
			n.tell(false)
			known = known && len(n.Live()) == len(addrs)-1
		}
		return known
	}, patience, 10*time.Millisecond)
	first := nodes[addrs[0]].hubs()
	require.Len(t, first, 2)
	for _, n := range nodes {
		require.Equal(t, first, n.hubs(), "all agree")
		n.tellHubs()
	}
	want := func(a string) []sum {
		n := nodes[a]
		mine, far := first[n.DataCentre], first["north"]
		if n.DataCentre == "north" {
			far = first["south"]
		}
		var out []sum
		if mine.first != a {
			out = append(out, sum{mine.first, true})
		}
		if mine.has(a) {
			out = append(out, sum{far.first, false})
		}
		return out
	}
	for _, a := range addrs {
		require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(told[a]) == len(want(a)) }, patience, 10*time.Millisecond)
		mu.Lock()
		require.ElementsMatch(t, want(a), told[a])
		mu.Unlock()
	}
	other := nodes[addrs[0]]
	for _, n := range nodes {
		if n.DataCentre != other.DataCentre {
			continue
		}
		if a := first[n.DataCentre].first; a != other.Address {
			other.hear(&Heartbeat{Identity: Identity{Node: a, DataCentre: n.DataCentre}, Address: a, Leaving: true, Stamp: Stamp{1, 1}})
			require.NotEqual(t, a, other.hubs()[n.DataCentre].first, "it leaves")
		}
	}
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
		{"sum without upstreams", func(m *heartbeat.Heartbeat) { m.Sum = &heartbeat.Sum{InFlight: []uint32{1}} }, ErrHeartbeat},
		{"sum of broken ones without upstreams", func(m *heartbeat.Heartbeat) { m.Sum = &heartbeat.Sum{Broken: []uint32{1}} }, ErrHeartbeat},
		{"damaged silent address", func(m *heartbeat.Heartbeat) { m.Silent = [][]byte{{1}} }, ErrHeartbeat},
		{"answers without keys", func(m *heartbeat.Heartbeat) { m.Answers = []uint32{1} }, ErrHeartbeat},
		{"sum of answers without keys", func(m *heartbeat.Heartbeat) { m.Sum = &heartbeat.Sum{Answers: []uint32{1}} }, ErrHeartbeat},
		{"plan with a share above one", func(m *heartbeat.Heartbeat) { m.Plans = []*heartbeat.Plan{{Share: 1.5}} }, ErrHeartbeat},
		{"plan whose share is no number", func(m *heartbeat.Heartbeat) { m.Plans = []*heartbeat.Plan{{Share: float32(math.NaN())}} }, ErrHeartbeat},
		{"damaged known address", func(m *heartbeat.Heartbeat) { m.Known = [][]byte{{1}} }, ErrHeartbeat},
	} {
		m := good()
		tt.harm(m)
		b, err := proto.Marshal(m)
		require.NoError(t, err)
		_, err = decode(0, b)
		require.ErrorIs(t, err, tt.want, tt.name)
	}
	_, err = decode(0, []byte("GET / HTTP/1.1"))
	require.ErrorIs(t, err, ErrHeartbeat)
}

func TestHeartbeatRoundTrip(t *testing.T) {
	h := usual(4)
	h.Held = map[string][]uint64{"e": {1, 1 << 63}}
	h.Listed = map[string][]sagechain.PartHash{"f": {7, 1 << 31}}
	h.StoreUnreachable, h.Leaving, h.Broken = true, true, []string{"e"}
	h.Sum = &Sum{FleetWide: true, InFlight: map[string]int{"e": 9}, Broken: map[string]int{"f": 2}, Answers: map[string]int{"2/1/0/r": 4}}
	h.Answers = map[string]int{"2/2/1/r": 3}
	h.Plans = []sagerollout.Plan{{OrderID: 2, Phase: sagerollout.PhaseRamp, Share: 0.25, Sequence: 7, Controller: "vm1", IssuedAt: h.Stamp.At.Add(-time.Second), PhaseSince: h.Stamp.At.Add(-2 * time.Second)}}
	h.ShortInterval, h.ReplyRequested, h.Forward, h.Unresponsive = true, true, true, h.KnownAddresses[:1]
	common, err := h.encode()
	require.NoError(t, err)
	b, err := (&extra{h.Echo, &h.Identity, h.KnownAddresses, h.ShortInterval}).append(common)
	require.NoError(t, err)
	back, err := decode(h.Stamp.At, b)
	require.NoError(t, err)
	require.Equal(t, h, back)
}

func FuzzHeartbeat(f *testing.F) {
	seed, err := usual(3).encode()
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, b []byte) {
		s := &Service{Name: "z", Address: "127.0.0.1:9", OnHeartbeat: func(*Heartbeat, sageclock.Instant) {}, OnJoined: func(Member) {}, OnLost: func(Member) {}}
		s.now = sageclock.Now
		s.prepare(rand.New(rand.NewPCG(1, 1)))
		s.take(b)
	})
}
