package sagemesh

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
)

func (s *Service) receive(ctx context.Context) {
	b := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error caused by an earlier datagram
		}
		if s.handleMessage(b[:n], from) {
			continue
		}
		s.received.Add(int64(n))
		s.handleDatagram(b[:n])
	}
}

// handleDatagram decodes and handles a datagram. Malformed ones, and those with this node's own address, are
// ignored.
func (s *Service) handleDatagram(b []byte) {
	if h, err := decode(s.now(), b); err == nil && h.Address != s.Address {
		s.handleHeartbeat(h)
	}
}

// handleHeartbeat updates the sender's state and calls OnHeartbeat, and OnJoined if the sender wasn't live.
func (s *Service) handleHeartbeat(h *Heartbeat) {
	if err := s.addPeer(h.Address, false); err != nil {
		return
	}
	for _, a := range h.KnownAddresses {
		_ = s.addPeer(a, false) // an invalid address is ignored
	}
	now := s.now()
	s.mu.Lock()
	p := s.peers[h.Address]
	if p.stamp.Incarnation == h.Stamp.Incarnation && h.Stamp.At < p.stamp.At {
		s.mu.Unlock()
		return // a newer one arrived before
	}
	p.knowsSelf = h.Echo.Incarnation == s.incarnation
	echoed, known := p.knowsSelf, s.identify(p, h)
	if !known || !echoed || h.ReplyRequested {
		s.announce(now, p, h.Address)
	}
	if !known {
		s.mu.Unlock()
		return
	}
	restarted := s.live[h.Address] && !p.member.Leaving && p.stamp.Incarnation != h.Stamp.Incarnation
	p.stamp, p.lastContact, p.shortInterval = h.Stamp, now, h.ShortInterval
	s.queueForwarded(h)
	s.recordUnresponsive(now, h)
	joined := !s.live[h.Address]
	if joined {
		s.announce(now, p, h.Address)
		s.announceRejoin(now)
	}
	s.updateMember(p, h.Member())
	s.everSeen[h.Node] = true
	s.mu.Unlock()
	var stamp sageclock.Instant
	if echoed {
		stamp = h.Echo.At
	}
	if joined {
		s.OnJoined(h.Member())
	}
	if restarted && s.OnRestarted != nil {
		s.OnRestarted(h.Member())
	}
	s.OnHeartbeat(h, stamp)
}

// announceRejoin triggers an immediate broadcast if this node has contact again after it had lost most of the
// others. mu is held.
//
// Without it, nodes would get no callers for seconds after a network partition, since the others would receive
// from them only with their next broadcast round.
func (s *Service) announceRejoin(now sageclock.Instant) {
	if 2*len(s.live) > len(s.peers) || now.Sub(s.rejoinAnnouncedAt) < minContactTimeout {
		return
	}
	s.rejoinAnnouncedAt = now
	s.TriggerHeartbeats(true)
}

// identify adds the sender's identity to a heartbeat that lacks it, and reports whether the identity is known.
//
// An identity is valid only for the incarnation that sent it. Otherwise a node would be mistaken for its
// predecessor at the same address. A heartbeat without a known identity is ignored and its stamp isn't echoed, so
// that the sender includes its identity in the next one.
func (s *Service) identify(p *peer, h *Heartbeat) bool {
	if h.Node != "" {
		return true
	}
	if p.stamp.Incarnation != h.Stamp.Incarnation {
		return false
	}
	h.Identity = p.member.Identity
	return true
}

// announce queues an immediate heartbeat to a node that doesn't know this one's identity, whose identity isn't
// known, that has joined, or that requested a reply.
//
// Without it, a restarted node would lack the identities of the others for a whole interval. They omit them for a
// receiver that knew them, until they receive a heartbeat of its new incarnation.
func (s *Service) announce(now sageclock.Instant, p *peer, address string) {
	if now.Sub(p.lastAnnounced) < shortestInterval {
		return
	}
	p.lastAnnounced = now
	select {
	case s.announceQueue <- address:
	default: // the queue is full; the next broadcast round reaches the node
	}
}
