package sageclaim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageobject"
)

// Errors of a commit. After both, the caller may say "not run", since only a granted claim is run.
var (
	// ErrStore: the store is down; the entry wasn't written.
	ErrStoreUnavailable = errors.New("claim store unavailable")
	// ErrUnsettled: the entry may or may not be written, or be written later. A claim must be
	// released, see [Committer.Commit].
	ErrOutcomeUnknown = errors.New("claim not settled")
	// ErrFull: the object can't take the claim, or the claim was released before.
	ErrClaimNotTaken = errors.New("claim not taken")
	// ErrLate: the claim's deadline passed before it was written.
	ErrDeadlinePassed = errors.New("claim came after its deadline")
	// ErrNoClaim: the key of a finish, release or settlement has no claim.
	ErrNoClaim = errors.New("no claim of that key")
)

// maxObject is the size at which an object takes no more claims; the rest is left for finishes.
const maxObject = sageobject.MaxValueBytes * 3 / 4

// maxConflicts bounds the conditional updates of one commit that lose against another committer.
const maxConflicts = 32

// retryPause lies between two tries to settle an update whose answer was lost.
const retryPause = 10 * time.Millisecond

// Stats counts what a committer did.
type Stats struct {
	Entries   int64
	Gets      int64
	Puts      int64
	Conflicts int64
	// Lost counts lost answers to updates, and ReadBack how many of them were found to have taken
	// effect by reading back.
	LostResponses       int64
	ConfirmedByReadBack int64
	BytesWritten        int64
}

// Committer appends entries to claim objects by group commit. Exported fields are set before first
// use.
type Committer struct {
	Store sageobject.Store
	// Window is how long entries are collected for one update.
	BatchWindow time.Duration
	// CommitTimeout bounds one commit: an update whose answer stays lost for longer is given up as
	// unsettled.
	CommitTimeout time.Duration
	// MaxCached bounds the decoded objects kept in memory; 0 means 64.
	MaxCachedObjects int
	// NoReadBack gives up at once when an answer is lost. It exists for the comparison in
	// docs/design/at_most_once.md.
	NoReadBack bool

	running sync.WaitGroup

	mu     sync.Mutex
	queues map[string]*queue
	cache  map[string]*cached
	uses   int64
	stats  Stats
}

// queue holds the entries that wait for one object.
type queue struct {
	waiting []*pending
}

type pending struct {
	entry Entry
	done  chan struct{}
	rec   Record
	err   error
}

// cached is an object as it was last seen.
type cached struct {
	book    *ClaimLog
	version int64
	used    int64
	// stale says that the store may have a newer version.
	stale bool
}

// Wait returns when no commit is under way.
func (c *Committer) Wait() { c.running.Wait() }

// Stats returns the counts so far.
func (c *Committer) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Do appends an entry to an object and returns the key's record after it. A claim is granted exactly
// if the record's ClaimID is the entry's and its State is Claimed.
//
// If ctx ends first, or the error wraps [ErrOutcomeUnknown], the entry may still be written later. A
// claim given up so must not be run, and must be released by an [OpRelease].
func (c *Committer) Commit(ctx context.Context, object string, e Entry) (Record, error) {
	if err := e.Check(); err != nil {
		return Record{}, err
	}
	p := &pending{entry: e, done: make(chan struct{})}
	c.enqueue(object, p)
	select {
	case <-p.done:
		return p.rec, p.err
	case <-ctx.Done():
		return Record{}, fmt.Errorf("%v: %w", ctx.Err(), ErrOutcomeUnknown)
	}
}

func (c *Committer) enqueue(object string, p *pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Entries++
	if q, ok := c.queues[object]; ok {
		q.waiting = append(q.waiting, p)
		return
	}
	if c.queues == nil {
		c.queues = make(map[string]*queue)
	}
	c.queues[object] = &queue{waiting: []*pending{p}}
	c.running.Go(func() { c.run(object) })
}

// run commits until no entry waits for the object. The first entry is committed at once; those that
// come within the window after that wait for its end. So few entries wait for nothing, and many make
// no more than one update a window.
func (c *Committer) run(object string) {
	for {
		c.mu.Lock()
		q := c.queues[object]
		batch := q.waiting
		q.waiting = nil
		if len(batch) == 0 {
			delete(c.queues, object)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		next := time.Now().Add(c.BatchWindow)
		c.commit(object, batch)
		time.Sleep(time.Until(next))
	}
}

func (c *Committer) timeout() time.Duration {
	if c.CommitTimeout > 0 {
		return c.CommitTimeout
	}
	return 2 * time.Second
}

// commit settles every entry of a batch.
func (c *Committer) commit(object string, batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout())
	defer cancel()
	batch = dropLate(batch, time.Now())
	book, err := c.append(ctx, object, batch)
	for _, p := range batch {
		switch {
		case err != nil:
			p.err = err
		default:
			p.settle(book)
		}
		close(p.done)
	}
}

