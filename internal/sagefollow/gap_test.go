package sagefollow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const testMaxGap = 1600 * time.Millisecond

// countGaps counts the gaps of each node's copy, and requires that a gap is reported before the copy counts as fresh again.
func countGaps(t *testing.T, f *remoteFleet) []int {
	gaps := make([]int, len(f.nodes))
	for i, x := range f.nodes {
		x.MaxGap = func() time.Duration { return testMaxGap }
		x.OnGap = func() {
			require.Greater(t, x.Proof.Age(virtualNow()), testMaxGap)
			x.mu.Lock()
			defer x.mu.Unlock()
			gaps[i]++
		}
	}
	return gaps
}

// Prevents an object that was created and deleted while a node was out of step from being taken for one that never was.
func TestCopyThatMissedChangesReportsGap(t *testing.T) {
	for _, tt := range []struct {
		name string
		cut  func(s *remoteStore, f *remoteFleet)
		want bool
	}{
		{"in step", func(*remoteStore, *remoteFleet) {}, false},
		{"store doesn't answer for six seconds", func(s *remoteStore, _ *remoteFleet) { s.set(func(s *remoteStore) { s.stalled = true }) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newRemoteStore()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(10 * time.Second)
				defer cancel()
				f := newRemoteFleet(s, 6, nil)
				gaps := countGaps(t, f)
				f.run(ctx)
				time.Sleep(3 * time.Second)
				tt.cut(s, f)
				s.put(obj("b", 2))
				time.Sleep(5 * time.Second)
				s.put(del("b", 3))
				time.Sleep(time.Second)
				require.Equal(t, make([]int, 6), gaps)
				s.set(func(s *remoteStore) { s.stalled = false })
				time.Sleep(5 * time.Second)
				for i, x := range f.nodes {
					require.Equal(t, tt.want, x.revisionOf("b") == 0 || gaps[i] > 0, "node %d", i)
				}
			})
		})
	}
}

// Prevents copies that are in step from reporting gaps, for which their nodes would have to ask others.
func TestCopiesInStepReportNoGap(t *testing.T) {
	for _, n := range []int{1, 2, 6, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newRemoteStore()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(10 * time.Second)
				defer cancel()
				f := newRemoteFleet(s, n, nil)
				gaps := countGaps(t, f)
				f.run(ctx)
				for i := range 60 {
					time.Sleep(time.Second)
					if i%7 == 0 {
						s.put(obj("x", uint64(i+2)))
					}
				}
				require.Equal(t, make([]int, n), gaps)
			})
		})
	}
}
