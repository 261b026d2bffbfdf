package sagefollow

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Prevents a node that has no others from taking its copy for fresh without a call, or from waiting for a store that doesn't
// answer.
func TestRefreshProvesTheCopy(t *testing.T) {
	s := newRemoteStore()
	inVirtualTime(t, 1, s, func(t *testing.T, f *remoteFleet) {
		time.Sleep(time.Second)
		called := virtualNow()
		s.put(obj("b", 2))
		require.NoError(t, f.nodes[0].Refresh(t.Context()))
		require.NotZero(t, f.nodes[0].revisionOf("b"))
		require.LessOrEqual(t, f.nodes[0].Proof.Age(virtualNow()), virtualNow().Sub(called))
		s.set(func(s *remoteStore) { s.stalled = true })
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		called = virtualNow()
		require.ErrorIs(t, f.nodes[0].Refresh(ctx), context.DeadlineExceeded)
		require.Equal(t, 300*time.Millisecond, virtualNow().Sub(called))
		require.Greater(t, f.nodes[0].Proof.Age(called), 2*time.Second)
		s.set(func(s *remoteStore) { s.stalled = false })
	})
}
