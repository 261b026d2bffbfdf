package sageloadd

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Status is what a node shows of one upstream's allotment.
type Status struct {
	Upstream string `json:"upstream"`
	// Home is the node that this one takes for the upstream's home.
	Coordinator string `json:"home,omitempty"`
	// Cap is what the home lets all routers have together; Known is false if it is out of date.
	Cap      int  `json:"cap"`
	CapKnown bool `json:"known"`
	// InFlight estimates the requests of all routers, InUse and Free are this router's.
	InFlight float64 `json:"in_flight"`
	InUse    int     `json:"in_use"`
	Free     int     `json:"free"`
	// Granting and Committed are those of this node as home.
	Granting  bool `json:"granting"`
	Committed int  `json:"committed"`
}

// Statuses returns the state of every upstream by name.
func (s *Service) Statuses() []Status {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	now, live := time.Now(), s.live()
	out := make([]Status, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		v := u.view(now)
		st := Status{Upstream: u.name, Cap: v.Cap, CapKnown: v.Known, InFlight: v.InFlight, InUse: u.holding.InUse(), Free: v.Free}
		if u.engine {
			st.Coordinator, _ = s.homeOf(u, live)
		}
		if u.ledger != nil && u.ledger.CanGrant(now) {
			st.Granting, st.Committed = true, u.ledger.Committed()
		}
		out = append(out, st)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Upstream < out[j].Upstream })
	return out
}

// ServeHTTP shows the statuses to operators.
func (s *Service) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Statuses())
}

// Export adds the sums over all upstreams to a set of metrics.
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
	one := func(is bool) float64 {
		if is {
			return 1
		}
		return 0
	}
	set.NewGauge("sagestand_allotment_in_use", sum(func(st Status) float64 { return float64(st.InUse) }))
	set.NewGauge("sagestand_allotment_free", sum(func(st Status) float64 { return float64(st.Free) }))
	set.NewGauge("sagestand_upstreams_unknown", sum(func(st Status) float64 { return one(!st.CapKnown) }))
	set.NewGauge("sagestand_homes_granting", sum(func(st Status) float64 { return one(st.Granting) }))
}
