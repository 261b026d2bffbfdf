package sageload

import (
	"sort"
	"time"
)

// vote counts the holder's recognition of this home. The promise began when the holder sent the
// ask, which was after this home sent the answer that the ask echoes; counting from that answer
// ends before the promise does, on any clock.
func (l *Ledger) vote(now time.Time, w GrantRequest) {
	if !w.Vote || w.Coordinator != l.Coordinator || l.resigned || !l.elects(w.Node) {
		return
	}
	h := l.holders[w.Holder]
	if h.echo.seq != w.AdoptedSeq {
		return
	}
	if l.recognised == nil {
		l.recognised = make(map[string]time.Time)
	}
	until := h.echo.at.Add(l.Limits.short(l.Limits.PromiseDuration))
	if until.After(l.recognised[w.Node]) {
		l.recognised[w.Node] = until
	}
	l.elect(now)
}

func (l *Ledger) elects(node string) bool {
	for _, n := range l.Voters {
		if n == node {
			return true
		}
	}
	return false
}

// elect computes until when a majority recognises this home, and begins a term if none runs.
//
// A new term waits: an earlier home may have granted until the last voter turned away from it,
// and routers use such grants for a whole grant period. Granting at once would add to them.
func (l *Ledger) elect(now time.Time) {
	running := l.recognisedAt(now)
	until := make([]time.Time, 0, len(l.recognised))
	for _, t := range l.recognised {
		until = append(until, t)
	}
	need := len(l.Voters)/2 + 1
	if len(until) < need {
		return
	}
	sort.Slice(until, func(i, j int) bool { return until[i].After(until[j]) })
	l.majority = until[need-1]
	if running || !l.recognisedAt(now) {
		return
	}
	l.grantFrom = now.Add(l.Limits.long(l.Limits.GrantDuration))
	l.forget(l.grantFrom)
}

func (l *Ledger) recognisedAt(now time.Time) bool { return now.Before(l.majority) }

// forget drops what the ledger knew of holders; whatever is in flight is carried, unbounded until
// a report counts it. From the instant from on it can only fall.
func (l *Ledger) forget(from time.Time) {
	for _, h := range l.holders {
		h.known = false
		h.last.units, h.echo.units, h.over = 0, 0, 0
	}
	l.carried = carried{units: unbounded, from: from, until: from.Add(l.Limits.long(l.Limits.RequestLifetime))}
}

// restart begins the account of another boot. Grants name their boot and die with it; what an
// earlier home granted for this boot is carried.
func (l *Ledger) restart(boot string) {
	l.boot = boot
	l.forget(l.grantFrom)
}

// observe bounds what is carried, and what silent holders may have left running, by the number of
// requests in flight that a report gives. The report counts only if its figures were taken after
// the last of these requests could have begun.
func (l *Ledger) observe(now, sent time.Time, inFlight int) {
	asOf := sent.Add(-l.Limits.long(l.Limits.ReportLag))
	if !asOf.Before(l.carried.from) && !l.majority.IsZero() {
		l.carried.units = min(l.carried.units, inFlight)
		if l.carried.seen.IsZero() {
			l.carried.seen = now
		}
	}
	for _, h := range l.holders {
		if asOf.After(h.until()) {
			h.over = min(h.commit(), inFlight)
			h.last.units, h.echo.units = 0, 0
		}
	}
}

// advance drops what has ended by now.
func (l *Ledger) advance(now time.Time) {
	if !l.carried.until.IsZero() && !now.Before(l.carried.until) {
		l.carried.units = 0
		if l.carried.seen.IsZero() {
			l.carried.seen = now
		}
	}
	life := l.Limits.long(l.Limits.RequestLifetime)
	for k, h := range l.holders {
		end := h.until()
		if !now.Before(end) {
			h.want, h.spare = 0, 0
		}
		if h.last.at.After(end) {
			end = h.last.at
		}
		if now.Sub(end) >= life {
			delete(l.holders, k)
		}
	}
}
