package sageplacement

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sagebackoff"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagewire"
)

func refusedFor(d time.Duration) *sagedispatch.Result {
	return &sagedispatch.Result{Outcome: sagewire.NotRun, Reason: sagewire.ReasonUpstreamRefused, RetryAt: time.Now().Add(d)}
}

// refuse places chats until every upstream in pauses was picked, and releases each with a refusal for that time.
func refuse(t *testing.T, s *Service, pauses map[string]time.Duration) {
	t.Helper()
	var tried []string
	for {
		p, ref := s.Pick(context.Background(), chat("a", "m", "x"), tried)
		if ref != nil {
			return
		}
		tried = append(tried, p.Upstream)
		if d, ok := pauses[p.Upstream]; ok {
			p.Release(refusedFor(d))
		} else {
			p.Release(&sagedispatch.Result{Outcome: sagewire.Complete})
		}
	}
}

// An upstream refused a request and said when it wants the next one. It must get none before, neither chats nor calls
// with another preference, and the refusal must not outlive its end.
func TestUpstreamGetsNothingBeforeRetryAfter(t *testing.T) {
	s, _, _ := testService()
	refuse(t, s, map[string]time.Duration{"d1": time.Hour})
	require.Equal(t, nameSet("d2", "l1"), pickedUpstreams(t, s, "a", "m"))

	s, _, _ = testService()
	refuse(t, s, map[string]time.Duration{"d1": time.Nanosecond})
	time.Sleep(time.Millisecond)
	require.Equal(t, nameSet("d1", "d2", "l1"), pickedUpstreams(t, s, "a", "m"))
}

// Applications report no boot id in advance, but may name one in the refusal. Their pause must hold nevertheless.
func TestPauseOfUpstreamWithoutKnownBoot(t *testing.T) {
	s, _, _ := testService()
	p, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Nil(t, ref)
	res := refusedFor(time.Hour)
	res.BootID = "boot"
	p.Release(res)
	require.NotContains(t, pickedUpstreams(t, s, "a", "m"), p.Upstream)
}

// An upstream that refuses requests at once has the least load. Others must be preferred to it, but it must be asked if no
// other is left.
func TestDecliningUpstreamIsAvoided(t *testing.T) {
	s, _, _ := testService()
	p, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Nil(t, ref)
	declining := p.Upstream
	p.Release(&sagedispatch.Result{Outcome: sagewire.NotRun, Reason: sagewire.ReasonUpstreamRefused})
	for _, g := range s.groups {
		boot := upstreamBoot{name: declining}
		require.NotEqual(t, sagebackoff.Accepting, g.declines.State(sageclock.Now(), boot))
		g.declines.RecordDecline(sageclock.Now().Add(time.Hour), boot) // keeps the back-off for the whole test
	}
	var others []string
	for range 2 {
		p, ref = s.Pick(context.Background(), chat("a", "m", "x"), others)
		require.Nil(t, ref)
		require.NotEqual(t, declining, p.Upstream)
		others = append(others, p.Upstream)
		p.Release(&sagedispatch.Result{})
	}
	p, ref = s.Pick(context.Background(), chat("a", "m", "x"), others)
	require.Nil(t, ref)
	require.Equal(t, declining, p.Upstream)
	p.Release(&sagedispatch.Result{Outcome: sagewire.Complete})
	p, ref = s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Nil(t, ref)
	require.Equal(t, declining, p.Upstream, "accepted again, so its place in the order counts")
}

// All upstreams asked for a pause. Callers must be refused at once and learn when the first one ends.
func TestRefusedUntilFirstUpstreamWantsRequests(t *testing.T) {
	s, _, _ := testService()
	refuse(t, s, map[string]time.Duration{"d1": time.Hour, "d2": time.Minute, "l1": time.Hour})
	p, ref := s.Pick(context.Background(), chat("a", "m", "y"), nil)
	require.Nil(t, p)
	require.Equal(t, sagewire.ReasonOverloaded, ref.Reason)
	require.Equal(t, sagewire.NotRun, ref.Outcome)
	require.Greater(t, time.Until(ref.RetryAt), 50*time.Second)
	require.Less(t, time.Until(ref.RetryAt), time.Minute+minRetryAfter)
}
