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

// quarantined reports whether a request is quarantined.
func quarantined(tr *Tracker, now sageclock.Instant, f Fingerprint) bool {
	return len(tr.Quarantined(now, NewRequest(f))) > 0
}

// requests returns the suspects with the fingerprints of requests.
func requests(fs ...Fingerprint) []Suspect {
	var out []Suspect
	for _, f := range fs {
		out = append(out, NewRequest(f))
	}
	return out
}

// timeOf returns the time of a crash; no two are simultaneous.
func timeOf(c CrashID) sageclock.Instant {
	return start.Add(-time.Duration(c) * simultaneous)
}

// recordCrash records a crash under requests.
func recordCrash(tr *Tracker, now sageclock.Instant, c CrashID, fs ...Fingerprint) []Entry {
	return tr.RecordCrash(now, Crash{ID: c, At: timeOf(c)}, requests(fs...)...)
}

// report returns a report of a crash that arrives at start.
func report(c CrashID, fs ...Fingerprint) Report {
	return Report{Crash: c, Age: start.Sub(timeOf(c)), Suspects: requests(fs...)}
}

// Prevents one request from crashing upstream after upstream, whether one node sees the crashes or several do.
func TestThirdCrashQuarantines(t *testing.T) {
	tr := new(Tracker)
	require.Empty(t, recordCrash(tr, start, 1, 7, 8))
	require.Empty(t, tr.Merge(start, []Report{report(2, 7)}, nil))
	require.False(t, quarantined(tr, start, 7))
	entries := recordCrash(tr, start.Add(time.Second), 3, 7)
	require.Equal(t, []Entry{{Suspect: NewRequest(7), Crashes: []Crash{{1, timeOf(1), true}, {2, timeOf(2), false}, {3, timeOf(3), true}}, Since: start.Add(time.Second), Until: start.Add(time.Second + QuarantineDuration)}}, entries)
	require.True(t, quarantined(tr, start.Add(time.Second), 7))
	require.False(t, quarantined(tr, start.Add(time.Second), 8))
}

// Prevents a crash from counting twice when several nodes have the same request at an upstream and each reports
// it.
func TestOneCrashCountsOnce(t *testing.T) {
	tr := new(Tracker)
	for range 5 {
		require.Empty(t, recordCrash(tr, start, 1, 7, 7))
		require.Empty(t, tr.Merge(start, []Report{report(1, 7), report(1, 7)}, nil))
	}
	require.Empty(t, recordCrash(tr, start, 2, 7))
}

// Prevents the quarantine of a harmless request that many callers send while upstreams crash for other reasons.
func TestSuccessClearsSuspect(t *testing.T) {
	for _, tt := range []struct {
		name  string
		clear func(tr *Tracker)
	}{
		{"on this node", func(tr *Tracker) { tr.RecordSuccess(start, NewRequest(7)) }},
		{"on another node", func(tr *Tracker) { tr.Merge(start, nil, []Fingerprint{7}) }},
	} {
		tr := new(Tracker)
		recordCrash(tr, start, 1, 7)
		recordCrash(tr, start, 2, 7)
		tt.clear(tr)
		require.Empty(t, recordCrash(tr, start, 3, 7), tt.name)
		require.Empty(t, tr.Merge(start, []Report{report(1, 7), report(2, 7)}, nil), "%s: late reports of discounted crashes", tt.name)
		for c := range CrashID(succeededFactor*DefaultThreshold - 2) {
			require.Empty(t, recordCrash(tr, start, 4+c, 7), tt.name)
		}
		require.Len(t, recordCrash(tr, start, 20, 7), 1, "%s: twice the threshold since the success", tt.name)
		tt.clear(tr)
		require.False(t, quarantined(tr, start, 7), "%s: an attempt in flight succeeded", tt.name)
	}
}

