package sagechain

// pair collects the first two candidates of an order.
type pair struct {
	at    [2]int
	place [2]uint64
	n     int
}

// add takes a candidate in with its place in the order.
func (p *pair) add(i int, place uint64) {
	switch {
	case p.n == 0 || place > p.place[0]:
		p.at[1], p.place[1] = p.at[0], p.place[0]
		p.at[0], p.place[0] = i, place
	case p.n == 1 || place > p.place[1]:
		p.at[1], p.place[1] = i, place
	}
	p.n = min(p.n+1, len(p.at))
}

// lesser returns the one of the pair with less load, the first if both have as much, or -1 if the
// pair is empty.
func (p *pair) lesser(cands []Candidate) int {
	switch {
	case p.n == 0:
		return -1
	case p.n == 2 && cands[p.at[1]].Load < cands[p.at[0]].Load:
		return p.at[1]
	}
	return p.at[0]
}

// split returns which candidates with room come into question: of those that hold the whole chain the
// two that come first for this request, and of the others the first for the chain, so that all nodes
// send a new chain to the same engine, or the two first for this request if the holders are full.
//
// It guards against nodes that fill the same engine together: their counts of each other lag, so to
// all of them the same engine looks free, and an order that depends on the chain alone, or on the
// loads alone, sends all of a hot chain's requests there until the counts arrive. The order of a
// request's own part differs from request to request; the lesser of two then evens the rest out.
func split(cands []Candidate, seen *sight, want int, bound float64, c Chain) (holders, others pair) {
	own, key := c.UniquePart(), c.Key()
	var first pair
	held := want == 0
	for i := range cands {
		id := cands[i].ID
		holds := want > 0 && seen.prefix(id) == want
		held = held || holds
		switch {
		case float64(cands[i].Load) > bound:
		case holds:
			holders.add(i, order(own, id))
		default:
			first.add(i, order(key, id))
			others.add(i, order(own, id))
		}
	}
	if !held {
		first.n = min(first.n, 1)
		others = first
	}
	return holders, others
}

// anyTwo returns the two candidates that come first for this request.
//
// It guards against nodes that all send to the engine with the least load as they last heard when none
// has room.
func anyTwo(cands []Candidate, c Chain) *pair {
	var p pair
	for i := range cands {
		p.add(i, order(c.UniquePart(), cands[i].ID))
	}
	return &p
}
