package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
)

// Times of the quarantine's objects in the store.
const (
	// usualQuarantineMillis is within what a quarantine is in force on nodes that reach the store alone, unless the
	// settings say so.
	usualQuarantineMillis = 3000
	// reconcileEvery is how often the store is compared with what this node knows.
	reconcileEvery = 200 * time.Millisecond
	// reconcileRank is how much longer than the one before it in the ranks a node waits until it writes a difference,
	// up to mostReconcileRank of them.
	reconcileRank     = 300 * time.Millisecond
	mostReconcileRank = 20
	// reconcileWithin bounds one write, reconcilePause is the pause after one that failed.
	reconcileWithin = time.Second
	reconcilePause  = 2 * time.Second
)

// quarantineSpec is what the store keeps of a quarantined request beside its fingerprint, for operators.
type quarantineSpec struct {
	Crashes int    `json:"crashes"`
	By      string `json:"by"`
}

// applyQuarantines takes changes of the quarantine's objects in. Operators release a request by deleting its object.
func (n *Node) applyQuarantines(changes []sagefollow.Change, _ bool) {
	log := n.Log.Component("quarantine")
	for _, c := range changes {
		f, err := sagequarantine.ParseFingerprint(c.Object.Name)
		if err != nil {
			log.Warn("Object names no request.", "name", c.Object.Name, "revision", c.Object.Revision, "err", err)
			continue
		}
		if c.Deleted {
			n.quarantine.Release(f)
			log.Info("Request released.", "fingerprint", f.String(), "revision", c.Object.Revision)
			continue
		}
		if n.quarantine.Restore(sageclock.Now(), f) {
			log.Info("Request quarantined.", "fingerprint", f.String(), "learned", "store", "revision", c.Object.Revision)
		}
	}
}

// quarantineRank is this node's place among those that write the quarantine's objects; negative while the store does
// not answer it or it leaves.
func (n *Node) quarantineRank() int {
	if f := n.copies[n.Kinds.Quarantines]; n.leaving.Load() || f.Failing() || f.AsOf() == 0 {
		return -1
	}
	return n.mesh.Rank(false)
}

// fillCrashes adds the crashes that other nodes have to know of.
func (n *Node) fillCrashes(h *sagemesh.Heartbeat) {
	h.Crashes, h.Cleared = n.quarantine.Reports(sageclock.Now(), n.mesh.ForwardsReports)
}

// learnCrashes takes in the crashes that another node reports.
func (n *Node) learnCrashes(now sageclock.Instant, h *sagemesh.Heartbeat) {
	for _, e := range n.quarantine.Merge(now, h.Crashes, h.Cleared) {
		n.Log.Component("quarantine").Info("Request quarantined.", "fingerprint", e.Request.String(), "crashes", len(e.Crashes),
			"learned", "node", "from", h.Node)
	}
}

// quarantineKeeper has the store hold what is quarantined, so that it outlasts the nodes and reaches those that no
// other node reaches. Exported fields are set before Run.
type quarantineKeeper struct {
	Self string
	Kind string
	Book *sagequarantine.Tracker
	// Store takes the writes.
	Store Store
	// Rank is this node's place among the live nodes; a negative one keeps it from writing.
	Rank func() int
	Log  sagelog.Logger

	paused sageclock.Instant // until then nothing is written
}

// Run compares the store with the book until ctx ends.
func (k *quarantineKeeper) Run(ctx context.Context) error {
	t := time.NewTicker(reconcileEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			k.reconcile(ctx, sageclock.Now())
		}
	}
}

// reconcile writes the differences that it is this node's turn to write.
func (k *quarantineKeeper) reconcile(ctx context.Context, now sageclock.Instant) {
	k.Book.Sweep(now)
	differences := k.Book.Differences(now)
	rank := k.Rank()
	if len(differences) == 0 || rank < 0 || now < k.paused {
		return
	}
	wait := time.Duration(min(rank, mostReconcileRank)) * reconcileRank
	for _, d := range differences {
		if now.Sub(d.Since) < wait {
			continue
		}
		if err := k.write(ctx, d); err != nil {
			k.Log.Limited(sagelog.KindStateChange, "Quarantine not written.", "fingerprint", d.Request.String(), "quarantined", d.Quarantined, "err", err)
			k.paused = now.Add(reconcilePause)
			return
		}
		k.Log.Info("Quarantine written.", "fingerprint", d.Request.String(), "quarantined", d.Quarantined, "rank", rank)
	}
}

// write makes one write.
func (k *quarantineKeeper) write(ctx context.Context, d sagequarantine.Difference) error {
	ctx, cancel := context.WithTimeout(ctx, reconcileWithin)
	defer cancel()
	name := d.Request.String()
	if !d.Quarantined {
		if err := k.Store.Delete(ctx, k.Kind, name); err != nil {
			return fmt.Errorf("release request: %w", err)
		}
		return nil
	}
	spec, err := json.Marshal(quarantineSpec{Crashes: sagequarantine.DefaultThreshold, By: k.Self})
	if err != nil {
		return fmt.Errorf("encode quarantine: %w", err)
	}
	if err := k.Store.Create(ctx, k.Kind, name, spec); err != nil {
		return fmt.Errorf("quarantine request: %w", err)
	}
	return nil
}
