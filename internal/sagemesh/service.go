package sagemesh

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
)

// How often and how long.
const (
	// shortest is the interval of heartbeats in a small fleet. Loads that are this old let a bound
	// of one and a half times the mean stay well below twice the mean.
	shortest = 200 * time.Millisecond
	// perNode makes the interval grow with the fleet, so that a node handles at most 100 datagrams
	// a second in and as many out.
	perNode = 10 * time.Millisecond
	// quick is how many nodes, the first in the order of ranks, tell each other at the shortest
	// interval in any fleet: they watch the store or stand by to, and notice within a second and a
	// half that the watchers are lost. Their datagrams are 150 a second in all.
	quick = 6
	// missed is how many intervals a node may stay silent before it isn't counted as live.
	missed = 5
	// knownPerHeartbeat is how many addresses ride on each heartbeat.
	knownPerHeartbeat = 3
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
	heard  sageclock.Instant
	added  sageclock.Instant
	seed   bool
}

// Service tells and listens. Exported fields are set before Open.
type Service struct {
	Name    string
	Address string
	Seeds   []string
	// Fill completes a heartbeat with what this node knows, but for the fields that name the two
	// nodes and the stamps.
	Fill func(h *Heartbeat)
	// FillNews adds what is told only once. It is called for heartbeats to all nodes only; may be nil.
	FillNews func(h *Heartbeat)
	// Heard is called for each heartbeat. Stamp is the instant that the sender proved to have heard
	// of, or 0.
	Heard func(h *Heartbeat, stamp sageclock.Instant)
	// Joined is called for each node that becomes live, Lost for each that stops being so.
	Joined, Lost func(m Member)
	Log          sagelog.Logger

	incarnation uint64
	conn        net.PacketConn
	nudge       chan struct{}
	nudgeNear   chan struct{}
	isQuick     atomic.Bool

	mu    sync.Mutex
	peers map[string]*peer
	live  map[string]bool
	ever  map[string]bool
}

// Open binds the socket.
func (s *Service) Open() error {
	conn, err := net.ListenPacket("udp4", s.Address)
	if err != nil {
		return fmt.Errorf("open mesh: %w", err)
	}
	s.conn = conn
	s.incarnation = rand.Uint64()
	s.nudge = make(chan struct{}, 1)
	s.nudgeNear = make(chan struct{}, 1)
	s.peers = make(map[string]*peer)
	s.live = make(map[string]bool)
	s.ever = map[string]bool{s.Name: true}
	for _, a := range s.Seeds {
		if err := s.add(a, true); err != nil {
			s.Log.Warn("Seed ignored.", "address", a, "err", err)
		}
	}
	return nil
}

// Add makes another node's address known.
func (s *Service) Add(address string) error { return s.add(address, false) }

func (s *Service) add(address string, seed bool) error {
	if address == s.Address {
		return nil
	}
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil || addr.IP == nil {
		return fmt.Errorf("%q: %w", address, ErrAddress)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[address] == nil {
		s.peers[address] = &peer{addr: addr, seed: seed, added: sageclock.Now()}
	}
	return nil
}

// Nudge sends heartbeats at once, to all nodes or only to those of this data centre.
func (s *Service) Nudge(all bool) {
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
	t := time.NewTicker(s.Interval())
	defer t.Stop()
	between := time.NewTicker(shortest)
	defer between.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-between.C:
			if s.Interval() > shortest {
				s.tellQuick()
			}
		case <-s.nudge:
			s.tell(false)
		case <-s.nudgeNear:
			s.tell(true)
		case <-t.C:
			s.tell(false)
			s.sweep()
			t.Reset(s.Interval())
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

// Interval is the time between two heartbeats.
func (s *Service) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(shortest, time.Duration(len(s.live)+1)*perNode)
}

// target is a node that gets a heartbeat, with the stamp to echo.
type target struct {
	addr *net.UDPAddr
	echo Stamp
	// dataCentre is the node's, empty if it was never heard of.
	dataCentre string
}

// tell sends one heartbeat to each known address, or only to the nodes of this data centre.
//
// The stamps to echo are taken before the heartbeat is filled in. It guards against a proof that is
// dated too late: were a stamp taken afterwards, the process could be frozen in between, receive a
// newer stamp when it goes on, and echo it with an age from before.
func (s *Service) tell(near bool) {
	h := Heartbeat{Node: s.Name, Address: s.Address}
	targets := s.targets(&h)
	s.Fill(&h)
	if !near && s.FillNews != nil {
		s.FillNews(&h)
	}
	if near {
		targets = slices.DeleteFunc(targets, func(t target) bool { return t.dataCentre != h.DataCentre })
	}
	s.send(&h, targets)
}

// tellQuick sends heartbeats to the other nodes that stand by for the store, if this node does.
func (s *Service) tellQuick() {
	standby := s.standby()
	mine := slices.Contains(standby, s.Address)
	s.isQuick.Store(mine)
	if !mine {
		return
	}
	h := Heartbeat{Node: s.Name, Address: s.Address}
	targets := s.targets(&h)
	s.Fill(&h)
	s.send(&h, slices.DeleteFunc(targets, func(t target) bool { return !slices.Contains(standby, t.addr.String()) }))
}

// Quick reports whether this node is one of those that tell each other at the shortest interval of a
// large fleet.
func (s *Service) Quick() bool { return s.isQuick.Load() }

// standby returns the addresses of the first nodes in the order of [Service.Rank].
func (s *Service) standby() []string {
	type ranked struct {
		address string
		hash    uint64
	}
	all := []ranked{{s.Address, xxhash.Sum64String(s.Address)}}
	s.mu.Lock()
	for a := range s.live {
		if m := &s.peers[a].member; !m.Leaving && !m.Blind {
			all = append(all, ranked{a, xxhash.Sum64String(a)})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	out := make([]string, min(quick, len(all)))
	for i := range out {
		out[i] = all[i].address
	}
	return out
}

// send sends a heartbeat to each target with the stamp to echo.
func (s *Service) send(h *Heartbeat, targets []target) {
	h.Stamp = Stamp{Incarnation: s.incarnation, At: sageclock.Now()}
	for _, t := range targets {
		h.Echo = t.echo
		b, err := json.Marshal(h)
		if err != nil {
			s.Log.Error("Heartbeat can't be encoded.", "err", err)
			return
		}
		// A datagram that can't be sent is a lost one: the next follows within the interval.
		_, _ = s.conn.WriteTo(b, t.addr)
	}
}

// targets returns the nodes to tell, and puts some known addresses into the heartbeat.
func (s *Service) targets(h *Heartbeat) []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]target, 0, len(s.peers))
	for a, p := range s.peers {
		out = append(out, target{p.addr, p.stamp, p.member.DataCentre})
		if s.live[a] && len(h.Known) < knownPerHeartbeat {
			h.Known = append(h.Known, a)
		}
	}
	return out
}

