package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
)

// Times of the reconciliation with the store.
const (
	// defaultQuarantineMillis is the time within which a quarantine takes effect on nodes that reach the store but no
	// other node, unless the settings give one.
	defaultQuarantineMillis = 3000
	// reconcileInterval is how often the quarantines in the store are compared with those of this node.
	reconcileInterval = 200 * time.Millisecond
	// reconcileRankDelay is the delay per rank before a node writes a difference, so that normally only the node of
	// the lowest rank writes. It doesn't grow above maxReconcileRank.
	reconcileRankDelay = 300 * time.Millisecond
	maxReconcileRank   = 20
	// unlabelledRanks is added to the rank of a node that can't describe a suspect, so that one which can writes first.
	unlabelledRanks = 2
	// firstLeavingRank is added to the ranks of nodes that leave, which are spread over leavingRanks.
	firstLeavingRank = 2
	leavingRanks     = 6
	// reconcileTimeout limits one write. After a failed one nothing is written for reconcileRetryDelay.
	reconcileTimeout    = time.Second
	reconcileRetryDelay = 2 * time.Second
)

// quarantineSpec is the content of a quarantine object, for operators. The object has the name of the suspect.
type quarantineSpec struct {
	Crashes int    `json:"crashes"`
	By      string `json:"by"`
	// Suspect describes the suspect; empty if the node that wrote the object never had it in a request.
	Suspect string `json:"suspect,omitempty"`
	// With are the names of other parts. Only requests that hold them too are refused.
	With []string `json:"with,omitempty"`
}

// storedQuarantine is a decoded quarantine object.
type storedQuarantine struct {
	sagequarantine.Suspect
	Companions []sagequarantine.Suspect
	// By is the node that wrote it.
	By string
}

// decodeQuarantine decodes a quarantine object. An unreadable content doesn't end the quarantine of what the name says.
func decodeQuarantine(o *sagefollow.Object) (q storedQuarantine, err error) {
	if q.Suspect, err = sagequarantine.ParseName(o.Name); err != nil {
		return q, fmt.Errorf("quarantine object: %w", err)
	}
	var spec quarantineSpec
	if json.Unmarshal(o.Spec, &spec) != nil {
		return q, nil
	}
	q.Label, q.By = spec.Suspect, spec.By
	for _, name := range spec.With {
		if c, err := sagequarantine.ParseName(name); err == nil && c.Kind == sagequarantine.Part {
			q.Companions = append(q.Companions, c)
		}
	}
	return q, nil
}

// applyQuarantines applies changes of the quarantine objects. Operators release a suspect by deleting its object.
func (n *Node) applyQuarantines(changes []sagefollow.Change, afterOutage bool) {
	log, now, started := n.Log.Component("quarantine"), sageclock.Now(), 0
	if first := !n.quarantinesListed; first || afterOutage {
		n.quarantinesListed = true
		n.quarantine.RecordListing(now)
	}
	for _, c := range changes {
		s, err := decodeQuarantine(&c.Object)
		if err != nil {
			log.Warn("Quarantine object's name is not that of a suspect.", "name", c.Object.Name, "revision", c.Object.Revision, "err", err)
			continue
		}
		if c.Lost || c.Revived {
			n.quarantine.RecordStored(s.Suspect, c.Revived)
			log.Info("Restored store differs.", "suspect", s.Name(), "stored", c.Revived, "revision", c.Object.Revision)
			continue
		}
		if c.Deleted {
			n.quarantine.Release(now, s.Fingerprint)
			log.Info("Released.", "suspect", s.Name(), "revision", c.Object.Revision)
			continue
		}
		if s.By == n.Settings.Node && n.quarantine.ReleasedSinceWrite(s.Fingerprint) {
			// An operator released the suspect while this node wrote it; the reconciler deletes the object.
			n.quarantine.RecordStored(s.Suspect, true)
			log.Info("Quarantine crossed its release.", "suspect", s.Name(), "revision", c.Object.Revision)
			continue
		}
		if n.quarantine.Restore(now, s.Suspect, s.Companions...) {
			started++
			log.Info("Quarantined.", "suspect", s.Name(), "is", s.Label, "with", strings.Join(sagequarantine.Names(s.Companions), ","), "learned", "store", "revision", c.Object.Revision)
		}
	}
	n.relay.CancelQuarantined(started)
}

