package sageload

import (
	"sort"
	"time"
)

// recordVote counts a holder's vote for this coordinator. The promise began when the holder sent the
// request, which was after this coordinator sent the answer that the request confirms. Counting from
// that answer therefore ends before the promise does, on any clock.
func (l *Ledger) recordVote(now time.Time, r GrantRequest) {
	if !r.Vote || r.Coordinator != l.Coordinator || l.resigned || !l.isVoter(r.Node) {
		return
	}
	h := l.holders[r.Holder]
	if h.adopted.seq != r.AdoptedSeq {
		return
	}
	if l.votes == nil {
		l.votes = make(map[string]time.Time)
	}
	until := h.adopted.sentAt.Add(l.Limits.shrink(l.Limits.PromiseDuration))
	if until.After(l.votes[r.Node]) {
		l.votes[r.Node] = until
	}
	l.updateMajority(now)
}

func (l *Ledger) isVoter(node string) bool {
	for _, n := range l.Voters {
		if n == node {
			return true
		}
	}
	return false
}

// updateMajority computes until when a majority has voted for this coordinator, and starts a term if
// none is running.
//
// A new term begins with a wait of one grant period: an earlier coordinator may have granted until it
// lost its last needed vote, and routers use such grants for a whole grant period. Granting immediately
// would add to them.
func (l *Ledger) updateMajority(now time.Time) {
	hadMajority := l.hasMajority(now)
	expiries := make([]time.Time, 0, len(l.votes))
	for _, t := range l.votes {
		expiries = append(expiries, t)
	}
	quorum := len(l.Voters)/2 + 1
	if len(expiries) < quorum {
		return
	}
	sort.Slice(expiries, func(i, j int) bool { return expiries[i].After(expiries[j]) })
	l.majorityUntil = expiries[quorum-1]
	if hadMajority || !l.hasMajority(now) {
		return
	}
	l.grantFrom = now.Add(l.Limits.stretch(l.Limits.GrantDuration))
	l.resetHolders(l.grantFrom)
}

func (l *Ledger) hasMajority(now time.Time) bool { return now.Before(l.majorityUntil) }

// resetHolders drops what the ledger knows of holders. Whatever is in flight becomes inherited and is
// unbounded until a report counts it. From the given instant on, no such request starts.
func (l *Ledger) resetHolders(from time.Time) {
	for _, h := range l.holders {
		h.counted = false
		h.latest.units, h.adopted.units, h.excessInFlight = 0, 0, 0
	}
	l.inherited = inheritedLoad{units: unboundedUnits, noStartsAfter: from, endsBy: from.Add(l.Limits.stretch(l.Limits.RequestLifetime))}
}

// resetForBoot starts the accounting of another boot. Grants name their boot and are not usable on
// another; requests from an earlier coordinator's grants for this boot are inherited.
func (l *Ledger) resetForBoot(boot string) {
	l.bootID = boot
	l.resetHolders(l.grantFrom)
}

// boundByReport bounds the inherited requests, and those that holders without a usable grant may have
// left running, by the number of requests in flight in a report. The report is used only if its figures
// were taken after the last of these requests could have started.
func (l *Ledger) boundByReport(now, sentAt time.Time, inFlight int) {
	asOf := sentAt.Add(-l.Limits.stretch(l.Limits.ReportLag))
	if !asOf.Before(l.inherited.noStartsAfter) && !l.majorityUntil.IsZero() {
		l.inherited.units = min(l.inherited.units, inFlight)
		if l.inherited.countedAt.IsZero() {
			l.inherited.countedAt = now
		}
	}
	for _, h := range l.holders {
		if asOf.After(h.usableUntil()) {
			h.excessInFlight = min(h.committed(), inFlight)
			h.latest.units, h.adopted.units = 0, 0
		}
	}
}

// expire drops the state that has expired by now.
func (l *Ledger) expire(now time.Time) {
	if !l.inherited.endsBy.IsZero() && !now.Before(l.inherited.endsBy) {
		l.inherited.units = 0
		if l.inherited.countedAt.IsZero() {
			l.inherited.countedAt = now
		}
	}
	lifetime := l.Limits.stretch(l.Limits.RequestLifetime)
	for id, h := range l.holders {
		end := h.usableUntil()
		if !now.Before(end) {
			h.wanted, h.reserve = 0, 0
		}
		if h.latest.sentAt.After(end) {
			end = h.latest.sentAt
		}
		if now.Sub(end) >= lifetime {
			delete(l.holders, id)
		}
	}
}
