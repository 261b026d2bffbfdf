package sageburn

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagewire"
)

var (
	epoch      = time.Date(2026, 11, 8, 6, 0, 30, 0, time.UTC)
	objectives = []Objective{
		{Account: AnyAccount, Priority: sagewire.Urgent, LatencyMillis: 800, Target: 0.99},
		{Account: "haller", Priority: sagewire.Urgent, LatencyMillis: 400, Target: 0.9},
	}
)

// record counts n requests that end at the given instant.
func record(b *Tracker, account string, at time.Time, n int, o sagewire.Outcome, r sagewire.Reason, millis int) {
	for range n {
		b.Record(Request{Account: account, Priority: sagewire.Urgent, Outcome: o, Reason: r,
			ArrivedAt: at.Add(-time.Duration(millis) * time.Millisecond), FirstByteAt: at, EndedAt: at})
	}
}

func TestRecordCounts(t *testing.T) {
	tests := []struct {
		outcome sagewire.Outcome
		reason  sagewire.Reason
		millis  int
		want    Count
	}{
		{sagewire.Complete, "", 800, Count{Total: 1}},
		{sagewire.Complete, "", 801, Count{Total: 1, Bad: 1}},
		{sagewire.AlreadyRun, sagewire.ReasonKeyInUse, 5, Count{Total: 1}},
		{sagewire.Unknown, sagewire.ReasonAnswerLost, 5, Count{Total: 1, Bad: 1}},
		{sagewire.NotRun, sagewire.ReasonOverloaded, 5, Count{Total: 1, Bad: 1}},
		{sagewire.NotRun, sagewire.ReasonAccountLimit, 5, Count{Total: 1, Bad: 1}},
		{sagewire.NotRun, sagewire.ReasonBadRequest, 5, Count{}},
		{sagewire.NotRun, sagewire.ReasonKeyExpired, 5, Count{}},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.outcome, tt.reason, tt.millis), func(t *testing.T) {
			b := &Tracker{Objectives: objectives}
			record(b, "trentvale", epoch, 1, tt.outcome, tt.reason, tt.millis)
			var got Count
			for _, s := range b.Snapshot(epoch).Series {
				got = s.over(Windows[0], epoch)
			}
			assert.Equal(t, tt.want, got)
		})
	}
}

func TestAlerts(t *testing.T) {
	tests := []struct {
		name string
		play func(b *Tracker)
		want Alert
	}{
		{"quiet", func(b *Tracker) { record(b, "a", epoch, 100, sagewire.Complete, "", 5) }, AlertNone},
		{"fast burn", func(b *Tracker) {
			record(b, "a", epoch, 80, sagewire.Complete, "", 5)
			record(b, "a", epoch, 20, sagewire.Unknown, "", 5)
		}, AlertPage},
		// An outage that ended an hour ago must not wake anybody: the short windows are clean.
		{"over an hour ago", func(b *Tracker) {
			record(b, "a", epoch.Add(-61*time.Minute), 20, sagewire.Unknown, "", 5)
			record(b, "a", epoch, 80, sagewire.Complete, "", 5)
		}, AlertTicket},
		{"slow burn", func(b *Tracker) {
			for h := range 72 {
				at := epoch.Add(-time.Duration(h) * time.Hour)
				record(b, "a", at, 98, sagewire.Complete, "", 5)
				record(b, "a", at, 2, sagewire.NotRun, sagewire.ReasonOverloaded, 5)
			}
		}, AlertTicket},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &Tracker{Objectives: objectives}
			tt.play(b)
			lines := Report(b.Snapshot(epoch), objectives, epoch)
			require.Len(t, lines, 1)
			assert.Equal(t, tt.want, lines[0].Alert)
		})
	}
}

