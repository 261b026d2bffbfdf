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

// maxReportBytes is the maximum size of a load report.
const maxReportBytes = 4 << 10

// maxWants is the maximum number of upstreams in one grant request; more would be a fault of its sender.
const maxWants = 4096

// warmAfterRequests is the number of requests that an engine must have completed since its boot before the
// guaranteed shares apply to it.
const warmAfterRequests = 100

// Errors of the service.
var (
	ErrInvalidReport  = errors.New("malformed load report")
	ErrInvalidRequest = errors.New("malformed grant request")
)

// Ask implements [allot.Allot]: it handles the grant request of another router as coordinator.
func (s *Service) Ask(_ context.Context, req *allot.AskRequest) (*allot.AskResponse, error) {
	s.init()
	if len(req.Wants) > maxWants || req.Holder == "" {
		return nil, fmt.Errorf("%d wants from holder %q: %w", len(req.Wants), req.Holder, ErrInvalidRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &allot.AskResponse{Home: s.processID}
	for i, w := range req.Wants {
		u := s.lookup(w.Upstream)
		if u == nil || !u.engine {
			continue // the sender has a newer or older configuration and will send the request again
		}
		g := s.grant(u, sageload.GrantRequest{
			Upstream: w.Upstream, Holder: req.Holder, Node: req.Node, Seq: w.Seq, AdoptedSeq: w.Echo, Coordinator: req.EchoHome,
			ExcessInFlight: int(w.Over), Units: int(w.Units), Reserve: int(w.Spare), Vote: w.Recognise,
		}, w.Cold)
		res.Grants = append(res.Grants, encodeGrant(i, g))
	}
	return res, nil
}

// grant handles the request for one upstream as coordinator; the caller holds mu. The time is read under the
// lock, so that it never goes backwards for the ledger.
func (s *Service) grant(u *upstream, w sageload.GrantRequest, cold bool) sageload.Grant {
	now := time.Now()
	l := s.ledgerOf(u)
	if cold && now.Sub(u.rampRestartedAt) > minRampRestartInterval {
		u.rampRestartedAt = now
		u.ramp.Restart()
		s.Log.Warn("Latency says that the upstream is cold.", "upstream", u.name)
	}
	return l.HandleRequest(now, w)
}

// ledgerOf returns the ledger of an upstream, which it creates on first use and keeps until the process ends.
func (s *Service) ledgerOf(u *upstream) *sageload.Ledger {
	if u.ledger == nil {
		u.ledger = &sageload.Ledger{Coordinator: s.processID, Limits: s.Limits, Floor: min(s.Floor, u.maxInFlight), WarmAfterRequests: warmAfterRequests}
		for _, m := range u.voters {
			u.ledger.Voters = append(u.ledger.Voters, m.Name)
		}
		if s.resigned {
			u.ledger.Resign()
		}
	}
	return u.ledger
}

func encodeGrant(index int, g sageload.Grant) *allot.Grant {
	return &allot.Grant{
		Want: uint32(index), Seq: g.Seq, Units: uint32(g.Units), BootId: g.BootID, Cap: uint32(max(g.Cap, 0)),
		Known: g.ReportFresh, Pending: g.Pending, Resigned: g.Resigned, Warm: g.GuaranteedUsable,
		InFlight: uint32(max(g.Report.InFlight, 0)), CacheGeneration: g.Report.CacheGeneration, AsOf: g.Report.AsOf.UnixMicro(),
	}
}

// probeEngines starts a load probe of every engine that this node coordinates.
func (s *Service) probeEngines(ctx context.Context, wg *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := s.live()
	for _, u := range s.upstreams {
		coordinator, ok := s.coordinatorOf(u, live)
		if !u.engine || !ok || coordinator != s.Node || u.probing {
			continue
		}
		u.probing = true
		address := u.address
		wg.Go(func() { s.probeEngine(ctx, u, address) })
	}
}

func (s *Service) probeEngine(ctx context.Context, u *upstream, address string) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.GrantDuration/2)
	defer cancel()
	sent := time.Now()
	r, err := s.readReport(ctx, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	u.probing = false
	if err != nil || address != u.address {
		return
	}
	capacity := u.ramp.Observe(r)
	if u.outOfService {
		capacity = 0
	}
	s.ledgerOf(u).RecordReport(time.Now(), sent, r, capacity)
}

// readReport reads the load report of an upstream.
func (s *Service) readReport(ctx context.Context, address string) (sageload.Report, error) {
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
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
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

// shortID returns a hash of a long boot id, as every grant carries one.
func shortID(id string) string {
	if len(id) <= shortIDBytes {
		return id
	}
	return base32(xxhash.Sum64String(id))
}
