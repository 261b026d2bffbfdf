package sageload

import (
	"strconv"
	"time"
)

// orderPeriods is how many grant periods an order of holders lasts. It is long enough for a holder to
// use the units that its position in the order gives it.
const orderPeriods = 4

// unboundedUnits stands for an unknown number of units. It exceeds the units of any upstream and is
// small enough to be summed.
const unboundedUnits = 1 << 30

// Ledger is the coordinator's side of the in-flight allotment of one upstream: how many requests each
// router may have in flight. It is not safe for concurrent use.
//
// For each holder it commits the greatest number of requests beyond the guaranteed share that the
// holder may have in flight: the number that it last reported or the units of any grant that it may
// still adopt or use, whichever is greater. Requests that remain from grants of earlier coordinators
// are committed as inherited. The sum of all commitments and the floor is within the cap whenever the
// ledger grants.
type Ledger struct {
	// Coordinator identifies this process.
	Coordinator string
	Voters      []string
	Limits      Limits
	// Floor is the sum of the guaranteed shares. It is set aside, and the shares become usable, once a
	// boot has completed WarmAfterRequests requests. A cold upstream might not have capacity even for
	// the floor, and while units are set aside for single routers, the others can't use them to warm
	// the upstream.
	Floor             int
	WarmAfterRequests uint64

	capacity   int // current cap of the upstream
	bootID     string
	report     Report
	reportedAt time.Time // when the report arrived
	probedAt   time.Time // when the probe of the report was sent
	resigned   bool

	votes         map[string]time.Time // expiry of each voter's promise
	majorityUntil time.Time            // when the promises of a majority expire
	grantFrom     time.Time            // when the grants of earlier coordinators have expired
	inherited     inheritedLoad
	holders       map[string]*holder
	orderSeed     string // determines the current order of holders, see maxMinShare
}

// holder is the ledger's record of one router process.
type holder struct {
	seq            uint64
	excessInFlight int
	wanted         int
	reserve        int    // part of wanted that is only a reserve
	latest         answer // last answer sent, perhaps not adopted
	adopted        answer // last answer that the holder has confirmed as adopted
	// counted is true if excessInFlight includes everything the holder has in flight on this boot, so
	// that none of it is counted as inherited.
	counted bool
}

// answer is an answer that a holder may use.
type answer struct {
	seq         uint64
	units       int
	sentAt      time.Time
	usableUntil time.Time // the holder can't start requests on it later
}

// inheritedLoad bounds the requests in flight that no holder has reported in this coordinator's term.
type inheritedLoad struct {
	units int
	// No such request starts after noStartsAfter; all have ended by endsBy.
	noStartsAfter, endsBy time.Time
	// countedAt is when the first report that counts them arrived; zero before.
	countedAt time.Time
}

// committed returns the greatest number of requests that the holder may have in flight beyond its
// guaranteed share.
func (h *holder) committed() int { return max(h.excessInFlight, h.latest.units, h.adopted.units) }

// usableUntil returns the instant after which the holder can't start requests on any grant.
func (h *holder) usableUntil() time.Time {
	if h.adopted.usableUntil.After(h.latest.usableUntil) {
		return h.adopted.usableUntil
	}
	return h.latest.usableUntil
}

// HandleRequest records a holder's request at the instant now and returns the answer.
func (l *Ledger) HandleRequest(now time.Time, r GrantRequest) Grant {
	l.expire(now)
	l.orderSeed = strconv.FormatInt(now.UnixNano()/int64(orderPeriods*l.Limits.GrantDuration+1), 36)
	g := Grant{Upstream: r.Upstream, Seq: r.Seq, Coordinator: l.Coordinator, BootID: l.bootID, Cap: l.capacity,
		Report: l.report, ReportFresh: l.ReportFresh(now), Pending: true, Resigned: l.resigned}
	h := l.holderRecord(r)
	if r.Seq <= h.seq {
		// A late or repeated request has an old count of requests in flight; using it would free units
		// that are in use. The holder drops the answer too.
		return g
	}
	l.updateHolder(now, h, r)
	l.recordVote(now, r)
	if l.CanGrant(now) && l.mayGrant(h) {
		g.Units, g.Pending = l.unitsFor(r.Holder, h), false
	}
	h.seq = r.Seq
	h.latest = answer{seq: r.Seq, units: g.Units, sentAt: now, usableUntil: now.Add(l.Limits.stretch(l.Limits.GrantDuration))}
	if g.Pending {
		h.latest.units, h.latest.usableUntil = h.adopted.units, h.adopted.usableUntil // the holder keeps what it has
	}
	// The floor may be used only once the commitments leave capacity for it.
	g.GuaranteedUsable = !g.Pending && l.activeFloor() > 0 && l.Committed() <= l.capacity
	return g
}

// RecordReport records the answer to a probe that was sent at the instant sentAt. The limit is the
// upstream's current cap (see [Ramp]).
func (l *Ledger) RecordReport(now, sentAt time.Time, r Report, limit int) {
	l.expire(now)
	if sentAt.Before(l.probedAt) {
		return
	}
	if l.bootID != r.BootID {
		l.resetForBoot(r.BootID)
	}
	l.report, l.reportedAt, l.probedAt, l.capacity = r, now, sentAt, limit
	l.boundByReport(now, sentAt, r.InFlight)
}

