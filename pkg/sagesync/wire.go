package sagesync

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageconfig"
)

// ErrBadDelta reports a delta that can't be merged.
var ErrBadDelta = errors.New("malformed configuration delta")

// Evidence says that at an instant the store's newest revision was Revision.
type Evidence struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

// digest tells a peer what this node holds and where an unfinished transfer stands.
type digest struct {
	Revision uint64   `json:"revision"`
	Heard    uint64   `json:"heard"`
	Evidence Evidence `json:"evidence,omitzero"`
	// Contacts says when the nodes of the roster were last there, in milliseconds of Unix time.
	Contacts map[string]int64 `json:"contacts,omitempty"`
	// Partial is the unfinished fragmented piece, nil if there is none.
	Partial *partial `json:"partial,omitempty"`
	// Copy describes an unfinished transfer of the state; nil if none is under way.
	Copy *copyDigest `json:"copy,omitempty"`
}

// copyDigest is the receiver's side of a transfer of the state. While it is not Done, the next
// chunk is the one after the cursor After; then the records above Base are needed.
type copyDigest struct {
	After string `json:"after,omitempty"`
	Done  bool   `json:"done,omitempty"`
	Base  uint64 `json:"base"`
}

// delta is what one exchange brings.
type delta struct {
	Evidence Evidence `json:"evidence,omitzero"`
	// Records holds consecutive encoded records.
	Records  []json.RawMessage `json:"records,omitempty"`
	Fragment *fragment         `json:"fragment,omitempty"`
	Chunk    *chunk            `json:"chunk,omitempty"`
}

// partial tells how much of a fragmented piece has arrived.
type partial struct {
	Of   string `json:"of"`
	Have int    `json:"have"`
}

// fragment is a part of a record or entry that exceeds the byte budget of one exchange. Of names
// the whole; wholes of one name have one content on every node.
type fragment struct {
	Of     string `json:"of"`
	Offset int    `json:"offset"`
	Total  int    `json:"total"`
	Bytes  []byte `json:"bytes"`
}

// chunk holds the entries of the state at Revision, in the order of things, above After up to Last;
// or, when the one next entry exceeds the budget, a fragment of it.
type chunk struct {
	Revision uint64            `json:"revision"`
	After    string            `json:"after,omitempty"`
	Last     string            `json:"last"`
	Done     bool              `json:"done,omitempty"`
	Entries  []json.RawMessage `json:"entries,omitempty"`
	Fragment *fragment         `json:"fragment,omitempty"`
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("sagesync: wire types always encode: " + err.Error())
	}
	return b
}

func decodeDigest(b []byte) digest {
	var d digest
	if err := json.Unmarshal(b, &d); err != nil {
		return digest{}
	}
	return d
}

// maxFragmented bounds the record that a peer may announce in fragments.
const maxFragmented = 2 * sageconfig.MaxTicketBytes

// Check reports a fragment that lies outside its record.
func (f *fragment) Check() error {
	if f.Total <= 0 || f.Total > maxFragmented || f.Offset < 0 || f.Offset > f.Total-len(f.Bytes) {
		return fmt.Errorf("fragment at %d of %d: %w", f.Offset, f.Total, ErrBadDelta)
	}
	return nil
}

func decodeEntry(b []byte) (sageconfig.Entry, error) {
	var e sageconfig.Entry
	if err := json.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("entry: %v: %w", err, ErrBadDelta)
	}
	if err := e.Change.Check(); err != nil || e.TicketNumber == 0 {
		return e, fmt.Errorf("entry %d: %v: %w", e.TicketNumber, err, ErrBadDelta)
	}
	return e, nil
}

func decodeDelta(b []byte) (*delta, error) {
	b, err := unpack(b)
	if err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	d := new(delta)
	if err := json.Unmarshal(b, d); err != nil {
		return nil, fmt.Errorf("decode delta: %v: %w", err, ErrBadDelta)
	}
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	return d, nil
}

// Check reports a fragment that lies outside its whole.
func (d *delta) Check() error {
	if d.Fragment != nil {
		if err := d.Fragment.Check(); err != nil {
			return err
		}
	}
	if d.Chunk != nil && d.Chunk.Fragment != nil {
		return d.Chunk.Fragment.Check()
	}
	return nil
}
