package sageorigind

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// versionStore is a store in which v2 registers at an instant, beside v1.
type versionStore struct {
	registered sageclock.Instant
	mu         sync.Mutex
	reads      int
	down       bool
}

// copyOf has a node read the store; before is the time until the store has read, after that until its answer arrives.
func (s *versionStore) copyOf(n *testNode, before, after time.Duration) {
	var proof sagefresh.Proof
	proof.RecordRead(virtualNow())
	n.setVersions("v1")
	n.ProvenAt = proof.At
	n.Refresh = func(context.Context) error {
		start := virtualNow()
		s.mu.Lock()
		s.reads++
		s.mu.Unlock()
		time.Sleep(before)
		versions := []string{"v1"}
		if virtualNow() >= s.registered {
			versions = append(versions, "v2")
		}
		time.Sleep(after)
		if s.down {
			return errors.New("store doesn't answer")
		}
		n.setVersions(versions...)
		proof.RecordRead(start)
		return nil
	}
}

// Prevents a node that stood still while a version registered from continuing its streams at the version that it knows: its copy is
// recent, but older than the return.
func TestReturnIsNotAnsweredFromBeforeIt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(s *versionStore, n *testNode)
		goesOn int
	}{
		{"the store answers", func(*versionStore, *testNode) {}, 3},
		{"the store answers the others only", func(_ *versionStore, n *testNode) {
			n.Refresh = func(context.Context) error { return errors.New("refused") }
		}, 0},
		{"the store answers nobody", func(s *versionStore, _ *testNode) { s.down = true }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(6, "v1")
				s := &versionStore{registered: virtualNow().Add(time.Millisecond)}
				for _, n := range f.nodes {
					s.copyOf(n, time.Millisecond, time.Millisecond)
				}
				time.Sleep(2 * time.Millisecond)
				f.nodes[5].setVersions("v1", "v2")
				f.nodes[5].begin(3, v2)
				time.Sleep(450 * time.Millisecond)
				f.nodes[5].down.Store(true)
				tt.change(s, f.nodes[0])
				require.Zero(t, f.nodes[0].joined(t, 20))
				require.GreaterOrEqual(t, f.nodes[0].found(t, 3, v2), tt.goesOn)
			})
		})
	}
}

// Prevents a read of the upstreams that began before a return from answering it, however long the node stood still during the read.
func TestNoOrderOfReadAndReturnJoinsStreams(t *testing.T) {
	const step, end = time.Millisecond, 8
	for read := range end {
		for before := range end {
			for after := range end {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(1, "v1")
					n := f.nodes[0]
					s := &versionStore{registered: virtualNow().Add(3 * step)}
					s.copyOf(n, time.Duration(before)*step, time.Duration(after)*step)
					go func() {
						time.Sleep(time.Duration(read) * step)
						n.prove(t.Context(), virtualNow(), time.Second)
					}()
					time.Sleep(4 * step) // the first event of a stream of v2
					for range end {
						require.Zero(t, n.joined(t, 1), "read begins at %d, is done %d later and arrives after %d", read, before, after)
						time.Sleep(step)
					}
					time.Sleep(time.Second) // until the last read ends
				})
			}
		}
	}
}

// Prevents a node that the store turns away from refusing all callers that return, while others get answers.
func TestOthersProveForNodeThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, "v1")
		s := &versionStore{registered: virtualNow().Add(time.Hour)}
		for _, n := range f.nodes {
			s.copyOf(n, 2*time.Millisecond, 2*time.Millisecond)
		}
		f.nodes[0].Refresh = func(context.Context) error { return errors.New("refused") }
		time.Sleep(time.Second)
		start := time.Now()
		require.Equal(t, sageorigin.Finding{Status: sageorigin.Sole, Origin: v1, Asked: 5, Answered: 5}, f.nodes[0].Find(t.Context(), "r", key(1)))
		require.Less(t, time.Since(start), 10*time.Millisecond)
		s.down = true
		start = time.Now()
		require.Equal(t, sageorigin.Finding{MayFollow: true, Asked: 5, Answered: 5}, f.nodes[0].Find(t.Context(), "r", key(2)))
		require.Less(t, time.Since(start), 20*time.Millisecond, "what can't be known is refused at once")
	})
}

// Prevents a fleet that loses half of its nodes from calling the store for each return. Logs what the proofs cost.
func TestCostOfProofs(t *testing.T) {
	const returns, within = 40, 300 * time.Millisecond
	for _, nodes := range []int{9, 133, 985} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(1, "v1")
				n := f.nodes[0]
				n.FleetSize = func() int { return nodes }
				s := &versionStore{registered: virtualNow().Add(time.Hour)}
				s.copyOf(n, 2*time.Millisecond, 2*time.Millisecond)
				took := make([]time.Duration, returns)
				var callers sync.WaitGroup
				for i := range took {
					callers.Go(func() {
						time.Sleep(time.Duration(i) * within / returns)
						start := time.Now()
						require.Equal(t, sageorigin.Sole, n.Find(t.Context(), "r", key(i)).Status)
						took[i] = time.Since(start)
					})
				}
				callers.Wait()
				slices.Sort(took)
				t.Logf("%d nodes, %d left: %d calls in all, returns go on after %v (median), %v (worst)", nodes, nodes/2+1, s.reads*(nodes/2+1), took[returns/2], took[returns-1])
				require.LessOrEqual(t, s.reads, 2+int(within/n.readInterval()))
				require.LessOrEqual(t, took[returns-1], n.readInterval()+8*time.Millisecond)
			})
		})
	}
}
