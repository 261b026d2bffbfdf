package sagequarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// part returns a part of an account's prompts.
func part(account string, id uint64) Suspect { return NewPart(account, "s", "m", id) }

// crashAt records a crash that happened at a time; crashes with other IDs aren't simultaneous.
func crashAt(tr *Tracker, at sageclock.Instant, c CrashID, suspects ...Suspect) []Entry {
	at = at.Add(time.Duration(c%16) * simultaneous)
	return tr.RecordCrash(at, Crash{ID: c, At: at}, suspects...)
}

func barred(tr *Tracker, now sageclock.Instant, s Suspect) bool {
	return len(tr.Quarantined(now, s)) > 0
}

func TestPartsDifferByEachField(t *testing.T) {
	base := NewPart("acc", "service", "model", 7)
	for name, s := range map[string]Suspect{
		"account": NewPart("other", "service", "model", 7), "service": NewPart("acc", "services", "model", 7), "model": NewPart("acc", "service", "models", 7),
		"part": NewPart("acc", "service", "model", 8), "where the account ends": NewPart("accs", "ervice", "model", 7),
	} {
		require.NotEqual(t, base.Fingerprint, s.Fingerprint, name)
		require.Equal(t, name == "account" || name == "where the account ends" && s.Shared == base.Shared, s.Shared == base.Shared, name)
	}
	require.NotEqual(t, base.Fingerprint, base.Shared)
}

func TestNamesOfSuspects(t *testing.T) {
	for _, s := range []Suspect{NewRequest(10), {Kind: Part, Fingerprint: 11}, {Kind: SharedPart, Fingerprint: 12}} {
		got, err := ParseName(s.Name())
		require.NoError(t, err)
		require.Equal(t, s, got)
	}
	for _, name := range []string{"", "part-", "part-a", "shared-000000000000000a", "part-part-000000000000000a"} {
		_, err := ParseName(name)
		require.ErrorIs(t, err, ErrFingerprint, name)
	}
}

// Prevents requests that share nothing but one part from crashing upstream after upstream.
func TestCrashesUnderOnePartAddUp(t *testing.T) {
	tr := new(Tracker)
	for i := range uint64(3) {
		crashAt(tr, start, CrashID(i+1), NewRequest(Fingerprint(100+i)), part("acc", 20+i), part("acc", 7), part("acc", 30+i))
	}
	require.True(t, barred(tr, start, part("acc", 7)))
	for i := range uint64(3) {
		require.False(t, barred(tr, start, part("acc", 20+i)), "ran beside it")
	}
	require.False(t, barred(tr, start, part("other", 7)), "an account that has not sent it")
	_, quarantined := tr.CountsOf(Part)
	require.Equal(t, 1, quarantined)
}

// Prevents the quarantine of sound parts that fatal requests also hold.
func TestSoundPartsBesideFatalOne(t *testing.T) {
	fatal, sound := part("acc", 7), part("acc", 1)
	t.Run("succeeded since the crash", func(t *testing.T) {
		tr := new(Tracker)
		for i := range CrashID(3) {
			now := start.Add(time.Duration(i) * time.Second)
			tr.RecordSuccess(now.Add(700*time.Millisecond), sound)
			tr.RecordCrash(now.Add(750*time.Millisecond), Crash{ID: i + 1, At: now}, sound, fatal)
		}
		require.True(t, barred(tr, start.Add(3*time.Second), fatal))
		require.False(t, barred(tr, start.Add(3*time.Second), sound))
	})
	t.Run("succeeded before", func(t *testing.T) {
		tr := new(Tracker)
		tr.RecordSuccess(start, sound)
		for i := range CrashID(5) {
			crashAt(tr, start.Add(time.Second), i+1, sound, fatal)
		}
		require.True(t, barred(tr, start.Add(time.Second), fatal))
		require.False(t, barred(tr, start.Add(time.Second), sound))
	})
	t.Run("a node that has just started learns it from others", func(t *testing.T) {
		old, started := new(Tracker), new(Tracker)
		for i := range CrashID(3) {
			crashAt(started, start, i+1, sound)
		}
		now := start.Add(time.Second)
		require.True(t, barred(started, now, sound), "nothing speaks for it here")
		old.RecordSuccess(now.Add(100*time.Millisecond), sound)
		reports, _ := started.Reports(now.Add(200*time.Millisecond), never)
		require.Empty(t, old.Merge(now.Add(200*time.Millisecond), reports, nil))
		_, cleared := old.Reports(now.Add(300*time.Millisecond), never)
		started.Merge(now.Add(300*time.Millisecond), nil, cleared)
		require.False(t, barred(started, now.Add(300*time.Millisecond), sound))
	})
}

