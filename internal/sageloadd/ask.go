package sageloadd

import (
	"context"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagerpc/allot"
	"sagestand.example/sagestand/pkg/sageload"
)

// ask asks every home for shares, the nodes in parallel; hurried asks only concern upstreams that
// lack units.
func (s *Service) ask(ctx context.Context, wait *sync.WaitGroup, hurried bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	byHome := make(map[string][]sageload.GrantRequest)
	live := s.live()
	for _, u := range s.upstreams {
		if !u.engine || hurried && !u.hasty() {
			continue
		}
		home, ok := s.homeOf(u, live)
		if !ok || s.calls[home] {
			// A second ask would make the answer to the first one void: under a call that takes
			// longer than a round, no answer would ever count.
			continue
		}
		units, spare := u.units(now)
		u.holding.Reserve = spare
		if u.out {
			units = 0
		}
		if !u.holding.Voter && units == 0 && u.holding.InUse() == 0 {
			continue
		}
		if w, ok := u.holding.Request(now, home, units); ok {
			byHome[home] = append(byHome[home], w)
			u.wanted, u.full = w.Units, false
		}
		u.missed, u.peak = 0, 0
	}
	for home, wants := range byHome {
		if home == s.Node {
			s.askSelf(wants)
			continue
		}
		req := s.encode(home, wants)
		s.calls[home] = true
		wait.Go(func() { s.askPeer(ctx, home, req) })
	}
}

// homeOf returns the home of an upstream among the live nodes of its electorate.
func (s *Service) homeOf(u *upstream, live map[string]bool) (string, bool) {
	in := make([]sageload.Member, 0, len(u.electorate))
	for _, m := range u.electorate {
		if live[m.Name] {
			in = append(in, m)
		}
	}
	return sageload.Coordinator(u.name, u.dataCentre, in)
}

// askSelf is the ask of this router to itself as home; mu is held.
func (s *Service) askSelf(wants []sageload.GrantRequest) {
	for _, w := range wants {
		u := s.upstreams[w.Upstream]
		s.adopt(s.grant(u, w, u.cold))
		u.cold = false
	}
}

func (s *Service) askPeer(ctx context.Context, home string, req *allot.AskRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.GrantDuration/2)
	defer cancel()
	res, err := allot.NewAllotProtobufClient(s.Peers.URL(home), s.Peers.HTTP()).Ask(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[home] = false
	if err != nil {
		return // the next round asks again; what is held runs out by its deadline
	}
	s.processes[home] = res.Home
	for _, g := range res.Grants {
		if int(g.Want) < len(req.Wants) {
			s.adopt(decodeGrant(req.Wants[g.Want].Upstream, res.Home, g))
		}
	}
}

// adopt takes a home's answer over; mu is held.
func (s *Service) adopt(g sageload.Grant) {
	u := s.upstreams[g.Upstream]
	if u == nil || !u.holding.ApplyGrant(g) {
		return
	}
	u.full = !g.Pending && g.Units < u.wanted
	if g.ReportFresh {
		u.estimate.Observe(time.Now(), g.Report)
		u.capacity = g.Cap
	}
}

func (s *Service) encode(home string, wants []sageload.GrantRequest) *allot.AskRequest {
	req := &allot.AskRequest{Node: s.Node, Holder: s.process, EchoHome: s.processes[home]}
	for _, w := range wants {
		u, echo := s.upstreams[w.Upstream], w.AdoptedSeq
		if w.Coordinator != req.EchoHome {
			echo = 0 // of an earlier home
		}
		req.Wants = append(req.Wants, &allot.Want{
			Upstream: w.Upstream, Seq: w.Seq, Echo: echo,
			Over: uint32(w.ExcessInFlight), Units: uint32(w.Units), Spare: uint32(w.Reserve), Recognise: w.Vote, Cold: u.cold,
		})
		u.cold = false
	}
	return req
}

func decodeGrant(upstream, home string, g *allot.Grant) sageload.Grant {
	return sageload.Grant{
		Upstream: upstream, Seq: g.Seq, Coordinator: home, Units: int(g.Units), BootID: g.BootId, Cap: int(g.Cap),
		ReportFresh: g.Known, Pending: g.Pending, Resigned: g.Resigned, GuaranteedUsable: g.Warm,
		Report: sageload.Report{BootID: g.BootId, InFlight: int(g.InFlight), CacheGeneration: g.CacheGeneration, AsOf: time.UnixMicro(g.AsOf)},
	}
}
