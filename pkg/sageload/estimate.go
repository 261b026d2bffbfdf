package sageload

import "time"

// Estimate is a router's estimate of an upstream's load: the last report plus the router's own
// dispatches that the report may not include yet. Reports lag and every router receives the same one,
// so without the correction all routers would send to the upstream that the report shows as idle.
type Estimate struct {
	// MaxReportAge is how long a report is used; after it the load is unknown.
	MaxReportAge time.Duration

	report        Report
	reportedAt    time.Time // when the report arrived
	ownInFlight   int
	maybeReported int // own requests in flight, sent between the last two reports
	unreported    int // own requests in flight, sent since the last report
}

// RecordDispatch counts a request sent to the upstream.
func (e *Estimate) RecordDispatch() { e.ownInFlight++; e.unreported++ }

// RecordEnd counts a request that is no longer in flight.
func (e *Estimate) RecordEnd() {
	e.ownInFlight = max(0, e.ownInFlight-1)
	e.unreported = min(e.unreported, e.ownInFlight)
	e.maybeReported = min(e.maybeReported, e.ownInFlight-e.unreported)
}

// Observe records a report that arrived at the instant now. It ignores a report whose figures are not
// newer than those of the last one (by AsOf, within one boot).
func (e *Estimate) Observe(now time.Time, r Report) {
	if !e.reportedAt.IsZero() && r.BootID == e.report.BootID && !r.AsOf.After(e.report.AsOf) {
		return
	}
	// The figures may be as old as the arrival of the previous report, so they may lack every dispatch
	// since then.
	e.maybeReported, e.unreported = e.unreported, 0
	e.report, e.reportedAt = r, now
}

// InFlight returns the estimated requests in flight of all routers. It is at least the number of the
// router's own.
func (e *Estimate) InFlight() float64 {
	return max(float64(e.report.InFlight+e.maybeReported+e.unreported), float64(e.ownInFlight))
}

// Known reports whether the last report is recent enough to be used.
func (e *Estimate) Known(now time.Time) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) < e.MaxReportAge
}

// Report returns the last report.
func (e *Estimate) Report() Report { return e.report }
