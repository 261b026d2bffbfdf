package sageorigin

import (
	"sync"
	"time"
	"unique"

	"sagestand.example/sagestand/pkg/sageclock"
)

// DefaultMaxRecords is the number of records that a table holds if it isn't set, a few megabytes.
const DefaultMaxRecords = 32768

// Table holds records until they end. It is safe for concurrent use; the zero value is ready for use.
type Table struct {
	// MaxRecords is the maximum number of records; 0 means [DefaultMaxRecords]. Beyond it, the oldest are dropped.
	MaxRecords int

	mu      sync.Mutex
	entries map[Key]tableEntry
	// queue holds the keys in the order of their arrival, from head on.
	queue []queued
	head  int
	added uint64
}

type tableEntry struct {
	origin unique.Handle[Origin]
	since  sageclock.Instant // when this node got the record
	until  sageclock.Instant
	number uint64
}

type queued struct {
	key    Key
	number uint64
}

// Put stores a record, or extends the one with its key. If that names another origin, the version is no longer known: the
// caller has events of one of them.
func (t *Table) Put(now sageclock.Instant, r Record) {
	if r.Until <= now {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = make(map[Key]tableEntry)
	}
	if old, ok := t.entries[r.Key]; ok && old.until > now {
		if r.Origin != old.origin.Value() {
			r.Origin = Origin{Service: r.Origin.Service}
		}
		old.origin, old.until = unique.Make(r.Origin), max(old.until, r.Until)
		t.entries[r.Key] = old
		return
	}
	t.added++
	t.entries[r.Key] = tableEntry{unique.Make(r.Origin), now, r.Until, t.added}
	t.queue = append(t.queue, queued{r.Key, t.added})
	t.drop(now)
}

// drop drops the oldest records that have ended, and those beyond the maximum. mu is held.
func (t *Table) drop(now sageclock.Instant) {
	limit := t.MaxRecords
	if limit == 0 {
		limit = DefaultMaxRecords
	}
	for t.head < len(t.queue) {
		q := t.queue[t.head]
		e, ok := t.entries[q.key]
		current := ok && e.number == q.number
		if current && e.until > now && len(t.entries) <= limit {
			break
		}
		if current {
			delete(t.entries, q.key)
		}
		t.head++
	}
	if t.head > len(t.queue)/2 {
		t.queue = append(t.queue[:0], t.queue[t.head:]...)
		t.head = 0
	}
}

// Get returns the origin of a stream, and for how long this table has had its record.
func (t *Table) Get(now sageclock.Instant, k Key) (o Origin, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[k]
	if !ok || e.until <= now {
		return Origin{}, 0, false
	}
	return e.origin.Value(), now.Sub(e.since), true
}

// Records returns all records that have not ended.
func (t *Table) Records(now sageclock.Instant) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for k, e := range t.entries {
		if e.until > now {
			out = append(out, Record{k, e.origin.Value(), e.until})
		}
	}
	return out
}

// Len returns the number of records, with some that have ended.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Sweep drops records that have ended.
func (t *Table) Sweep(now sageclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(now)
}
