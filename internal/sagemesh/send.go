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
	// to are the addresses of the targets. If it is nil, include selects them; if that is nil too, all peers are targets.
	to      []string
	include func(t *target) bool
}

// broadcast sends a heartbeat to all known addresses, or only to the nodes of this data centre. In a large fleet all nodes
// get it in a paced round.
func (s *Service) broadcast(localOnly bool) {
	switch {
	case localOnly:
		s.sendBatch(batch{include: func(t *target) bool { return t.dataCentre == s.DataCentre }})
	case s.Interval() == shortestInterval:
		s.collectUpdates()
		s.sendBatch(batch{fill: func(h *Heartbeat) { s.updatesForAll.moveTo(h, maxListedPerDatagram) }})
	default:
		s.startRound()
		s.continueRound()
	}
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
	s.sendBatch(batch{to: nodes})
}

// sendAnnouncements sends a heartbeat to the given node and all others in the announce queue.
func (s *Service) sendAnnouncements(address string) {
	waiting := []string{address}
	for more := true; more; {
		select {
		case a := <-s.announceQueue:
			waiting = append(waiting, a)
		default:
			more = false
		}
	}
	slices.Sort(waiting)
	s.sendBatch(batch{to: slices.Compact(waiting)})
}

// sendBatch sends a heartbeat to each target of a batch.
//
// The stamps to echo are read before the content is filled in. Otherwise the process could be frozen in between,
// receive a newer stamp when it resumes, and echo that with a proof age from before, so that the receiver would
// consider the proof fresher than it is.
func (s *Service) sendBatch(b batch) {
	h := Heartbeat{Address: s.Address, Identity: Identity{Node: s.Name, Entry: s.Entry, DataCentre: s.DataCentre, Region: s.Region, LinkMbps: s.LinkMbps}}
	targets := s.targets(&h, &b)
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
		if len(s.round.waiting) > 0 {
			s.round.reached[t.address] = true
		}
		s.sent.Add(int64(len(data)))
		s.write(data, t.addr)
	}
}

// targetAddresses returns the addresses of the selected nodes.
func (s *Service) targetAddresses(include func(t *target) bool) map[string]bool {
	out := make(map[string]bool)
	for _, t := range s.targets(new(Heartbeat), &batch{include: include}) {
		out[t.address] = true
	}
	return out
}

// targets returns the targets of a batch, and adds some known addresses to the heartbeat.
func (s *Service) targets(h *Heartbeat, b *batch) []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addKnownAddresses(h)
	if b.to != nil {
		var out []target
		for _, a := range b.to {
			if p := s.peers[a]; p != nil {
				out = append(out, p.target(a))
			}
		}
		return out
	}
	var out []target
	for i := range s.order {
		a := s.order[(s.firstTarget+i)%len(s.order)]
		t := s.peers[a].target(a)
		if b.include == nil || b.include(&t) {
			out = append(out, t)
		}
	}
	return out
}

func (p *peer) target(address string) target {
	return target{address: address, addr: p.addr, echo: p.stamp, knowsSelf: p.knowsSelf, dataCentre: p.member.DataCentre}
}

// addKnownAddresses adds the addresses of some live nodes to a heartbeat, and chooses the first target at random. mu is
// held.
//
// Only some receivers of a heartbeat get known addresses, and only a few of these. In a fixed order they would be
// the same each time, and some nodes would never become known to others.
func (s *Service) addKnownAddresses(h *Heartbeat) {
	if len(s.order) == 0 {
		return
	}
	s.firstTarget = s.rnd.IntN(len(s.order))
	for i := range s.order {
		if len(h.KnownAddresses) == addressesPerHeartbeat {
			return
		}
		if a := s.order[(s.firstTarget+i)%len(s.order)]; s.live[a] {
			h.KnownAddresses = append(h.KnownAddresses, a)
		}
	}
}
