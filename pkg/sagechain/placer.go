package sagechain

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"sagestand.example/sagestand/pkg/sageclock"
)

// minCopyTokens is the least number of tokens that are worth copying from another engine: setting up a copy takes
// about 3 ms, in which an engine reads 165 tokens.
const minCopyTokens = 165

// Candidate is an upstream that may be chosen for a request.
type Candidate struct {
	ID string
	// Load is the number of its requests in flight from all nodes, as far as this node knows.
	Load int
}

// Reason is the rule that decided a choice.
type Reason string

// The reasons.
const (
	ReasonHoldsChain Reason = "holds_chain"
	ReasonHashOrder  Reason = "order"
	ReasonAllAtBound Reason = "all_at_bound"
)

// Choice is the result of a placement.
type Choice struct {
	// Index is the index of the chosen candidate.
	Index int
	// HeldTokens is the length of the shared prefix that the chosen upstream is believed to hold, in tokens.
	HeldTokens int
	// CopyFrom is the upstream to copy more of the chain from; empty if there is none. CopyTokens is the length of
	// the shared prefix that it is believed to hold.
	CopyFrom   string
	CopyTokens int
	Reason     Reason
}

// SourceTrust says whether an upstream is likely to be running, so that parts can be copied from it.
type SourceTrust int

// The degrees of trust. If the source of a copy has stopped, the copy fails and the parts are read again.
const (
	SourceUnusable SourceTrust = iota
	SourceSuspect
	SourceTrusted
)

// Placer chooses upstreams for chains. It is safe for concurrent use.
type Placer struct {
	// SourceTrust returns how far an upstream is trusted as the source of a copy; nil means that all are trusted.
	// It is set before use.
	SourceTrust func(upstream string) SourceTrust

	mu      sync.Mutex
	holders holderIndex
	listed  listedIndex
}

// Choose returns the upstream for a request with this chain, or false if there are no candidates.
func (p *Placer) Choose(now sageclock.Instant, cands []Candidate, params BoundParams, c Chain) (Choice, bool) {
	if len(cands) == 0 {
		return Choice{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	shared, bound := c.Shared(), LoadBound(cands, params)
	wantTokens := shared.Tokens()
	var buf [typicalParts]map[string]*holder
	view := p.holders.view(now, shared, &p.listed, &buf)
	holders, others := partition(cands, &view, wantTokens, bound, c)
	best := Choice{Index: holders.leastLoaded(cands), Reason: ReasonHoldsChain}
	if best.Index < 0 {
		best = Choice{Index: others.leastLoaded(cands), Reason: ReasonHashOrder}
	}
	if best.Index < 0 {
		best = Choice{Index: firstTwo(cands, c).leastLoaded(cands), Reason: ReasonAllAtBound}
	}
	best.HeldTokens = view.cachedTokens(cands[best.Index].ID)
	if best.CopyFrom = p.copySource(&view, cands[best.Index].ID, best.HeldTokens); best.CopyFrom != "" {
		best.CopyTokens = view.cachedTokens(best.CopyFrom)
	}
	return best, true
}

// HasHolder reports whether some upstream is believed to hold all shared parts of a chain.
func (p *Placer) HasHolder(now sageclock.Instant, c Chain) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared := c.Shared()
	if len(shared) == 0 {
		return true
	}
	var buf [typicalParts]map[string]*holder
	view, wantTokens := p.holders.view(now, shared, &p.listed, &buf), shared.Tokens()
	for u := range view.holders[len(shared)-1] {
		if view.cachedTokens(u) == wantTokens {
			return true
		}
	}
	for u := range p.listed.upstreams {
		if view.cachedTokens(u) == wantTokens {
			return true
		}
	}
	return false
}

// copySource returns the upstream to copy a chain from, or "" if none holds enough more of it than the chosen one.
// It prefers the most trusted upstream, then the longest prefix, then the most recent use, since an upstream that
// was used recently is most likely still running.
//
// Trust comes first because a crashed engine stays listed until its lease expires, some seconds later. An engine
// that fails to copy from it reads everything itself, even if another engine holds the chain by then.
func (p *Placer) copySource(view *chainView, chosen string, chosenTokens int) string {
	best, bestTokens, bestTrust, bestLastUsed := "", 0, SourceUnusable, sageclock.Instant(0)
	if view.chain.Tokens() < chosenTokens+minCopyTokens {
		return best
	}
	consider := func(u string) {
		tokens := view.cachedTokens(u)
		if u == chosen || tokens < chosenTokens+minCopyTokens {
			return
		}
		trust := SourceTrusted
		if p.SourceTrust != nil {
			trust = p.SourceTrust(u)
		}
		lastUsed := view.lastUsed(u)
		if cmp.Or(cmp.Compare(trust, bestTrust), cmp.Compare(tokens, bestTokens), cmp.Compare(lastUsed, bestLastUsed), strings.Compare(best, u)) > 0 && trust > SourceUnusable {
			best, bestTokens, bestTrust, bestLastUsed = u, tokens, trust, lastUsed
		}
	}
	for u := range view.holders[0] {
		consider(u)
	}
	for u := range p.listed.upstreams {
		consider(u)
	}
	return best
}

// Record records that an upstream reads the shared parts of a request's chain.
func (p *Placer) Record(now sageclock.Instant, upstream string, c Chain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range c.Shared() {
		if p.holders.record(now, part.ID, upstream) {
			p.holders.updates = append(p.holders.updates, holding{part: part.ID, upstream: upstream})
		}
	}
}

// TakeUpdates removes up to n holdings, the newest first, from those to be sent to the peers, and returns the
// parts by upstream.
func (p *Placer) TakeUpdates(n int) map[string][]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := max(0, len(p.holders.updates)-n)
	out := groupByUpstream(p.holders.updates[from:])
	p.holders.updates = p.holders.updates[:from]
	return out
}

