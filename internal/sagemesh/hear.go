package sagemesh

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
)

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
		s.came.Add(int64(n))
		s.take(b[:n])
	}
}

// take decodes a datagram; a damaged or foreign one is left out.
func (s *Service) take(b []byte) {
	if h, err := decode(s.now(), b); err == nil && h.Address != s.Address {
		s.hear(h)
	}
}

// hear takes a heartbeat in.
func (s *Service) hear(h *Heartbeat) {
	if err := s.add(h.Address, false); err != nil {
		return
	}
	for _, a := range h.KnownAddresses {
		_ = s.add(a, false) // a damaged address is worth no more than no address
	}
	now := s.now()
	s.mu.Lock()
	p := s.peers[h.Address]
	if p.stamp.Incarnation == h.Stamp.Incarnation && h.Stamp.At < p.stamp.At {
		s.mu.Unlock()
		return // overtaken by a newer one
	}
	p.knows = h.Echo.Incarnation == s.incarnation
	echoed, known := p.knows, s.identify(p, h)
	if !known || !echoed || h.ReplyRequested {
		s.announce(now, p, h.Address)
	}
	if !known {
		s.mu.Unlock()
		return
	}
	p.stamp, p.heard, p.member, p.soon = h.Stamp, now, h.Member(), h.ShortInterval
	s.passOn(h)
	s.hearSilent(now, h)
	joined := !s.live[h.Address]
	if joined {
		s.announce(now, p, h.Address)
		s.rejoin(now)
	}
	s.live[h.Address] = true
	s.ever[h.Node] = true
	s.mu.Unlock()
	var stamp sageclock.Instant
	if echoed {
		stamp = h.Echo.At
	}
	if joined {
		s.OnJoined(h.Member())
	}
	s.OnHeartbeat(h, stamp)
}

// rejoin has all nodes told at once that this one is heard again, after it had lost most of them. mu is held.
//
// It guards against nodes that get no callers for seconds after a cut: each of the others would hear of them
// with their next round only.
func (s *Service) rejoin(now sageclock.Instant) {
	if 2*len(s.live) > len(s.peers) || now.Sub(s.rejoined) < leastSilence {
		return
	}
	s.rejoined = now
	s.TriggerHeartbeats(true)
}

// identify completes a heartbeat that came without its sender's identity, and reports whether the
// sender is known.
//
// It guards against a node that is taken for the one before it at the same address: an identity
// counts for the incarnation that stated it. A heartbeat that can't be completed is left out and its
// stamp not echoed, so that its sender states the identity with the next one.
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

// announce has a heartbeat sent at once to a node that doesn't know this one, isn't known, or asks for one.
//
// It guards against a restarted node that others can't use: they leave out their identity, which it
// lacks, until they hear of its new incarnation, a whole interval later.
func (s *Service) announce(now sageclock.Instant, p *peer, address string) {
	if now.Sub(p.announced) < shortest {
		return
	}
	p.announced = now
	select {
	case s.announceTo <- address:
	default: // the next round tells it
	}
}