// Prevents the quarantine of harmless requests that are sent to the upstreams that another request crashes.
func TestExplainedCrashesAreDiscounted(t *testing.T) {
	tr := new(Tracker)
	recordCrash(tr, start, 1, 7, 9)
	recordCrash(tr, start, 2, 7, 9)
	recordCrash(tr, start, 3, 7, 8)
	require.True(t, quarantined(tr, start, 7))
	recordCrash(tr, start, 4, 7, 8)
	tr.Merge(start, []Report{report(5, 7)}, nil)
	recordCrash(tr, start, 5, 8)
	recordCrash(tr, start, 6, 8)
	recordCrash(tr, start, 7, 8)
	require.False(t, quarantined(tr, start, 8))
	recordCrash(tr, start, 8, 8)
	require.True(t, quarantined(tr, start, 8), "three crashes without the quarantined request")
	require.False(t, quarantined(tr, start, 9), "two crashes with the quarantined request don't count")
	recordCrash(tr, start, 9, 9)
	recordCrash(tr, start, 10, 9)
	require.False(t, quarantined(tr, start, 9))
	recordCrash(tr, start, 11, 9)
	require.True(t, quarantined(tr, start, 9), "three crashes without it")
}

// Prevents a harmless request from staying quarantined by mistake, and endless trials of a fatal one.
func TestQuarantinedRequestGetsFewTrials(t *testing.T) {
	tr := new(Tracker)
	tr.Restore(start, NewRequest(7))
	trials := 0
	for s := range int(QuarantineDuration / time.Second) {
		if tr.AllowTrial(start.Add(time.Duration(s)*time.Second), 7) {
			trials++
		}
	}
	require.Equal(t, len(trialDelays), trials)
	require.False(t, tr.AllowTrial(start.Add(QuarantineDuration), 8), "not quarantined")
}

// Prevents a fatal request from going undetected because its callers leave before the upstream crashes.
func TestAbandonedRequestIsSuspect(t *testing.T) {
	tr := new(Tracker)
	for c := range CrashID(3) {
		tr.RecordAbandoned(start, c+1, NewRequest(7))
	}
	tr.RecordAbandoned(start, 9, NewRequest(8))
	require.Empty(t, recordCrash(tr, start.Add(time.Second), 1))
	require.Empty(t, tr.Merge(start.Add(time.Second), []Report{report(2, 99)}, nil), "another node saw the crash")
	require.Len(t, recordCrash(tr, start.Add(time.Second), 3), 1)
	require.Empty(t, recordCrash(tr, start.Add(abandonedTTL), 9), "the abandoned request has expired")
	suspects, entries := tr.Counts()
	require.Equal(t, [2]int{1, 1}, [2]int{suspects, entries})
}

// Prevents nodes from disagreeing on whether a request is quarantined: a node that was cut off reports a crash
// under a request that all others have quarantined.
func TestKnownCrashesAreResentToLateReporter(t *testing.T) {
	tr, late := new(Tracker), new(Tracker)
	for c := range CrashID(3) {
		recordCrash(tr, start, c+1, 7)
	}
	now := start.Add(time.Minute)
	reports, _ := tr.Reports(now, always)
	require.Empty(t, reports)
	recordCrash(late, now, 4, 7)
	reports, _ = late.Reports(now, never)
	tr.Merge(now, reports, nil)
	reports, _ = tr.Reports(now, never)
	require.Len(t, late.Merge(now, reports, nil), 1)
	require.True(t, quarantined(late, now, 7))
}

// aged returns a report that is about to expire.
func aged(r Report) Report {
	r.Age += messageTTL - 1
	return r
}

func TestReportsExpire(t *testing.T) {
	tr := new(Tracker)
	recordCrash(tr, start, 1, 7, 8)
	tr.Merge(start, []Report{report(2, 9)}, nil)
	tr.RecordSuccess(start, NewRequest(8))
	tr.RecordSuccess(start, NewRequest(1000))
	local, cleared := tr.Reports(start.Add(messageTTL-1), never)
	require.Equal(t, []Report{aged(report(1, 7, 8))}, local)
	require.Equal(t, []Fingerprint{8}, cleared)
	all, _ := tr.Reports(start.Add(messageTTL-1), always)
	require.Equal(t, []Report{aged(report(1, 7, 8)), aged(report(2, 9))}, all)
	all, cleared = tr.Reports(start.Add(messageTTL), always)
	require.Empty(t, all)
	require.Empty(t, cleared)
}

