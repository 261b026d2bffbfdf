package sageplacement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageload"
	"sagestand.example/sagestand/pkg/sagewire"
)

// lateGrantLoad is a load service whose units become free some time after the first attempt to acquire one.
type lateGrantLoad struct {
	requestedAt time.Time
	// grantDelay is the time until the grant arrives; load is the number of requests in flight at each upstream.
	grantDelay time.Duration
	load       float64
}

func (l *lateGrantLoad) free(now time.Time) bool {
	return !l.requestedAt.IsZero() && !now.Before(l.requestedAt.Add(l.grantDelay))
}

func (l *lateGrantLoad) View(name string) sageload.View {
	v := sageload.View{Upstream: name, InFlight: l.load, Cap: 4, Known: true}
	if l.free(time.Now()) {
		v.Free = 1
	}
	return v
}

func (l *lateGrantLoad) Acquire(_ string, now time.Time) bool {
	if l.requestedAt.IsZero() {
		l.requestedAt = now
	}
	return l.free(now)
}

func (l *lateGrantLoad) Release(string, time.Time, bool) {}

// Prevents refusing a request as overloaded while the engines are idle: after a router was replaced, its chats
// arrive at a router that has no units yet. The request must wait for the grant.
func TestWaitsForUnitsOfIdleUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := testService()
		l := &lateGrantLoad{grantDelay: 300 * time.Millisecond}
		s.Load = l
		start := time.Now()
		p, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
		require.Nil(t, ref)
		assert.NotEmpty(t, p.Upstream)
		assert.Less(t, time.Since(start), l.grantDelay+2*grantPollInterval)
	})
}

// If every engine is at its cap, no grant can help, so the request must be refused immediately with a retry time.
func TestFullUpstreamsAreRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := testService()
		s.Load = &lateGrantLoad{grantDelay: time.Hour, load: 4}
		start := time.Now()
		_, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.NotRun, ref.Outcome)
		assert.True(t, ref.RetryAt.After(start))
		assert.Zero(t, time.Since(start))
	})
}

// If no grant arrives because the coordinator is gone, the request must be refused after maxGrantWait, before its
// deadline.
func TestWaitForUnitsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := testService()
		s.Load = &lateGrantLoad{grantDelay: time.Hour}
		start := time.Now()
		_, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.ReasonOverloaded, ref.Reason)
		assert.LessOrEqual(t, time.Since(start), maxGrantWait+grantPollInterval)
	})
}

// partialLoad is a load service in which this node has no unit of one upstream until the grant arrives.
type partialLoad struct {
	LocalLoad
	withoutUnits string
	grantAt      time.Time
	attempts     int
}

func (l *partialLoad) lacking(name string) bool {
	return name == l.withoutUnits && (l.grantAt.IsZero() || time.Now().Before(l.grantAt))
}

func (l *partialLoad) View(name string) sageload.View {
	v := l.LocalLoad.View(name)
	if l.lacking(name) {
		v.Free = 0
	}
	return v
}

func (l *partialLoad) Acquire(name string, now time.Time) bool {
	if l.lacking(name) {
		l.attempts++
		return false
	}
	return l.LocalLoad.Acquire(name, now)
}

// Prevents placing every request of a chat away from its cached prefix: if a router has units of other engines
// only, and never tries the chat's engine, it never requests units of it, and each request prefills the whole
// history again.
func TestWaitsForUnitOfWarmUpstream(t *testing.T) {
	tests := []struct {
		name      string
		after     time.Duration // until the grant; 0 for never
		timeLeft  time.Duration // until the request's deadline
		preferred bool
		waiting   time.Duration
	}{
		{"grant in time", 30 * time.Millisecond, time.Minute, true, 30 * time.Millisecond},
		{"no grant", 0, time.Minute, false, maxPreferredWait},
		{"deadline too near", 30 * time.Millisecond, 100 * time.Millisecond, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, c, _ := testService()
				p, _ := s.Pick(context.Background(), chat("a", "m", "x"), nil)
				preferred := p.Upstream
				p.Release(nil)
				l := &partialLoad{LocalLoad: LocalLoad{Config: c}, withoutUnits: preferred}
				s.Load = l
				time.Sleep(maxLoadAge)
				start := time.Now()
				if tt.after > 0 {
					l.grantAt = start.Add(tt.after)
				}
				r := chat("a", "m", "x")
				r.Deadline = start.Add(tt.timeLeft)
				p, ref := s.Pick(context.Background(), r, nil)
				require.Nil(t, ref)
				assert.Equal(t, tt.preferred, p.Upstream == preferred)
				assert.LessOrEqual(t, time.Since(start), tt.waiting+2*grantPollInterval)
				assert.Positive(t, l.attempts, "a unit must have been requested from the load service")
			})
		})
	}
}
