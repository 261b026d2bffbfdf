package sagequarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

const start = sageclock.Instant(time.Hour)

func always() bool { return true }
func never() bool  { return false }

// quarantined reports whether a book refuses a request.
func quarantined(b *Tracker, now sageclock.Instant, f Fingerprint) bool {
	_, ok := b.QuarantinedUntil(now, f)
	return ok
}

// Guards against one request that crashes upstream after upstream, seen by one node or by several.
func TestThirdCrashQuarantines(t *testing.T) {
	b := new(Tracker)
	require.Empty(t, b.RecordCrash(start, 1, 7, 8))
	require.Empty(t, b.Merge(start, []Report{{Crash: 2, Suspects: []Fingerprint{7}}}, nil))
	require.False(t, quarantined(b, start, 7))
	entries := b.RecordCrash(start.Add(time.Second), 3, 7)
	require.Equal(t, []Entry{{Request: 7, Crashes: []CrashID{1, 2, 3}, Since: start.Add(time.Second), Until: start.Add(time.Second + QuarantineDuration)}}, entries)
	require.True(t, quarantined(b, start.Add(time.Second), 7))
	require.False(t, quarantined(b, start.Add(time.Second), 8))
}

// Guards against a crash that counts twice: several nodes have the same request at an upstream, and each reports it.
func TestOneCrashCountsOnce(t *testing.T) {
	b := new(Tracker)
	for range 5 {
		require.Empty(t, b.RecordCrash(start, 1, 7, 7))
		require.Empty(t, b.Merge(start, []Report{{1, []Fingerprint{7}}, {1, []Fingerprint{7}}}, nil))
	}
	require.Empty(t, b.RecordCrash(start, 2, 7))
}

// Guards against quarantine of a harmless request that many callers send alike while upstreams crash for other reasons.
func TestSuccessClears(t *testing.T) {
	for _, tt := range []struct {
		name  string
		clear func(b *Tracker)
	}{
		{"here", func(b *Tracker) { b.RecordSuccess(start, 7) }},
		{"on another node", func(b *Tracker) { b.Merge(start, nil, []Fingerprint{7}) }},
	} {
		b := new(Tracker)
		b.RecordCrash(start, 1, 7)
		b.RecordCrash(start, 2, 7)
		tt.clear(b)
		require.Empty(t, b.RecordCrash(start, 3, 7), tt.name)
		require.Empty(t, b.Merge(start, []Report{{1, []Fingerprint{7}}, {2, []Fingerprint{7}}}, nil), "%s: old reports come late", tt.name)
		for c := range CrashID(succeededTimes*DefaultThreshold - 2) {
			require.Empty(t, b.RecordCrash(start, 4+c, 7), tt.name)
		}
		require.Len(t, b.RecordCrash(start, 20, 7), 1, "%s: as many since", tt.name)
		tt.clear(b)
		require.False(t, quarantined(b, start, 7), "%s: an attempt under way succeeded", tt.name)
	}
}

// Guards against quarantine of harmless requests that come again to the upstreams that another one crashes.
func TestCrashesOfAQuarantinedRequestCountForNoOther(t *testing.T) {
	b := new(Tracker)
	b.RecordCrash(start, 1, 7, 9)
	b.RecordCrash(start, 2, 7, 9)
	b.RecordCrash(start, 3, 7, 8)
	require.True(t, quarantined(b, start, 7))
	b.RecordCrash(start, 4, 7, 8)
	b.Merge(start, []Report{{5, []Fingerprint{7}}}, nil)
	b.RecordCrash(start, 5, 8)
	b.RecordCrash(start, 6, 8)
	b.RecordCrash(start, 7, 8)
	require.False(t, quarantined(b, start, 8))
	b.RecordCrash(start, 8, 8)
	require.True(t, quarantined(b, start, 8), "three of its own")
	require.False(t, quarantined(b, start, 9))
	b.RecordCrash(start, 9, 9)
	require.True(t, quarantined(b, start, 9), "one that crashed upstreams beside the first")
}

// Guards against a harmless request that stays quarantined by mistake, and against tries without end of a fatal one.
func TestQuarantinedRequestIsTriedSeldom(t *testing.T) {
	b := new(Tracker)
	b.Restore(start, 7)
	tries := 0
	for s := range int(QuarantineDuration / time.Second) {
		if b.AllowTrial(start.Add(time.Duration(s)*time.Second), 7) {
			tries++
		}
	}
	require.Equal(t, len(trialsAfter), tries)
	require.False(t, b.AllowTrial(start.Add(QuarantineDuration), 8), "it is not quarantined")
}

