package sageclaim

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// State is where the request of a key stands.
type State string

// The states.
const (
	// Claimed: a router may be running it, or died while it did.
	StateClaimed State = "claimed"
	// Finished: it ended with Outcome.
	StateFinished State = "finished"
	// Released: it didn't run; the key is free for the next claim.
	StateReleased State = "released"
)

// Record is the present state of a key.
type Record struct {
	Account     string           `json:"account"`
	Key         string           `json:"key"`
	ClaimID     string           `json:"claim_id"`
	Fingerprint string           `json:"fingerprint"`
	Deadline    time.Time        `json:"deadline"`
	State       State            `json:"state"`
	Outcome     sagewire.Outcome `json:"outcome,omitempty"`
	Status      int              `json:"status,omitempty"`
}

// Unsettled reports whether at now only a person can say if the request ran: its outcome is unknown,
// or its deadline passed without an outcome.
func (r *Record) Unresolved(now time.Time) bool {
	if r.State == StateFinished {
		return r.Outcome == sagewire.Unknown
	}
	return r.State == StateClaimed && now.After(r.Deadline)
}

type bookKey struct{ account, key string }

// ClaimLog is one claim object, decoded. The zero value is empty.
type ClaimLog struct {
	records map[bookKey]*Record
	order   []bookKey
	encoded []byte
}

// maxLines bounds a decompressed object, so that a small malformed one can't fill the memory.
const maxLines = 4 * sageobject.MaxValueBytes

// DecodeClaimLog decodes and checks a claim object.
func DecodeClaimLog(value []byte) (*ClaimLog, error) {
	z, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, fmt.Errorf("decompress claims: %v: %w", err, ErrInvalidEntry)
	}
	b, err := io.ReadAll(io.LimitReader(z, maxLines+1))
	if err != nil || len(b) > maxLines {
		return nil, fmt.Errorf("decompress claims, %d bytes: %v: %w", len(b), err, ErrInvalidEntry)
	}
	entries, err := decodeEntries(b)
	if err != nil {
		return nil, fmt.Errorf("decode claims: %w", err)
	}
	book := new(ClaimLog)
	for i := range entries {
		book.Apply(&entries[i])
	}
	// Lines without effect stay in the object, so that its bytes only ever grow.
	book.encoded = b
	return book, nil
}

// compressors keeps a few compressors, each of which takes about a megabyte, from one commit to the
// next. A [sync.Pool] loses them at each garbage collection.
var compressors = make(chan *gzip.Writer, 4)

func compressor() *gzip.Writer {
	select {
	case z := <-compressors:
		return z
	default:
	}
	z, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic("sageclaim: the level is valid: " + err.Error())
	}
	return z
}

// Encode returns the object: its lines, compressed.
func (b *ClaimLog) Encode() []byte {
	var buf bytes.Buffer
	z := compressor()
	defer func() {
		select {
		case compressors <- z:
		default:
		}
	}()
	z.Reset(&buf)
	if _, err := z.Write(b.encoded); err != nil {
		panic("sageclaim: writing to memory never fails: " + err.Error())
	}
	if err := z.Close(); err != nil {
		panic("sageclaim: writing to memory never fails: " + err.Error())
	}
	return buf.Bytes()
}

// Records returns the state of each key, in the order of their first claims.
func (b *ClaimLog) Records() []Record {
	out := make([]Record, 0, len(b.order))
	for _, k := range b.order {
		out = append(out, *b.records[k])
	}
	return out
}

// Record returns the state of a key.
func (b *ClaimLog) Record(account, key string) (Record, bool) {
	r, ok := b.records[bookKey{account, key}]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Apply judges an entry. If it has an effect it is appended and Apply reports true. The same entry a
// second time has none, so an entry may be sent again while it isn't known to have arrived.
func (b *ClaimLog) Apply(e *Entry) bool {
	k := bookKey{e.Account, e.Key}
	r := b.records[k]
	if !changes(r, e) {
		return false
	}
	if r == nil {
		r = &Record{Account: e.Account, Key: e.Key}
		if b.records == nil {
			b.records = make(map[bookKey]*Record)
		}
		b.records[k] = r
		b.order = append(b.order, k)
	}
	r.apply(e)
	b.encoded = append(b.encoded, e.encode()...)
	return true
}

// changes reports whether e has an effect on r.
//
// It guards against two runs of one key: a claim has an effect only on a free key, and nothing but
// the word of the claim's own holder, or of a person, frees a key. Time alone never does: the holder
// may be paused and send the request later.
func changes(r *Record, e *Entry) bool {
	if e.Op == OpClaim {
		// A released claim stays as a mark, so that its own late copy doesn't claim again.
		return r == nil || (r.State == StateReleased && r.ClaimID != e.ClaimID)
	}
	if r == nil || r.ClaimID != e.ClaimID {
		return false
	}
	switch e.Op {
	case OpFinish:
		return r.State == StateClaimed
	case OpRelease:
		return r.State == StateClaimed
	case OpResolve:
		return r.State == StateClaimed || (r.State == StateFinished && r.Outcome == sagewire.Unknown)
	}
	return false
}

func (r *Record) apply(e *Entry) {
	switch e.Op {
	case OpClaim:
		r.ClaimID, r.Fingerprint, r.Deadline = e.ClaimID, e.Fingerprint, e.Deadline
		r.State, r.Outcome, r.Status = StateClaimed, "", 0
	case OpFinish:
		r.State, r.Outcome, r.Status = StateFinished, e.Outcome, e.Status
	case OpRelease:
		r.State = StateReleased
	case OpResolve:
		r.State, r.Outcome, r.Status = StateFinished, e.Outcome, e.Status
		if e.Outcome == sagewire.NotRun {
			r.State = StateReleased
		}
	}
}

// Check reports a record that contradicts itself, wrapped around [ErrInvalidEntry].
func (r *Record) Check() error {
	if r.Account == "" || r.Key == "" || r.ClaimID == "" {
		return fmt.Errorf("record without account, key or claim_id: %w", ErrInvalidEntry)
	}
	switch r.State {
	case StateClaimed, StateReleased:
		return nil
	case StateFinished:
		if r.Outcome == sagewire.Complete || r.Outcome == sagewire.Unknown {
			return nil
		}
	}
	return fmt.Errorf("record in state %q with outcome %q: %w", r.State, r.Outcome, ErrInvalidEntry)
}

// DecodeRecord decodes and checks a record.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %v: %w", err, ErrInvalidEntry)
	}
	if err := r.Check(); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}
