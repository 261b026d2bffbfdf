package sagereach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Back-off from a peer that refused a request, before jitter.
const (
	minHelperBackoff = 100 * time.Millisecond
	maxHelperBackoff = 2 * time.Second
)

// Candidate is a peer that has a path to the upstreams of a service.
type Candidate struct {
	Node    string
	Address string
	// Local is set if the peer is in this node's data centre.
	Local bool
}

// Helpers chooses peers that send requests to upstreams for this node. The zero value is ready to use. It is safe for
// concurrent use.
//
// Peers in the same data centre are preferred. Among them, the one with the fewest requests of this node in progress is
// chosen, ties at random, so that the requests of many nodes spread evenly. A peer that refuses requests is avoided for
// a time that doubles with each refusal in a row.
type Helpers struct {
	mu    sync.Mutex
	peers map[string]*helperRecord // by name
}

type helperRecord struct {
	inFlight     int
	refusals     int // in a row
	avoidedUntil sageclock.Instant
}

// Start chooses a candidate whose name isn't in tried and counts a request for it. It returns false if there is none.
func (h *Helpers) Start(now sageclock.Instant, candidates []Candidate, tried []string) (Candidate, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	best, found := Candidate{}, false
	offset := 0
	if len(candidates) > 0 {
		offset = rand.IntN(len(candidates))
	}
	for i := range candidates {
		c := candidates[(offset+i)%len(candidates)]
		r := h.peers[c.Node]
		if slices.Contains(tried, c.Node) || r != nil && now < r.avoidedUntil {
			continue
		}
		if !found || c.Local && !best.Local || c.Local == best.Local && h.inFlight(c.Node) < h.inFlight(best.Node) {
			best, found = c, true
		}
	}
	if found {
		h.recordOf(best.Node).inFlight++
	}
	return best, found
}

// End records the end of a request that a peer was chosen for. refused says that the peer could not take it.
func (h *Helpers) End(now sageclock.Instant, node string, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.recordOf(node)
	r.inFlight = max(0, r.inFlight-1)
	if !refused {
		r.refusals = 0
		return
	}
	if now < r.avoidedUntil {
		return // under way when the back-off began
	}
	d := min(minHelperBackoff<<min(r.refusals, 8), maxHelperBackoff)
	r.refusals++
	r.avoidedUntil = now.Add(d/2 + rand.N(d/2))
}

// Retain drops the records of peers that are idle and that live rejects.
func (h *Helpers) Retain(live func(node string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n, r := range h.peers {
		if r.inFlight == 0 && !live(n) {
			delete(h.peers, n)
		}
	}
}

func (h *Helpers) inFlight(node string) int {
	if r := h.peers[node]; r != nil {
		return r.inFlight
	}
	return 0
}

func (h *Helpers) recordOf(node string) *helperRecord {
	if h.peers == nil {
		h.peers = make(map[string]*helperRecord)
	}
	r := h.peers[node]
	if r == nil {
		r = new(helperRecord)
		h.peers[node] = r
	}
	return r
}
