package sagemeasure

import (
	"fmt"
	"slices"
	"time"
)

// inForceTicketsPerCase is the number of tickets submitted in each case.
const inForceTicketsPerCase = 6

// inForceMaxRounds is the number of rounds after which a ticket that some node lacks fails the
// measurement.
const inForceMaxRounds = 90

// inForceTargetSeconds is the time within which an accepted ticket must be in force at every node.
const inForceTargetSeconds = 16

// InForce measures the time from the acceptance of a ticket until it is in force at every node, and the
// cost of the exchange. Each node begins one exchange per round of one second. Exchanges are lost at
// several rates, with and without an outage of the store right after the acceptance.
func InForce(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, size := range []struct{ nodes, dataCentres int }{{8, 4}, {50, 9}, {150, 9}, {400, 9}} {
		f, err := newConfigFleet(seed, size.nodes, size.dataCentres, false)
		if err != nil {
			return nil, fmt.Errorf("%d nodes: %w", size.nodes, err)
		}
		for _, outage := range []bool{false, true} {
			for _, loss := range []float64{0, 0.01, 0.1, 0.3} {
				f.LossRate = loss
				s, err := f.measureInForce(outage)
				if err != nil {
					return nil, fmt.Errorf("%d nodes: %w", size.nodes, err)
				}
				name := fmt.Sprintf("%d nodes, %g%% lost", size.nodes, 100*loss)
				if outage {
					name += ", store out"
				}
				for i := range s {
					s[i].Scenario = name
				}
				out = append(out, s...)
			}
		}
		for _, loss := range []float64{0, 0.3} {
			f.LossRate = loss
			for range convergeRounds {
				f.step()
			}
			for _, s := range f.measureCost() {
				s.Scenario = fmt.Sprintf("%d nodes, %g%% lost, no tickets", size.nodes, 100*loss)
				out = append(out, s)
			}
		}
	}
	return out, nil
}

// measureInForce submits tickets one after another and records how long each node takes to hold each.
func (f *configFleet) measureInForce(outage bool) ([]Sample, error) {
	var delays []float64
	for i := range inForceTicketsPerCase {
		f.reachesStore = func(*configNode) bool { return true }
		f.step()
		if err := f.submitTicket(f.nodes[f.Rand.IntN(len(f.nodes))], "dc1", i%2 == 0); err != nil {
			return nil, err
		}
		f.reachesStore = func(*configNode) bool { return !outage }
		held := make([]bool, len(f.nodes))
		for round := 1; round <= inForceMaxRounds && f.nodesBehind(f.lastTicket) > 0; round++ {
			f.step()
			for k, n := range f.nodes {
				if !held[k] && n.replica.Current().Revision >= f.lastTicket {
					held[k] = true
					delays = append(delays, float64(round))
				}
			}
		}
		if behind := f.nodesBehind(f.lastTicket); behind > 0 {
			return nil, fmt.Errorf("ticket %d is missing on %d nodes after %d rounds: %w", f.lastTicket, behind, inForceMaxRounds, ErrIncomplete)
		}
	}
	f.reachesStore = func(*configNode) bool { return true }
	slices.Sort(delays)
	delayAt := func(q float64) float64 { return delays[int(q*float64(len(delays)-1))] }
	return []Sample{
		{Metric: "in force, p50", Unit: "s", Value: delayAt(0.5)},
		{Metric: "in force, p99", Unit: "s", Value: delayAt(0.99)},
		{Metric: "in force, max", Unit: "s", Value: delayAt(1), Target: &Target{Comparison: AtMost, Limit: inForceTargetSeconds}},
	}, nil
}

// measureCost measures a minute without changes, with few watchers and with every node watching.
func (f *configFleet) measureCost() []Sample {
	const rounds = 60
	var out []Sample
	for _, allWatch := range []bool{false, true} {
		f.allWatch = allWatch
		policy := "few watchers"
		if allWatch {
			policy = "every node watches"
		}
		calls, bytes := f.storeCalls, f.sectionBytes()
		watching := 0
		for _, n := range f.nodes {
			if f.isWatching(n) {
				watching++
			}
		}
		oldest := time.Duration(0)
		for range rounds {
			f.step()
			oldest = max(oldest, f.oldestEvidence())
		}
		perNode := float64(f.sectionBytes()-bytes) / rounds / float64(len(f.nodes))
		out = append(out,
			Sample{Policy: policy, Metric: "store calls", Unit: "1/s", Value: float64(f.storeCalls-calls) / rounds},
			Sample{Policy: policy, Metric: "waiting watches", Unit: "", Value: float64(watching)},
			Sample{Policy: policy, Metric: "configuration bytes sent per node", Unit: "B/s", Value: perNode},
			Sample{Policy: policy, Metric: "oldest evidence", Unit: "s", Value: oldest.Seconds()},
		)
	}
	f.allWatch = false
	return out
}

// oldestEvidence returns the greatest age of any node's evidence of freshness.
func (f *configFleet) oldestEvidence() time.Duration {
	oldest := time.Duration(0)
	for _, n := range f.nodes {
		oldest = max(oldest, f.Now.Sub(n.replica.Status().ConfirmedAt))
	}
	return oldest
}