func (s *Service) receive(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := s.conn.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier send
		}
		s.take(b[:n])
	}
}

// take decodes a datagram; a damaged or foreign one is left out.
func (s *Service) take(b []byte) {
	var h Heartbeat
	if err := json.Unmarshal(b, &h); err != nil || h.Node == "" || h.Address == s.Address {
		return
	}
	s.hear(&h)
}

// hear takes a heartbeat in.
func (s *Service) hear(h *Heartbeat) {
	if err := s.add(h.Address, false); err != nil {
		return
	}
	for _, a := range h.Known {
		_ = s.add(a, false) // a damaged address is worth no more than no address
	}
	now := sageclock.Now()
	s.mu.Lock()
	p := s.peers[h.Address]
	if p.stamp.Incarnation == h.Stamp.Incarnation && h.Stamp.At < p.stamp.At {
		s.mu.Unlock()
		return // overtaken by a newer one
	}
	p.stamp, p.heard, p.member = h.Stamp, now, h.member()
	joined := !s.live[h.Address]
	s.live[h.Address] = true
	s.ever[h.Node] = true
	s.mu.Unlock()
	var stamp sageclock.Instant
	if h.Echo.Incarnation == s.incarnation {
		stamp = h.Echo.At
	}
	if joined {
		s.Joined(h.member())
	}
	s.Heard(h, stamp)
}

// sweep drops nodes that fell silent.
func (s *Service) sweep() {
	silence := missed * s.Interval()
	now := sageclock.Now()
	var lost []Member
	s.mu.Lock()
	for a, p := range s.peers {
		if s.live[a] && now.Sub(p.heard) > silence {
			delete(s.live, a)
			lost = append(lost, p.member)
		}
		if !p.seed && !s.live[a] && now.Sub(max(p.heard, p.added)) > forgetAfter {
			delete(s.peers, a)
		}
	}
	s.mu.Unlock()
	for _, m := range lost {
		s.Lost(m)
	}
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

// Rank returns this node's place in an order of the live nodes that stay, by the hash of their
// addresses. Nodes that the store refuses count only for each other.
//
// It guards against watchers that nobody replaces: the store may refuse some nodes and serve others,
// and a node that it refuses is alive for its peers. When it refuses all, two of them go on asking.
func (s *Service) Rank(blind bool) int {
	mine, rank := xxhash.Sum64String(s.Address), 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.live {
		m := &s.peers[a].member
		switch {
		case m.Leaving || m.Blind && !blind:
		case blind && !m.Blind, xxhash.Sum64String(a) > mine:
			rank++
		}
	}
	return rank
}

// First reports whether this node comes first, in the order of [Service.Rank], in its data centre.
func (s *Service) First(dataCentre string) bool {
	mine := xxhash.Sum64String(s.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.live {
		if m := &s.peers[a].member; m.DataCentre == dataCentre && !m.Leaving && xxhash.Sum64String(a) > mine {
			return false
		}
	}
	return true
}

// Known returns the names of all nodes that were ever heard of, this one included.
func (s *Service) Known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.ever))
	for n := range s.ever {
		out = append(out, n)
	}
	return out
}
