package sageorigind

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Times and limits of a search.
const (
	// repeatAfter is the time after which nodes that haven't answered are asked once more, several times a round trip.
	repeatAfter = 60 * time.Millisecond
	// answerTimeout is the time after which a search ends. Nodes that are alive but busy answer within it.
	answerTimeout = 300 * time.Millisecond
	// maxAsks is the number of searches at the same time. Beyond it, callers are refused.
	maxAsks = 512
	// claimsInterval is the least time between two reads of the claims. Many callers return at once.
	claimsInterval = time.Second
)

// ask is a search for one origin at other nodes.
type ask struct {
	nodes   []string
	answers chan nodeAnswer
}

// nodeAnswer is the answer of a node.
type nodeAnswer struct {
	sageorigin.Answer
	from string
}

// Find returns where the stream with a key began, whose caller has returned on a route.
func (s *Service) Find(ctx context.Context, route string, k sageorigin.Key) sageorigin.Finding {
	returned := s.now()
	f := s.find(ctx, returned, route, k)
	if f.Status == sageorigin.Unknown {
		s.findLost(ctx, returned, route, k, &f)
	}
	s.Metrics.GetOrCreateCounter(fmt.Sprintf(`sagestand_origin_searches_total{status=%q,asked="%t"}`, f.Status.String(), f.Asked > 0)).Inc()
	return f
}

// findLost continues a search that found no record, as its holders may be lost.
func (s *Service) findLost(ctx context.Context, returned sageclock.Instant, route string, k sageorigin.Key, f *sageorigin.Finding) {
	recovers := s.RecoversUntil != nil && s.now() < s.RecoversUntil()
	if !s.mayBeLost(f) {
		f.MayFollow = f.MayFollow || recovers
		return
	}
	whole, dueIn := s.findSaved(ctx, returned, route, k, f)
	switch {
	case f.Status == sageorigin.Found:
		f.MayFollow = false
	case recovers: // holders that remain, and writers, may still have what the store lacks
		f.MayFollow = true
	case !whole:
		f.MayFollow, f.FollowsIn = true, dueIn
	}
}

// find looks a stream's origin up. A sole version counts only if the copy of the upstreams is proven as of the return: whoever began
// the stream at another version had read that version's entry in the store before.
func (s *Service) find(ctx context.Context, returned sageclock.Instant, route string, k sageorigin.Key) sageorigin.Finding {
	o, age, status, proven := s.lookUp(returned, returned, route, k)
	if isSole(status) && !proven && s.prove(ctx, returned, proofTimeout) {
		o, age, status, proven = s.lookUp(s.now(), returned, route, k)
	}
	if status == sageorigin.Found || status == sageorigin.Sole && proven {
		return sageorigin.Finding{Status: status, Origin: o, Age: age}
	}
	// A sole version that was not known here for long enough, or isn't proven, needs the other nodes' word.
	nodes := s.currentRing(returned).Asked(k, s.Self)
	f, complete := s.search(ctx, route, k, nodes, local{o, isSole(status), proven})
	if f.Status != sageorigin.SoleSinceStart {
		return f
	}
	switch {
	case complete:
	case proven:
		s.learnClaims(ctx, s.History.KnownSince())
	default:
		s.learnClaims(ctx, returned) // what happened since an earlier read may have been missed
	}
	o, status = s.History.Status(s.now(), route)
	if o != f.Origin || !isSole(status) || !complete && !s.History.Claimed(o, route) {
		return sageorigin.Finding{Asked: f.Asked, Answered: f.Answered}
	}
	f.Status = sageorigin.Sole
	return f
}

// isSole reports whether a status names the only origin that a node knows.
func isSole(s sageorigin.Status) bool { return s == sageorigin.Sole || s == sageorigin.SoleSinceStart }

// local is what this node knows itself when a search begins.
type local struct {
	origin sageorigin.Origin
	// sole says that origin is the only one that this node knows, proven that its copy of the upstreams is proven as of the return.
	sole, proven bool
}

// search asks other nodes. If one origin only is known to this node and to the others, and the copy of the upstreams of one of them is
// proven as of the return, the status is SoleSinceStart; complete says that the history of one whose copy is reaches back far enough.
func (s *Service) search(ctx context.Context, route string, k sageorigin.Key, nodes []string, own local) (f sageorigin.Finding, complete bool) {
	now := s.now()
	complete = own.proven && s.History.Complete(now)
	if len(nodes) == 0 {
		f.MayFollow = own.sole
		if own.sole && own.proven {
			f = sageorigin.Finding{Status: sageorigin.SoleSinceStart, Origin: own.origin}
		}
		return f, complete
	}
	a, number := s.startAsk(nodes)
	if a == nil {
		return f, false
	}
	defer s.endAsk(number)
	q := &sageorigin.Message{Query: &sageorigin.Query{Number: number, Key: k, Route: route}}
	for _, n := range nodes {
		s.send(now, n, q)
	}
	f.Asked = len(nodes)
	answered, agreed, informed := make(map[string]bool), own.sole, own.proven
	repeat, timeout := time.NewTimer(repeatAfter), time.NewTimer(answerTimeout)
	defer repeat.Stop()
	defer timeout.Stop()
	for waiting := true; waiting && len(answered) < len(nodes); {
		select {
		case <-ctx.Done():
			return f, false
		case <-timeout.C:
			waiting = false
		case <-repeat.C:
			for _, n := range nodes {
				if !answered[n] {
					s.send(s.now(), n, q)
				}
			}
		case got := <-a.answers:
			if got.Status == sageorigin.Found {
				return sageorigin.Finding{Status: sageorigin.Found, Origin: got.Origin, Age: got.Age, From: got.from, Asked: len(nodes), Answered: len(answered) + 1}, true
			}
			answered[got.from] = true
			if got.Status == sageorigin.Uninformed {
				continue
			}
			informed = true
			agreed = agreed && got.Status != sageorigin.Unknown && got.Origin == own.origin
			complete = complete || got.Status == sageorigin.Sole
		}
	}
	f.Answered = len(answered)
	switch {
	case !agreed:
	case informed && f.Answered > 0:
		f.Status, f.Origin = sageorigin.SoleSinceStart, own.origin
	default:
		f.MayFollow = true // nobody knows otherwise, and a copy may be fresh soon
	}
	return f, complete
}

