package sagemesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// standbyCount is the number of standby nodes, the first ones by rank, which exchange heartbeats at the
	// shortest interval in a fleet of any size. They query the store or stand by to do so, and detect within
	// a second and a half that the querying nodes are lost. Together they send 150 datagrams a second.
	standbyCount = 6
	// addressesPerHeartbeat is how many addresses of other nodes a heartbeat carries. A receiver that knows
	// this node gets them with one of addressesEvery heartbeats on average, since it needs them only to
	// discover nodes that the store did not list.
	addressesPerHeartbeat = 3
	addressesEvery        = 4
	// announceQueueSize bounds the queue of nodes that get an immediate heartbeat. Nodes for which there is no
	// capacity get the next regular one.
	announceQueueSize = 64
	// forgetAfter is the time without contact after which an address that isn't a seed gets no more heartbeats.
	forgetAfter      = 5 * time.Minute
	maxDatagramBytes = 60 << 10
)

// ErrAddress reports a node address that isn't an IP address and a port.
var ErrAddress = errors.New("node address is not ip:port")

// peer is what this node knows of another one.
type peer struct {
	addr   *net.UDPAddr
	member Member
	// rankHash and aggregatorHash are the hashes of the address that decide the roles.
	rankHash, aggregatorHash uint64
	stamp                    Stamp // the last one received
	// knowsSelf says that the peer knows this node's identity: it echoed a stamp of this process.
	knowsSelf bool
	// lastAnnounced is when an immediate heartbeat to the peer was last queued.
	lastAnnounced sageclock.Instant
	lastContact   sageclock.Instant
	addedAt       sageclock.Instant
	// shortInterval says that the peer sends heartbeats to this node at the shortest interval.
	shortInterval bool
	// probedAt is when the first probe since the last contact was sent, reportedAt when an aggregator last
	// reported the peer as unresponsive, droppedAt when this node last dropped it.
	probedAt, reportedAt, droppedAt sageclock.Instant
	seed                            bool
}

// Service sends and receives heartbeats. Exported fields are set before Open.
type Service struct {
	// Name, Address (for other nodes), Entry (for callers) and DataCentre identify this node.
	Name, Address, Entry, DataCentre string
	// Region is the region of the data centre; may be empty.
	Region string
	// LinkMbps is the bandwidth of this node's link, 0 if unknown. Nodes with fast links become aggregators.
	LinkMbps int
	// Seeds are addresses of some other nodes.
	Seeds []string
	// Fill sets the state of this node in a heartbeat, except for its identity and the stamps.
	Fill func(h *Heartbeat)
	// FillSum adds the sum of the counts of this data centre's nodes, or of all nodes.
	FillSum func(h *Heartbeat, fleetWide bool)
	// FillUpdates adds the cached prompt parts that have not been sent yet.
	FillUpdates func(h *Heartbeat)
	// OnHeartbeat is called for each heartbeat from a node whose identity is known. The stamp is the instant of
	// this node's latest stamp that the sender echoed, or 0 if it echoed none of this process.
	OnHeartbeat func(h *Heartbeat, stamp sageclock.Instant)
	// OnMessage is called for each message that a node sent with SendMessage, with the node's address. It must not keep
	// the message and must not wait. May be nil.
	OnMessage func(b []byte, from string)
	// OnJoined is called for each node that becomes live, OnLost for each that is dropped.
	OnJoined, OnLost func(m Member)
	// OnRestarted is called for each live node that has started again before it was dropped. May be nil.
	OnRestarted func(m Member)
	// Listen opens the socket; nil means UDP. Now is the clock; nil means [sageclock.Now].
	Listen func(address string) (net.PacketConn, error)
	Now    func() sageclock.Instant
	Log    sagelog.Logger

	// now is the clock and write sends a datagram; tests replace both to simulate a network in virtual time.
	now   func() sageclock.Instant
	write func(b []byte, to *net.UDPAddr)

	incarnation    uint64
	conn           net.PacketConn
	triggerAll     chan struct{}
	triggerLocal   chan struct{}
	announceQueue  chan string // addresses of nodes that get an immediate heartbeat
	isStandby      atomic.Bool
	sent, received atomic.Int64 // bytes of datagrams

	// The fields from here to mu are used by the loop of Run only.
	rnd                                 *rand.Rand
	updatesForAll, updatesForAggregator cacheUpdates
	// shortIntervalTo are the nodes that get heartbeats at the shortest interval.
	shortIntervalTo map[string]bool
	nextBroadcast   sageclock.Instant
	round           round
	// firstTarget is the index in order of the first target of the current batch.
	firstTarget int
	// announcedReady is the readiness last announced to the other nodes, readyAnnouncedAt when it changed.
	announcedReady   bool
	readyAnnouncedAt sageclock.Instant
	// expectedSince are the nodes from which heartbeats are expected at the shortest interval, and since when.
	expectedSince map[string]sageclock.Instant

	mu sync.Mutex
	// Updates that this node, as an aggregator, has to forward.
	forwardToAggregators, forwardToLocal cacheUpdates
	// rejoinAnnouncedAt is when this node last announced to all nodes that it receives from them again.
	rejoinAnnouncedAt sageclock.Instant
	// remoteUnresponsive are nodes reported as unresponsive by aggregators of other data centres, and when they
	// were last reported.
	remoteUnresponsive map[string]sageclock.Instant
	peers              map[string]*peer
	order              []string // the addresses of peers, in the order they were added
	live               map[string]bool
	roles              *roles          // nil after a change of the live nodes or their states
	everSeen           map[string]bool // names of nodes
}

