package sageload

import (
	"strconv"
	"time"
)

// turns is how many grant periods an order of holders lasts: long enough to use what it brings.
const turns = 4

// unbounded is more units than any upstream has, and small enough for sums.
const unbounded = 1 << 30

// Ledger is the home's side of the allotment of one upstream: who may have how much in flight. It
// is not safe for concurrent use.
//
// For each holder it commits the greatest number of requests, beyond the guaranteed share, that
// the holder may have in flight: what it last reported, or any grant that it may still adopt or
// use, whichever is more. What holders of earlier homes left running is committed as carried.
// The sum of all commitments and the floor stays within the cap whenever it grants.
type Ledger struct {
	// Coordinator names this process.
	Coordinator string
	Voters      []string
	Limits      Limits
	// Floor is the sum of the guaranteed shares. It is set aside, and the shares become usable, once
	// a boot has completed WarmAfter requests: a cold upstream might not bear even them, and while
	// they belong to single routers the others could not warm it.
	Floor             int
	WarmAfterRequests uint64

	capacity int
	boot     string
	report   Report
	reported time.Time // when the report arrived
	probed   time.Time // when the probe of the report was sent
	resigned bool

	recognised map[string]time.Time
	majority   time.Time // a majority recognises this home until then
	grantFrom  time.Time // end of the wait for grants of earlier homes
	carried    carried
	holders    map[string]*holder
	turn       string // names the present order of holders, see part
}

// holder is the ledger's account of one router process.
type holder struct {
	seq  uint64
	over int
	want int
	// spare is the part of want that is only a reserve.
	spare int
	last  sent // answered latest, perhaps not adopted
	echo  sent // adopted, as the holder's echo said
	// known says that over counts everything the holder has in flight on this boot, see carried.
	known bool
}

// sent is one answer that a holder may act on.
type sent struct {
	seq   uint64
	units int
	at    time.Time
	until time.Time // the holder can't use it after this instant
}

// carried bounds the requests in flight that no holder of this term has reported.
type carried struct {
	units int
	// from is the first instant at which the number can only fall; until is when all have ended.
	from, until time.Time
	// seen is when the first report that counts them arrived; zero before.
	seen time.Time
}

// commit returns the greatest number of requests the holder may have in flight beyond its
// guaranteed share.
func (h *holder) commit() int { return max(h.over, h.last.units, h.echo.units) }

// until returns the instant after which the holder can't start requests on any grant.
func (h *holder) until() time.Time {
	if h.echo.until.After(h.last.until) {
		return h.echo.until
	}
	return h.last.until
}

// Ask takes a holder's ask at the instant now and returns the answer.
func (l *Ledger) HandleRequest(now time.Time, w GrantRequest) Grant {
	l.advance(now)
	l.turn = strconv.FormatInt(now.UnixNano()/int64(turns*l.Limits.GrantDuration+1), 36)
	g := Grant{Upstream: w.Upstream, Seq: w.Seq, Coordinator: l.Coordinator, BootID: l.boot, Cap: l.capacity,
		Report: l.report, ReportFresh: l.ReportFresh(now), Pending: true, Resigned: l.resigned}
	h := l.holder(w)
	if w.Seq <= h.seq {
		// A late or repeated ask carries an old count of requests in flight; taking it would free
		// units that are in use. The holder drops the answer too.
		return g
	}
	l.confirm(now, h, w)
	l.vote(now, w)
	if l.CanGrant(now) && l.settle(h) {
		g.Units, g.Pending = l.share(w.Holder, h), false
	}
	h.seq = w.Seq
	h.last = sent{seq: w.Seq, units: g.Units, at: now, until: now.Add(l.Limits.long(l.Limits.GrantDuration))}
	if g.Pending {
		h.last.units, h.last.until = h.echo.units, h.echo.until // the holder keeps what it has
	}
	// Only once grants have made room for the floor may it be used.
	g.GuaranteedUsable = !g.Pending && l.floor() > 0 && l.Committed() <= l.capacity
	return g
}

// Report takes the answer of a probe that was sent at the instant sent and says what the upstream
// bears now (see [Ramp]).
func (l *Ledger) RecordReport(now, sent time.Time, r Report, bears int) {
	l.advance(now)
	if sent.Before(l.probed) {
		return
	}
	if l.boot != r.BootID {
		l.restart(r.BootID)
	}
	l.report, l.reported, l.probed, l.capacity = r, now, sent, bears
	l.observe(now, sent, r.InFlight)
}

// Known reports whether the last report is recent.
func (l *Ledger) ReportFresh(now time.Time) bool {
	return !l.reported.IsZero() && now.Sub(l.reported) < l.Limits.GrantDuration
}