// Prevents unbounded memory: any number of requests may be running at upstreams that crash.
func TestTrackerIsBounded(t *testing.T) {
	tr := new(Tracker)
	now := start
	for i := range 3 * maxSuspects {
		now++
		recordCrash(tr, now, CrashID(i), Fingerprint(i))
		tr.RecordAbandoned(now, CrashID(i), NewRequest(Fingerprint(i)))
	}
	suspects, _ := tr.Counts()
	require.Equal(t, maxSuspects, suspects)
	require.LessOrEqual(t, len(tr.out), maxQueued)
	require.LessOrEqual(t, len(tr.abandoned), maxAbandoned)
	for i := range 2 * maxQuarantined {
		now++
		for c := range CrashID(DefaultThreshold) {
			recordCrash(tr, now, 1_000_000+CrashID(i)*DefaultThreshold+c, 1_000_000+Fingerprint(i))
		}
	}
	_, entries := tr.Counts()
	require.Equal(t, maxQuarantined, entries)
	require.True(t, quarantined(tr, now, 1_000_000+2*maxQuarantined-1), "the latest are kept")
	require.LessOrEqual(t, len(tr.explained), maxQuarantined*maxCrashesPerEntry)
	for c := range CrashID(100) {
		recordCrash(tr, now, 9_000_000+c, 5)
		tr.RecordSuccess(now, NewRequest(5))
	}
	require.LessOrEqual(t, len(tr.suspects[5].discounted), maxDiscounted)
	tr.Sweep(now.Add(QuarantineDuration))
	suspects, entries = tr.Counts()
	require.Zero(t, suspects+entries)
	require.False(t, tr.Active())
}

// Prevents the loss of quarantines when all nodes restart.
func TestStoreKeepsQuarantinesAcrossRestarts(t *testing.T) {
	tr := new(Tracker)
	for c := range CrashID(3) {
		recordCrash(tr, start, c+1, 7)
	}
	require.Equal(t, []Difference{{Suspect: NewRequest(7), Crashes: 3, Quarantined: true, Since: start}}, tr.Differences(start))
	require.Equal(t, []Difference{{Suspect: NewRequest(7), Crashes: 3, Quarantined: true, Since: start}}, tr.Differences(start.Add(time.Second)))
	require.False(t, tr.Restore(start, NewRequest(7)))
	require.Empty(t, tr.Differences(start))

	restarted := new(Tracker)
	require.True(t, restarted.Restore(start, NewRequest(7)))
	require.True(t, quarantined(restarted, start, 7))
	require.Empty(t, restarted.Differences(start))

	restarted.Release(start, 7)
	require.False(t, quarantined(restarted, start, 7), "an operator deleted the object")
	require.Empty(t, restarted.Differences(start))

	tr.Sweep(start.Add(QuarantineDuration))
	require.Equal(t, []Difference{{Suspect: NewRequest(7), Since: start.Add(QuarantineDuration)}}, tr.Differences(start.Add(QuarantineDuration)))
	tr.Release(start, 7)
	require.Empty(t, tr.Differences(start.Add(QuarantineDuration)))
}

// Prevents a node that has just started from writing a quarantine that an operator released before the node listed the store, and
// from keeping it in force.
func TestStartedNodeDoesNotBringReleasedQuarantineBack(t *testing.T) {
	const listed = start + sageclock.Instant(time.Second)
	reported := []Report{report(1, 7), report(2, 7), report(3, 7)}
	for _, tt := range []struct {
		name    string
		prepare func(tr *Tracker)
		written bool
	}{
		{"reported by peers", func(*Tracker) {}, false},
		{"one crash happened here", func(tr *Tracker) { recordCrash(tr, start, 4, 7) }, true},
		{"one crash later", func(tr *Tracker) { tr.Merge(listed.Add(time.Second), []Report{{Crash: 5, Suspects: requests(7)}}, nil) }, true},
		{"stored after the listing, lost with a restore", func(tr *Tracker) {
			tr.Restore(listed, NewRequest(7))
			tr.RecordStored(NewRequest(7), false)
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tr := new(Tracker)
			require.Len(t, tr.Merge(start, reported, nil), 1)
			require.Len(t, tr.Differences(start), 1, "nothing is known before the listing")
			tr.RecordListing(listed)
			tt.prepare(tr)
			require.Equal(t, tt.written, len(tr.Differences(listed)) == 1)
			tr.Sweep(listed.Add(unconfirmedTTL - 1))
			require.True(t, quarantined(tr, listed, 7))
			tr.Sweep(listed.Add(unconfirmedTTL))
			require.Equal(t, tt.written, quarantined(tr, listed, 7))
		})
	}
}