// Merge merges the parts by upstream that a peer sent.
func (p *Placer) Merge(now sageclock.Instant, received map[string][]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for u, parts := range received {
		for _, part := range parts {
			p.holders.record(now, part, u)
		}
	}
}

func groupByUpstream(holdings []holding) map[string][]uint64 {
	if len(holdings) == 0 {
		return nil
	}
	out := make(map[string][]uint64)
	for _, h := range holdings {
		out[h.upstream] = append(out[h.upstream], h.part)
	}
	return out
}

// RecordListed records parts that an upstream listed, and queues all of them for the peers, even known ones: peers
// that joined in the meantime don't have them.
func (p *Placer) RecordListed(now sageclock.Instant, upstream string, parts []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hashes := make([]PartHash, len(parts))
	for i, part := range parts {
		hashes[i] = partHash(part)
	}
	p.listed.add(now, upstream, hashes)
	p.listed.queueUpdates(upstream, hashes)
}

// TakeListedUpdates removes up to n listed parts, the newest first, from those to be sent to the peers, and
// returns them by upstream.
func (p *Placer) TakeListedUpdates(n int) map[string][]PartHash {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := max(0, len(p.listed.updates)-n)
	var out map[string][]PartHash
	for _, h := range p.listed.updates[from:] {
		if out == nil {
			out = make(map[string][]PartHash)
		}
		out[h.upstream] = append(out[h.upstream], h.part)
	}
	p.listed.updates = p.listed.updates[:from]
	return out
}

// MergeListed merges the listed parts by upstream that a peer sent.
func (p *Placer) MergeListed(now sageclock.Instant, received map[string][]PartHash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for u, parts := range received {
		p.listed.add(now, u, parts)
	}
}

// AllListed returns all listed parts by upstream, for a node that has just started.
func (p *Placer) AllListed(now sageclock.Instant) map[string][]PartHash {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string][]PartHash)
	for u, x := range p.listed.upstreams {
		if now.Sub(x.receivedAt) < listedTTL {
			out[u] = slices.Clone(x.parts)
		}
	}
	return out
}

// All returns all known holders as parts by upstream, for a node that has just started.
func (p *Placer) All(now sageclock.Instant) map[string][]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return groupByUpstream(p.holders.all(now))
}

// Forget drops an upstream that has left, crashed or restarted.
func (p *Placer) Forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders.forget(upstream)
	p.listed.forget(sageclock.Now(), upstream)
}
