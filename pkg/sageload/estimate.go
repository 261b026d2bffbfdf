package sageload

import "time"

// Estimate is a router's idea of an upstream's load: the last report plus the router's own
// dispatches that the report may not yet show. Reports lag and every router sees the same one, so
// without the correction all of them would send to the upstream that looked idle.
type Estimate struct {
	// Silence is how long a report counts; later the load is unknown.
	MaxReportAge time.Duration

	report  Report
	at      time.Time // when the report arrived
	own     int       // own requests in flight
	recent  int       // own dispatches since the report before arrived, not yet ended
	pending int       // the same since the present report arrived
}

// Dispatched counts a request sent to the upstream.
func (e *Estimate) RecordDispatch() { e.own++; e.pending++ }

// Ended counts a request that is no longer in flight.
func (e *Estimate) RecordEnd() {
	e.own = max(0, e.own-1)
	e.pending = min(e.pending, e.own)
	e.recent = min(e.recent, e.own-e.pending)
}

// Observe takes a report that arrived at the instant now. A report with the same figures as before
// (same AsOf) changes nothing.
func (e *Estimate) Observe(now time.Time, r Report) {
	if !e.at.IsZero() && r.BootID == e.report.BootID && !r.AsOf.After(e.report.AsOf) {
		return
	}
	// The figures may be as old as the arrival of the report before, so they may miss each
	// dispatch since.
	e.recent, e.pending = e.pending, 0
	e.report, e.at = r, now
}

// InFlight returns the estimate; it is at least the router's own requests in flight.
func (e *Estimate) InFlight() float64 {
	return max(float64(e.report.InFlight+e.recent+e.pending), float64(e.own))
}

// Known reports whether the last report is recent enough to be believed.
func (e *Estimate) Known(now time.Time) bool {
	return !e.at.IsZero() && now.Sub(e.at) < e.MaxReportAge
}

// Report returns the last report.
func (e *Estimate) Report() Report { return e.report }