// startAsk starts a search at some nodes; nil if too many are in progress.
func (s *Service) startAsk(nodes []string) (*ask, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.asks) >= maxAsks {
		return nil, 0
	}
	if s.asks == nil {
		s.asks = make(map[uint64]*ask)
	}
	s.lastNumber++
	a := &ask{nodes: nodes, answers: make(chan nodeAnswer, 2*len(nodes))}
	s.asks[s.lastNumber] = a
	return a, s.lastNumber
}

func (s *Service) endAsk(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asks, number)
}

// learnClaims reads the claims of sole versions from the store, unless that was done just before, and since notBefore or without an
// answer.
func (s *Service) learnClaims(ctx context.Context, notBefore sageclock.Instant) {
	s.claims.mu.Lock()
	defer s.claims.mu.Unlock()
	now := s.now()
	if s.claims.readAt != 0 && now.Sub(s.claims.readAt) < claimsInterval && (s.claims.failed || s.claims.startedAt >= notBefore) {
		return
	}
	claims, err := s.ReadClaims(ctx)
	s.claims.startedAt, s.claims.readAt, s.claims.failed = now, s.now(), err != nil
	if err != nil {
		s.Log.Limited(sagelog.KindStateChange, "Claims of sole versions not read.", "err", err)
		return
	}
	s.History.SetClaims(now, claims)
	s.Log.Limited(sagelog.KindStateChange, "Claims of sole versions read.", "claims", len(claims))
}

// Handle handles a message of another node. Malformed ones are ignored.
func (s *Service) Handle(b []byte, from string) {
	now := s.now()
	m, err := sageorigin.Decode(now, b)
	if err != nil {
		s.Log.Limited(sagelog.KindStateChange, "Message on origins ignored.", "from", from, "bytes", len(b), "err", err)
		return
	}
	for _, r := range m.Records {
		s.table.Put(now, r)
	}
	if len(m.Save) > 0 && s.Save != nil {
		s.Save(m.Save)
	}
	if m.Query != nil {
		s.answerQuery(now, m.Query, from)
	}
	if m.Answer != nil {
		s.deliver(nodeAnswer{*m.Answer, from})
	}
}

// answerQuery answers a query, at once unless this node knows of one origin only and its copy of the upstreams isn't proven as of the
// query.
func (s *Service) answerQuery(received sageclock.Instant, q *sageorigin.Query, from string) {
	a, sole := s.answer(received, received, q)
	if a.Status != sageorigin.Uninformed || !sole || !s.beginProof() {
		s.send(received, from, &sageorigin.Message{Answer: a})
		return
	}
	go func() {
		defer s.proving.Add(-1)
		if s.prove(context.Background(), received, peerProofTimeout) {
			a, _ = s.answer(s.now(), received, q)
		}
		s.send(s.now(), from, &sageorigin.Message{Answer: a})
	}()
}

// beginProof reports whether another query may wait for a proof, and counts it if so.
func (s *Service) beginProof() bool {
	if s.Refresh == nil {
		return false
	}
	if s.proving.Add(1) > maxAsks {
		s.proving.Add(-1)
		return false
	}
	return true
}

// answer returns what this node knows of a stream's origin, and whether it knows of one origin only. That counts only if its copy of the
// upstreams is proven as of an instant.
func (s *Service) answer(now, since sageclock.Instant, q *sageorigin.Query) (a *sageorigin.Answer, sole bool) {
	o, age, status, proven := s.lookUp(now, since, q.Route, q.Key)
	a = &sageorigin.Answer{Number: q.Number, Origin: o, Age: age, Status: status}
	sole = isSole(status)
	if sole && !proven || status == sageorigin.Unknown && !s.Fresh() {
		*a = sageorigin.Answer{Number: q.Number, Status: sageorigin.Uninformed}
	}
	return a, sole
}

// lookUp returns what this node knows of a stream's origin, and whether its copy of the upstreams is proven as of an instant. A record
// without a version says no more than that the stream began, and contradicts a sole version.
//
// Whether the copy is proven is determined before the history is read. In the reverse order an old history would count if the copy
// was renewed in between, as after a pause of the process.
func (s *Service) lookUp(now, since sageclock.Instant, route string, k sageorigin.Key) (o sageorigin.Origin, age time.Duration, status sageorigin.Status, proven bool) {
	proven = s.proven(since)
	o, age, recorded := s.table.Get(now, k)
	if recorded && o.Version != "" {
		return o, age, sageorigin.Found, proven
	}
	o, status = s.History.Status(now, route)
	if recorded && o.Version != "" {
		return sageorigin.Origin{}, 0, sageorigin.Unknown, proven
	}
	return o, 0, status, proven
}

// deliver passes an answer on to the search that it belongs to. Answers of nodes that weren't asked are ignored.
func (s *Service) deliver(got nodeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.asks[got.Number]
	if a == nil || !slices.Contains(a.nodes, got.from) {
		return
	}
	select {
	case a.answers <- got:
	default: // repeated answers
	}
}
