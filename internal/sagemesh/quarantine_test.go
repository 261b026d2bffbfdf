package sagemesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
)

// fatal is a request that crashes upstreams.
const fatal = sagequarantine.Fingerprint(7)

// books gives each node of a virtual fleet a book whose reports ride on its heartbeats.
func books(v *virtual) []*sagequarantine.Tracker {
	out := make([]*sagequarantine.Tracker, len(v.nodes))
	for i, n := range v.nodes {
		b := new(sagequarantine.Tracker)
		out[i] = b
		n.Fill = func(h *Heartbeat) {
			h.Ready = true
			h.Crashes, h.Cleared = b.Reports(v.now, n.ForwardsReports)
		}
		n.OnHeartbeat = func(h *Heartbeat, _ sageclock.Instant) { b.Merge(v.now, h.Crashes, h.Cleared) }
	}
	return out
}

// quarantining returns how many books refuse a request.
func quarantining(v *virtual, books []*sagequarantine.Tracker, f sagequarantine.Fingerprint) int {
	n := 0
	for _, b := range books {
		if _, ok := b.QuarantinedUntil(v.now, f); ok {
			n++
		}
	}
	return n
}

// Guards against nodes that go on sending a request after three nodes have each seen one crash under it: in large
// fleets, under loss, and where two data centres reach each other through a third one only.
func TestCrashesSeenByDifferentNodesAddUpEverywhere(t *testing.T) {
	for _, tt := range []struct {
		name           string
		nodes, centres int
		lossy          float64
		bridge         bool
		most           time.Duration
	}{
		{"small", 9, 3, 0, false, 400 * time.Millisecond},
		{"small, lossy", 9, 3, 0.3, false, 1500 * time.Millisecond},
		{"small, bridged", 9, 3, 0, true, 800 * time.Millisecond},
		{"grown", 66, 3, 0.03, false, 1200 * time.Millisecond},
		{"large", 120, 6, 0.03, false, 1500 * time.Millisecond},
		{"large, bridged", 120, 6, 0.03, true, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := newVirtual(t, 5, tt.nodes, tt.centres)
			bs := books(v)
			v.play(5 * time.Second)
			v.lossy = tt.lossy
			if tt.bridge {
				dc := func(n *vnode) string { return n.DataCentre }
				v.cut = func(from, to *vnode) bool {
					return dc(from) == "dc0" && dc(to) == "dc1" || dc(from) == "dc1" && dc(to) == "dc0"
				}
			}
			for c := range sagequarantine.DefaultThreshold {
				// Others run there too.
				bs[len(bs)-1-c].RecordCrash(v.now, sagequarantine.CrashID(c+1), fatal, sagequarantine.Fingerprint(100+c))
			}
			took := v.until(tt.most+time.Second, func() bool { return quarantining(v, bs, fatal) == tt.nodes })
			t.Log("in force everywhere after", took)
			require.LessOrEqual(t, took, tt.most)
			for f := range sagequarantine.Fingerprint(sagequarantine.DefaultThreshold) {
				require.Zero(t, quarantining(v, bs, 100+f))
			}
		})
	}
}

// Guards against heartbeats that grow without bounds while many upstreams crash at once, each under many requests.
func TestReportsOfManyCrashesStayBounded(t *testing.T) {
	v := newVirtual(t, 6, 66, 3)
	bs := books(v)
	v.play(10 * time.Second)
	quiet := v.bytes()
	v.play(5 * time.Second)
	quiet = v.bytes() - quiet
	before := v.bytes()
	for c := range 10 {
		for i := range 64 {
			bs[(c*64+i)%len(bs)].RecordCrash(v.now, sagequarantine.CrashID(c+1), sagequarantine.Fingerprint(1000*c+i))
		}
	}
	v.play(5 * time.Second)
	perNode := float64(v.bytes()-before-quiet) / 5 / float64(len(v.nodes))
	t.Log("bytes a second and node beside the usual ones:", fmt.Sprintf("%.0f", perNode))
	require.Less(t, perNode, 19_000.0)
}

// bytes returns how many bytes all nodes sent.
func (v *virtual) bytes() int {
	n := 0
	for _, x := range v.nodes {
		n += x.bytes
	}
	return n
}
