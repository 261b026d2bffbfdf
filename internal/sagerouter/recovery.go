package sagerouter

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sageorigind"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Times of the recovery.
const (
	// recoveryTime is the time after its start within which a node gets what was recovered.
	recoveryTime = 4 * time.Second
	// recoveryCheck is how often a node checks whether it has something to recover.
	recoveryCheck = 100 * time.Millisecond
	// recoverySpacing is the least time between two times that all records are sent to their holders.
	recoverySpacing = 800 * time.Millisecond
	// recoveryBatch is the number of records that are sent per recoveryCheck, so that the node has time for its callers and peers.
	recoveryBatch = 500
	// minLosses is the number of lost nodes from which on a record may have no holder: its stream's node and all holders.
	minLosses = sageorigin.NumHolders + 1
)

// errTooManyBytes reports that the saved records are too many to be read for callers that return.
var errTooManyBytes = errors.New("too many bytes")

// restoreDelays are the times after the start or the loss of a node, or after one has joined, at which records that were found in
// the store are sent to their holders. Nodes that start at the same time discover each other meanwhile.
var restoreDelays = []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second}

// snapshotRecovery recovers the records that nodes have saved and that are lost with them. The first node by rank does so after its
// own start and after the loss of several others, as long as callers may return. Exported fields are set before Run.
type snapshotRecovery struct {
	Kind string
	// Name begins the names of this node's own objects, which aren't deleted.
	Name  string
	Store Store
	// Restore takes recovered records and sends them to their holders.
	Restore func(records []sageorigin.Record)
	// Recovers reports whether this node recovers the records for all nodes.
	Recovers func() bool
	Log      sagelog.Logger
	// Now is the clock; nil means [sageclock.Now].
	Now func() sageclock.Instant

	mu sync.Mutex
	// losses are when other nodes were lost or started again, as far as callers may still return to their streams.
	losses []sageclock.Instant
	// lostAt is when this node started or last found that too many others had been lost, and unread says that the store hasn't been
	// read since.
	lostAt sageclock.Instant
	unread bool
	// changedAt is when this node started or last found that another one had been lost or had joined, and sent the number of
	// restoreDelays that have passed since.
	changedAt sageclock.Instant
	sent      int

	// The fields from here on are used by Run only.
	notBefore sageclock.Instant // earliest time of the next attempt
	records   savedRecords
	queue     []sageorigin.Record // records to be sent
	// recovered are the objects that were read, by name.
	recovered map[string]savedObject
}

// savedObject is an object that was read.
type savedObject struct {
	revision uint64
	// until is when the last of its records ends. If the object hasn't changed by then, it is deleted.
	until sageclock.Instant
}

func (r *snapshotRecovery) now() sageclock.Instant {
	if r.Now != nil {
		return r.Now()
	}
	return sageclock.Now()
}

// nodeLost records that a node was lost, or has started again. Its streams are known to their holders, unless these were lost as well.
func (r *snapshotRecovery) nodeLost() {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losses = slices.DeleteFunc(r.losses, func(at sageclock.Instant) bool { return now.Sub(at) >= sageorigin.Window })
	r.losses = append(r.losses, now)
	if len(r.losses) >= minLosses {
		r.lostAt, r.unread = now, true
	}
	r.changedAt, r.sent = now, 0
}

// started records that this node has started, and knows nothing of the loss of others.
func (r *snapshotRecovery) started() {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostAt, r.unread = now, true
	r.changedAt, r.sent = now, 0
}

// nodeJoined records that a node has joined, which may hold records from now on.
func (r *snapshotRecovery) nodeJoined() {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changedAt, r.sent = now, 0
}

// lastLoss returns when this node started or last found that another one was lost; 0 if neither.
func (r *snapshotRecovery) lastLoss() sageclock.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.lostAt
	for _, l := range r.losses {
		at = max(at, l)
	}
	return at
}

// until returns the time until which records that were lost with their holders may be recovered. It doesn't depend on whether this node
// does that: it isn't informed of what the first one by rank has done.
func (r *snapshotRecovery) until() sageclock.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostAt == 0 {
		return 0
	}
	return r.lostAt.Add(recoveryTime)
}

