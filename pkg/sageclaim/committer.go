package sageclaim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageobject"
)

// Errors of a commit. After any of them, a request whose claim was being committed has not run, since
// only granted claims run.
var (
	// ErrStoreUnavailable reports that the store is unavailable and the entry wasn't written.
	ErrStoreUnavailable = errors.New("claim store unavailable")
	// ErrOutcomeUnknown reports that the entry may have been written or may be written later. A claim
	// must then be released, see [Committer.Commit].
	ErrOutcomeUnknown = errors.New("outcome of the claim unknown")
	// ErrClaimNotTaken reports that the object is full, or that this claim was released before.
	ErrClaimNotTaken = errors.New("claim not taken")
	// ErrDeadlinePassed reports that the claim's deadline passed before the claim was written.
	ErrDeadlinePassed = errors.New("claim arrived after its deadline")
	// ErrNoClaim reports a finish, release or settle entry for a key without a claim.
	ErrNoClaim = errors.New("no claim for this key")
)

// maxBytesForClaims is the size of the lines beyond which an object takes no more claims; the rest is
// reserved for outcomes.
const maxBytesForClaims = sageobject.MaxValueBytes * 3 / 4

// maxConflicts limits the conditional updates of one commit.
const maxConflicts = 32

// retryInterval is the wait between an update whose response was lost and the read back.
const retryInterval = 10 * time.Millisecond

// Stats counts what a committer did.
type Stats struct {
	Entries   int64
	Gets      int64
	Puts      int64
	Conflicts int64
	// LostResponses counts updates whose response was lost, ConfirmedByReadBack those of them that the
	// read back found to have taken effect.
	LostResponses       int64
	ConfirmedByReadBack int64
	BytesWritten        int64
}

// Committer appends entries to claim objects by group commit. Set the exported fields before first use.
type Committer struct {
	Store sageobject.Store
	// BatchWindow is the minimum time between the starts of two commits to an object; entries that
	// arrive meanwhile share the next commit.
	BatchWindow time.Duration
	// CommitTimeout limits one commit, including the retries after lost responses; 0 means 2 s. If the
	// outcome is still unknown then, the commit fails with [ErrOutcomeUnknown].
	CommitTimeout time.Duration
	// MaxCachedObjects limits the decoded objects kept in memory; 0 means 64.
	MaxCachedObjects int
	// NoReadBack returns [ErrOutcomeUnknown] immediately after a lost response. It exists for the
	// comparison in docs/design/at_most_once.md.
	NoReadBack bool

	running sync.WaitGroup

	mu       sync.Mutex
	queues   map[string]*queue
	cache    map[string]*cachedObject
	useCount int64
	stats    Stats
}

// queue holds the entries that wait for a commit to one object.
type queue struct {
	waiting []*pending
}

type pending struct {
	entry Entry
	done  chan struct{}
	rec   Record
	err   error
}

// cachedObject is the last known content of an object.
type cachedObject struct {
	log     *ClaimLog
	version int64
	lastUse int64
	// stale reports that the store may have a newer version.
	stale bool
}

// Wait waits until no commit is in progress.
func (c *Committer) Wait() { c.running.Wait() }

// Stats returns the counts so far.
func (c *Committer) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Commit appends an entry to an object and returns the key's record after it. A claim is granted if and
// only if the record has the entry's ClaimID and the state [StateClaimed].
//
// If ctx ends first, or if the error wraps [ErrOutcomeUnknown], the entry may still be written later. A
// claim abandoned like this must not be run, and must be released with [OpRelease].
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

// run commits batches until no entry waits for the object. The first entry is committed immediately;
// entries that arrive within BatchWindow after that are committed together at its end. Single entries
// thus see no delay, and under load there is at most one update per window.
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
		c.commitBatch(object, batch)
		time.Sleep(time.Until(next))
	}
}

func (c *Committer) timeout() time.Duration {
	if c.CommitTimeout > 0 {
		return c.CommitTimeout
	}
	return 2 * time.Second
}

// commitBatch commits a batch and reports the result to every waiting caller.
func (c *Committer) commitBatch(object string, batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout())
	defer cancel()
	batch = rejectExpired(batch, time.Now())
	log, err := c.appendBatch(ctx, object, batch)
	for _, p := range batch {
		switch {
		case err != nil:
			p.err = err
		default:
			p.setResult(log)
		}
		close(p.done)
	}
}

// rejectExpired fails claims whose deadline has passed and returns the other entries. Without it, a
// committer that was paused would claim keys whose requests nobody runs any more.
func rejectExpired(batch []*pending, now time.Time) []*pending {
	live := batch[:0]
	for _, p := range batch {
		if p.entry.Op == OpClaim && now.After(p.entry.Deadline) {
			p.err = ErrDeadlinePassed
			close(p.done)
			continue
		}
		live = append(live, p)
	}
	return live
}

// setResult sets the result of an entry from the log after the commit.
func (p *pending) setResult(log *ClaimLog) {
	rec, ok := log.Record(p.entry.Account, p.entry.Key)
	switch {
	case p.entry.Op == OpClaim && (!ok || rec.State == StateReleased):
		p.err = fmt.Errorf("claim: %w", ErrClaimNotTaken)
	case !ok:
		p.err = fmt.Errorf("%s for a key without a claim: %w", p.entry.Op, ErrNoClaim)
	}
	p.rec = rec
}

