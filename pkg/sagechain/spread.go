package sagechain

// topTwo collects the indexes of the two candidates with the greatest ranks.
type topTwo struct {
	index [2]int
	rank  [2]uint64
	n     int
}

// add offers a candidate with its rank.
func (p *topTwo) add(i int, rank uint64) {
	switch {
	case p.n == 0 || rank > p.rank[0]:
		p.index[1], p.rank[1] = p.index[0], p.rank[0]
		p.index[0], p.rank[0] = i, rank
	case p.n == 1 || rank > p.rank[1]:
		p.index[1], p.rank[1] = i, rank
	}
	p.n = min(p.n+1, len(p.index))
}

// leastLoaded returns the candidate with the lower load, the first one if the loads are equal, or -1 if there is
// none.
func (p *topTwo) leastLoaded(cands []Candidate) int {
	switch {
	case p.n == 0:
		return -1
	case p.n == 2 && cands[p.index[1]].Load < cands[p.index[0]].Load:
		return p.index[1]
	}
	return p.index[0]
}

// partition returns the candidates to choose from whose load is within the bound: the two holders of the whole
// chain that rank first for this request, and among the others the one that ranks first for the chain, so that all
// nodes send a new chain to the same engine. If holders exist, the others are the two that rank first for this
// request, for the case that the holders are full.
//
// Ranking by the request's unique part spreads the requests of nodes whose counts of each other lag. Ranking by
// the chain or by load alone would make all nodes choose the same engine, and they would overload it before the
// counts arrive. Taking the less loaded of two candidates evens out the rest.
func partition(cands []Candidate, view *chainView, wantTokens int, bound float64, c Chain) (holders, others topTwo) {
	uniquePart, key := c.UniquePart(), c.Key()
	var firstForChain topTwo
	hasHolder := wantTokens == 0
	for i := range cands {
		id := cands[i].ID
		holds := wantTokens > 0 && view.cachedTokens(id) == wantTokens
		hasHolder = hasHolder || holds
		switch {
		case float64(cands[i].Load) > bound:
		case holds:
			holders.add(i, hashRank(uniquePart, id))
		default:
			firstForChain.add(i, hashRank(key, id))
			others.add(i, hashRank(uniquePart, id))
		}
	}
	if !hasHolder {
		firstForChain.n = min(firstForChain.n, 1)
		others = firstForChain
	}
	return holders, others
}

// firstTwo returns the two candidates that rank first for this request.
//
// It is used when all candidates are above the bound. Choosing the least loaded of all would make the nodes choose
// the same engine until newer counts arrive.
func firstTwo(cands []Candidate, c Chain) *topTwo {
	var p topTwo
	for i := range cands {
		p.add(i, hashRank(c.UniquePart(), cands[i].ID))
	}
	return &p
}