// ReportFresh reports whether the last report is recent.
func (l *Ledger) ReportFresh(now time.Time) bool {
	return !l.reportedAt.IsZero() && now.Sub(l.reportedAt) < l.Limits.GrantDuration
}

// CanGrant reports whether this coordinator may grant now.
func (l *Ledger) CanGrant(now time.Time) bool {
	return !l.resigned && l.hasMajority(now) && !now.Before(l.grantFrom) && l.ReportFresh(now)
}

// Resign ends the term: the ledger grants no more, and its answers release the holders from their
// promise, so that a successor doesn't have to wait for the promises to expire.
func (l *Ledger) Resign() { l.resigned = true }

// activeFloor returns the units set aside for guaranteed shares. Completed only grows within a boot, so
// a later coordinator, whose report is newer, sets aside at least as much.
func (l *Ledger) activeFloor() int {
	if l.reportedAt.IsZero() || l.report.Completed < l.WarmAfterRequests {
		return 0
	}
	return l.Floor
}

// Committed returns the number of requests that all holders may have in flight, including the floor and
// inherited requests.
func (l *Ledger) Committed() int {
	n := l.activeFloor()
	for _, h := range l.holders {
		n += h.committed()
	}
	return n + l.inherited.units
}

// holderRecord returns the record of the requesting process and creates it if needed.
func (l *Ledger) holderRecord(r GrantRequest) *holder {
	if l.holders == nil {
		l.holders = make(map[string]*holder)
	}
	h := l.holders[r.Holder]
	if h == nil {
		h = new(holder)
		l.holders[r.Holder] = h
	}
	return h
}

// updateHolder updates the holder's record from its request. The holder adopts only the answer to its
// latest request, so from here on only the confirmed answer and the coming one count.
func (l *Ledger) updateHolder(now time.Time, h *holder, r GrantRequest) {
	if r.Coordinator == l.Coordinator && h.latest.seq == r.AdoptedSeq {
		h.adopted = h.latest
	} else if h.adopted.seq != r.AdoptedSeq || r.Coordinator != l.Coordinator {
		h.adopted = answer{}
	}
	if !now.Before(h.adopted.usableUntil) {
		h.adopted.units = 0
	}
	h.excessInFlight, h.wanted, h.reserve = r.ExcessInFlight, r.Units, min(r.Reserve, r.Units)
	if !l.inherited.countedAt.IsZero() && !h.counted && h.adopted.sentAt.After(l.inherited.countedAt) {
		h.counted = true
		l.inherited.units = max(0, l.inherited.units-h.excessInFlight)
	}
}

// mayGrant reports whether the holder may be granted units: only once everything it has in flight is
// counted apart from the inherited requests. Otherwise requests on a first grant would be subtracted
// from the inherited ones, and those of dead routers would no longer be counted.
func (l *Ledger) mayGrant(h *holder) bool {
	return !l.inherited.countedAt.IsZero() && h.counted
}

// unitsFor returns the units for a holder: its max-min fair share of the cap, but no more than the
// other commitments leave.
func (l *Ledger) unitsFor(name string, h *holder) int {
	available := l.capacity - l.activeFloor() - l.inherited.units
	others := 0
	for _, o := range l.holders {
		if o != h {
			others += o.committed()
		}
	}
	return max(0, min(l.fairShare(name, h, available), available-others))
}

// fairShare returns the holder's part of the available units: first the needs of all holders are
// served, then their reserves.
//
// A cold upstream has fewer units than there are routers. If reserves counted as needs, unused units in
// the reserves of some routers would never return, and a router with waiting requests would get none.
func (l *Ledger) fairShare(name string, h *holder, available int) int {
	need := min(h.wanted-h.reserve, l.maxMinShare(name, available, (*holder).neededUnits))
	remaining := available - l.sumCapped(unboundedUnits, (*holder).neededUnits)
	if remaining <= 0 {
		return need
	}
	return need + min(h.reserve, l.maxMinShare(name, remaining, (*holder).reservedUnits))
}

// neededUnits returns the units for the holder's requests in flight and waiting.
func (h *holder) neededUnits() int { return max(h.wanted-h.reserve, h.excessInFlight) }

func (h *holder) reservedUnits() int { return h.reserve }

// maxMinShare returns the holder's max-min fair part of the available units: its amount, capped at the
// highest level at which the capped amounts of all holders fit. The remaining units go one each to the
// first holders with larger amounts. Their order changes every orderPeriods grant periods, so that no
// holder is always last.
func (l *Ledger) maxMinShare(name string, available int, amount func(*holder) int) int {
	lo, hi := 0, max(0, available)
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if l.sumCapped(mid, amount) <= available {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	if amount(l.holders[name]) <= lo {
		return amount(l.holders[name])
	}
	before := 0
	for n, o := range l.holders {
		if amount(o) > lo && l.precedes(n, name) {
			before++
		}
	}
	if before < available-l.sumCapped(lo, amount) {
		return lo + 1
	}
	return lo
}

// precedes reports whether holder a comes before b in the current order.
func (l *Ledger) precedes(a, b string) bool {
	x, y := score(l.orderSeed, a), score(l.orderSeed, b)
	return x > y || x == y && a < b
}

// sumCapped returns the sum of the amounts of all holders, each capped at level.
func (l *Ledger) sumCapped(level int, amount func(*holder) int) int {
	sum := 0
	for _, h := range l.holders {
		sum += min(level, amount(h))
	}
	return sum
}
