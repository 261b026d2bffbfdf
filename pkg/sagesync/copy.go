package sagesync

import (
	"encoding/json"
	"fmt"
	"sort"

	"sagestand.example/sagestand/pkg/sageconfig"
)

// stateCopy is the receiving side of a transfer of the whole state.
//
// The chunks may come from several senders at several revisions, while tickets go on being accepted.
// Each chunk holds its range of things as of its own revision, so the copy is complete for base, the
// lowest of these revisions, and may hold parts of tickets up to ceiling, the highest. It becomes
// the served state only when the records above base have been applied up to ceiling: until then a
// reader could see one half of a ticket.
type stateCopy struct {
	state   *sageconfig.State
	after   string
	done    bool
	base    uint64
	ceiling uint64
	records []record
}

func (c *stateCopy) digest() *copyDigest {
	return &copyDigest{After: c.after, Done: c.done, Base: c.base}
}

// add takes a chunk that follows on the cursor.
func (c *stateCopy) add(ch *chunk, entries []sageconfig.Entry) {
	for _, e := range entries {
		c.state.Apply(e)
	}
	if c.base == 0 || ch.Revision < c.base {
		c.base = ch.Revision
	}
	c.ceiling = max(c.ceiling, ch.Revision)
	c.after, c.done = ch.Last, ch.Done
}

// follow applies the records that follow on base, once all chunks are there.
func (c *stateCopy) follow(recs []record) {
	for _, rec := range recs {
		if c.done && rec.revision == c.base+1 {
			c.state.ApplyTicket(rec.ticket)
			c.base++
			c.records = append(c.records, rec)
		}
	}
}

// complete reports whether the state is that of base exactly.
func (c *stateCopy) complete() bool { return c.done && c.base >= c.ceiling }

// mergeChunk takes a chunk of a state transfer. A chunk from the start begins a transfer; one that
// doesn't follow on the cursor is passed over.
func (r *Replica) mergeChunk(ch *chunk) error {
	if ch.Revision <= r.Current().Revision {
		return nil
	}
	c := r.copying
	restart := ch.After == "" && (c == nil || c.done && ch.Revision > c.base)
	if !restart && (c == nil || c.done || ch.After != c.after) {
		return nil
	}
	raws, last := ch.Entries, ch.Fragment == nil
	if ch.Fragment != nil {
		whole := r.part.take(ch.Fragment)
		if whole == nil {
			return nil
		}
		raws, last = []json.RawMessage{whole}, true
	}
	entries := make([]sageconfig.Entry, 0, len(raws))
	for _, raw := range raws {
		e, err := decodeEntry(raw)
		if err != nil {
			return fmt.Errorf("merge chunk: %w", err)
		}
		entries = append(entries, e)
	}
	if restart {
		c = &stateCopy{state: sageconfig.NewState()}
		r.copying = c
	}
	if last {
		c.add(ch, entries)
	}
	return nil
}

// finishCopy puts a complete copy into force.
func (r *Replica) finishCopy() {
	c := r.copying
	if c == nil || !c.complete() {
		return
	}
	r.copying = nil
	r.publish(c.base, c.state, c.records)
}

// thingKey is a thing with its place in the order of a transfer.
type thingKey struct {
	key   string
	thing sageconfig.EntryKey
}

// thingIndex holds the things of one revision in order.
type thingIndex struct {
	revision uint64
	keys     []thingKey
}

// indexOf returns the index of s, built once for each revision that is sent.
func (r *Replica) indexOf(s *Snapshot) []thingKey {
	if r.index.revision == s.Revision {
		return r.index.keys
	}
	keys := make([]thingKey, 0, s.State.Len())
	for t := range s.State.All() {
		keys = append(keys, thingKey{key: t.String(), thing: t})
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].key < keys[j].key })
	r.index = thingIndex{revision: s.Revision, keys: keys}
	return keys
}

// chunkFor cuts the next chunk for a peer whose transfer stands at c.
func (r *Replica) chunkFor(c *copyDigest, p *partial, budget int) *chunk {
	s := r.Current()
	keys := r.indexOf(s)
	ch := &chunk{Revision: s.Revision}
	if c != nil {
		ch.After = c.After
	}
	ch.Last = ch.After
	i := sort.Search(len(keys), func(i int) bool { return keys[i].key > ch.After })
	for size := 0; i < len(keys); i++ {
		e, _ := s.State.Get(keys[i].thing)
		raw := encode(e)
		if size += len(raw) + 1; size > budget {
			if len(ch.Entries) == 0 {
				of := fmt.Sprintf("entry/%s/%d", keys[i].key, e.TicketNumber)
				ch.Fragment = cutFragment(of, raw, p, budget*3/4)
				ch.Last = keys[i].key
				i++
			}
			break
		}
		ch.Entries = append(ch.Entries, raw)
		ch.Last = keys[i].key
	}
	ch.Done = i == len(keys)
	return ch
}