func TestMergeAddsUpNodes(t *testing.T) {
	one, two := &Tracker{Objectives: objectives}, &Tracker{Objectives: objectives}
	record(one, "haller", epoch, 6, sagewire.Complete, "", 300)
	record(two, "haller", epoch.Add(-10*time.Minute), 4, sagewire.Complete, "", 500)
	record(two, "trentvale", epoch, 1, sagewire.Complete, "", 500)
	lines := Report(Merge(one.Snapshot(epoch), two.Snapshot(epoch)), objectives, epoch)
	require.Len(t, lines, 2)
	assert.Equal(t, "haller", lines[0].Account)
	assert.Equal(t, Count{Total: 6}, lines[0].Burns[0].Count)
	assert.Equal(t, Count{Total: 10, Bad: 4}, lines[0].Burns[1].Count)
	assert.InDelta(t, 4, lines[0].Burns[1].Rate, 1e-9)
	assert.InDelta(t, 300, lines[0].P50Millis, 30)
	assert.InDelta(t, 500, lines[0].P95Millis, 50)
}

// A node of another version sends a histogram of another shape. Adding it up would take any amount
// of memory or mix up its counts, so the whole snapshot is refused and its node named as missing.
func TestMismatchedHistogramIsRejected(t *testing.T) {
	b := &Tracker{Objectives: objectives}
	record(b, "a", epoch, 1, sagewire.Complete, "", 300)
	s := b.Snapshot(epoch)
	require.NoError(t, s.Check())
	s.Series[0].Latency.HighestTrackableValue = 1 << 60
	require.ErrorIs(t, s.Check(), ErrInvalidLatency)
}

func TestOldSlotsExpire(t *testing.T) {
	b := &Tracker{Objectives: objectives}
	record(b, "a", epoch, 5, sagewire.Unknown, "", 5)
	later := epoch.Add(80 * time.Hour)
	record(b, "a", later, 1, sagewire.Complete, "", 5)
	record(b, "a", epoch, 5, sagewire.Unknown, "", 5)
	lines := Report(b.Snapshot(later), objectives, later)
	assert.Equal(t, Count{Total: 1}, lines[0].Burns[len(Windows)-1].Count)
}

func TestSeriesLimit(t *testing.T) {
	b := &Tracker{Objectives: objectives}
	for i := range MaxSeries + 10 {
		record(b, fmt.Sprintf("account%d", i), epoch, 1, sagewire.Complete, "", 5)
	}
	s := b.Snapshot(epoch).Series
	assert.Len(t, s, MaxSeries+1)
	assert.Equal(t, OtherAccounts, s[0].Account)
	assert.Equal(t, Count{Total: 10}, s[0].over(Windows[0], epoch))
}

func TestObjectiveCheck(t *testing.T) {
	require.NoError(t, objectives[0].Check())
	for _, o := range []Objective{{}, {Account: "a", LatencyMillis: 1, Target: 1}, {Account: "a", Target: 0.5}} {
		require.ErrorIs(t, o.Check(), ErrInvalidObjective)
	}
}

func BenchmarkRecord(b *testing.B) {
	book := &Tracker{Objectives: objectives}
	r := Request{Account: "haller", Priority: sagewire.Urgent, Outcome: sagewire.Complete, ArrivedAt: epoch, FirstByteAt: epoch.Add(time.Millisecond), EndedAt: epoch.Add(time.Millisecond)}
	b.ReportAllocs()
	for b.Loop() {
		book.Record(r)
	}
}

func ExampleReport() {
	at := time.Date(2026, 11, 8, 6, 0, 0, 0, time.UTC)
	o := []Objective{{Account: AnyAccount, Priority: sagewire.Urgent, LatencyMillis: 800, Target: 0.99}}
	b := &Tracker{Objectives: o}
	b.Record(Request{Account: "haller", Priority: sagewire.Urgent, Outcome: sagewire.Unknown, ArrivedAt: at, EndedAt: at})
	for _, l := range Report(b.Snapshot(at), o, at) {
		fmt.Printf("%s %s %s %.0f %s\n", l.Account, l.Priority, l.Burns[0].Window, l.Burns[0].Rate, l.Alert)
	}
	// Output: haller urgent 5m 100 page
}
