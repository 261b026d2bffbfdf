package sagehealth

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func at(ms int) sageclock.Instant { return sageclock.Instant(time.Duration(ms) * time.Millisecond) }

// An engine crashes: requests go to a dead address until its lease lapses seconds later.
func TestBrokenUpstreamIsLeftOutAndTriedAgain(t *testing.T) {
	var b Tracker
	b.Record(at(0), "s", "u", Broken)
	require.True(t, b.Avoid(at(600), "s", "u"))
	require.False(t, b.Avoid(at(701), "s", "u"), "a trial")
	b.Record(at(710), "s", "u", Broken)
	require.True(t, b.Avoid(at(2100), "s", "u"), "twice as long")
	b.Record(at(2200), "s", "u", OK)
	require.False(t, b.Avoid(at(2201), "s", "u"))
}

// One of four upstreams fails four in ten requests while its health check passes.
func TestGreyUpstreamIsAvoided(t *testing.T) {
	var b Tracker
	avoided := 0
	for i := range 200 {
		for _, u := range []string{"a", "b", "c", "grey"} {
			if b.Avoid(at(i*20), "s", u) {
				avoided++
				continue
			}
			res := OK
			if u == "grey" && i%5 < 2 {
				res = Failed
			}
			b.Record(at(i*20), "s", u, res)
		}
	}
	require.Greater(t, avoided, 50, "of 200 on the grey one")
	require.Less(t, avoided, 200)
}

// Every upstream of a service fails alike. Avoiding all of them would refuse what could be served.
func TestWhereAllFailNoneIsAvoided(t *testing.T) {
	var b Tracker
	for i := range 50 {
		for _, u := range []string{"a", "b", "c"} {
			require.False(t, b.Avoid(at(i*20), "s", u))
			b.Record(at(i*20), "s", u, Failed)
		}
	}
	b.Retain(func(u string) bool { return u == "a" })
	require.Len(t, b.services["s"].records, 1)
	require.InDelta(t, b.services["s"].records["a"].rate, b.services["s"].mean(), 1e-9)
}

func ExampleBook() {
	var b Tracker
	b.Record(0, "chat", "engine1", Broken)
	fmt.Println(b.Avoid(0, "chat", "engine1"), b.Avoid(0, "chat", "engine2"))
	// Output: true false
}

func BenchmarkAvoid(b *testing.B) {
	var book Tracker
	for i := range 256 {
		book.Record(0, "s", fmt.Sprint(i), OK)
	}
	b.ReportAllocs()
	for b.Loop() {
		book.Avoid(1, "s", "7")
	}
}

// An engine crashed and its lease has not lapsed. For what may be lost by trusting it, a single word counts.
func TestSuspicionLastsAsLongAsALeaseOrUntilAnAnswer(t *testing.T) {
	var b Tracker
	require.False(t, b.Suspected(at(0), "s", "u"))
	b.Record(at(0), "s", "u", Broken)
	require.True(t, b.Suspected(at(3900), "s", "u"))
	require.False(t, b.Suspected(at(4100), "s", "u"))
	b.Record(at(5000), "s", "u", Broken)
	b.Record(at(5100), "s", "u", OK)
	require.False(t, b.Suspected(at(5200), "s", "u"))
	b.RecordReports(at(6000), "s", "u", 1, 0)
	require.True(t, b.Suspected(at(9900), "s", "u"), "another node's word")
	require.False(t, b.Avoid(at(6100), "s", "u"), "it takes two to send elsewhere")
	b.Record(at(6500), "s", "u", OK)
	require.False(t, b.Suspected(at(6600), "s", "u"))
	b.RecordReports(at(7000), "s", "v", 1, 0)
	b.RecordReports(at(9500), "s", "v", 1, 0)
	require.False(t, b.Avoid(at(9600), "s", "v"), "one node at a time")
}
