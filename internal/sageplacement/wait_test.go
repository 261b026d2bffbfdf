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
