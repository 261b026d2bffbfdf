package sagemesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
)

// crashingRequest is a request that crashes upstreams, crashingPart a part of prompts.
var (
	crashingRequest = sagequarantine.NewRequest(7)
	crashingPart    = sagequarantine.NewPart("acc", "s", "m", 8)
)

// newTrackers gives each node of a virtual fleet a tracker whose reports are sent with its heartbeats.
func newTrackers(v *virtualFleet) []*sagequarantine.Tracker {
	out := make([]*sagequarantine.Tracker, len(v.nodes))
	for i, n := range v.nodes {
		tracker := new(sagequarantine.Tracker)
		out[i] = tracker
		n.Fill = func(h *Heartbeat) {
			h.Ready = true
			h.Crashes, h.Cleared = tracker.Reports(v.now, n.ForwardsReports)
		}
		n.OnHeartbeat = func(h *Heartbeat, _ sageclock.Instant) { tracker.Merge(v.now, h.Crashes, h.Cleared) }
	}
	return out
}

// quarantineCount returns how many trackers have a suspect in quarantine.
func quarantineCount(v *virtualFleet, trackers []*sagequarantine.Tracker, s sagequarantine.Suspect) int {
	n := 0
	for _, tracker := range trackers {
		if len(tracker.Quarantined(v.now, s)) > 0 {
			n++
		}
	}
	return n
}

// otherRequest returns a request that runs on the c-th crashed upstream too.
func otherRequest(c int) sagequarantine.Suspect {
	return sagequarantine.NewRequest(sagequarantine.Fingerprint(100 + c))
}

// After three nodes have each seen one crash under a request or a part of prompts, all nodes must quarantine it. Otherwise
// it crashes more upstreams. Covers large fleets, datagram loss, and two data centres that reach each other only through a
// third one.
func TestCrashReportsOfDifferentNodesAddUp(t *testing.T) {
	for _, tt := range []struct {
		name           string
		nodes, centres int
		lossRate       float64
		bridged        bool
		limit          time.Duration
	}{
		{"small", 9, 3, 0, false, 400 * time.Millisecond},
		{"small, with loss", 9, 3, 0.3, false, 1500 * time.Millisecond},
		{"small, bridged", 9, 3, 0, true, 800 * time.Millisecond},
		{"medium", 66, 3, 0.03, false, 1200 * time.Millisecond},
		{"large", 120, 6, 0.03, false, 1500 * time.Millisecond},
		{"large, bridged", 120, 6, 0.03, true, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := newVirtualFleet(t, 5, tt.nodes, tt.centres)
			trackers := newTrackers(v)
			v.advance(5 * time.Second)
			v.lossRate = tt.lossRate
			if tt.bridged {
				dc := func(n *virtualNode) string { return n.DataCentre }
				v.cutOff = func(from, to *virtualNode) bool {
					return dc(from) == "dc0" && dc(to) == "dc1" || dc(from) == "dc1" && dc(to) == "dc0"
				}
			}
			for c := range sagequarantine.DefaultThreshold {
				record := trackers[len(trackers)-1-c].RecordCrash
				at := v.now.Add(-time.Duration(c) * time.Second)
				record(v.now, sagequarantine.Crash{ID: sagequarantine.CrashID(c + 1), At: at}, crashingRequest, otherRequest(c))
				record(v.now, sagequarantine.Crash{ID: sagequarantine.CrashID(c + 101), At: at}, crashingPart, otherRequest(c+50))
			}
			took := v.advanceUntil(tt.limit+time.Second, func() bool {
				return quarantineCount(v, trackers, crashingRequest)+quarantineCount(v, trackers, crashingPart) == 2*tt.nodes
			})
			t.Log("quarantined by all nodes after", took)
			require.LessOrEqual(t, took, tt.limit)
			for c := range sagequarantine.DefaultThreshold {
				require.Zero(t, quarantineCount(v, trackers, otherRequest(c))+quarantineCount(v, trackers, otherRequest(c+50)))
			}
		})
	}
}

// Heartbeats must not grow without bound while many upstreams crash at the same time, each with many requests.
func TestReportsOfManyCrashesStayBounded(t *testing.T) {
	v := newVirtualFleet(t, 6, 66, 3)
	trackers := newTrackers(v)
	v.advance(10 * time.Second)
	baseline := v.bytesSent()
	v.advance(5 * time.Second)
	baseline = v.bytesSent() - baseline
	before := v.bytesSent()
	for c := range 10 {
		for i := range 64 {
			id := 1000*c + i
			trackers[(c*64+i)%len(trackers)].RecordCrash(v.now, sagequarantine.Crash{ID: sagequarantine.CrashID(c + 1), At: v.now},
				sagequarantine.NewRequest(sagequarantine.Fingerprint(id)), sagequarantine.NewPart("acc", "s", "m", uint64(id)), sagequarantine.NewPart("acc", "s", "m", uint64(i%8)))
		}
	}
	v.advance(5 * time.Second)
	perNode := float64(v.bytesSent()-before-baseline) / 5 / float64(len(v.nodes))
	t.Log("additional bytes per second and node:", fmt.Sprintf("%.0f", perNode))
	require.Less(t, perNode, 19_000.0)
}

// bytesSent returns the number of bytes sent by all nodes.
func (v *virtualFleet) bytesSent() int {
	n := 0
	for _, x := range v.nodes {
		n += x.bytes
	}
	return n
}
