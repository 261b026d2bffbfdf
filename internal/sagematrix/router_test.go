package sagematrix

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sageclaims"
	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/internal/sagerpc/claim"
	"sagestand.example/sagestand/internal/sagesettings"
	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

const accountKey = "secret"

// router is one node, with the real entry, claims and dispatch services and fakes of the others.
type router struct {
	world          *world
	name           string
	gate           gate
	callerListener *pipeListener
	claims         *sageclaims.Service
	dispatcher     *sagedispatch.Dispatcher
	server         *http.Server
	cancel         context.CancelFunc

	mu        sync.Mutex
	storeDown bool
	peerDown  bool
	appDown   bool
}

func (r *router) getFlag(f func(r *router) *bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *f(r)
}

func (r *router) setFlag(f func(r *router) *bool, v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*f(r) = v
}

func storeFlag(r *router) *bool { return &r.storeDown }
func peerFlag(r *router) *bool  { return &r.peerDown }
func appFlag(r *router) *bool   { return &r.appDown }

// storeView is the store as one router sees it. It simulates faults between the router and the store.
type storeView struct {
	sageobject.Store
	router *router
}

// checkReachable returns failure if the router is killed or can't reach the store.
func (s *storeView) checkReachable(failure error) error {
	if err := s.router.gate.await(); err != nil {
		return failure
	}
	if s.router.getFlag(storeFlag) {
		return failure
	}
	return nil
}

func (s *storeView) Get(ctx context.Context, key string) (sageobject.Object, error) {
	if err := s.checkReachable(sageobject.ErrUnavailable); err != nil {
		return sageobject.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *storeView) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	isClaim := strings.HasPrefix(key, sageclaim.Prefix)
	if isClaim {
		s.router.world.reachStep(stepClaimCommit, s.router)
	}
	if err := s.checkReachable(sageobject.ErrUnavailable); err != nil {
		return 0, err
	}
	v, err := s.Store.Put(ctx, key, value, want)
	if err != nil {
		return 0, err
	}
	if isClaim {
		s.router.world.reachStep(stepCommitResponse, s.router)
	}
	// If the connection or the router failed after the write took effect, the router doesn't learn the result.
	if err := s.checkReachable(sageobject.ErrUnknown); err != nil {
		return 0, err
	}
	if s.router.world.consumeLoseNext() {
		return 0, sageobject.ErrUnknown
	}
	return v, nil
}

// claimsClient returns a client for the claims service of another router.
func (r *router) claimsClient(to *router) claim.Claims { return &peerClient{from: r, to: to} }

// peerClient calls the claims service of another router. The call blocks until its deadline while either router
// has no connection to its peers.
type peerClient struct{ from, to *router }

func (p *peerClient) Commit(ctx context.Context, req *claim.CommitRequest) (*claim.CommitResponse, error) {
	if p.from.getFlag(peerFlag) || p.to.getFlag(peerFlag) {
		<-ctx.Done()
		return nil, errNetworkDown
	}
	type result struct {
		res *claim.CommitResponse
		err error
	}
	done := make(chan result, 1)
	p.from.world.wg.Go(func() {
		if err := p.to.gate.await(); err != nil {
			done <- result{err: err}
			return
		}
		res, err := p.to.claims.Commit(context.WithoutCancel(ctx), req)
		if gateErr := p.to.gate.await(); gateErr != nil {
			err = gateErr
		}
		done <- result{res, err}
	})
	select {
	case out := <-done:
		return out.res, out.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fakeServices fakes the services of a router that the matrix doesn't test. It wraps claims and dispatch in
// order to report the steps that a request reaches.
type fakeServices struct {
	router   *router
	state    *sageconfig.State
	claims   sageentry.Claims
	dispatch sageentry.Dispatch
}

func (s *fakeServices) State() *sageconfig.State                  { return s.state }
func (s *fakeServices) Revision() uint64                          { return 1 }
func (s *fakeServices) Serving(time.Time, bool) *sagewire.Refusal { return nil }
func (s *fakeServices) RecordFirstAttempt(time.Time)              {}
func (s *fakeServices) Record(sageentry.Observation)              {}
func (s *fakeServices) Locate(now time.Time, _ sagelocate.Query) (sagelocate.Answer, *sagewire.Refusal) {
	return sagelocate.Answer{ValidUntil: now}, nil
}
func (s *fakeServices) Leave(now time.Time) time.Time { return now }
func (s *fakeServices) Allow(now time.Time, _ *sageentry.Request, tried []string, notRun bool) (time.Time, bool) {
	return now, notRun && len(tried) < 2
}

func (s *fakeServices) Admit(context.Context, *sageentry.Request) (func(), *sagewire.Refusal) {
	s.router.world.reachStep(stepAccept, s.router)
	return func() {}, nil
}

func (s *fakeServices) Claim(ctx context.Context, req *sageentry.Request) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	s.router.world.reachStep(stepClaimCollect, s.router)
	return s.claims.Claim(ctx, req)
}

func (s *fakeServices) Finish(ctx context.Context, c *sageentry.Claim, res *sagedispatch.Result) {
	s.router.world.reachStep(stepRecord, s.router)
	s.claims.Finish(ctx, c, res)
}

func (s *fakeServices) Pick(_ context.Context, req *sageentry.Request, _ []string) (*sageentry.Pick, *sagewire.Refusal) {
	req.Header.Set("X-Router", s.router.name)
	return &sageentry.Pick{Upstream: "app", Address: "app:1", Release: func(*sagedispatch.Result) {}}, nil
}

func (s *fakeServices) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	res := s.dispatch.Do(ctx, w, a)
	s.router.world.reachStep(stepEnd, s.router)
	return res
}