// Open binds the socket.
func (s *Service) Open() error {
	listen, now := s.Listen, s.Now
	if listen == nil {
		listen = listenUDP
	}
	if now == nil {
		now = sageclock.Now
	}
	conn, err := listen(s.Address)
	if err != nil {
		return fmt.Errorf("open mesh: %w", err)
	}
	s.conn = conn
	s.now = now
	s.write = func(b []byte, to *net.UDPAddr) {
		// A datagram that can't be sent counts as lost; the next one follows within the interval.
		_, _ = conn.WriteTo(b, to)
	}
	s.initState(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return nil
}

func listenUDP(address string) (net.PacketConn, error) { return net.ListenPacket("udp4", address) }

// initState initializes the internal state and adds the seeds.
func (s *Service) initState(rnd *rand.Rand) {
	s.rnd = rnd
	s.incarnation = rnd.Uint64()
	s.triggerAll = make(chan struct{}, 1)
	s.triggerLocal = make(chan struct{}, 1)
	s.announceQueue = make(chan string, announceQueueSize)
	s.peers = make(map[string]*peer)
	s.live = make(map[string]bool)
	s.everSeen = map[string]bool{s.Name: true}
	s.expectedSince = make(map[string]sageclock.Instant)
	s.remoteUnresponsive = make(map[string]sageclock.Instant)
	for _, a := range s.Seeds {
		if err := s.addPeer(a, true); err != nil {
			s.Log.Warn("Seed ignored.", "address", a, "err", err)
		}
	}
}

// AddPeer adds the address of another node.
func (s *Service) AddPeer(address string) error { return s.addPeer(address, false) }

func (s *Service) addPeer(address string, seed bool) error {
	if address == s.Address || s.hasPeer(address) {
		return nil
	}
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil || addr.IP == nil {
		return fmt.Errorf("%q: %w", address, ErrAddress)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[address] == nil {
		s.order = append(s.order, address)
		s.roles = nil
		s.peers[address] = &peer{addr: addr, rankHash: rankHash(address), aggregatorHash: aggregatorHash(address), seed: seed, addedAt: s.now()}
	}
	return nil
}

func (s *Service) hasPeer(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[address] != nil
}

// TriggerHeartbeats has heartbeats sent immediately, to all nodes or only to those of this data centre.
func (s *Service) TriggerHeartbeats(all bool) {
	trigger := s.triggerLocal
	if all {
		trigger = s.triggerAll
	}
	select {
	case trigger <- struct{}{}:
	default:
	}
}

// Run sends and receives heartbeats until ctx ends, then sends a last one to all nodes.
func (s *Service) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.receive(ctx)
	}()
	s.broadcast(false)
	ticker := time.NewTicker(shortestInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			s.tick()
		case <-s.triggerAll:
			s.broadcast(false)
		case <-s.triggerLocal:
			s.broadcast(true)
		case address := <-s.announceQueue:
			s.sendAnnouncements(address)
		}
	}
	s.broadcast(false)
	err := s.conn.Close()
	<-done
	if err != nil {
		return fmt.Errorf("close mesh: %w", err)
	}
	return nil
}

// Live returns the other live nodes, ordered by address.
func (s *Service) Live() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Member, 0, len(s.live))
	for a := range s.live {
		out = append(out, s.peers[a].member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// LiveCount returns the number of other live nodes.
func (s *Service) LiveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.live)
}

// Peers returns the number of known addresses of other nodes.
func (s *Service) Peers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// Bytes returns how many bytes of heartbeats this node has sent and received.
func (s *Service) Bytes() (sent, received int64) { return s.sent.Load(), s.received.Load() }

// KnownNodes returns the names of all nodes that were ever live, including this one.
func (s *Service) KnownNodes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.everSeen))
	for n := range s.everSeen {
		out = append(out, n)
	}
	return out
}
