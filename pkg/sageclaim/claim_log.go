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

// State is the state of a key.
type State string

// The states.
const (
	// StateClaimed means that a router may be running the request, or failed while it did.
	StateClaimed State = "claimed"
	// StateFinished means that the request ended with Outcome.
	StateFinished State = "finished"
	// StateReleased means that the request didn't run; the next claim of the key can be granted.
	StateReleased State = "released"
)

// Record is the current state of a key.
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

// Unresolved reports whether an operator has to decide if the request ran: its outcome is unknown, or
// its deadline has passed without an outcome.
func (r *Record) Unresolved(now time.Time) bool {
	if r.State == StateFinished {
		return r.Outcome == sagewire.Unknown
	}
	return r.State == StateClaimed && now.After(r.Deadline)
}

type logKey struct{ account, key string }

// ClaimLog is a decoded claim object. The zero value is empty.
type ClaimLog struct {
	records map[logKey]*Record
	order   []logKey
	lines   []byte
}

// maxDecompressedBytes bounds a decompressed object, so that a small malformed object can't exhaust the
// memory.
const maxDecompressedBytes = 4 * sageobject.MaxValueBytes

// DecodeClaimLog decodes and checks a claim object.
func DecodeClaimLog(value []byte) (*ClaimLog, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, fmt.Errorf("decompress claims: %v: %w", err, ErrInvalidEntry)
	}
	decompressed, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil || len(decompressed) > maxDecompressedBytes {
		return nil, fmt.Errorf("decompress claims, %d bytes: %v: %w", len(decompressed), err, ErrInvalidEntry)
	}
	entries, err := decodeEntries(decompressed)
	if err != nil {
		return nil, fmt.Errorf("decode claims: %w", err)
	}
	log := new(ClaimLog)
	for i := range entries {
		log.Apply(&entries[i])
	}
	// Keep lines that have no effect, so that the object is only ever appended to.
	log.lines = decompressed
	return log, nil
}

// gzipWriters keeps a few idle writers of about a megabyte each. A [sync.Pool] would drop them at
// garbage collections.
var gzipWriters = make(chan *gzip.Writer, 4)

func gzipWriter() *gzip.Writer {
	select {
	case w := <-gzipWriters:
		return w
	default:
	}
	w, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic("sageclaim: invalid compression level: " + err.Error())
	}
	return w
}

// Encode returns the compressed object.
func (log *ClaimLog) Encode() []byte {
	var buf bytes.Buffer
	w := gzipWriter()
	defer func() {
		select {
		case gzipWriters <- w:
		default:
		}
	}()
	w.Reset(&buf)
	if _, err := w.Write(log.lines); err != nil {
		panic("sageclaim: writing to memory never fails: " + err.Error())
	}
	if err := w.Close(); err != nil {
		panic("sageclaim: writing to memory never fails: " + err.Error())
	}
	return buf.Bytes()
}

// Records returns the records of all keys in the order of their first claims.
func (log *ClaimLog) Records() []Record {
	out := make([]Record, 0, len(log.order))
	for _, k := range log.order {
		out = append(out, *log.records[k])
	}
	return out
}

// Record returns the record of a key.
func (log *ClaimLog) Record(account, key string) (Record, bool) {
	r, ok := log.records[logKey{account, key}]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Apply appends e if it has an effect and reports whether it has. Applying an entry twice has no
// further effect, so an entry can be sent again if it may not have been written.
func (log *ClaimLog) Apply(e *Entry) bool {
	k := logKey{e.Account, e.Key}
	r := log.records[k]
	if !hasEffect(r, e) {
		return false
	}
	if r == nil {
		r = &Record{Account: e.Account, Key: e.Key}
		if log.records == nil {
			log.records = make(map[logKey]*Record)
		}
		log.records[k] = r
		log.order = append(log.order, k)
	}
	r.apply(e)
	log.lines = append(log.lines, e.encode()...)
	return true
}

// hasEffect reports whether e changes r; r is nil for a key without claims.
//
// It prevents two runs of a key: a claim is granted only if the key is free, and only a release by the
// claim's own holder or an operator's resolution frees a key. The deadline alone doesn't: the holder
// may be paused and send the request later.
func hasEffect(r *Record, e *Entry) bool {
	if e.Op == OpClaim {
		// A released record keeps its claim ID, so that a delayed copy of that claim isn't granted
		// again.
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

// Check reports a missing field, or a state and outcome that don't match, wrapped around
// [ErrInvalidEntry].
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
