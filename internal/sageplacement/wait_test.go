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

// elsewhere is a load service whose units lie with other routers until they have been asked for.
type elsewhere struct {
	asked time.Time
	// after is how long the grant takes; load is in flight at each upstream.
	after time.Duration
	load  float64
}

func (l *elsewhere) free(now time.Time) bool {
	return !l.asked.IsZero() && !now.Before(l.asked.Add(l.after))
}

func (l *elsewhere) View(name string) sageload.View {
	v := sageload.View{Upstream: name, InFlight: l.load, Cap: 4, Known: true}
	if l.free(time.Now()) {
		v.Free = 1
	}
	return v
}

func (l *elsewhere) Acquire(_ string, now time.Time) bool {
	if l.asked.IsZero() {
		l.asked = now
	}
	return l.free(now)
}

func (l *elsewhere) Release(string, time.Time, bool) {}

// A chat's router was replaced, and the chat comes by another one, which holds no unit of any
// engine yet. The engines idle. The caller was refused "at its bound" while nothing was in flight;
// seen when traces were replayed over allotments. It must wait for the grant instead.
func TestWaitsForUnitsOfIdleUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := testService()
		l := &elsewhere{after: 300 * time.Millisecond}
		s.Load = l
		start := time.Now()
		p, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
		require.Nil(t, ref)
		assert.NotEmpty(t, p.Upstream)
		assert.Less(t, time.Since(start), l.after+2*grantPoll)
	})
}

// The same while every engine is at its cap: no grant can help, so the refusal comes at once and
// says when to come back.
func TestFullUpstreamsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := testService()
		s.Load = &elsewhere{after: time.Hour, load: 4}
		start := time.Now()
		_, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.NotRun, ref.Outcome)
		assert.True(t, ref.RetryAt.After(start))
		assert.Zero(t, time.Since(start))
	})
}

// No grant comes: the home is gone. The request is given up after grantWait, not at its deadline.
func TestWaitForUnitsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := testService()
		s.Load = &elsewhere{after: time.Hour}
		start := time.Now()
		_, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.ReasonOverloaded, ref.Reason)
		assert.LessOrEqual(t, time.Since(start), grantWait+grantPoll)
	})
}

// partly is a load service where this node lacks units of one upstream until the grant comes.
type partly struct {
	LocalLoad
	lacks string
	grant time.Time
	asks  int
}

func (l *partly) lacking(name string) bool {
	return name == l.lacks && (l.grant.IsZero() || time.Now().Before(l.grant))
}

func (l *partly) View(name string) sageload.View {
	v := l.LocalLoad.View(name)
	if l.lacking(name) {
		v.Free = 0
	}
	return v
}

func (l *partly) Acquire(name string, now time.Time) bool {
	if l.lacking(name) {
		l.asks++
		return false
	}
	return l.LocalLoad.Acquire(name, now)
}

// Story: a chat comes by a router that holds no unit of the chat's engine but some of others. The chat
// went elsewhere, its whole history was read again, and as the router never tried the engine it never
// asked for units either, so this happened with each of the chat's requests.
func TestWaitsForUnitOfWarmUpstream(t *testing.T) {
	tests := []struct {
		name    string
		after   time.Duration // until the grant; 0 for never
		left    time.Duration // until the request's deadline
		warm    bool
		waiting time.Duration
	}{
		{"grant in time", 30 * time.Millisecond, time.Minute, true, 30 * time.Millisecond},
		{"no grant", 0, time.Minute, false, preferWait},
		{"in a hurry", 30 * time.Millisecond, 100 * time.Millisecond, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, c, _ := testService()
				p, _ := s.Pick(context.Background(), chat("a", "m", "x"), nil)
				home := p.Upstream
				p.Release(nil)
				l := &partly{LocalLoad: LocalLoad{Config: c}, lacks: home}
				s.Load = l
				time.Sleep(refreshEvery)
				start := time.Now()
				if tt.after > 0 {
					l.grant = start.Add(tt.after)
				}
				r := chat("a", "m", "x")
				r.Deadline = start.Add(tt.left)
				p, ref := s.Pick(context.Background(), r, nil)
				require.Nil(t, ref)
				assert.Equal(t, tt.warm, p.Upstream == home)
				assert.LessOrEqual(t, time.Since(start), tt.waiting+2*grantPoll)
				assert.Positive(t, l.asks, "the load service hears of the wish")
			})
		})
	}
}