// Guards against a request whose callers leave before the upstream crashes under it.
func TestAbandonedRequestCounts(t *testing.T) {
	b := new(Tracker)
	for c := range CrashID(3) {
		b.RecordAbandoned(start, c+1, 7)
	}
	b.RecordAbandoned(start, 9, 8)
	require.Empty(t, b.RecordCrash(start.Add(time.Second), 1))
	require.Empty(t, b.Merge(start.Add(time.Second), []Report{{2, []Fingerprint{99}}}, nil), "another node saw the crash")
	require.Len(t, b.RecordCrash(start.Add(time.Second), 3), 1)
	require.Empty(t, b.RecordCrash(start.Add(runsOn), 9), "it had ended by then")
	suspects, entries := b.Counts()
	require.Equal(t, [2]int{1, 1}, [2]int{suspects, entries})
}

// Guards against nodes that refuse what others send: a node that was cut off reports a crash of a request that all
// others hold quarantined.
func TestLateReporterIsReminded(t *testing.T) {
	b, late := new(Tracker), new(Tracker)
	for c := range CrashID(3) {
		b.RecordCrash(start, c+1, 7)
	}
	now := start.Add(time.Minute)
	reports, _ := b.Reports(now, always)
	require.Empty(t, reports)
	late.RecordCrash(now, 4, 7)
	reports, _ = late.Reports(now, never)
	b.Merge(now, reports, nil)
	reports, _ = b.Reports(now, never)
	require.Len(t, late.Merge(now, reports, nil), 1)
	require.True(t, quarantined(late, now, 7))
}

func TestReportsArePassedOnForAWhile(t *testing.T) {
	b := new(Tracker)
	b.RecordCrash(start, 1, 7, 8)
	b.Merge(start, []Report{{2, []Fingerprint{9}}}, nil)
	b.RecordSuccess(start, 8)
	b.RecordSuccess(start, 1000)
	own, cleared := b.Reports(start.Add(passFor-1), never)
	require.Equal(t, []Report{{1, []Fingerprint{7, 8}}}, own)
	require.Equal(t, []Fingerprint{8}, cleared)
	all, _ := b.Reports(start.Add(passFor-1), always)
	require.Equal(t, []Report{{1, []Fingerprint{7, 8}}, {2, []Fingerprint{9}}}, all)
	all, cleared = b.Reports(start.Add(passFor), always)
	require.Empty(t, all)
	require.Empty(t, cleared)
}

// Guards against memory without bounds: every request in the world is under way at some crash.
func TestBookIsBounded(t *testing.T) {
	b := new(Tracker)
	now := start
	for i := range 3 * mostSuspects {
		now++
		b.RecordCrash(now, CrashID(i), Fingerprint(i))
		b.RecordAbandoned(now, CrashID(i), Fingerprint(i))
	}
	suspects, _ := b.Counts()
	require.Equal(t, mostSuspects, suspects)
	require.LessOrEqual(t, len(b.out), mostWaiting)
	require.LessOrEqual(t, len(b.abandoned), mostAbandoned)
	for i := range 2 * mostQuarantined {
		now++
		for c := range CrashID(DefaultThreshold) {
			b.RecordCrash(now, 1_000_000+CrashID(i)*DefaultThreshold+c, 1_000_000+Fingerprint(i))
		}
	}
	_, entries := b.Counts()
	require.Equal(t, mostQuarantined, entries)
	require.True(t, quarantined(b, now, 1_000_000+2*mostQuarantined-1), "the newest stay")
	require.LessOrEqual(t, len(b.explained), mostExplained)
	for c := range CrashID(100) {
		b.RecordCrash(now, 9_000_000+c, 5)
		b.RecordSuccess(now, 5)
	}
	require.LessOrEqual(t, len(b.records[5].setAside), mostSetAside)
	b.Sweep(now.Add(QuarantineDuration))
	suspects, entries = b.Counts()
	require.Zero(t, suspects+entries)
	require.False(t, b.Active())
}

