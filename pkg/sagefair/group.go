package sagefair

import "sagestand.example/sagestand/pkg/sageclock"

// othersBurst is the burst of all accounts that aren't listed, divided by that of one account with their rate. They are neither
// known to ask for too much nor not to.
const othersBurst = 2

// group is a number of accounts that share tokens besides having their own.
type group struct {
	tokens
	returns  float64           // starts that are left to returned callers, as of at
	waiting  int               // requests of its accounts
	promised sageclock.Instant // the last place promised to one of its callers
}

// settle adds the credit of the time that has passed.
func (q *group) settle(now sageclock.Instant) {
	if now > q.at {
		q.returns = min(returnBurst, q.returns+now.Sub(q.at).Seconds()*q.rate*returnPart)
	}
	q.tokens.settle(now)
}

// setGroup makes the account of a bucket one of those that are held to their shares, of those that aren't listed, or of neither.
func (g *Gate) setGroup(b *bucket) {
	if b.group != nil {
		b.group.waiting -= len(b.waiting)
		b.group = nil
	}
	_, listed := g.shares.Rates[b.account]
	switch {
	case g.held.rate > 0 && g.isHeld(b.account):
		b.group = &g.held
	case g.others.rate > 0 && !listed:
		b.group = &g.others
	default:
		return
	}
	b.group.waiting += len(b.waiting)
}

// setOthers sets the rate and the burst of all accounts together that aren't listed.
func (g *Gate) setOthers(now sageclock.Instant) {
	g.others.settle(now)
	rate := g.shares.othersRate()
	depth := othersBurst * g.shares.depthOf(rate)
	if g.others.rate == 0 {
		g.others.at, g.others.credit, g.others.returns = now, depth, returnBurst
	}
	g.others.setRate(rate, depth)
}
