package sagesync

import (
	"encoding/json"
	"fmt"
	"sort"

	"sagestand.example/sagestand/pkg/sageconfig"
)

// stateTransfer is the receiving side of a transfer of the complete state.
//
// The chunks may come from several senders at several revisions, while further tickets are accepted.
// Each chunk holds its range of entries as of its own revision, so the received state is complete for
// base, the lowest of these revisions, and may hold parts of tickets up to maxRevision, the highest. It
// becomes the served state only after the records above base have been applied up to maxRevision;
// before that, a reader could see a partially applied ticket.
type stateTransfer struct {
	state       *sageconfig.State
	cursor      string
	done        bool
	base        uint64
	maxRevision uint64
	records     []record
}

func (t *stateTransfer) digest() *transferDigest {
	return &transferDigest{After: t.cursor, Done: t.done, Base: t.base}
}

// add applies a chunk that continues at the cursor.
func (t *stateTransfer) add(ch *chunk, entries []sageconfig.Entry) {
	for _, e := range entries {
		t.state.Apply(e)
	}
	if t.base == 0 || ch.Revision < t.base {
		t.base = ch.Revision
	}
	t.maxRevision = max(t.maxRevision, ch.Revision)
	t.cursor, t.done = ch.Last, ch.Done
}

// applyRecords applies the records that continue at base, once all chunks have been received.
func (t *stateTransfer) applyRecords(recs []record) {
	for _, rec := range recs {
		if t.done && rec.revision == t.base+1 {
			t.state.ApplyTicket(rec.ticket)
			t.base++
			t.records = append(t.records, rec)
		}
	}
}

// complete reports whether the state is exactly that of revision base.
func (t *stateTransfer) complete() bool { return t.done && t.base >= t.maxRevision }

// mergeChunk merges a chunk of a state transfer. A chunk from the start begins a transfer; a chunk that
// doesn't continue at the cursor is ignored.
func (r *Replica) mergeChunk(ch *chunk) error {
	if ch.Revision <= r.Current().Revision {
		return nil
	}
	t := r.transfer
	restart := ch.After == "" && (t == nil || t.done && ch.Revision > t.base)
	if !restart && (t == nil || t.done || ch.After != t.cursor) {
		return nil
	}
	raws, last := ch.Entries, ch.Fragment == nil
	if ch.Fragment != nil {
		data := r.reassembly.add(ch.Fragment)
		if data == nil {
			return nil
		}
		raws, last = []json.RawMessage{data}, true
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
		t = &stateTransfer{state: sageconfig.NewState()}
		r.transfer = t
	}
	if last {
		t.add(ch, entries)
	}
	return nil
}

// finishTransfer publishes the received state once it is complete.
func (r *Replica) finishTransfer() {
	t := r.transfer
	if t == nil || !t.complete() {
		return
	}
	r.transfer = nil
	r.publish(t.base, t.state, t.records)
}

// sortedKey is an entry key and its text, by which a transfer is ordered.
type sortedKey struct {
	key      string
	entryKey sageconfig.EntryKey
}

// keyIndex holds the entry keys of one revision in order.
type keyIndex struct {
	revision uint64
	keys     []sortedKey
}

// indexOf returns the entry keys of s in order. The index is built once for each revision that is sent.
func (r *Replica) indexOf(s *Snapshot) []sortedKey {
	if r.index.revision == s.Revision {
		return r.index.keys
	}
	keys := make([]sortedKey, 0, s.State.Len())
	for t := range s.State.All() {
		keys = append(keys, sortedKey{key: t.String(), entryKey: t})
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].key < keys[j].key })
	r.index = keyIndex{revision: s.Revision, keys: keys}
	return keys
}

// nextChunk returns the next chunk for a peer whose transfer is at t and whose fragment is at p.
func (r *Replica) nextChunk(t *transferDigest, p *partialDigest, budget int) *chunk {
	s := r.Current()
	keys := r.indexOf(s)
	ch := &chunk{Revision: s.Revision}
	if t != nil {
		ch.After = t.After
	}
	ch.Last = ch.After
	i := sort.Search(len(keys), func(i int) bool { return keys[i].key > ch.After })
	for size := 0; i < len(keys); i++ {
		e, _ := s.State.Get(keys[i].entryKey)
		raw := encode(e)
		if size += len(raw) + 1; size > budget {
			if len(ch.Entries) == 0 {
				id := fmt.Sprintf("entry/%s/%d", keys[i].key, e.TicketNumber)
				ch.Fragment = nextFragment(id, raw, p, budget*3/4)
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
