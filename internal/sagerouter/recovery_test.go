package sagerouter

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// recoveringNode is a node that survives, or starts, when others are lost.
type recoveringNode struct {
	*snapshotRecovery
	mu       sync.Mutex
	first    bool
	lists    int
	cut      bool
	restored int // times that the record was sent to its holders
}

func (n *recoveringNode) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *recoveringNode) counts() (lists, restored int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lists, n.restored
}

// cuttableStore is a store that doesn't answer a node which is cut off.
type cuttableStore struct {
	*snapshotStore
	node *recoveringNode
}

func (s *cuttableStore) List(ctx context.Context, kind, after string) (sagefollow.Page, error) {
	s.node.mu.Lock()
	s.node.lists++
	cut := s.node.cut
	s.node.mu.Unlock()
	if cut {
		return sagefollow.Page{}, errNoAnswer
	}
	return s.snapshotStore.List(ctx, kind, after)
}

// runRecovery runs nodes beside a store that holds a record of a node that was lost.
func runRecovery(t *testing.T, nodes ...*recoveringNode) *snapshotStore {
	t.Helper()
	store := new(snapshotStore)
	now := func() sageclock.Instant { return sageclock.Instant(time.Now().UnixNano()) }
	open := []sageorigin.Record{{Key: sageorigin.KeyOf("a", "1"), Origin: sageorigin.Origin{Service: "s", Version: "v1"}, Until: now().Add(time.Hour)}}
	keeper := newSnapshotKeeper(store, "lost", &open)
	keeper.Now = now
	require.NoError(t, keeper.save(t.Context()))
	for _, n := range nodes {
		n.snapshotRecovery = &snapshotRecovery{
			Name: "survivor", Store: &cuttableStore{store, n}, Now: now,
			Recovers: func() bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.first
			},
			Restore: func([]sageorigin.Record) { n.set(func() { n.restored++ }) },
		}
		go func() { _ = n.Run(t.Context()) }()
	}
	return store
}

// pause advances the virtual time.
func pause(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Prevents streams of lost nodes from being refused because the first node by rank has survived and doesn't start.
func TestSurvivorRecoversRecordsOfLostNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &recoveringNode{}
		runRecovery(t, n)
		pause(2 * sageorigin.Window)
		lists, _ := n.counts()
		require.Zero(t, lists)
		n.set(func() { n.first = true })
		pause(2 * sageorigin.Window)
		lists, _ = n.counts()
		require.Zero(t, lists, "nothing was lost while callers may return")

		n.nodeLost()
		pause(restoreDelays[0] + recoveryCheck)
		lists, restored := n.counts()
		require.Equal(t, [2]int{1, 1}, [2]int{lists, restored})
		pause(sageorigin.Window)
		lists, restored = n.counts()
		require.Equal(t, [2]int{1, len(restoreDelays)}, [2]int{lists, restored})

		n.nodeJoined()
		pause(restoreDelays[0] + recoveryCheck)
		lists, restored = n.counts()
		require.Equal(t, [2]int{1, len(restoreDelays) + 1}, [2]int{lists, restored}, "the node that joined may be a holder")
	})
}

// Prevents records from staying in the store because the node that would recover them can't reach it, or is lost as well.
func TestRecoveryMovesWithTheRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &recoveringNode{first: true, cut: true}, &recoveringNode{}
		runRecovery(t, first, second)
		pause(2 * sageorigin.Window)
		first.nodeLost()
		second.nodeLost()
		pause(sageorigin.Window / 2)
		lists, restored := first.counts()
		require.Zero(t, restored)
		require.Greater(t, lists, 1, "a call that failed is repeated")
		first.set(func() { first.first = false })
		second.set(func() { second.first = true })
		pause(2 * recoveryCheck)
		_, restored = second.counts()
		require.Equal(t, 1, restored)
	})
}

// Prevents a read of the store that fails, or that others are lost during, from counting as a read of what they saved.
func TestLossIsReadAfterItHappened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &recoveringNode{first: true}
		runRecovery(t, n)
		pause(sageorigin.Window)
		before, _ := n.counts()
		for range 3 {
			n.nodeLost()
			pause(sageorigin.Window / 2)
		}
		lists, _ := n.counts()
		require.Equal(t, before+3, lists)
		n.set(func() { n.cut = true })
		n.nodeLost()
		pause(time.Second)
		n.set(func() { n.cut = false })
		_, restored := n.counts()
		pause(snapshotRetry + recoveryCheck)
		_, after := n.counts()
		require.Equal(t, restored+1, after)
	})
}