// dropLate answers claims that nobody waits for any more. A committer that was paused would else
// claim keys that nobody runs.
func dropLate(batch []*pending, now time.Time) []*pending {
	kept := batch[:0]
	for _, p := range batch {
		if p.entry.Op == OpClaim && now.After(p.entry.Deadline) {
			p.err = ErrDeadlinePassed
			close(p.done)
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

func (p *pending) settle(book *ClaimLog) {
	rec, ok := book.Record(p.entry.Account, p.entry.Key)
	switch {
	case p.entry.Op == OpClaim && (!ok || rec.State == StateReleased):
		p.err = fmt.Errorf("claim: %w", ErrClaimNotTaken)
	case !ok:
		p.err = fmt.Errorf("%s of a key without a claim: %w", p.entry.Op, ErrNoClaim)
	}
	p.rec = rec
}

// append writes what of the batch has an effect, and returns the object as it stands then.
//
// It guards against lost answers in both directions. Taking a lost answer for a failure would leave
// a claim that nobody runs and that refuses each repeat; taking it for a success could run a key
// that another router won. So the object is read back, and entries found there by their own ids
// count as written. Entries not found may still be on their way, therefore the update is repeated
// with the same expected version until one of the two has taken effect.
func (c *Committer) append(ctx context.Context, object string, batch []*pending) (*ClaimLog, error) {
	lost := false
	for range maxConflicts {
		cur, err := c.load(ctx, object)
		if err != nil {
			return nil, unsettledIf(lost, err)
		}
		next, changed := extend(cur.book, batch)
		if !changed {
			if lost {
				c.count(func(s *Stats) { s.ConfirmedByReadBack++ })
			}
			return cur.book, nil
		}
		value := next.Encode()
		c.count(func(s *Stats) { s.Puts++; s.BytesWritten += int64(len(value)) })
		v, err := c.Store.Put(ctx, object, value, cur.version)
		switch {
		case err == nil:
			c.keep(object, &cached{book: next, version: v})
			return next, nil
		case errors.Is(err, sageobject.ErrConflict):
			c.count(func(s *Stats) { s.Conflicts++ })
			c.forget(object)
		case errors.Is(err, sageobject.ErrUnavailable), errors.Is(err, sageobject.ErrTooLarge):
			return nil, unsettledIf(lost, err)
		default:
			c.count(func(s *Stats) { s.LostResponses++ })
			c.forget(object)
			lost = true
			if c.NoReadBack {
				return nil, unsettledIf(true, err)
			}
			if !sleep(ctx, retryPause) {
				return nil, unsettledIf(true, err)
			}
		}
	}
	return nil, unsettledIf(true, sageobject.ErrConflict)
}

// unsettledIf names an error by whether an update may have taken effect before it.
func unsettledIf(lost bool, err error) error {
	if lost {
		return fmt.Errorf("commit claims: %v: %w", err, ErrOutcomeUnknown)
	}
	return fmt.Errorf("commit claims: %v: %w", err, ErrStoreUnavailable)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// extend returns the book with the batch applied, and whether anything changed.
func extend(book *ClaimLog, batch []*pending) (*ClaimLog, bool) {
	next := book.clone()
	changed := false
	for _, p := range batch {
		if p.entry.Op == OpClaim && len(next.encoded) > maxObject {
			continue
		}
		if next.Apply(&p.entry) {
			changed = true
		}
	}
	return next, changed
}

func (b *ClaimLog) clone() *ClaimLog {
	n := &ClaimLog{records: make(map[bookKey]*Record, len(b.records)+1)}
	for k, r := range b.records {
		c := *r
		n.records[k] = &c
	}
	n.order = append(n.order, b.order...)
	n.encoded = append(n.encoded, b.encoded...)
	return n
}

// load returns the object from memory or from the store.
func (c *Committer) load(ctx context.Context, object string) (*cached, error) {
	c.mu.Lock()
	if e, ok := c.cache[object]; ok && !e.stale {
		c.uses++
		e.used = c.uses
		c.mu.Unlock()
		return e, nil
	}
	c.stats.Gets++
	c.mu.Unlock()
	o, err := c.Store.Get(ctx, object)
	if errors.Is(err, sageobject.ErrNotFound) {
		return &cached{book: new(ClaimLog), version: sageobject.NoVersion}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read claims: %w", err)
	}
	book, err := DecodeClaimLog(o.Value)
	if err != nil {
		return nil, fmt.Errorf("read claims: %w", err)
	}
	e := &cached{book: book, version: o.Version}
	c.keep(object, e)
	return e, nil
}

// Cached returns the record of a key as this node saw it last, without a call to the store.
func (c *Committer) CachedRecord(object, account, key string) (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.cache[object]
	if !ok {
		return Record{}, false
	}
	return e.book.Record(account, key)
}

// Refresh makes the next commit of an object read it from the store.
func (c *Committer) Invalidate(object string) { c.forget(object) }

// keep remembers an object and drops the one unused for longest beyond the bound.
func (c *Committer) keep(object string, e *cached) {
	limit := c.MaxCachedObjects
	if limit <= 0 {
		limit = 64
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cache == nil {
		c.cache = make(map[string]*cached)
	}
	c.uses++
	e.used = c.uses
	c.cache[object] = e
	if len(c.cache) <= limit {
		return
	}
	oldest := object
	for k, o := range c.cache {
		if o.used < c.cache[oldest].used {
			oldest = k
		}
	}
	delete(c.cache, oldest)
}

// forget makes the next load read the object from the store; [Committer.CachedRecord] still knows it.
func (c *Committer) forget(object string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.cache[object]; ok {
		e.stale = true
	}
}

func (c *Committer) count(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}
