package sagehealth

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func at(ms int) sageclock.Instant { return sageclock.Instant(time.Duration(ms) * time.Millisecond) }

// Until the lease of a crashed engine lapses, seconds later, requests must not be sent to its address.
func TestBrokenUpstreamIsExcludedAndRetried(t *testing.T) {
	var tr Tracker
	tr.Record(at(0), "s", "u", Broken)
	require.True(t, tr.Avoid(at(600), "s", "u"))
	require.False(t, tr.Avoid(at(701), "s", "u"), "a trial request")
	tr.Record(at(710), "s", "u", Broken)
	require.True(t, tr.Avoid(at(2100), "s", "u"), "the second exclusion is twice as long")
	tr.Record(at(2200), "s", "u", OK)
	require.False(t, tr.Avoid(at(2201), "s", "u"))
}

// A grey failure: one of four upstreams fails four in ten requests while its health check passes.
func TestUpstreamWithGreyFailureIsAvoided(t *testing.T) {
	var tr Tracker
	avoided := 0
	for i := range 200 {
		for _, u := range []string{"a", "b", "c", "grey"} {
			if tr.Avoid(at(i*20), "s", u) {
				avoided++
				continue
			}
			res := OK
			if u == "grey" && i%5 < 2 {
				res = Failed
			}
			tr.Record(at(i*20), "s", u, res)
		}
	}
	require.Greater(t, avoided, 50, "of 200 picks of the failing upstream")
	require.Less(t, avoided, 200)
}

// All upstreams of a service fail alike. Avoiding all of them would refuse requests that might succeed.
func TestNoUpstreamIsAvoidedWhenAllFail(t *testing.T) {
	var tr Tracker
	for i := range 50 {
		for _, u := range []string{"a", "b", "c"} {
			require.False(t, tr.Avoid(at(i*20), "s", u))
			tr.Record(at(i*20), "s", u, Failed)
		}
	}
	tr.Retain(func(u string) bool { return u == "a" })
	require.Len(t, tr.services["s"].upstreams, 1)
	require.InDelta(t, tr.services["s"].upstreams["a"].failureRate, tr.services["s"].meanRate(), 1e-9)
}

func ExampleTracker() {
	var tr Tracker
	tr.Record(0, "chat", "engine1", Broken)
	fmt.Println(tr.Avoid(0, "chat", "engine1"), tr.Avoid(0, "chat", "engine2"))
	// Output: true false
}

func BenchmarkAvoid(b *testing.B) {
	var tracker Tracker
	for i := range 256 {
		tracker.Record(0, "s", fmt.Sprint(i), OK)
	}
	b.ReportAllocs()
	for b.Loop() {
		tracker.Avoid(1, "s", "7")
	}
}

// A crashed engine whose lease has not lapsed yet. A single report is enough for suspicion, but not for ejection.
func TestSuspicionEndsWithLeaseOrAnswer(t *testing.T) {
	var tr Tracker
	require.False(t, tr.Suspected(at(0), "s", "u"))
	tr.Record(at(0), "s", "u", Broken)
	require.True(t, tr.Suspected(at(3900), "s", "u"))
	require.False(t, tr.Suspected(at(4100), "s", "u"))
	tr.Record(at(5000), "s", "u", Broken)
	tr.Record(at(5100), "s", "u", OK)
	require.False(t, tr.Suspected(at(5200), "s", "u"))
	tr.RecordReports(at(6000), "s", "u", 1, 0)
	require.True(t, tr.Suspected(at(9900), "s", "u"), "another node's report")
	require.False(t, tr.Avoid(at(6100), "s", "u"), "ejection takes two reports")
	tr.Record(at(6500), "s", "u", OK)
	require.False(t, tr.Suspected(at(6600), "s", "u"))
	tr.RecordReports(at(7000), "s", "v", 1, 0)
	tr.RecordReports(at(9500), "s", "v", 1, 0)
	require.False(t, tr.Avoid(at(9600), "s", "v"), "two reports of one node each, at different times")
}

// Prevents what a node saw while its own path was lost from counting against upstreams after the heal.
func TestForgivenExchangesDoNotCount(t *testing.T) {
	var tr Tracker
	for i := range 40 {
		tr.Record(at(i), "s", "a", []Result{OK, OK, OK, Failed}[i%4])
		tr.Record(at(i), "s", "b", OK)
	}
	rate, sum := tr.services["s"].upstreams["a"].failureRate, tr.services["s"].rateSum
	for i := range 3 {
		tr.Record(at(100+i), "s", "a", Broken)
	}
	require.True(t, tr.Avoid(at(103), "s", "a"))
	tr.Forgive("s", at(200))
	require.True(t, tr.Avoid(at(103), "s", "a"), "only later exchanges are forgiven")
	tr.Forgive("s", at(100))
	require.False(t, tr.Avoid(at(103), "s", "a"))
	require.Empty(t, tr.RecentlyBroken(at(103)))
	require.InDelta(t, rate, tr.services["s"].upstreams["a"].failureRate, 1e-9)
	require.InDelta(t, sum, tr.services["s"].rateSum, 1e-9)
	tr.Forgive("unknown", 0)
}
