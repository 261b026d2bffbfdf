package sagehealth

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// The simulated deployment is a large one: 90 nodes before 60 engines, 430 requests per second, a heartbeat every
// 0.9 s.
const (
	nodes             = 90
	engines           = 60
	brokenEngines     = 27
	requestsPerSecond = 430
	heartbeatInterval = 900 * time.Millisecond
)

// simulate runs five seconds of virtual time and returns the fraction of failed requests. fails decides whether a
// request from a node to an engine breaks. share enables reports between the nodes.
func simulate(seed uint64, share bool, fails func(node, engine int) bool) float64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	trackers := make([]Tracker, nodes)
	for i := range trackers {
		trackers[i].Self = fmt.Sprintf("vm%d", i)
	}
	reports := make([][]string, nodes)
	step := time.Second / requestsPerSecond
	failed, sent := 0, 0
	for at := time.Second; at < 6*time.Second; at += step {
		now := sageclock.Instant(at)
		for i := range trackers {
			due := time.Duration(i) * heartbeatInterval / nodes
			if share && (at-due)/heartbeatInterval != (at-due-step)/heartbeatInterval {
				reports[i] = trackers[i].RecentlyBroken(now)
				reporters := make(map[string]int)
				for _, upstreams := range reports {
					for _, u := range upstreams {
						reporters[u]++
					}
				}
				for j := range trackers {
					for _, u := range reports[i] {
						trackers[j].RecordReports(now, "s", u, reporters[u]-countOf(reports[j], u), 0)
					}
				}
			}
		}
		node := rnd.IntN(nodes)
		e := rnd.IntN(engines)
		for range engines {
			if !trackers[node].Avoid(now, "s", fmt.Sprint(e)) {
				break
			}
			e = (e + 1) % engines
		}
		res := OK
		if fails(node, e) {
			res = Broken
			failed++
		}
		sent++
		trackers[node].Record(now, "s", fmt.Sprint(e), res)
	}
	return float64(failed) / float64(sent)
}

func countOf(list []string, s string) int {
	if slices.Contains(list, s) {
		return 1
	}
	return 0
}

// Nearly half of the engines pass their health checks and reset every connection. Without reports, each of 90
// nodes found each of these engines by a failed request of its own, and callers got status 502 for seconds.
func TestReportsReduceFailedRequests(t *testing.T) {
	for seed := range uint64(3) {
		fails := func(_, engine int) bool { return engine < brokenEngines }
		alone, shared := simulate(seed, false, fails), simulate(seed, true, fails)
		t.Log(alone, shared)
		require.Greater(t, alone, 0.3, "seed %d: many requests fail without reports", seed)
		require.Less(t, shared, alone/2, "seed %d", seed)
	}
}

// Engines are unreachable from one data centre only. The reports from there must not cause more failures in total.
func TestEnginesUnreachableFromOneDataCentre(t *testing.T) {
	for seed := range uint64(3) {
		fails := func(node, engine int) bool { return engine < brokenEngines && node%4 == 0 }
		alone, shared := simulate(seed, false, fails), simulate(seed, true, fails)
		require.Less(t, shared, alone, "seed %d", seed)
	}
}

// A node with a broken link reports healthy engines. The other nodes must not eject them on its reports alone.
func TestSingleReportDoesNotEject(t *testing.T) {
	tr := Tracker{Self: "a"}
	now := sageclock.Instant(time.Minute)
	for range 5 {
		require.False(t, tr.RecordReports(now, "s", "e", 1, 0))
	}
	require.False(t, tr.Avoid(now, "s", "e"))
	require.True(t, tr.RecordReports(now, "s", "e", 2, 0))
	require.False(t, tr.RecordReports(now, "s", "e", 2, 0), "already ejected")
	require.True(t, tr.Avoid(now, "s", "e"))
	require.Empty(t, tr.RecentlyBroken(now), "reports of other nodes are not passed on")
	require.False(t, tr.Avoid(now.Add(2*meanEjection), "s", "e"), "tried again after the ejection")
	tr.Record(now, "s", "e", OK)
	tr.RecordReports(now, "s", "e", 3, 0)
	require.False(t, tr.Avoid(now, "s", "e"), "an own answer overrides reports")
	tr.RecordReports(now.Add(reportDuration), "s", "e", 1, 0)
	require.False(t, tr.Avoid(now.Add(reportDuration), "s", "e"), "no longer enough reports")
}