// Prevents a sound part from being barred in place of the fatal one that was always beside it so far, on a node that knows
// no success of either. Requests that hold both are refused.
func TestPartsThatExplainTheSameCrashesBarTogether(t *testing.T) {
	sound, fatal := part("acc", 1), part("acc", 2)
	together := func(tr *Tracker) bool { return len(tr.Quarantined(start, sound, fatal, part("acc", 9))) > 0 }
	newTracker := func() *Tracker {
		tr := new(Tracker)
		for i := range CrashID(3) {
			crashAt(tr, start, i+1, sound, fatal, part("acc", 100+uint64(i)))
		}
		require.True(t, together(tr))
		require.False(t, barred(tr, start, sound) || barred(tr, start, fatal), "either may be sound")
		return tr
	}
	t.Run("one succeeds", func(t *testing.T) {
		for _, report := range []func(tr *Tracker){
			func(tr *Tracker) { tr.RecordSuccess(start, sound) },
			func(tr *Tracker) { tr.Merge(start, nil, []Fingerprint{sound.Fingerprint}) },
		} {
			tr := newTracker()
			report(tr)
			require.True(t, barred(tr, start, fatal))
			require.False(t, barred(tr, start, sound))
			require.True(t, together(tr))
		}
	})
	t.Run("another crash under one", func(t *testing.T) {
		tr := newTracker()
		crashAt(tr, start, 4, fatal)
		require.True(t, barred(tr, start, fatal))
		require.False(t, barred(tr, start, sound))
		reports, _ := tr.Reports(start.Add(time.Second), never)
		for _, r := range reports {
			require.False(t, r.Crash == 4 && slices.Contains(r.Suspects, sound), "it did not run there")
		}
	})
	t.Run("all succeed", func(t *testing.T) {
		tr := newTracker()
		tr.RecordSuccess(start, sound)
		tr.RecordSuccess(start, fatal)
		require.False(t, together(tr))
	})
	t.Run("restored from the store", func(t *testing.T) {
		tr, started := newTracker(), new(Tracker)
		d := tr.Differences(start)
		require.Len(t, d, 1)
		require.Len(t, d[0].Companions, 1)
		started.Restore(start, d[0].Suspect, d[0].Companions...)
		require.True(t, together(started))
		require.False(t, barred(started, start, sound) || barred(started, start, fatal))
		reports, _ := tr.Reports(start.Add(time.Second), never)
		started.Merge(start.Add(time.Second), reports, nil)
		require.False(t, barred(started, start, sound) || barred(started, start, fatal), "late reports of the crashes that led to it")
		for i := range CrashID(2) {
			crashAt(started, start.Add(2*time.Second), 4+i, fatal)
		}
		require.True(t, barred(started, start.Add(3*time.Second), fatal))
	})
}

// Prevents a whole request from escaping: it is barred before the parts that it shares with sound requests.
func TestRepeatedRequestIsBarredBeforeItsParts(t *testing.T) {
	tr := new(Tracker)
	for i := range CrashID(3) {
		crashAt(tr, start, i+1, part("acc", 1), NewRequest(9), part("acc", 2))
	}
	require.True(t, quarantined(tr, start, 9))
	require.False(t, barred(tr, start, part("acc", 1)) || barred(tr, start, part("acc", 2)))
}

// Prevents a part that many accounts send from crashing three upstreams for each of them.
func TestCrashesUnderPartOfSeveralAccountsAddUp(t *testing.T) {
	for name, accounts := range map[string][]string{"four accounts": {"a", "b", "c", "d"}, "two accounts in turn": {"a", "b", "a", "b"}} {
		tr := new(Tracker)
		for i, account := range accounts {
			crashAt(tr, start, CrashID(i+1), part(account, 7), part(account, 100+uint64(i)))
		}
		require.True(t, barred(tr, start, part("e", 7)), name)
		_, quarantined := tr.CountsOf(SharedPart)
		require.Equal(t, 1, quarantined, name)
	}
	tr := new(Tracker)
	tr.RecordSuccess(start, part("v", 7))
	for i, account := range []string{"a", "b", "c", "d"} {
		crashAt(tr, start.Add(time.Second), CrashID(i+1), part(account, 7))
	}
	require.False(t, barred(tr, start.Add(time.Second), part("e", 7)), "it succeeds for another account")
}

