package sagechain

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"sagestand.example/sagestand/pkg/sageclock"
)

// worthCopying is the least number of tokens for which copying parts from another engine pays: a
// copy costs some 3 ms to set up, in which an engine reads about 165 tokens.
const worthCopying = 165

// Candidate is an upstream that may take a request.
type Candidate struct {
	ID string
	// Load is its requests in flight from all nodes, as far as known.
	Load int
}

// Reason says what decided a choice.
type Reason string

// The reasons of a choice.
const (
	ReasonHoldsChain Reason = "holds_chain"
	ReasonHashOrder  Reason = "order"
	ReasonAllAtBound Reason = "all_at_bound"
)

// Choice is a decision.
type Choice struct {
	// Index is the place among the candidates.
	Index int
	// Held is how many shared tokens the chosen upstream is believed to hold.
	HeldTokens int
	// From is the upstream that holds more of the chain and can pass it on; empty if none does. Copied is
	// how many shared tokens it is believed to hold.
	CopyFrom   string
	CopyTokens int
	Reason     Reason
}

// SourceTrust says how well an upstream serves as the source of a copy.
type SourceTrust int

// What is thought of a source. One that stopped passes nothing on, and the parts are read again.
const (
	SourceUnusable SourceTrust = iota
	SourceSuspect
	SourceTrusted
)

// Placer chooses upstreams for chains. It is safe for concurrent use.
type Placer struct {
	// SourceTrust judges whether an upstream can pass parts on to others; nil means that all can. It is set
	// before use.
	SourceTrust func(upstream string) SourceTrust

	mu     sync.Mutex
	held   held
	listed listed
}

// Choose returns where a request with this chain goes, or false if there are no candidates.
func (p *Placer) Choose(now sageclock.Instant, cands []Candidate, rest BoundParams, c Chain) (Choice, bool) {
	if len(cands) == 0 {
		return Choice{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	shared, bound := c.Shared(), LoadBound(cands, rest)
	want := shared.Tokens()
	var room [usualParts]map[string]*holder
	seen := p.held.look(now, shared, &p.listed, &room)
	holders, others := split(cands, &seen, want, bound, c)
	best := Choice{Index: holders.lesser(cands), Reason: ReasonHoldsChain}
	if best.Index < 0 {
		best = Choice{Index: others.lesser(cands), Reason: ReasonHashOrder}
	}
	if best.Index < 0 {
		best = Choice{Index: anyTwo(cands, c).lesser(cands), Reason: ReasonAllAtBound}
	}
	best.HeldTokens = seen.prefix(cands[best.Index].ID)
	if best.CopyFrom = p.source(&seen, cands[best.Index].ID, best.HeldTokens); best.CopyFrom != "" {
		best.CopyTokens = seen.prefix(best.CopyFrom)
	}
	return best, true
}

// Known reports whether some upstream is believed to hold all shared parts of a chain.
func (p *Placer) HasHolder(now sageclock.Instant, c Chain) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared := c.Shared()
	if len(shared) == 0 {
		return true
	}
	var room [usualParts]map[string]*holder
	seen, want := p.held.look(now, shared, &p.listed, &room), shared.Tokens()
	for u := range seen.holders[len(shared)-1] {
		if seen.prefix(u) == want {
			return true
		}
	}
	for u := range p.listed.upstreams {
		if seen.prefix(u) == want {
			return true
		}
	}
	return false
}

// source returns the upstream to copy a chain from: the soundest of those that hold more of it than the
// chosen one does, of these the one that holds most, and of several the one that was used last: it has
// had the least time to stop unnoticed.
//
// It guards against copies from engines that crashed: their leases last some seconds, and an engine that is
// told to copy from one reads everything itself, although another one that read it since could have
// passed it on.
func (p *Placer) source(seen *sight, chosen string, has int) string {
	from, most, trust, used := "", 0, SourceUnusable, sageclock.Instant(0)
	if seen.chain.Tokens() < has+worthCopying {
		return from
	}
	better := func(u string) {
		n := seen.prefix(u)
		if u == chosen || n < has+worthCopying {
			return
		}
		t := SourceTrusted
		if p.SourceTrust != nil {
			t = p.SourceTrust(u)
		}
		at := seen.used(u)
		if cmp.Or(cmp.Compare(t, trust), cmp.Compare(n, most), cmp.Compare(at, used), strings.Compare(from, u)) > 0 && t > SourceUnusable {
			from, most, trust, used = u, n, t, at
		}
	}
	for u := range seen.holders[0] {
		better(u)
	}
	for u := range p.listed.upstreams {
		better(u)
	}
	return from
}

// Note remembers that an upstream reads the chain of a request.
func (p *Placer) Record(now sageclock.Instant, upstream string, c Chain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range c.Shared() {
		if p.held.note(now, part.ID, upstream) {
			p.held.news = append(p.held.news, note{part: part.ID, upstream: upstream})
		}
	}
}

// News returns up to n facts that other nodes have not been told, the newest first, as parts by
// upstream, and takes them as told.
func (p *Placer) TakeUpdates(n int) map[string][]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := max(0, len(p.held.news)-n)
	out := byUpstream(p.held.news[from:])
	p.held.news = p.held.news[:from]
	return out
}

// Learn takes in the parts by upstream that another node told.
func (p *Placer) Merge(now sageclock.Instant, told map[string][]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for u, parts := range told {
		for _, part := range parts {
			p.held.note(now, part, u)
		}
	}
}

func byUpstream(notes []note) map[string][]uint64 {
	if len(notes) == 0 {
		return nil
	}
	out := make(map[string][]uint64)
	for _, n := range notes {
		out[n.upstream] = append(out[n.upstream], n.part)
	}
	return out
}

// List takes in what an upstream itself says it holds, and has it told to the other nodes, each time
// anew: nodes that joined since have not been told.
func (p *Placer) RecordListed(now sageclock.Instant, upstream string, parts []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hashes := make([]PartHash, len(parts))
	for i, part := range parts {
		hashes[i] = hash(part)
	}
	p.listed.add(now, upstream, hashes)
	p.listed.tell(upstream, hashes)
}

// NewsListed returns up to n parts that upstreams listed and other nodes have not been told, by upstream,
// and takes them as told.
func (p *Placer) TakeListedUpdates(n int) map[string][]PartHash {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := max(0, len(p.listed.news)-n)
	var out map[string][]PartHash
	for _, n := range p.listed.news[from:] {
		if out == nil {
			out = make(map[string][]PartHash)
		}
		out[n.upstream] = append(out[n.upstream], n.part)
	}
	p.listed.news = p.listed.news[:from]
	return out
}

// LearnListed takes in parts that upstreams listed, by upstream, as another node told.
func (p *Placer) MergeListed(now sageclock.Instant, told map[string][]PartHash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for u, parts := range told {
		p.listed.add(now, u, parts)
	}
}

// AllListed returns what upstreams listed, for a node that has just started.
func (p *Placer) AllListed(now sageclock.Instant) map[string][]PartHash {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string][]PartHash)
	for u, x := range p.listed.upstreams {
		if now.Sub(x.at) < listedFor {
			out[u] = slices.Clone(x.parts)
		}
	}
	return out
}

// All returns everything that is known as parts by upstream, for a node that has just started.
func (p *Placer) All(now sageclock.Instant) map[string][]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return byUpstream(p.held.all(now))
}

// Forget drops what is believed of an upstream that has left, crashed or started anew.
func (p *Placer) Forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held.forget(upstream)
	p.listed.forget(sageclock.Now(), upstream)
}
