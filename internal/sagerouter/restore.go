package sagerouter

import (
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageupstream"
)

const (
	// holdDeletedEntry is how long an upstream or an order that was deleted stays deleted although a restored store has
	// it. It covers the leases of upstreams that have stopped, which lapse again.
	holdDeletedEntry = 10 * time.Second
	// holdDeletedShare is the part of its bound for which a data centre that was put back into service stays so
	// although a restored store has it out of service.
	holdDeletedShare = 0.6
)

// restorePolicies returns what stays in force after a restore of the store, by kind.
func (n *Node) restorePolicies() map[string]sagefollow.RestorePolicy {
	closedBound := millis(n.Settings.Bounds.ClosedWithinMillis)
	return map[string]sagefollow.RestorePolicy{
		n.Kinds.Config:    {Outlives: n.configOutlives},
		n.Kinds.Upstreams: {Outlives: n.upstreamOutlives, HoldDeleted: holdDeletedEntry, SameStart: n.sameStart},
		n.Kinds.ClosedDataCentres: {
			Outlives:    isMissing,
			HoldDeleted: time.Duration(holdDeletedShare * float64(closedBound)),
		},
		n.Kinds.Rollouts:    {Outlives: isMissing, HoldDeleted: holdDeletedEntry},
		n.Kinds.Quarantines: {Own: true},
	}
}

func isMissing(_, restored *sagefollow.Object) bool { return restored == nil }

// configOutlives reports whether the known configuration is newer than the restored one.
func (n *Node) configOutlives(known, restored *sagefollow.Object) bool {
	if restored == nil {
		return true
	}
	old, ok, err := n.Decoder.Config(*known)
	if err != nil || !ok {
		return false
	}
	t, _, err := n.Decoder.Config(*restored)
	return err != nil || t.Version < old.Version
}

// upstreamOutlives reports whether the known entry is that of a later start, or of one that leaves. An upstream that the
// restored store lacks registers again, as after a lapse.
func (n *Node) upstreamOutlives(known, restored *sagefollow.Object) bool {
	if restored == nil {
		return false
	}
	old, e, ok := n.decodeEntries(known, restored)
	if !ok {
		return false
	}
	return old.Born > e.Born || old.Start() == e.Start() && old.Draining && !e.Draining
}

func (n *Node) sameStart(deleted, restored *sagefollow.Object) bool {
	old, e, ok := n.decodeEntries(deleted, restored)
	return !ok || old.Start() == e.Start()
}

// decodeEntries decodes two entries of an upstream; ok is false if one of them describes none.
func (n *Node) decodeEntries(a, b *sagefollow.Object) (x, y sageupstream.Entry, ok bool) {
	now := sageclock.Now()
	x, errX := n.Decoder.Upstream(*a, now)
	y, errY := n.Decoder.Upstream(*b, now)
	return x, y, errX == nil && errY == nil
}

// handleRestore has this node's entry written again, once for each era.
func (n *Node) handleRestore(era uint64) {
	for {
		last := n.storeEra.Load()
		if era <= last {
			return
		}
		if n.storeEra.CompareAndSwap(last, era) {
			break
		}
	}
	select {
	case n.restored <- struct{}{}:
	default: // already pending
	}
}
