package sagemeasure

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sagesync"
)

// QuorumContact measures how old a node's latest contact with a majority of the roster becomes in
// normal operation, by the heartbeats of the member tables and by the digests of the configuration. The
// rule "quorum" needs this age to stay below the freshness period; otherwise nodes would stop serving
// during a store outage without need. The roster has one node of each data centre.
func QuorumContact(seed uint64) ([]Sample, error) {
	const rounds = 60
	var out []Sample
	for _, size := range []struct{ nodes, dataCentres int }{{8, 4}, {50, 9}, {150, 9}, {400, 9}} {
		f, err := newConfigFleet(seed, size.nodes, size.dataCentres, true)
		if err != nil {
			return nil, fmt.Errorf("%d nodes: %w", size.nodes, err)
		}
		roster := f.nodes[:size.dataCentres]
		f.setRoster(roster)
		for range convergeRounds {
			f.step()
		}
		for _, loss := range []float64{0, 0.3} {
			f.LossRate = loss
			var heartbeats, digests time.Duration
			bytes := f.sectionBytes()
			for range rounds {
				f.step()
				for _, n := range f.nodes {
					heartbeats = max(heartbeats, f.Now.Sub(n.lastQuorumContact(f.Now, roster)))
					digests = max(digests, f.Now.Sub(n.replica.Status().QuorumAt))
				}
			}
			name := fmt.Sprintf("%d nodes, %g%% lost", size.nodes, 100*loss)
			limit := &Target{Comparison: AtMost, Limit: sagesync.DefaultMaxEvidenceAge.Seconds()}
			perNode := float64(f.sectionBytes()-bytes) / rounds / float64(len(f.nodes))
			out = append(out,
				Sample{Scenario: name, Policy: "heartbeats", Metric: "oldest contact to most of the roster", Unit: "s", Value: heartbeats.Seconds()},
				Sample{Scenario: name, Policy: "digests", Metric: "oldest contact to most of the roster", Unit: "s", Value: digests.Seconds(), Target: limit},
				Sample{Scenario: name, Policy: "digests", Metric: "configuration bytes sent per node", Unit: "B/s", Value: perNode},
			)
		}
	}
	return out, nil
}

// setRoster gives all nodes the same roster.
func (f *configFleet) setRoster(roster []*configNode) {
	names := make([]string, len(roster))
	for i, r := range roster {
		names[i] = r.Table.Self.Address
	}
	for _, n := range f.nodes {
		n.replica.Roster, n.replica.Self = names, n.Table.Self.Address
	}
}

// lastQuorumContact returns the latest time at which n had contact with a majority of the roster.
func (n *configNode) lastQuorumContact(now time.Time, roster []*configNode) time.Time {
	latest := map[string]time.Time{n.Table.Self.Address: now}
	for _, m := range n.Table.Live() {
		if m.LastContact.After(latest[m.Address]) {
			latest[m.Address] = m.LastContact
		}
	}
	contacts := make([]time.Time, len(roster))
	for i, r := range roster {
		contacts[i] = latest[r.Table.Self.Address]
	}
	return sagesync.QuorumAt(now, contacts)
}
