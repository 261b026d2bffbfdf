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

// How often and how long.
const (
	// quick is how many nodes, the first in the order of ranks, tell each other at the shortest
	// interval in any fleet: they watch the store or stand by to, and notice within a second and a
	// half that the watchers are lost. Their datagrams are 150 a second in all.
	quick = 6
	// knownPerHeartbeat is how many addresses ride on a heartbeat. Each receiver that knows this node
	// gets them with every knownEvery-th on average, since targets come in turn from any one on: it needs them
	// only to find nodes that the store did not list.
	knownPerHeartbeat = 3
	knownEvery        = 4
	// mostAnnounced is how many nodes wait to be told at once; more are told in the next round.
	mostAnnounced = 64
	// forgetAfter is when a silent address that isn't a seed gets no more heartbeats.
	forgetAfter = 5 * time.Minute
	// maxDatagram is the greatest datagram that is read.
	maxDatagram = 60 << 10
)

// ErrAddress reports a node address that isn't an IP address and a port.
var ErrAddress = errors.New("node address is not ip:port")

type peer struct {
	addr   *net.UDPAddr
	member Member
	stamp  Stamp // the last that came
	// knows says that the node knows this one: it echoed a stamp of this process.
	knows bool
	// announced is when it was last told at once of this node.
	announced sageclock.Instant
	heard     sageclock.Instant
	added     sageclock.Instant
	// soon says that it tells this node again at the shortest interval.
	soon bool
	// asked is when it was last asked whether it lives, told when a hub last called it silent, lost when it was
	// last dropped.
	asked, told, lost sageclock.Instant
	seed              bool
}

// Service tells and listens. Exported fields are set before Open.
type Service struct {
	// Name, Address (for other nodes), Entry (for callers) and DataCentre say who this node is.
	Name, Address, Entry, DataCentre string
	// LinkMbps is how wide this node's link is, as far as known: nodes with wide links are hubs.
	LinkMbps int
	// Seeds are addresses of some other nodes.
	Seeds []string
	// Fill completes a heartbeat with what this node knows, but for who it is and the stamps.
	Fill func(h *Heartbeat)
	// FillSum adds the sum of the counts of this data centre's nodes, or of all nodes.
	FillSum func(h *Heartbeat, all bool)
	// FillNews adds the facts on prompt parts that nobody was told.
	FillUpdates func(h *Heartbeat)
	// Heard is called for each heartbeat of a node whose identity is known. Stamp is the instant that
	// the sender proved to have heard of, or 0.
	OnHeartbeat func(h *Heartbeat, stamp sageclock.Instant)
	// Joined is called for each node that becomes live, Lost for each that stops being so.
	OnJoined, OnLost func(m Member)
	Log              sagelog.Logger

	// now and write are the clock and the way out; tests put a network in virtual time there.
	now   func() sageclock.Instant
	write func(b []byte, to *net.UDPAddr)

	incarnation uint64
	conn        net.PacketConn
	nudge       chan struct{}
	nudgeNear   chan struct{}
	announceTo  chan string // addresses of nodes to tell at once
	isQuick     atomic.Bool
	sent, came  atomic.Int64 // bytes of datagrams

	// Of the loop of Run: the source of chance, what the next round to all and this node's hub have to be
	// told, and the nodes that are told at the shortest interval.
	rnd            *rand.Rand
	forAll, forHub news
	soonTo         map[string]bool
	nextRound      sageclock.Instant
	// saidReady is what the others were last told of this node, saidAt when that changed.
	saidReady bool
	saidAt    sageclock.Instant
	// expected are the nodes that have to tell this one at the shortest interval, with since when.
	expected map[string]sageclock.Instant

	mu sync.Mutex
	// What this node, as a hub, has to pass on.
	forHubs, forNear news
	// rejoined is when this node last told all that it hears them again.
	rejoined sageclock.Instant
	// silentFar are nodes that other hubs called silent, with when they last did.
	silentFar map[string]sageclock.Instant
	peers     map[string]*peer
	order     []string // the addresses of peers, as they came
	live      map[string]bool
	ever      map[string]bool
}

// Open binds the socket.
func (s *Service) Open() error {
	conn, err := net.ListenPacket("udp4", s.Address)
	if err != nil {
		return fmt.Errorf("open mesh: %w", err)
	}
	s.conn = conn
	s.now = sageclock.Now
	s.write = func(b []byte, to *net.UDPAddr) {
		// A datagram that can't be sent is a lost one: the next follows within the interval.
		_, _ = conn.WriteTo(b, to)
	}
	s.prepare(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return nil
}

// prepare makes what the service keeps.
func (s *Service) prepare(rnd *rand.Rand) {
	s.rnd = rnd
	s.incarnation = rnd.Uint64()
	s.nudge = make(chan struct{}, 1)
	s.nudgeNear = make(chan struct{}, 1)
	s.announceTo = make(chan string, mostAnnounced)
	s.peers = make(map[string]*peer)
	s.live = make(map[string]bool)
	s.ever = map[string]bool{s.Name: true}
	s.expected = make(map[string]sageclock.Instant)
	s.silentFar = make(map[string]sageclock.Instant)
	for _, a := range s.Seeds {
		if err := s.add(a, true); err != nil {
			s.Log.Warn("Seed ignored.", "address", a, "err", err)
		}
	}
}

// Add makes another node's address known.
func (s *Service) AddPeer(address string) error { return s.add(address, false) }

func (s *Service) add(address string, seed bool) error {
	if address == s.Address || s.knows(address) {
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
		s.peers[address] = &peer{addr: addr, seed: seed, added: s.now()}
	}
	return nil
}

func (s *Service) knows(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[address] != nil
}

// Nudge sends heartbeats at once, to all nodes or only to those of this data centre.
func (s *Service) TriggerHeartbeats(all bool) {
	c := s.nudgeNear
	if all {
		c = s.nudge
	}
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx ends; a last round then tells that the node is gone.
func (s *Service) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.receive(ctx)
	}()
	s.tell(false)
	often := time.NewTicker(shortest)
	defer often.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-often.C:
			s.between()
		case <-s.nudge:
			s.tell(false)
		case <-s.nudgeNear:
			s.tell(true)
		case address := <-s.announceTo:
			s.tellAnnounced(address)
		}
	}
	s.tell(false)
	err := s.conn.Close()
	<-done
	if err != nil {
		return fmt.Errorf("close mesh: %w", err)
	}
	return nil
}

// Live returns the other nodes that were heard of lately, ordered by address.
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

// Bytes returns how many bytes of heartbeats this node has sent and received.
func (s *Service) Bytes() (sent, received int64) { return s.sent.Load(), s.came.Load() }

// Known returns the names of all nodes that were ever heard of, this one included.
func (s *Service) KnownNodes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.ever))
	for n := range s.ever {
		out = append(out, n)
	}
	return out
}
