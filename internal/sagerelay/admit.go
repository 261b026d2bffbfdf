package sagerelay

import (
	"context"
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
)

// admit waits until the request may be sent to its service. If it may not, the caller is refused and the result is false.
//
// The node that received a request decides: a peer that relays it doesn't decide again. A stream that goes on has its
// place already.
func (j *job) admit(ctx context.Context) bool {
	if j.relay.from != "" || j.origin != nil {
		return true
	}
	now := sageclock.Now()
	q := AdmitQuery{
		Service: j.serviceName, Account: j.accountName(), Urgency: j.priority(),
		Objective: now.Add(j.route.Objective), Deadline: now.Add(time.Until(j.deadline)),
	}
	if !j.meta.Deadline.IsZero() {
		q.Waited = j.s.Fleet.RecordRemaining(q.Account, j.route.Name, j.meta.Deadline.Sub(j.start))
		q.Objective = q.Objective.Add(-q.Waited)
	}
	a := j.s.Fleet.Admit(ctx, &q)
	switch {
	case a.OK:
		return true
	case ctx.Err() != nil:
		j.finish(ctx, TimedOut)
		return false
	}
	left := max(minReturn, a.RetryAt.Sub(sageclock.Now()))
	j.s.Log.Limited(sagelog.KindAbandoned, "Request not admitted.", "id", j.meta.ID, "account", q.Account, "service", q.Service, "route", j.route.Name,
		"urgency", q.Urgency, "waited_ms", q.Waited.Milliseconds(), "rate", a.Rate, "queued", a.Queued, "return_ms", left.Milliseconds(), "age_ms", time.Since(j.start).Milliseconds())
	j.refuse(http.StatusServiceUnavailable, NoCapacity, left.Truncate(time.Millisecond))
	return false
}
