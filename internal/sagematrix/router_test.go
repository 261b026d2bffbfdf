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

// router is one node: the real entry, claims and dispatch, and fakes for the steps in between.
type router struct {
	w       *world
	name    string
	gate    gate
	callers *pipes
	claims  *sageclaims.Service
	disp    *sagedispatch.Dispatcher
	server  *http.Server
	end     context.CancelFunc

	mu       sync.Mutex
	cutStore bool
	cutPeer  bool
	cutApp   bool
}

func (r *router) flag(f func(r *router) *bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *f(r)
}

func (r *router) setFlag(f func(r *router) *bool, v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*f(r) = v
}

func storeFlag(r *router) *bool { return &r.cutStore }
func peerFlag(r *router) *bool  { return &r.cutPeer }
func appFlag(r *router) *bool   { return &r.cutApp }

// storeView is the store as one router reaches it.
type storeView struct {
	sageobject.Store
	r *router
}

func (s *storeView) check(lost error) error {
	if err := s.r.gate.pass(); err != nil {
		return lost
	}
	if s.r.flag(storeFlag) {
		return lost
	}
	return nil
}

func (s *storeView) Get(ctx context.Context, key string) (sageobject.Object, error) {
	if err := s.check(sageobject.ErrUnavailable); err != nil {
		return sageobject.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *storeView) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	claims := strings.HasPrefix(key, sageclaim.Prefix)
	if claims {
		s.r.w.at(stepClaimCommit, s.r)
	}
	if err := s.check(sageobject.ErrUnavailable); err != nil {
		return 0, err
	}
	v, err := s.Store.Put(ctx, key, value, want)
	if err != nil {
		return 0, err
	}
	if claims {
		s.r.w.at(stepCommitAnswer, s.r)
	}
	// What was cut or died after the effect never heard of it.
	if err := s.check(sageobject.ErrUnknown); err != nil {
		return 0, err
	}
	if s.r.w.loseAnswer() {
		return 0, sageobject.ErrUnknown
	}
	return v, nil
}

// Commit reaches the other router as a peer.
func (r *router) call(to *router) claim.Claims { return &peerCall{from: r, to: to} }

type peerCall struct{ from, to *router }

func (p *peerCall) Commit(ctx context.Context, req *claim.CommitRequest) (*claim.CommitResponse, error) {
	if p.from.flag(peerFlag) || p.to.flag(peerFlag) {
		<-ctx.Done()
		return nil, errCut
	}
	type result struct {
		res *claim.CommitResponse
		err error
	}
	done := make(chan result, 1)
	p.from.w.wg.Go(func() {
		if err := p.to.gate.pass(); err != nil {
			done <- result{err: err}
			return
		}
		res, err := p.to.claims.Commit(context.WithoutCancel(ctx), req)
		if gerr := p.to.gate.pass(); gerr != nil {
			err = gerr
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

// steps are the fakes between the real parts of one router.
type steps struct {
	r      *router
	state  *sageconfig.State
	claims sageentry.Claims
	next   sageentry.Dispatch
}

func (s *steps) State() *sageconfig.State                  { return s.state }
func (s *steps) Revision() uint64                          { return 1 }
func (s *steps) Serving(time.Time, bool) *sagewire.Refusal { return nil }
func (s *steps) RecordFirstAttempt(time.Time)              {}
func (s *steps) Record(sageentry.Observation)              {}
func (s *steps) Locate(now time.Time, _ sagelocate.Query) (sagelocate.Answer, *sagewire.Refusal) {
	return sagelocate.Answer{ValidUntil: now}, nil
}
func (s *steps) Leave(now time.Time) time.Time { return now }
func (s *steps) Allow(now time.Time, _ *sageentry.Request, tried []string, notRun bool) (time.Time, bool) {
	return now, notRun && len(tried) < 2
}

func (s *steps) Admit(context.Context, *sageentry.Request) (func(), *sagewire.Refusal) {
	s.r.w.at(stepAccept, s.r)
	return func() {}, nil
}

func (s *steps) Claim(ctx context.Context, req *sageentry.Request) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	s.r.w.at(stepClaimCollect, s.r)
	return s.claims.Claim(ctx, req)
}

func (s *steps) Finish(ctx context.Context, c *sageentry.Claim, res *sagedispatch.Result) {
	s.r.w.at(stepRecord, s.r)
	s.claims.Finish(ctx, c, res)
}

func (s *steps) Pick(_ context.Context, req *sageentry.Request, _ []string) (*sageentry.Pick, *sagewire.Refusal) {
	req.Header.Set("X-Router", s.r.name)
	return &sageentry.Pick{Upstream: "app", Address: "app:1", Release: func(*sagedispatch.Result) {}}, nil
}

func (s *steps) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	res := s.next.Do(ctx, w, a)
	s.r.w.at(stepEnd, s.r)
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

// start starts a router; other is called for objects that the other one owns.
func (r *router) start() {
	w := r.w
	r.callers = newPipes()
	r.callers.wrap = func(c net.Conn) net.Conn { return r.gate.wrap("caller", c) }
	var store sageobject.Store = &storeView{Store: w.store, r: r}
	if w.m.store != nil {
		store = w.m.store(store)
	}
	r.claims = &sageclaims.Service{
		Rules:     sageclaim.Rules{Bucket: 2 * time.Second, Shards: 4, Retention: time.Hour, MaxAhead: time.Minute},
		Committer: &sageclaim.Committer{Store: store, BatchWindow: 5 * time.Millisecond, CommitTimeout: time.Second},
		Store:     store, Self: r.name, MaxAnswerBytes: 1 << 20, SweepAfter: 30 * time.Second,
		Peers: func() []string { return []string{w.other(r).name} },
		Dial:  func(string) claim.Claims { return r.call(w.other(r)) },
	}
	r.disp = &sagedispatch.Dispatcher{Dial: r.dial}
	st := &steps{r: r, state: testState(), claims: r.claims, next: r.disp}
	if w.m.claims != nil {
		st.claims = w.m.claims(st.claims)
	}
	if w.m.dispatch != nil {
		st.next = w.m.dispatch(st.next)
	}
	entry := &sageentry.Service{
		Config: st, Admission: st, Claims: st, Placement: st, Retries: st, Dispatch: st, Locator: st, Leaver: st, Recorder: st,
		Limits: sagesettings.Default().Limits,
	}
	r.server = &http.Server{Handler: entry.Handler()}
	w.wg.Go(func() { _ = r.server.Serve(r.callers) })
	ctx, end := context.WithCancel(context.Background())
	r.end = end
	w.wg.Go(func() { _ = r.claims.Run(ctx) })
}

func (r *router) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	r.w.at(stepDispatch, r)
	if err := r.gate.pass(); err != nil {
		return nil, err
	}
	if r.flag(appFlag) {
		return nil, errCut
	}
	c, err := r.w.app.pipes.dial(ctx)
	if err != nil {
		return nil, err
	}
	return r.gate.wrap("upstream", c), nil
}

func (r *router) stop() {
	r.gate.thaw()
	r.end()
	_ = r.server.Close()
	_ = r.callers.Close()
	r.disp.Close()
}
