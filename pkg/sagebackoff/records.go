package sagebackoff

import (
	"maps"
	"sync/atomic"

	"sagestand.example/sagestand/pkg/sageclock"
)

// maxRecords limits the records of one kind. It is well above the number of upstreams of a large fleet.
const maxRecords = 16384

// records holds values that expire. The zero value is ready to use. Only isEmpty is safe for concurrent use.
type records[K comparable, V any] struct {
	entries map[K]expiring[V]
	count   atomic.Int32 // number of entries
}

// isEmpty reports whether there are no values, expired ones included.
func (r *records[K, V]) isEmpty() bool { return r.count.Load() == 0 }

func (r *records[K, V]) updateCount() { r.count.Store(int32(len(r.entries))) }

type expiring[V any] struct {
	value   V
	expires sageclock.Instant
}

// get returns the value of a key, or the zero value if it has none or the value has expired.
func (r *records[K, V]) get(now sageclock.Instant, key K) V {
	if e := r.entries[key]; now < e.expires {
		return e.value
	}
	var none V
	return none
}

// put sets the value of a key.
func (r *records[K, V]) put(now sageclock.Instant, key K, value V, expires sageclock.Instant) {
	if r.entries == nil {
		r.entries = make(map[K]expiring[V])
	}
	if _, ok := r.entries[key]; !ok && len(r.entries) >= maxRecords {
		r.evict(now)
	}
	r.entries[key] = expiring[V]{value, expires}
	r.updateCount()
}

// delete deletes the value of a key and reports whether there was one.
func (r *records[K, V]) delete(key K) bool {
	_, ok := r.entries[key]
	delete(r.entries, key)
	r.updateCount()
	return ok
}

// len returns the number of values that have not expired.
func (r *records[K, V]) len(now sageclock.Instant) int {
	r.sweep(now)
	return len(r.entries)
}

// sweep drops the values that have expired.
func (r *records[K, V]) sweep(now sageclock.Instant) {
	maps.DeleteFunc(r.entries, func(_ K, e expiring[V]) bool { return e.expires <= now })
	r.updateCount()
}

// evict drops the values that have expired, or else the one that expires first.
func (r *records[K, V]) evict(now sageclock.Instant) {
	r.sweep(now)
	if len(r.entries) < maxRecords {
		return
	}
	var first K
	var firstEnd sageclock.Instant
	for k, e := range r.entries {
		if firstEnd == 0 || e.expires < firstEnd {
			first, firstEnd = k, e.expires
		}
	}
	delete(r.entries, first)
}