// Run works until ctx ends.
func (r *snapshotRecovery) Run(ctx context.Context) error {
	r.started()
	for sageclock.Sleep(ctx, recoveryCheck) {
		r.sendBatch()
		if err := r.recover(ctx); err != nil && ctx.Err() == nil {
			r.Log.Limited(sagelog.KindStateChange, "Records of open streams not recovered.", "err", err)
		}
		if err := r.drop(ctx); err != nil && ctx.Err() == nil {
			r.Log.Limited(sagelog.KindStateChange, "Recovered records not deleted.", "err", err)
		}
	}
	return nil
}

// recover reads the records that nodes saved before they were lost, and sends them to their holders, if it is time.
func (r *snapshotRecovery) recover(ctx context.Context) error {
	now := r.now()
	read, send := r.due(now)
	if !read && (!send || len(r.queue) > 0) || now < r.notBefore || !r.Recovers() {
		return nil
	}
	if read {
		r.setUnread(false) // before the call: what is lost meanwhile has to be read again
		if err := r.load(ctx); err != nil {
			r.setUnread(true)
			r.notBefore = r.now().Add(snapshotRetry)
			return err
		}
	}
	r.passDelays(now)
	open := r.records.open(now)
	if len(open) == 0 {
		return nil
	}
	r.notBefore, r.queue = now.Add(recoverySpacing), open
	r.Log.Info("Records of open streams recovered.", "records", len(open), "objects", len(r.recovered), "read", read)
	r.sendBatch()
	return nil
}

// sendBatch sends some of the records that wait to be sent to their holders.
func (r *snapshotRecovery) sendBatch() {
	n := min(recoveryBatch, len(r.queue))
	if n == 0 {
		return
	}
	r.Restore(r.queue[:n])
	r.queue = r.queue[n:]
}

// due reports whether the store has to be read before records are sent, and whether it is time to send them.
//
// A node that wasn't first by rank when another one was lost may become so later, as the first one is lost or can't reach the
// store. It doesn't know whether that one has recovered the records.
func (r *snapshotRecovery) due(now sageclock.Instant) (read, send bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read = r.unread && now.Sub(r.lostAt) >= restoreDelays[0] && now.Sub(r.lostAt) < sageorigin.Window
	send = r.sent < len(restoreDelays) && now.Sub(r.changedAt) >= restoreDelays[r.sent]
	return read, send
}

func (r *snapshotRecovery) setUnread(unread bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread = unread
}

// passDelays leaves out the delays that have passed.
func (r *snapshotRecovery) passDelays(now sageclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.sent < len(restoreDelays) && now.Sub(r.changedAt) >= restoreDelays[r.sent] {
		r.sent++
	}
}

// load reads the records in the store.
func (r *snapshotRecovery) load(ctx context.Context) error {
	d, err := sagefollow.ListAll(ctx, r.listPage, r.Kind)
	if err != nil {
		return fmt.Errorf("list records: %w", err)
	}
	now := r.now()
	r.records = savedRecords{}
	// The streams of the last writes have the most time left.
	slices.SortFunc(d.Changes, func(a, b sagefollow.Change) int { return cmp.Compare(b.Object.Revision, a.Object.Revision) })
	r.recovered = make(map[string]savedObject)
	ages := snapshotAges(d.Changes)
	for i := range d.Changes {
		o := &d.Changes[i].Object
		until := r.addObject(&r.records, o, now, ages[o.Name])
		if !strings.HasPrefix(o.Name, r.Name) {
			r.recovered[o.Name] = savedObject{revision: o.Revision, until: until}
		}
	}
	return nil
}

// listPage reads a page of a listing.
func (r *snapshotRecovery) listPage(ctx context.Context, kind, after string) (sagefollow.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return r.Store.List(ctx, kind, after)
}

