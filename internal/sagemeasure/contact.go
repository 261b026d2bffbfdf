package sagemeasure

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sagesync"
)

// Contact measures how old a node's latest contact to most of the roster gets while all is well, with
// the real member tables. The rule "quorum" needs it to stay below the freshness period, or nodes
// would stop serving in an outage of the store for no reason. The roster is one node of each data
// centre.
func Contact(seed uint64) ([]Sample, error) {
	const rounds = 60
	var out []Sample
	for _, size := range []struct{ nodes, dataCentres int }{{8, 4}, {50, 9}, {150, 9}, {400, 9}} {
		f, err := newConfigFleet(seed, size.nodes, size.dataCentres, true)
		if err != nil {
			return nil, fmt.Errorf("%d nodes: %w", size.nodes, err)
		}
		for _, loss := range []float64{0, 0.3} {
			f.Loss = loss
			oldest := time.Duration(0)
			for range rounds {
				f.step()
				for _, n := range f.nodes {
					oldest = max(oldest, f.Now.Sub(n.contact(f.Now, f.nodes[:size.dataCentres])))
				}
			}
			out = append(out, Sample{
				Scenario: fmt.Sprintf("%d nodes, %g%% lost", size.nodes, 100*loss), Metric: "oldest contact to most of the roster",
				Unit: "s", Value: oldest.Seconds(), Target: &Target{Comparison: AtMost, Limit: sagesync.DefaultFreshness.Seconds()},
			})
		}
	}
	return out, nil
}

// contact returns the latest instant at which n had contact to most of a roster.
func (n *configNode) contact(now time.Time, roster []*configNode) time.Time {
	latest := map[string]time.Time{n.Table.Self.Address: now}
	for _, m := range n.Table.Live() {
		if m.Heard.After(latest[m.Address]) {
			latest[m.Address] = m.Heard
		}
	}
	heard := make([]time.Time, len(roster))
	for i, r := range roster {
		heard[i] = latest[r.Table.Self.Address]
	}
	return sagesync.QuorumAt(now, heard)
}