// Prevents one account from barring a part that another one uses: it names the part in its own fatal requests, and crashes
// upstreams where the other's requests run.
func TestOneAccountCannotBarPartsOfAnother(t *testing.T) {
	tr := new(Tracker)
	victim := part("victim", 7)
	c := CrashID(0)
	for i := range uint64(40) {
		c++
		now := start.Add(time.Duration(c) * time.Second)
		suspects := []Suspect{part("attacker", 100+i), part("attacker", 7)}
		if c%3 == 0 {
			suspects = append(suspects, victim)
		}
		if len(tr.Quarantined(now, suspects[:2]...)) > 0 {
			suspects = []Suspect{part("attacker", 100+i)}
		}
		crashAt(tr, now, c, suspects...)
		if c%2 == 0 {
			tr.RecordSuccess(now.Add(500*time.Millisecond), victim)
		}
		require.False(t, barred(tr, now, victim), "crash %d", c)
	}
	require.False(t, barred(tr, start.Add(time.Minute), part("third", 7)))
}

// Prevents a part that an operator released from being quarantined again by evidence from before the release.
func TestEvidenceFromBeforeReleaseDoesNotCount(t *testing.T) {
	tr, peer := new(Tracker), new(Tracker)
	fatal := part("acc", 7)
	for i := range CrashID(4) {
		crashAt(tr, start, i+1, fatal)
		crashAt(peer, start, i+1, fatal)
	}
	reports, _ := peer.Reports(start.Add(time.Second), never)
	tr.Release(start.Add(time.Second), fatal.Fingerprint)
	require.False(t, barred(tr, start.Add(time.Second), fatal))
	require.Empty(t, tr.Merge(start.Add(1100*time.Millisecond), reports, nil))
	require.Empty(t, tr.RecordCrash(start.Add(1200*time.Millisecond), Crash{ID: 9, At: start.Add(900 * time.Millisecond)}, fatal), "held back")
	own, _ := tr.Reports(start.Add(1200*time.Millisecond), always)
	require.Empty(t, own)
	for i := range CrashID(3) {
		crashAt(tr, start.Add(2*time.Second), 20+i, fatal)
	}
	require.True(t, barred(tr, start.Add(2*time.Second), fatal), "crashes after the release count")
}

// Prevents the quarantine of sound parts when several upstreams lose power at the same moment.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	tr := new(Tracker)
	for i := range CrashID(10) {
		tr.RecordCrash(start.Add(time.Second), Crash{ID: i + 1, At: start.Add(time.Duration(i) * time.Millisecond)}, part("acc", 1))
	}
	require.False(t, barred(tr, start.Add(time.Second), part("acc", 1)))
	crashAt(tr, start.Add(2*time.Second), 20, part("acc", 1))
	crashAt(tr, start.Add(3*time.Second), 21, part("acc", 1))
	require.True(t, barred(tr, start.Add(4*time.Second), part("acc", 1)))
}

// Prevents made-up parts from driving out a part that is quarantined or about to be.
func TestFloodOfPartsKeepsRepeatedSuspects(t *testing.T) {
	tr := new(Tracker)
	fatal, known := part("acc", 7), part("acc", 8)
	for i := range CrashID(3) {
		crashAt(tr, start, i+1, known)
	}
	crashAt(tr, start, 10, fatal)
	crashAt(tr, start, 11, fatal)
	for i := range uint64(3 * maxSuspects) {
		crashAt(tr, start.Add(time.Second), CrashID(100+i), part("flood", 1000+i))
	}
	require.True(t, barred(tr, start, known))
	crashAt(tr, start.Add(2*time.Second), 12, fatal)
	require.True(t, barred(tr, start.Add(2*time.Second), fatal))
	require.LessOrEqual(t, len(tr.suspects), maxSuspects)
	members := 0
	for _, m := range tr.accounts {
		members += len(m)
	}
	require.LessOrEqual(t, members, maxSuspects)
	for i := range uint64(3 * maxSuccesses) {
		tr.RecordSuccess(start, part("flood", i))
	}
	require.LessOrEqual(t, len(tr.successes.current)+len(tr.successes.previous), 2*maxSuccesses+2)
}

