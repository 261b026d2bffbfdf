package sageloadd

import (
	"context"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagerpc/allot"
	"sagestand.example/sagestand/pkg/sageload"
)

// requestGrants requests units from the coordinators of all engines, in parallel. With urgentOnly it requests
// only for the engines that can't wait for the next round.
func (s *Service) requestGrants(ctx context.Context, wg *sync.WaitGroup, urgentOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	byCoordinator := make(map[string][]sageload.GrantRequest)
	live := s.live()
	for _, u := range s.upstreams {
		if !u.engine || urgentOnly && !u.urgent() {
			continue
		}
		coordinator, ok := s.coordinatorOf(u, live)
		if !ok || s.pendingCalls[coordinator] {
			// A new request would invalidate the response to the pending one. If calls took longer than a
			// round, no response would ever be applied.
			continue
		}
		units, reserve := u.unitsToRequest(now)
		u.allotment.Reserve = reserve
		if u.outOfService {
			units = 0
		}
		if !u.allotment.Voter && units == 0 && u.allotment.InUse() == 0 {
			continue
		}
		if w, ok := u.allotment.Request(now, coordinator, units); ok {
			byCoordinator[coordinator] = append(byCoordinator[coordinator], w)
			u.requestedUnits, u.exhausted = w.Units, false
		}
		u.missedAcquires, u.peakInUse = 0, 0
	}
	for coordinator, requests := range byCoordinator {
		if coordinator == s.Node {
			s.requestFromSelf(requests)
			continue
		}
		req := s.encodeRequest(coordinator, requests)
		s.pendingCalls[coordinator] = true
		wg.Go(func() { s.requestFromPeer(ctx, coordinator, req) })
	}
}

// coordinatorOf returns the coordinator of an upstream among the live nodes of its voters.
func (s *Service) coordinatorOf(u *upstream, live map[string]bool) (string, bool) {
	candidates := make([]sageload.Member, 0, len(u.voters))
	for _, m := range u.voters {
		if live[m.Name] {
			candidates = append(candidates, m)
		}
	}
	return sageload.Coordinator(u.name, u.dataCentre, candidates)
}

// requestFromSelf handles the requests for upstreams that this node coordinates; the caller holds mu.
func (s *Service) requestFromSelf(requests []sageload.GrantRequest) {
	for _, w := range requests {
		u := s.upstreams[w.Upstream]
		s.applyGrant(s.grant(u, w, u.coldObserved))
		u.coldObserved = false
	}
}

func (s *Service) requestFromPeer(ctx context.Context, coordinator string, req *allot.AskRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.GrantDuration/2)
	defer cancel()
	res, err := allot.NewAllotProtobufClient(s.Peers.URL(coordinator), s.Peers.HTTP()).Ask(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingCalls[coordinator] = false
	if err != nil {
		return // the next round sends a new request; units already granted expire at their deadline
	}
	s.peerProcessIDs[coordinator] = res.Home
	for _, g := range res.Grants {
		if int(g.Want) < len(req.Wants) {
			s.applyGrant(decodeGrant(req.Wants[g.Want].Upstream, res.Home, g))
		}
	}
}

// applyGrant applies a coordinator's response for one upstream; the caller holds mu.
func (s *Service) applyGrant(g sageload.Grant) {
	u := s.upstreams[g.Upstream]
	if u == nil || !u.allotment.ApplyGrant(g) {
		return
	}
	u.exhausted = !g.Pending && g.Units < u.requestedUnits
	if g.ReportFresh {
		u.estimate.Observe(time.Now(), g.Report)
		u.cap = g.Cap
	}
}

func (s *Service) encodeRequest(coordinator string, requests []sageload.GrantRequest) *allot.AskRequest {
	req := &allot.AskRequest{Node: s.Node, Holder: s.processID, EchoHome: s.peerProcessIDs[coordinator]}
	for _, w := range requests {
		u, echo := s.upstreams[w.Upstream], w.AdoptedSeq
		if w.Coordinator != req.EchoHome {
			echo = 0 // the sequence number belongs to an earlier coordinator process
		}
		req.Wants = append(req.Wants, &allot.Want{
			Upstream: w.Upstream, Seq: w.Seq, Echo: echo,
			Over: uint32(w.ExcessInFlight), Units: uint32(w.Units), Spare: uint32(w.Reserve), Recognise: w.Vote, Cold: u.coldObserved,
		})
		u.coldObserved = false
	}
	return req
}

func decodeGrant(upstream, coordinator string, g *allot.Grant) sageload.Grant {
	return sageload.Grant{
		Upstream: upstream, Seq: g.Seq, Coordinator: coordinator, Units: int(g.Units), BootID: g.BootId, Cap: int(g.Cap),
		ReportFresh: g.Known, Pending: g.Pending, Resigned: g.Resigned, GuaranteedUsable: g.Warm,
		Report: sageload.Report{BootID: g.BootId, InFlight: int(g.InFlight), CacheGeneration: g.CacheGeneration, AsOf: time.UnixMicro(g.AsOf)},
	}
}
