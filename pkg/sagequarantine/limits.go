package sagequarantine

import "sagestand.example/sagestand/pkg/sageclock"

// record returns the record of a suspect, a new one if there is none.
func (b *Tracker) record(now sageclock.Instant, f Fingerprint) *record {
	if r := b.records[f]; r != nil {
		return r
	}
	if len(b.records) >= mostSuspects {
		b.evictSuspect()
	}
	if b.records == nil {
		b.records = make(map[Fingerprint]*record)
	}
	r := &record{last: now}
	b.records[f] = r
	return r
}

// evictSuspect drops the suspect whose last crash is the longest ago.
func (b *Tracker) evictSuspect() {
	var oldest Fingerprint
	var last sageclock.Instant
	for f, r := range b.records {
		if last == 0 || r.last < last {
			oldest, last = f, r.last
		}
	}
	delete(b.records, oldest)
}

// put begins a quarantine.
func (b *Tracker) put(e *Entry) {
	if b.entries == nil {
		b.entries = make(map[Fingerprint]*Entry)
	}
	if len(b.entries) >= mostQuarantined {
		b.evictEntry()
	}
	b.entries[e.Request] = e
	delete(b.records, e.Request)
}

// evictEntry ends the quarantine that would end first.
func (b *Tracker) evictEntry() {
	var first *Entry
	for _, e := range b.entries {
		if first == nil || e.Until < first.Until {
			first = e
		}
	}
	delete(b.entries, first.Request)
}

// Sweep drops what is out of date.
func (b *Tracker) Sweep(now sageclock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	b.out.sweep(now)
	for f, r := range b.records {
		if now.Sub(r.last) >= rememberFor {
			delete(b.records, f)
		}
	}
	for f, e := range b.entries {
		if now >= e.Until {
			delete(b.entries, f)
		}
	}
}
