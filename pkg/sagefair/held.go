package sagefair

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// excessRiseTime and excessFallTime are the time constants of the mean of an account's excess. Counts of a second vary
	// much where an account sends a few requests a second.
	excessRiseTime = 500 * time.Millisecond
	excessFallTime = 2 * time.Second
	// minExcess is the mean below which an excess is forgotten.
	minExcess = 0.01
	// heldRateOfAll is the rate of all accounts that are held to their shares together, divided by the sum of their rates. It
	// is above 1 so that their own rates decide whose requests are started.
	heldRateOfAll = 1.05
	// limitAgain is the growth of an account's excess at which its credit is limited again.
	limitAgain = 1.5
)

// excess is what an account asks for, divided by the most that it could get.
type excess struct {
	mean float64
	// limit is the mean at which the account's credit was limited last, limitedAt when that was.
	limit     float64
	limitedAt sageclock.Instant
}

// setExcess updates the means of the excess of accounts. A rise counts sooner than a fall.
func (g *Gate) setExcess(now sageclock.Instant, listed map[string]float64) {
	if g.excess == nil {
		g.excess = make(map[string]excess)
	}
	seconds := max(0, now.Sub(g.excessAt).Seconds())
	g.excessAt = now
	rise := -math.Expm1(-seconds / excessRiseTime.Seconds())
	fall := -math.Expm1(-seconds / excessFallTime.Seconds())
	for account, x := range listed {
		if _, known := g.excess[account]; !known && x > 0 {
			g.excess[account] = excess{}
		}
	}
	for account, e := range g.excess {
		x := 0.0
		if l := listed[account]; l > 0 { // not NaN
			x = min(l, maxExcess)
		}
		if x > e.mean {
			e.mean += rise * (x - e.mean)
		} else {
			e.mean += fall * (x - e.mean)
		}
		if e.mean < minExcess {
			delete(g.excess, account)
			continue
		}
		switch held := g.shares.Short && e.mean > heldExcess; {
		case !held:
			e.limit = 0
		case e.mean >= limitAgain*e.limit:
			e.limit, e.limitedAt = e.mean, now
		}
		g.excess[account] = e
	}
}

// isHeld reports whether an account is held to its share.
func (g *Gate) isHeld(account string) bool {
	return g.excess[account].limit > 0
}

// limitCredit takes the credit from a bucket that its account, had it asked for as much before, wouldn't have. It does so when
// the account's excess has grown, not each time: the credit since then is the account's share.
func (g *Gate) limitCredit(now sageclock.Instant, b *bucket) {
	e := g.excess[b.account]
	if b.group != &g.held || b.limitedAt == e.limitedAt {
		return
	}
	b.limitedAt = e.limitedAt
	spare := 1 / (e.limit - 1)
	limit := g.phaseOf(b.account) + max(spare, spare*spare)
	b.credit = min(b.credit, limit+now.Sub(e.limitedAt).Seconds()*b.rate)
}

// phaseOf returns a number from 0 to 1 that differs among accounts and nodes, so that their requests aren't started at the same
// moments.
func (g *Gate) phaseOf(account string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(account))
	_, phase := math.Modf(g.phase() + float64(h.Sum32())*(math.Phi-1)) // the high bits of similar names are similar
	return phase
}

func (g *Gate) phase() float64 { return max(0, min(g.Phase, 1)) }

// holdTogether sets the rate and the burst of all accounts that are held to their shares. Where a node gets few requests, the
// bursts of its accounts, at all nodes together, may be more than the service runs in seconds.
func (g *Gate) holdTogether(now sageclock.Instant) {
	g.held.settle(now)
	if g.held.rate == 0 {
		g.held.at, g.held.credit, g.held.returns = now, 0.5+g.phase(), returnBurst
	}
	g.heldNames = g.heldNames[:0]
	for account, e := range g.excess {
		if e.limit > 0 {
			g.heldNames = append(g.heldNames, account)
		}
	}
	slices.Sort(g.heldNames) // so that the rounding errors of the sums don't vary
	rate, asked := 0.0, 0.0
	for _, account := range g.heldNames {
		r := g.shares.rate(account)
		rate += r
		asked += r * g.excess[account].mean
	}
	if rate == 0 {
		g.held.setRate(0, 1)
		return
	}
	burst := max(heldMinBurstOfAll, heldBurstOfAll/(asked/rate-1), rate*heldBurstTime.Seconds())
	g.held.setRate(rate*heldRateOfAll, min(burst, g.shares.depthOf(rate)))
}
