package sageloadd

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Status describes the allotment of one upstream as this node sees it.
type Status struct {
	Upstream string `json:"upstream"`
	// Coordinator is the node that this node uses as the upstream's coordinator.
	Coordinator string `json:"home,omitempty"`
	// Cap is the limit that the coordinator sets for all routers together; CapKnown is false if it is out of date.
	Cap      int  `json:"cap"`
	CapKnown bool `json:"known"`
	// InFlight is the estimated number of requests of all routers; InUse and Free count this router's units.
	InFlight float64 `json:"in_flight"`
	InUse    int     `json:"in_use"`
	Free     int     `json:"free"`
	// Granting says whether this node, as coordinator, may grant units; Committed is the number of units that it
	// has granted.
	Granting  bool `json:"granting"`
	Committed int  `json:"committed"`
}

// Statuses returns the status of every upstream, ordered by name.
func (s *Service) Statuses() []Status {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	now, live := time.Now(), s.live()
	out := make([]Status, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		v := u.view(now)
		st := Status{Upstream: u.name, Cap: v.Cap, CapKnown: v.Known, InFlight: v.InFlight, InUse: u.allotment.InUse(), Free: v.Free}
		if u.engine {
			st.Coordinator, _ = s.coordinatorOf(u, live)
		}
		if u.ledger != nil && u.ledger.CanGrant(now) {
			st.Granting, st.Committed = true, u.ledger.Committed()
		}
		out = append(out, st)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Upstream < out[j].Upstream })
	return out
}

// ServeHTTP writes the statuses as JSON; it belongs to the operators' interface.
func (s *Service) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Statuses())
}

// Export registers gauges of the sums over all upstreams.
func (s *Service) Export(set *metrics.Set) {
	sum := func(f func(Status) float64) func() float64 {
		return func() float64 {
			n := 0.0
			for _, st := range s.Statuses() {
				n += f(st)
			}
			return n
		}
	}
	indicator := func(cond bool) float64 {
		if cond {
			return 1
		}
		return 0
	}
	set.NewGauge("sagestand_allotment_in_use", sum(func(st Status) float64 { return float64(st.InUse) }))
	set.NewGauge("sagestand_allotment_free", sum(func(st Status) float64 { return float64(st.Free) }))
	set.NewGauge("sagestand_upstreams_unknown", sum(func(st Status) float64 { return indicator(!st.CapKnown) }))
	set.NewGauge("sagestand_homes_granting", sum(func(st Status) float64 { return indicator(st.Granting) }))
}
