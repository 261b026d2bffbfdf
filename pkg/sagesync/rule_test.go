package sagesync

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sagestand.example/sagestand/pkg/sagewire"
)

func TestJudge(t *testing.T) {
	now := start.Add(time.Hour)
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	fresh := Status{Revision: 5, Observed: 5, ConfirmedAt: ago(2)}
	old := Status{Revision: 5, Observed: 5, ConfirmedAt: ago(60)}
	met := Status{Revision: 5, Observed: 5, ConfirmedAt: ago(60), QuorumAt: ago(1)}
	lagging := Status{Revision: 5, Observed: 6, ConfirmedAt: ago(2), BehindSince: ago(1)}
	behind := Status{Revision: 5, Observed: 6, ConfirmedAt: ago(2), BehindSince: ago(4)}
	ways := []IsolationPolicy{IsolatedServe, IsolatedIdempotent, IsolatedFence, IsolatedQuorum}
	for _, c := range []struct {
		name   string
		s      Status
		want   [4]ServiceLevel
		reason sagewire.Reason
	}{
		{"fresh", fresh, [4]ServiceLevel{ServeAll, ServeAll, ServeAll, ServeAll}, ""},
		{"old", old, [4]ServiceLevel{ServeAll, ServeIdempotent, ServeNothing, ServeNothing}, sagewire.ReasonStale},
		{"old, contact to most", met, [4]ServiceLevel{ServeAll, ServeIdempotent, ServeNothing, ServeAll}, sagewire.ReasonStale},
		{"just heard of a newer one", lagging, [4]ServiceLevel{ServeAll, ServeAll, ServeAll, ServeAll}, ""},
		{"heard of a newer one", behind, [4]ServiceLevel{}, sagewire.ReasonStale},
		{"none", Status{Observed: 3, ConfirmedAt: now, QuorumAt: now}, [4]ServiceLevel{}, sagewire.ReasonNoConfig},
	} {
		for i, way := range ways {
			r := Rule{Isolated: way, MaxEvidenceAge: DefaultMaxEvidenceAge, CatchUpTimeout: DefaultCatchUpTimeout}
			v := r.Evaluate(now, c.s)
			name := fmt.Sprintf("%s, %s", c.name, way)
			assert.Equal(t, c.want[i], v.Level, name)
			if v.Level == ServeAll {
				assert.Nil(t, v.Refusal, name)
				continue
			}
			assert.Equal(t, c.reason, v.Refusal.Reason, name)
			assert.Equal(t, sagewire.NotRun, v.Refusal.Outcome, name)
			assert.True(t, v.Refusal.RetryAt.After(now), name)
		}
	}
	q := Rule{Isolated: IsolatedQuorum, MaxEvidenceAge: DefaultMaxEvidenceAge, CatchUpTimeout: DefaultCatchUpTimeout}
	assert.True(t, q.MayAccept(now, met))
	assert.False(t, q.MayAccept(now, fresh), "no contact to most of the roster")
	assert.True(t, Rule{Isolated: IsolatedFence, MaxEvidenceAge: time.Second}.MayAccept(now, fresh))
}

// Two sides of a partition must not both count as most of the roster.
func TestQuorumAt(t *testing.T) {
	now := start.Add(time.Hour)
	var never time.Time
	old := now.Add(-time.Minute)
	for _, c := range []struct {
		name  string
		heard []time.Time
		want  time.Time
	}{
		{"no roster", nil, now},
		{"itself only", []time.Time{now}, now},
		{"one of two", []time.Time{now, never}, never},
		{"both of two", []time.Time{now, old}, old},
		{"one half of four", []time.Time{now, now, never, never}, never},
		{"three of four", []time.Time{now, never, old, now}, old},
		{"three of five", []time.Time{now, now, now, never, never}, now},
		{"two of five", []time.Time{now, never, now, never, old}, old},
	} {
		assert.Equal(t, c.want, QuorumAt(now, c.heard), c.name)
	}
}

func TestRuleCheck(t *testing.T) {
	assert.NoError(t, Rule{Isolated: IsolatedServe, MaxEvidenceAge: 1, CatchUpTimeout: 1}.Check())
	for _, bad := range []Rule{{}, {Isolated: "wait", MaxEvidenceAge: 1, CatchUpTimeout: 1}, {Isolated: IsolatedServe, CatchUpTimeout: 1}, {Isolated: IsolatedServe, MaxEvidenceAge: 1}} {
		assert.ErrorIs(t, bad.Check(), ErrBadRule)
	}
}

// The store's limit on calls depends on there being few watchers, and freshness on there being some,
// whoever leaves.
func TestWatchers(t *testing.T) {
	var live []string
	for i := range 45 {
		live = append(live, fmt.Sprintf("vm-%d", i))
	}
	w := Watchers(live, 2)
	assert.Len(t, w, 2)
	count := 0
	for _, n := range live {
		if IsWatcher(n, live, 2) {
			assert.Contains(t, w, n)
			count++
		}
	}
	assert.Equal(t, 2, count)
	for _, gone := range live {
		var rest []string
		for _, n := range live {
			if n != gone {
				rest = append(rest, n)
			}
		}
		kept := 0
		for _, n := range Watchers(rest, 2) {
			if n == w[0] || n == w[1] {
				kept++
			}
		}
		assert.GreaterOrEqual(t, kept, 1, "at most one watch moves when %s leaves", gone)
	}
	assert.True(t, IsWatcher("alone", nil, 2), "a node that knows of nobody watches itself")
	assert.Len(t, Watchers([]string{"a"}, 2), 1)
}
