package sageloadd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagerpc/allot"
	"sagestand.example/sagestand/pkg/sageload"
)

// maxReport bounds the body of a load report.
const maxReport = 4 << 10

// maxWants bounds one ask; more would be a mistake of the asker.
const maxWants = 4096

// warmAfter is the number of requests that an engine must have completed since its boot before the
// guaranteed shares apply to it.
const warmAfter = 100

// Errors of the service.
var (
	ErrInvalidReport  = errors.New("malformed load report")
	ErrInvalidRequest = errors.New("malformed ask")
)

// Ask implements [allot.Allot]: it answers another router as home.
func (s *Service) Ask(_ context.Context, req *allot.AskRequest) (*allot.AskResponse, error) {
	s.init()
	if len(req.Wants) > maxWants || req.Holder == "" {
		return nil, fmt.Errorf("%d wants of holder %q: %w", len(req.Wants), req.Holder, ErrInvalidRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &allot.AskResponse{Home: s.process}
	for i, w := range req.Wants {
		u := s.find(w.Upstream)
		if u == nil || !u.engine {
			continue // the asker has a newer or older configuration; it asks again
		}
		g := s.grant(u, sageload.GrantRequest{
			Upstream: w.Upstream, Holder: req.Holder, Node: req.Node, Seq: w.Seq, AdoptedSeq: w.Echo, Coordinator: req.EchoHome,
			ExcessInFlight: int(w.Over), Units: int(w.Units), Reserve: int(w.Spare), Vote: w.Recognise,
		}, w.Cold)
		res.Grants = append(res.Grants, encodeGrant(i, g))
	}
	return res, nil
}

// grant answers one want as home; mu is held. The instant is read here, inside the lock, so that the
// ledger sees time run forward.
func (s *Service) grant(u *upstream, w sageload.GrantRequest, cold bool) sageload.Grant {
	now := time.Now()
	l := s.ledgerOf(u)
	if cold && now.Sub(u.restarted) > coldSpacing {
		u.restarted = now
		u.ramp.Restart()
		s.Log.Warn("Latency says that the upstream is cold.", "upstream", u.name)
	}
	return l.HandleRequest(now, w)
}

// ledgerOf returns the ledger of an upstream; it is made once for the life of the process.
func (s *Service) ledgerOf(u *upstream) *sageload.Ledger {
	if u.ledger == nil {
		u.ledger = &sageload.Ledger{Coordinator: s.process, Limits: s.Limits, Floor: min(s.Floor, u.max), WarmAfterRequests: warmAfter}
		for _, m := range u.electorate {
			u.ledger.Voters = append(u.ledger.Voters, m.Name)
		}
		if s.resigned {
			u.ledger.Resign()
		}
	}
	return u.ledger
}

func encodeGrant(want int, g sageload.Grant) *allot.Grant {
	return &allot.Grant{
		Want: uint32(want), Seq: g.Seq, Units: uint32(g.Units), BootId: g.BootID, Cap: uint32(max(g.Cap, 0)),
		Known: g.ReportFresh, Pending: g.Pending, Resigned: g.Resigned, Warm: g.GuaranteedUsable,
		InFlight: uint32(max(g.Report.InFlight, 0)), CacheGeneration: g.Report.CacheGeneration, AsOf: g.Report.AsOf.UnixMicro(),
	}
}

// probe reads the load of every engine whose home this node is.
func (s *Service) probe(ctx context.Context, wait *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := s.live()
	for _, u := range s.upstreams {
		home, ok := s.homeOf(u, live)
		if !u.engine || !ok || home != s.Node || u.probing {
			continue
		}
		u.probing = true
		address := u.address
		wait.Go(func() { s.probeOne(ctx, u, address) })
	}
}

func (s *Service) probeOne(ctx context.Context, u *upstream, address string) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.GrantDuration/2)
	defer cancel()
	sent := time.Now()
	r, err := s.read(ctx, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	u.probing = false
	if err != nil || address != u.address {
		return
	}
	bears := u.ramp.Observe(r)
	if u.out {
		bears = 0
	}
	s.ledgerOf(u).RecordReport(time.Now(), sent, r, bears)
}

// read calls GET /v1/load of an upstream.
func (s *Service) read(ctx context.Context, address string) (sageload.Report, error) {
	var r sageload.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+loadPath, nil)
	if err != nil {
		return r, fmt.Errorf("make probe: %w", err)
	}
	res, err := s.ProbeClient.Do(req)
	if err != nil {
		return r, fmt.Errorf("probe: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	return decodeReport(res)
}

func decodeReport(res *http.Response) (sageload.Report, error) {
	var r sageload.Report
	if res.StatusCode != http.StatusOK {
		return r, fmt.Errorf("status %d: %w", res.StatusCode, ErrInvalidReport)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReport))
	if err != nil {
		return r, fmt.Errorf("read load report: %w", err)
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode load report: %v: %w", err, ErrInvalidReport)
	}
	if r.BootID == "" || r.InFlight < 0 || r.Capacity < 0 {
		return r, fmt.Errorf("boot id %q, in_flight %d, bears %d: %w", r.BootID, r.InFlight, r.Capacity, ErrInvalidReport)
	}
	r.BootID = shortID(r.BootID)
	return r, nil
}

// shortID shortens an id that goes with every grant.
func shortID(id string) string {
	if len(id) <= shortBytes {
		return id
	}
	return base32(xxhash.Sum64String(id))
}