// Guards against a fleet that forgets: all nodes start again.
func TestStoreOutlastsTheNodes(t *testing.T) {
	b := new(Tracker)
	for c := range CrashID(3) {
		b.RecordCrash(start, c+1, 7)
	}
	require.Equal(t, []Difference{{Request: 7, Quarantined: true, Since: start}}, b.Differences(start))
	require.Equal(t, []Difference{{Request: 7, Quarantined: true, Since: start}}, b.Differences(start.Add(time.Second)))
	require.False(t, b.Restore(start, 7))
	require.Empty(t, b.Differences(start))

	started := new(Tracker)
	require.True(t, started.Restore(start, 7))
	require.True(t, quarantined(started, start, 7))
	require.Empty(t, started.Differences(start))

	started.Release(7)
	require.False(t, quarantined(started, start, 7), "an operator deleted the object")
	require.Empty(t, started.Differences(start))

	b.Sweep(start.Add(QuarantineDuration))
	require.Equal(t, []Difference{{Request: 7, Since: start.Add(QuarantineDuration)}}, b.Differences(start.Add(QuarantineDuration)))
	b.Release(7)
	require.Empty(t, b.Differences(start.Add(QuarantineDuration)))
}

func TestCrashesDifferByStart(t *testing.T) {
	require.NotEqual(t, CrashIDOf("e1", 1), CrashIDOf("e1", 2))
	require.NotEqual(t, CrashIDOf("e1", 1), CrashIDOf("e11", 1))
	require.Equal(t, CrashIDOf("e1", 1), CrashIDOf("e1", 1))
}

func BenchmarkQuarantined(b *testing.B) {
	book := new(Tracker)
	for i := range mostQuarantined {
		book.Restore(start, Fingerprint(i))
	}
	for i := range b.N {
		book.QuarantinedUntil(start, Fingerprint(i))
	}
}

func BenchmarkOf(b *testing.B) {
	body := make([]byte, 16<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintOf("acc", "POST", "shop.example/reply/x", body)
	}
}

// Guards against the one request that matters being left out of heartbeats while many upstreams crash at once.
func TestRepeatedSuspectsArePassedOnFirst(t *testing.T) {
	b := new(Tracker)
	b.Merge(start, []Report{{1, []Fingerprint{7}}, {2, []Fingerprint{7}}}, nil)
	for c := range CrashID(20) {
		for f := range Fingerprint(64) {
			b.RecordCrash(start, 100+c, 1000*Fingerprint(c+1)+f)
		}
	}
	seen := make(map[Fingerprint]bool)
	for range 7 {
		reports, _ := b.Reports(start, always)
		n := 0
		crashes := 0
		for _, r := range reports {
			n += len(r.Suspects)
			for _, f := range r.Suspects {
				seen[f] = true
				if f == 7 {
					crashes++
				}
			}
		}
		require.Equal(t, mostPassed, n)
		require.Equal(t, 2, crashes)
	}
	require.Greater(t, len(seen), 20*64/2, "the others take turns")
}

// Guards against a node that started after the first crashes and goes on sending what the others have quarantined.
func TestQuarantineReachesNodesThatKnowSomeCrashesOnly(t *testing.T) {
	b, started := new(Tracker), new(Tracker)
	b.RecordCrash(start, 1, 7)
	b.RecordCrash(start, 2, 7)
	now := start.Add(time.Minute)
	b.Merge(now, []Report{{3, []Fingerprint{7}}}, nil)
	reports, _ := b.Reports(now, never)
	require.Len(t, started.Merge(now, reports, nil), 1)
}

// Guards against reports that go round for ever: nodes that all hold a request quarantined answer each other's reports
// of it.
func TestReportsOfAQuarantinedRequestEnd(t *testing.T) {
	books := []*Tracker{new(Tracker), new(Tracker), new(Tracker)}
	now := start
	exchange := func() {
		now = now.Add(200 * time.Millisecond)
		for _, from := range books {
			reports, cleared := from.Reports(now, always)
			for _, to := range books {
				if to != from {
					to.Merge(now, reports, cleared)
				}
			}
		}
	}
	for c := range CrashID(12) {
		books[c%3].RecordCrash(now, c+1, 7)
		exchange()
	}
	for _, b := range books {
		require.True(t, quarantined(b, now, 7))
	}
	for range 40 {
		exchange()
	}
	for _, b := range books {
		reports, _ := b.Reports(now, always)
		require.Empty(t, reports)
	}
}