func testState() *sageconfig.State {
	sum := sha256.Sum256([]byte(accountKey))
	state := sageconfig.NewState()
	add := func(kind sageconfig.Kind, name string, c sageconfig.Change) {
		c.Key = sageconfig.EntryKey{Kind: kind, Name: name}
		state.Apply(sageconfig.Entry{TicketNumber: 1, Change: c})
	}
	add(sageconfig.KindClientAccount, "haller", sageconfig.Change{ClientAccount: &sageconfig.ClientAccount{KeySHA256: hex.EncodeToString(sum[:]), Weight: 1}})
	add(sageconfig.KindRoute, "orders", sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteService, UpstreamSet: "apps"}})
	return state
}

// start creates the services of a router and runs them.
func (r *router) start() {
	w := r.world
	r.callerListener = newPipeListener()
	r.callerListener.wrap = func(c net.Conn) net.Conn { return r.gate.wrap("caller", c) }
	var store sageobject.Store = &storeView{Store: w.store, router: r}
	if w.mutant.store != nil {
		store = w.mutant.store(store)
	}
	r.claims = &sageclaims.Service{
		Rules:     sageclaim.Rules{Bucket: 2 * time.Second, Shards: 4, Retention: time.Hour, MaxAhead: time.Minute},
		Committer: &sageclaim.Committer{Store: store, BatchWindow: 5 * time.Millisecond, CommitTimeout: time.Second},
		Store:     store, Self: r.name, MaxAnswerBytes: 1 << 20, SweepAfter: 30 * time.Second,
		Peers: func() []string { return []string{w.other(r).name} },
		Dial:  func(string) claim.Claims { return r.claimsClient(w.other(r)) },
	}
	r.dispatcher = &sagedispatch.Dispatcher{Dial: r.dial}
	fakes := &fakeServices{router: r, state: testState(), claims: r.claims, dispatch: r.dispatcher}
	if w.mutant.claims != nil {
		fakes.claims = w.mutant.claims(fakes.claims)
	}
	if w.mutant.dispatch != nil {
		fakes.dispatch = w.mutant.dispatch(fakes.dispatch)
	}
	entry := &sageentry.Service{
		Config: fakes, Admission: fakes, Claims: fakes, Placement: fakes, Retries: fakes, Dispatch: fakes, Locator: fakes, Leaver: fakes, Recorder: fakes,
		Limits: sagesettings.Default().Limits,
	}
	r.server = &http.Server{Handler: entry.Handler()}
	w.wg.Go(func() { _ = r.server.Serve(r.callerListener) })
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	w.wg.Go(func() { _ = r.claims.Run(ctx) })
}

func (r *router) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	r.world.reachStep(stepDispatch, r)
	if err := r.gate.await(); err != nil {
		return nil, err
	}
	if r.getFlag(appFlag) {
		return nil, errNetworkDown
	}
	c, err := r.world.app.listener.dial(ctx)
	if err != nil {
		return nil, err
	}
	return r.gate.wrap("upstream", c), nil
}

func (r *router) stop() {
	r.gate.thaw()
	r.cancel()
	_ = r.server.Close()
	_ = r.callerListener.Close()
	r.dispatcher.Close()
}
