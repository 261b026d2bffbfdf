package sagerelay

import (
	"time"

	"sagestand.example/sagestand/internal/sagelog"
)

// exchangeEnd is how an exchange of a request ended after which the request is sent again.
type exchangeEnd struct {
	// to is the ID of the upstream, or the name of the peer.
	to      string
	verdict verdict
	cause   string
	// reused is set if the connection was used before, identified if a response named the request.
	reused, identified bool
	at                 time.Time
}

// recordEnd records how the exchange ended.
func (x *exchange) recordEnd(to string, v verdict) {
	x.j.lastEnd = exchangeEnd{to: to, verdict: v, cause: x.j.cause, reused: x.tracker.Reused(), identified: x.identified.Load(), at: time.Now()}
}

// recordResend logs and counts that a request is sent again, and why this node takes that for allowed.
func (j *job) recordResend(to string) {
	last := &j.lastEnd
	if last.to == "" {
		return
	}
	kind := string(j.route.Kind)
	if j.route.Resumable {
		kind = "resumable_" + kind
	}
	j.s.Metrics.GetOrCreateCounter(`sagestand_resends_total{kind="` + kind + `",after="` + last.verdict.String() + `"}`).Inc()
	j.s.Log.Limited(sagelog.KindResend, "Request sent again.", "id", j.meta.ID, "kind", kind, "to", to, "before", last.to, "after", last.verdict.String(), "cause", last.cause,
		"reused", last.reused, "identified", last.identified, "runs", j.relay.earlierRuns+j.possibleRuns, "last_event", j.lastEventID, "since_ms", time.Since(last.at).Milliseconds(),
		"send", j.sends, "hops", len(j.relay.tried), "from", j.relay.from)
}