// Granting reports whether this home may grant now.
func (l *Ledger) CanGrant(now time.Time) bool {
	return !l.resigned && l.recognisedAt(now) && !now.Before(l.grantFrom) && l.ReportFresh(now)
}

// Resign ends the term: from now on nothing is granted, and answers release the holders from
// their promise, so that a successor need not wait for it.
func (l *Ledger) Resign() { l.resigned = true }

// floor returns what is set aside for guaranteed shares. Completed only grows within a boot, so a
// later home, whose report is newer, sets aside at least as much.
func (l *Ledger) floor() int {
	if l.reported.IsZero() || l.report.Completed < l.WarmAfterRequests {
		return 0
	}
	return l.Floor
}

// Committed returns the units that holders may have in flight, the floor included.
func (l *Ledger) Committed() int {
	n := l.floor()
	for _, h := range l.holders {
		n += h.commit()
	}
	return n + l.carried.units
}

// holder returns the record of the asking process, a new one if it has none.
func (l *Ledger) holder(w GrantRequest) *holder {
	if l.holders == nil {
		l.holders = make(map[string]*holder)
	}
	h := l.holders[w.Holder]
	if h == nil {
		h = new(holder)
		l.holders[w.Holder] = h
	}
	return h
}

// confirm takes over what the ask says of the holder. The holder adopts only the answer to its
// latest ask, so of all answers only the echoed one and the coming one count from here on.
func (l *Ledger) confirm(now time.Time, h *holder, w GrantRequest) {
	if w.Coordinator == l.Coordinator && h.last.seq == w.AdoptedSeq {
		h.echo = h.last
	} else if h.echo.seq != w.AdoptedSeq || w.Coordinator != l.Coordinator {
		h.echo = sent{}
	}
	if !now.Before(h.echo.until) {
		h.echo.units = 0
	}
	h.over, h.want, h.spare = w.ExcessInFlight, w.Units, min(w.Reserve, w.Units)
	if !l.carried.seen.IsZero() && !h.known && h.echo.at.After(l.carried.seen) {
		h.known = true
		l.carried.units = max(0, l.carried.units-h.over)
	}
}

// settle reports whether the holder may be granted units: only once everything it has in flight is
// counted apart from the carried requests. Otherwise requests on a first grant would be taken for
// carried ones, and the carried ones of dead routers would be forgotten.
func (l *Ledger) settle(h *holder) bool {
	return !l.carried.seen.IsZero() && h.known
}

// share returns the units for a holder: its max-min fair share of the cap by wants, but no more
// than the other commitments leave.
func (l *Ledger) share(name string, h *holder) int {
	left := l.capacity - l.floor() - l.carried.units
	others := 0
	for _, o := range l.holders {
		if o != h {
			others += o.commit()
		}
	}
	return max(0, min(l.fair(name, h, left), left-others))
}

// fair returns the holder's part of left: first the needs of all, then their reserves.
//
// It guards against a router that gets nothing while upstreams idle: on a cold upstream there are
// fewer units than routers, and those that others held in reserve, none in use, were never asked back.
func (l *Ledger) fair(name string, h *holder, left int) int {
	need := min(h.want-h.spare, l.part(name, left, (*holder).needs))
	rest := left - l.filled(unbounded, (*holder).needs)
	if rest <= 0 {
		return need
	}
	return need + min(h.spare, l.part(name, rest, (*holder).spares))
}

// needs returns what the holder has in flight or has requests waiting for.
func (h *holder) needs() int { return max(h.want-h.spare, h.over) }

// spares returns what it would hold in reserve.
func (h *holder) spares() int { return h.spare }

// part returns the holder's max-min fair part of left: its amount, cut to the level at which the
// amounts of all fill left. What the level leaves over goes one by one to the first holders that
// have more, in an order that changes with each turn, so that nobody is last for good.
func (l *Ledger) part(name string, left int, amount func(*holder) int) int {
	lo, hi := 0, max(0, left)
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if l.filled(mid, amount) <= left {
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
		if amount(o) > lo && l.earlier(n, name) {
			before++
		}
	}
	if before < left-l.filled(lo, amount) {
		return lo + 1
	}
	return lo
}

// earlier reports whether holder a comes before b in the present turn.
func (l *Ledger) earlier(a, b string) bool {
	x, y := score(l.turn, a), score(l.turn, b)
	return x > y || x == y && a < b
}

// filled returns the sum of the amounts of all holders, each cut to the level.
func (l *Ledger) filled(level int, amount func(*holder) int) int {
	sum := 0
	for _, h := range l.holders {
		sum += min(level, amount(h))
	}
	return sum
}