// appendBatch writes the entries of the batch that have an effect and returns the resulting log.
//
// If the response is lost, neither outcome may be assumed: assuming failure could leave a claim that
// nobody runs and that rejects every repeat, and assuming success could run a key that another router
// has claimed. So the object is read back, and entries found by their own ids count as written. An
// update whose entries are missing may still take effect; it is repeated with the same expected version
// until one of the two has taken effect.
func (c *Committer) appendBatch(ctx context.Context, object string, batch []*pending) (*ClaimLog, error) {
	responseLost := false
	for range maxConflicts {
		current, err := c.load(ctx, object)
		if err != nil {
			return nil, commitError(responseLost, err)
		}
		next, changed := applyBatch(current.log, batch)
		if !changed {
			if responseLost {
				c.updateStats(func(s *Stats) { s.ConfirmedByReadBack++ })
			}
			return current.log, nil
		}
		value := next.Encode()
		c.updateStats(func(s *Stats) { s.Puts++; s.BytesWritten += int64(len(value)) })
		v, err := c.Store.Put(ctx, object, value, current.version)
		switch {
		case err == nil:
			c.cacheObject(object, &cachedObject{log: next, version: v})
			return next, nil
		case errors.Is(err, sageobject.ErrConflict):
			c.updateStats(func(s *Stats) { s.Conflicts++ })
			c.markStale(object)
		case errors.Is(err, sageobject.ErrUnavailable), errors.Is(err, sageobject.ErrTooLarge):
			return nil, commitError(responseLost, err)
		default:
			c.updateStats(func(s *Stats) { s.LostResponses++ })
			c.markStale(object)
			responseLost = true
			if c.NoReadBack {
				return nil, commitError(true, err)
			}
			if !sageclock.Sleep(ctx, retryInterval) {
				return nil, commitError(true, err)
			}
		}
	}
	return nil, commitError(true, sageobject.ErrConflict)
}

// commitError wraps err in [ErrOutcomeUnknown] if an earlier update may have taken effect, and in
// [ErrStoreUnavailable] otherwise.
func commitError(responseLost bool, err error) error {
	if responseLost {
		return fmt.Errorf("commit claims: %v: %w", err, ErrOutcomeUnknown)
	}
	return fmt.Errorf("commit claims: %v: %w", err, ErrStoreUnavailable)
}

// applyBatch returns a copy of log with the batch applied, and whether anything changed.
func applyBatch(log *ClaimLog, batch []*pending) (*ClaimLog, bool) {
	next := log.clone()
	changed := false
	for _, p := range batch {
		if p.entry.Op == OpClaim && len(next.lines) > maxBytesForClaims {
			continue
		}
		if next.Apply(&p.entry) {
			changed = true
		}
	}
	return next, changed
}

func (log *ClaimLog) clone() *ClaimLog {
	copied := &ClaimLog{records: make(map[logKey]*Record, len(log.records)+1)}
	for k, r := range log.records {
		record := *r
		copied.records[k] = &record
	}
	copied.order = append(copied.order, log.order...)
	copied.lines = append(copied.lines, log.lines...)
	return copied
}

// load returns the object from the cache or, if it is absent or stale there, from the store.
func (c *Committer) load(ctx context.Context, object string) (*cachedObject, error) {
	c.mu.Lock()
	if e, ok := c.cache[object]; ok && !e.stale {
		c.useCount++
		e.lastUse = c.useCount
		c.mu.Unlock()
		return e, nil
	}
	c.stats.Gets++
	c.mu.Unlock()
	o, err := c.Store.Get(ctx, object)
	if errors.Is(err, sageobject.ErrNotFound) {
		return &cachedObject{log: new(ClaimLog), version: sageobject.NoVersion}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read claims: %w", err)
	}
	log, err := DecodeClaimLog(o.Value)
	if err != nil {
		return nil, fmt.Errorf("read claims: %w", err)
	}
	e := &cachedObject{log: log, version: o.Version}
	c.cacheObject(object, e)
	return e, nil
}

// CachedRecord returns the record of a key from the cache, without a call to the store.
func (c *Committer) CachedRecord(object, account, key string) (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.cache[object]
	if !ok {
		return Record{}, false
	}
	return e.log.Record(account, key)
}

// Invalidate makes the next commit to an object read it from the store.
func (c *Committer) Invalidate(object string) { c.markStale(object) }

// cacheObject puts an object into the cache and evicts the least recently used one if the cache is
// full.
func (c *Committer) cacheObject(object string, e *cachedObject) {
	limit := c.MaxCachedObjects
	if limit <= 0 {
		limit = 64
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cache == nil {
		c.cache = make(map[string]*cachedObject)
	}
	c.useCount++
	e.lastUse = c.useCount
	c.cache[object] = e
	if len(c.cache) <= limit {
		return
	}
	leastUsed := object
	for k, o := range c.cache {
		if o.lastUse < c.cache[leastUsed].lastUse {
			leastUsed = k
		}
	}
	delete(c.cache, leastUsed)
}

// markStale makes the next load read the object from the store. [Committer.CachedRecord] still returns
// its records.
func (c *Committer) markStale(object string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.cache[object]; ok {
		e.stale = true
	}
}

func (c *Committer) updateStats(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}
