package sagemesh

import (
	"net"
	"slices"
)

// target is the receiver of a heartbeat.
type target struct {
	address string
	addr    *net.UDPAddr
	// echo is the last stamp received from the target.
	echo Stamp
	// knowsSelf says that the target knows this node's identity.
	knowsSelf bool
	// dataCentre is the target's data centre, empty if nothing has been received from it.
	dataCentre string
}

// batch describes a heartbeat to several nodes.
type batch struct {
	// fill sets the fields that are specific to this batch; may be nil.
	fill func(h *Heartbeat)
	// include selects the targets; nil means all.
	include func(t *target) bool
}

// broadcast sends a heartbeat to all known addresses, or only to the nodes of this data centre.
func (s *Service) broadcast(localOnly bool) {
	if localOnly {
		s.sendBatch(batch{include: func(t *target) bool { return t.dataCentre == s.DataCentre }})
		return
	}
	s.collectUpdates()
	s.sendBatch(batch{fill: func(h *Heartbeat) { s.updatesForAll.moveTo(h, maxListedPerDatagram) }})
}

// sendToStandbyNodes sends a heartbeat to the other standby nodes, if this node is one of them.
func (s *Service) sendToStandbyNodes() {
	nodes := s.standbyNodes()
	isMember := slices.Contains(nodes, s.Address)
	s.isStandby.Store(isMember)
	if !isMember {
		return
	}
	for _, a := range nodes {
		s.shortIntervalTo[a] = true
	}
	s.sendBatch(batch{include: func(t *target) bool { return slices.Contains(nodes, t.address) }})
}

// sendAnnouncements sends a heartbeat to the given node and all others in the announce queue.
func (s *Service) sendAnnouncements(address string) {
	waiting := map[string]bool{address: true}
	for more := true; more; {
		select {
		case a := <-s.announceQueue:
			waiting[a] = true
		default:
			more = false
		}
	}
	s.sendBatch(batch{include: func(t *target) bool { return waiting[t.address] }})
}

// sendBatch sends a heartbeat to each target of a batch.
//
// The stamps to echo are read before the content is filled in. Otherwise the process could be frozen in between,
// receive a newer stamp when it resumes, and echo that with a proof age from before, so that the receiver would
// consider the proof fresher than it is.
func (s *Service) sendBatch(b batch) {
	h := Heartbeat{Address: s.Address, Identity: Identity{Node: s.Name, Entry: s.Entry, DataCentre: s.DataCentre, LinkMbps: s.LinkMbps}}
	targets := s.targets(&h, b.include)
	if len(targets) == 0 {
		return
	}
	s.Fill(&h)
	s.announceReady(h.Ready)
	if b.fill != nil {
		b.fill(&h)
	}
	s.transmit(&h, targets)
}

// announceReady triggers an immediate broadcast if this node's readiness has changed, at most once in
// minContactTimeout.
//
// Without it, a started node would get no callers until the next broadcast round reaches the nodes that answer for
// the directory, which takes seconds in a large fleet.
func (s *Service) announceReady(ready bool) {
	now := s.now()
	if ready == s.announcedReady || now.Sub(s.readyAnnouncedAt) < minContactTimeout {
		return
	}
	s.announcedReady, s.readyAnnouncedAt = ready, now
	s.TriggerHeartbeats(true)
}

// transmit sends a heartbeat to each target. The fields common to all targets are encoded once.
func (s *Service) transmit(h *Heartbeat, targets []target) {
	h.Stamp = Stamp{Incarnation: s.incarnation, At: s.now()}
	common, err := h.encode()
	if err != nil {
		s.Log.Error("Heartbeat can't be encoded.", "err", err)
		return
	}
	for i := range targets {
		t := &targets[i]
		x := receiverFields{echo: t.echo, shortInterval: s.shortIntervalTo[t.address]}
		if !t.knowsSelf {
			x.identity = &h.Identity
		}
		if !t.knowsSelf || i%addressesEvery == 0 {
			x.knownAddresses = h.KnownAddresses
		}
		data, err := x.append(common)
		if err != nil {
			s.Log.Error("Heartbeat can't be encoded.", "err", err)
			return
		}
		s.sent.Add(int64(len(data)))
		s.write(data, t.addr)
	}
}

// targetAddresses returns the addresses of the selected nodes.
func (s *Service) targetAddresses(include func(t *target) bool) map[string]bool {
	out := make(map[string]bool)
	for _, t := range s.targets(new(Heartbeat), include) {
		out[t.address] = true
	}
	return out
}

// rotatedPeers returns the addresses of all peers in order, starting at a random one. mu is held.
//
// Only some receivers of a heartbeat get known addresses, and only a few of these. In a fixed order they would be
// the same each time, and some nodes would never become known to others.
func (s *Service) rotatedPeers() []string {
	if len(s.order) == 0 {
		return nil
	}
	start := s.rnd.IntN(len(s.order))
	return slices.Concat(s.order[start:], s.order[:start])
}

// targets returns the selected nodes, and adds some known addresses to the heartbeat.
func (s *Service) targets(h *Heartbeat, include func(t *target) bool) []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []target
	for _, a := range s.rotatedPeers() {
		p := s.peers[a]
		t := target{address: a, addr: p.addr, echo: p.stamp, knowsSelf: p.knowsSelf, dataCentre: p.member.DataCentre}
		if include == nil || include(&t) {
			out = append(out, t)
		}
		if s.live[a] && len(h.KnownAddresses) < addressesPerHeartbeat {
			h.KnownAddresses = append(h.KnownAddresses, a)
		}
	}
	return out
}