// trackerWay is the way that [Tracker] takes, in the model.
type trackerWay struct{ tr Tracker }

func modelParts(ids []int) []Suspect {
	var out []Suspect
	for _, id := range ids {
		out = append(out, part("acc", uint64(id)))
	}
	return out
}

func (w *trackerWay) crash(now time.Duration, id int, running []*wayRequest) {
	var suspects []Suspect
	for _, r := range running {
		if r.begun+BeginningDuration < now-wayCrashDelay {
			continue
		}
		suspects = append(suspects, modelParts(r.parts)...)
	}
	w.tr.RecordCrash(sageclock.Instant(now), Crash{ID: CrashID(id), At: sageclock.Instant(now - wayCrashDelay)}, suspects...)
}

func (w *trackerWay) success(now time.Duration, parts []int) {
	w.tr.RecordSuccess(sageclock.Instant(now), modelParts(parts)...)
}

func (w *trackerWay) refuses(now time.Duration, parts []int) bool {
	return len(w.tr.Quarantined(sageclock.Instant(now), modelParts(parts)...)) > 0
}

// Fatal requests share one part and nothing else, beside sound ones that share all else, while upstreams also crash for
// other reasons. Prevents late sends of the former and the refusal of the latter.
func TestFatalPartIsFoundBesideOtherCrashes(t *testing.T) {
	for _, s := range []wayScenario{{14, 1.5, 0}, {14, 5, 0}, {14, 5, 0.5}, {14, 5, 2}, {14, 0, 0.5}, {100, 5, 0.5}} {
		var sound, refused, sent, begun, ended int
		for seed := range uint64(6) {
			m := s.play(seed, new(trackerWay), true)
			require.LessOrEqual(t, m.late, maxLateSends, "%+v", s)
			sound, refused, sent, begun, ended = sound+m.sound, refused+m.refused, sent+m.settledSent, begun+m.settledBegun, ended+len(m.fatalCrashes)
		}
		t.Logf("%+v: %d upstreams ended, %d of %d sound requests refused, %d of %d begun", s, ended, refused, sound, begun, sent)
		require.LessOrEqual(t, refused*1000, sound, "%+v", s)
		require.GreaterOrEqual(t, begun*10, sent*9, "%+v", s)
	}
}

// Prevents a node that started after the crashes from quarantining a released request again: it knows the quarantine from
// the store alone, and gets the reports of the crashes after the release.
func TestReportsAfterReleaseDoNotCountOnStartedNode(t *testing.T) {
	started, peer := new(Tracker), new(Tracker)
	for c := range CrashID(4) {
		recordCrash(peer, start, c+1, 7)
	}
	reports, _ := peer.Reports(start.Add(time.Second), never)
	require.NotEmpty(t, reports)
	started.Restore(start, NewRequest(7))
	started.Release(start.Add(500*time.Millisecond), 7)
	require.Empty(t, started.Merge(start.Add(1100*time.Millisecond), reports, nil))
	require.False(t, quarantined(started, start.Add(1100*time.Millisecond), 7))
}

// Prevents a fatal request from being sent again once a part that ran beside it is quarantined in its place.
func TestRequestStaysBarredBesidePartThatExplainsMore(t *testing.T) {
	beside := part("acc", 1)
	newTracker := func(t *testing.T) *Tracker {
		tr := new(Tracker)
		for i := range CrashID(3) {
			crashAt(tr, start, i+1, NewRequest(9), beside)
		}
		require.True(t, quarantined(tr, start, 9))
		require.False(t, barred(tr, start, beside))
		tr.Restore(start, NewRequest(9)) // written by a node
		crashAt(tr, start, 4, beside)
		require.True(t, barred(tr, start, beside))
		return tr
	}
	t.Run("the part isn't in the request", func(t *testing.T) {
		require.True(t, quarantined(newTracker(t), start, 9))
	})
	t.Run("the part succeeds", func(t *testing.T) {
		tr := newTracker(t)
		tr.RecordSuccess(start.Add(time.Second), beside)
		require.False(t, barred(tr, start.Add(time.Second), beside))
		require.True(t, quarantined(tr, start.Add(time.Second), 9))
	})
	t.Run("no node ends it in the store", func(t *testing.T) {
		for _, d := range newTracker(t).Differences(start) {
			require.True(t, d.Quarantined, d.Suspect.Name())
		}
	})
}
