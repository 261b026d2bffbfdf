package sagemesh

import (
	"net"
	"slices"
)

// target is a node that gets a heartbeat.
type target struct {
	address string
	addr    *net.UDPAddr
	// echo is its last stamp.
	echo Stamp
	// knows says that it knows this node's identity.
	knows bool
	// dataCentre is the node's, empty if it was never heard of.
	dataCentre string
}

// round is one sending of heartbeats.
type round struct {
	// fill adds what only this round tells; may be nil.
	fill func(h *Heartbeat)
	// want says who gets it; nil means all.
	want func(t *target) bool
}

// tell sends one heartbeat to each known address, or only to the nodes of this data centre.
func (s *Service) tell(near bool) {
	if near {
		s.tellThose(round{want: func(t *target) bool { return t.dataCentre == s.DataCentre }})
		return
	}
	s.gatherNews()
	s.tellThose(round{fill: func(h *Heartbeat) { s.forAll.put(h, mostListed) }})
}

// tellQuick sends heartbeats to the other nodes that stand by for the store, if this node does.
func (s *Service) tellQuick() {
	standby := s.standby()
	mine := slices.Contains(standby, s.Address)
	s.isQuick.Store(mine)
	if !mine {
		return
	}
	for _, a := range standby {
		s.soonTo[a] = true
	}
	s.tellThose(round{want: func(t *target) bool { return slices.Contains(standby, t.address) }})
}

// tellAnnounced sends a heartbeat to each node that waits for one, the given one first.
func (s *Service) tellAnnounced(address string) {
	waiting := map[string]bool{address: true}
	for more := true; more; {
		select {
		case a := <-s.announceTo:
			waiting[a] = true
		default:
			more = false
		}
	}
	s.tellThose(round{want: func(t *target) bool { return waiting[t.address] }})
}

// tellThose sends one heartbeat to each target that the round wants.
//
// The stamps to echo are taken before the heartbeat is filled in. It guards against a proof that is
// dated too late: were a stamp taken afterwards, the process could be frozen in between, receive a
// newer stamp when it goes on, and echo it with an age from before.
func (s *Service) tellThose(r round) {
	h := Heartbeat{Address: s.Address, Identity: Identity{Node: s.Name, Entry: s.Entry, DataCentre: s.DataCentre, LinkMbps: s.LinkMbps}}
	targets := s.targets(&h, r.want)
	if len(targets) == 0 {
		return
	}
	s.Fill(&h)
	s.noteReady(h.Ready)
	if r.fill != nil {
		r.fill(&h)
	}
	s.send(&h, targets)
}

// noteReady has all nodes told at once that this node serves from now on, or no longer does, but not over and
// over.
//
// It guards against started nodes that get no callers: where rounds to all are seconds apart, the directory's
// nodes would hear that late.
func (s *Service) noteReady(ready bool) {
	now := s.now()
	if ready == s.saidReady || now.Sub(s.saidAt) < leastSilence {
		return
	}
	s.saidReady, s.saidAt = ready, now
	s.TriggerHeartbeats(true)
}

// send sends a heartbeat to each target. What all of them get is encoded once.
func (s *Service) send(h *Heartbeat, targets []target) {
	h.Stamp = Stamp{Incarnation: s.incarnation, At: s.now()}
	common, err := h.encode()
	if err != nil {
		s.Log.Error("Heartbeat can't be encoded.", "err", err)
		return
	}
	for i := range targets {
		t := &targets[i]
		x := extra{echo: t.echo, soon: s.soonTo[t.address]}
		if !t.knows {
			x.identity = &h.Identity
		}
		if !t.knows || i%knownEvery == 0 {
			x.known = h.KnownAddresses
		}
		b, err := x.append(common)
		if err != nil {
			s.Log.Error("Heartbeat can't be encoded.", "err", err)
			return
		}
		s.sent.Add(int64(len(b)))
		s.write(b, t.addr)
	}
}

// addresses returns the addresses of the nodes that are wanted.
func (s *Service) addresses(want func(t *target) bool) map[string]bool {
	out := make(map[string]bool)
	for _, t := range s.targets(new(Heartbeat), want) {
		out[t.address] = true
	}
	return out
}

// rotated returns the addresses of all peers in turn from any one on. mu is held.
//
// It guards against nodes that stay unknown: some receivers of a heartbeat get some known addresses, and in a
// fixed order these would be the same receivers and addresses each time.
func (s *Service) rotated() []string {
	if len(s.order) == 0 {
		return nil
	}
	from := s.rnd.IntN(len(s.order))
	return slices.Concat(s.order[from:], s.order[:from])
}

// targets returns the nodes to tell, and puts some known addresses into the heartbeat.
func (s *Service) targets(h *Heartbeat, want func(t *target) bool) []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []target
	for _, a := range s.rotated() {
		p := s.peers[a]
		t := target{address: a, addr: p.addr, echo: p.stamp, knows: p.knows, dataCentre: p.member.DataCentre}
		if want == nil || want(&t) {
			out = append(out, t)
		}
		if s.live[a] && len(h.KnownAddresses) < knownPerHeartbeat {
			h.KnownAddresses = append(h.KnownAddresses, a)
		}
	}
	return out
}