// quarantineRank returns this node's rank among those that write quarantine objects. It is negative while the
// store does not answer this node.
func (n *Node) quarantineRank() int {
	if f := n.copies[n.Kinds.Quarantines]; f.Failing() || f.AsOf() == 0 {
		return -1
	}
	return writerRank(n.mesh.Rank(false), n.isLeaving(), n.Settings.Node)
}

// writerRank returns the rank of a node as a writer. Nodes that leave come after the first others. While all nodes leave,
// none ranks before any, and their names spread them.
func writerRank(rank int, leaving bool, node string) int {
	if !leaving {
		return rank
	}
	return rank + firstLeavingRank + int(xxhash.Sum64String(node)%leavingRanks)
}

// fillCrashes adds the crash reports for the other nodes to a heartbeat.
func (n *Node) fillCrashes(h *sagemesh.Heartbeat) {
	h.Crashes, h.Cleared = n.quarantine.Reports(sageclock.Now(), n.mesh.ForwardsReports)
}

// mergeCrashes merges the crash reports of another node.
func (n *Node) mergeCrashes(now sageclock.Instant, h *sagemesh.Heartbeat) {
	entries := n.quarantine.Merge(now, h.Crashes, h.Cleared)
	for i := range entries {
		n.relay.LogQuarantined(&entries[i], "learned", "node", "from", h.Node)
	}
	n.relay.CancelQuarantined(len(entries))
}

// quarantineReconciler writes quarantines to the store. There they survive restarts of the fleet, and they reach
// nodes that are cut off from all others. Exported fields are set before Run.
type quarantineReconciler struct {
	Self    string
	Kind    string
	Tracker *sagequarantine.Tracker
	Store   Store
	// Rank returns this node's rank among the live nodes. A node with a negative rank does not write.
	Rank func() int
	Log  sagelog.Logger

	pausedUntil sageclock.Instant // no writes before this time
}

// Run reconciles the store with the tracker until ctx ends.
func (r *quarantineReconciler) Run(ctx context.Context) error {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.reconcile(ctx, sageclock.Now())
		}
	}
}

// reconcile writes the differences that are older than the delay for this node's rank, which grows if it can't describe
// the suspect.
func (r *quarantineReconciler) reconcile(ctx context.Context, now sageclock.Instant) {
	r.Tracker.Sweep(now)
	differences := r.Tracker.Differences(now)
	rank := r.Rank()
	if len(differences) == 0 || rank < 0 || now < r.pausedUntil {
		return
	}
	for _, d := range differences {
		delay := min(rank, maxReconcileRank)
		if d.Quarantined && d.Suspect.Label == "" {
			delay += unlabelledRanks
		}
		if now.Sub(d.Since) < time.Duration(delay)*reconcileRankDelay {
			continue
		}
		if err := r.write(ctx, d); err != nil {
			r.Log.Limited(sagelog.KindStateChange, "Quarantine not written.", "suspect", d.Suspect.Name(), "quarantined", d.Quarantined, "err", err)
			r.pausedUntil = now.Add(reconcileRetryDelay)
			return
		}
		r.Log.Info("Quarantine written.", "suspect", d.Suspect.Name(), "quarantined", d.Quarantined, "rank", rank)
	}
}

// write creates or deletes the object of one difference.
func (r *quarantineReconciler) write(ctx context.Context, d sagequarantine.Difference) error {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	name := d.Suspect.Name()
	if !d.Quarantined {
		if err := r.Store.Delete(ctx, r.Kind, name); err != nil {
			return fmt.Errorf("release suspect: %w", err)
		}
		return nil
	}
	spec, err := json.Marshal(quarantineSpec{Crashes: d.Crashes, By: r.Self, Suspect: d.Suspect.Label, With: sagequarantine.Names(d.Companions)})
	if err != nil {
		return fmt.Errorf("encode quarantine: %w", err)
	}
	r.Tracker.RecordWrite(sageclock.Now(), d.Suspect.Fingerprint)
	if _, err := r.Store.Create(ctx, r.Kind, name, spec); err != nil {
		return fmt.Errorf("quarantine suspect: %w", err)
	}
	return nil
}