// readSaved reads the records in the store for callers that return, up to a number of bytes. This node's own objects are among them:
// it saves records for others.
func (r *snapshotRecovery) readSaved(ctx context.Context, maxBytes int) (sageorigind.Saved, error) {
	var out sageorigind.Saved
	var records savedRecords
	_, err := sagefollow.ListAll(ctx, func(ctx context.Context, kind, after string) (sagefollow.Page, error) {
		if out.Bytes > maxBytes {
			return sagefollow.Page{}, errTooManyBytes
		}
		p, err := r.Store.List(ctx, kind, after)
		now := r.now()
		for i := range p.Changes {
			o := &p.Changes[i].Object
			out.Objects++
			out.Bytes += len(o.Name) + len(o.Status)
			r.addObject(&records, o, now, 0)
		}
		return p, err
	}, r.Kind)
	out.Records = records.open(r.now())
	if err != nil {
		return out, fmt.Errorf("list saved records: %w", err)
	}
	return out, nil
}

// savedRecords are records by stream, in the order in which they were added.
type savedRecords struct {
	byKey map[sageorigin.Key]sageorigin.Record
	order []sageorigin.Key
}

// open returns the records that have not ended.
func (s *savedRecords) open(now sageclock.Instant) []sageorigin.Record {
	var out []sageorigin.Record
	for _, k := range s.order {
		if record := s.byKey[k]; record.Until > now {
			out = append(out, record)
		}
	}
	return out
}

// addObject adds the records of an object that had not been written for a time when its writer wrote for the last time. It returns
// when the last of them ends; those of an unreadable one may be anything.
func (r *snapshotRecovery) addObject(to *savedRecords, o *sagefollow.Object, now sageclock.Instant, age time.Duration) (until sageclock.Instant) {
	records, err := decodeSnapshot(o, now)
	if err != nil {
		r.Log.Limited(sagelog.KindStateChange, "Records can't be read.", "name", o.Name, "err", err)
		return now.Add(sageorigin.Window)
	}
	until = now.Add(recoveryTime) // the object may have been created just before its first write
	for _, record := range records {
		if record.Until = record.Until.Add(-age); record.Until > now {
			until = max(until, record.Until)
			to.add(record)
		}
	}
	return until
}

// add adds a record. If two differ, the version isn't known.
func (s *savedRecords) add(record sageorigin.Record) {
	old, ok := s.byKey[record.Key]
	switch {
	case s.byKey == nil:
		s.byKey = make(map[sageorigin.Key]sageorigin.Record)
		fallthrough
	case !ok:
		s.order = append(s.order, record.Key)
	default:
		if old.Origin != record.Origin {
			record.Origin.Version = ""
		}
		record.Until = max(record.Until, old.Until)
	}
	s.byKey[record.Key] = record
}

func decodeSnapshot(o *sagefollow.Object, now sageclock.Instant) ([]sageorigin.Record, error) {
	if len(o.Status) == 0 {
		return nil, nil // created, not written yet
	}
	var s sageorigin.Snapshot
	if err := json.Unmarshal(o.Status, &s); err != nil {
		return nil, fmt.Errorf("decode records: %w", err)
	}
	return s.Records(now)
}

// drop deletes the objects whose records have ended, unless they have changed since they were read. One that is still written by its
// node is created again.
func (r *snapshotRecovery) drop(ctx context.Context) error {
	now := r.now()
	ended := make(map[string]uint64)
	for name, o := range r.recovered {
		if now >= o.until {
			ended[name] = o.revision
		}
	}
	if len(ended) == 0 || now < r.notBefore {
		return nil
	}
	r.notBefore = now.Add(snapshotRetry)
	d, err := sagefollow.ListAll(ctx, r.listPage, r.Kind)
	if err != nil {
		return fmt.Errorf("list recovered records: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	for i := range d.Changes {
		o := &d.Changes[i].Object
		if revision, ok := ended[o.Name]; !ok || revision != o.Revision {
			continue
		}
		if err := r.Store.Delete(ctx, r.Kind, o.Name); err != nil {
			return fmt.Errorf("delete recovered records: %w", err)
		}
	}
	for name := range ended {
		delete(r.recovered, name)
	}
	return nil
}