// Prevents nodes of higher ranks from writing a quarantine that has just been lost from the store as early as the first one, since
// it was missing before.
func TestDifferenceCountsFromTheLastChangeOfTheStore(t *testing.T) {
	tr := new(Tracker)
	for c := range CrashID(3) {
		recordCrash(tr, start, c+1, 7)
	}
	require.Equal(t, start, tr.Differences(start)[0].Since)
	later := start.Add(time.Second)
	tr.RecordStored(NewRequest(7), true)
	tr.RecordStored(NewRequest(7), false)
	require.Equal(t, later, tr.Differences(later)[0].Since)
}

func TestCrashIDsDifferByIncarnation(t *testing.T) {
	require.NotEqual(t, CrashIDOf("e1", 1), CrashIDOf("e1", 2))
	require.NotEqual(t, CrashIDOf("e1", 1), CrashIDOf("e11", 1))
	require.Equal(t, CrashIDOf("e1", 1), CrashIDOf("e1", 1))
}

func BenchmarkQuarantinedUntil(b *testing.B) {
	tracker := new(Tracker)
	for i := range maxQuarantined {
		tracker.Restore(start, NewRequest(Fingerprint(i)))
	}
	for i := range b.N {
		tracker.Quarantined(start, NewRequest(Fingerprint(i)))
	}
}

func BenchmarkFingerprintOf(b *testing.B) {
	body := make([]byte, 16<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintOf("acc", "POST", "shop.example/reply/x", body)
	}
}

// Prevents the fatal request from being left out of heartbeats while many upstreams crash at the same time.
func TestRepeatedSuspectsAreSentFirst(t *testing.T) {
	tr := new(Tracker)
	tr.Merge(start, []Report{report(1, 7), report(2, 7)}, nil)
	for c := range CrashID(20) {
		for f := range Fingerprint(64) {
			recordCrash(tr, start, 100+c, 1000*Fingerprint(c+1)+f)
		}
	}
	seen := make(map[Fingerprint]bool)
	for range 7 {
		reports, _ := tr.Reports(start, always)
		n := 0
		crashes := 0
		for _, r := range reports {
			n += len(r.Suspects)
			for _, f := range r.Suspects {
				seen[f.Fingerprint] = true
				if f.Fingerprint == 7 {
					crashes++
				}
			}
		}
		require.Equal(t, maxPerHeartbeat, n)
		require.Equal(t, 2, crashes)
	}
	require.Greater(t, len(seen), 20*64/2, "the others are chosen at random")
}

// Prevents a node that started after the first crashes from sending a request that the others have quarantined.
func TestQuarantineReachesNodesThatKnowSomeCrashes(t *testing.T) {
	tr, restarted := new(Tracker), new(Tracker)
	recordCrash(tr, start, 1, 7)
	recordCrash(tr, start, 2, 7)
	now := start.Add(time.Minute)
	tr.Merge(now, []Report{report(3, 7)}, nil)
	reports, _ := tr.Reports(now, never)
	require.Len(t, restarted.Merge(now, reports, nil), 1)
}

// Prevents endless reports: nodes that have all quarantined a request answer each other's reports of its crashes.
func TestReportsOfAQuarantinedRequestEnd(t *testing.T) {
	trackers := []*Tracker{new(Tracker), new(Tracker), new(Tracker)}
	now := start
	exchange := func() {
		now = now.Add(200 * time.Millisecond)
		for _, from := range trackers {
			reports, cleared := from.Reports(now, always)
			for _, to := range trackers {
				if to != from {
					to.Merge(now, reports, cleared)
				}
			}
		}
	}
	for c := range CrashID(12) {
		recordCrash(trackers[c%3], now, c+1, 7)
		exchange()
	}
	for _, tr := range trackers {
		require.True(t, quarantined(tr, now, 7))
	}
	for range 40 {
		exchange()
	}
	for _, tr := range trackers {
		reports, _ := tr.Reports(now, always)
		require.Empty(t, reports)
	}
}
