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

// Evidence states that Revision was the newest revision in the store at the instant At.
type Evidence struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

// digest describes to a peer what this node holds and how far an unfinished transfer has come.
type digest struct {
	Revision uint64   `json:"revision"`
	Observed uint64   `json:"heard"`
	Evidence Evidence `json:"evidence,omitzero"`
	// Contacts holds the last known contact with each roster node, in milliseconds of Unix time.
	Contacts map[string]int64 `json:"contacts,omitempty"`
	// Partial describes an incomplete fragmented record or entry, nil if there is none.
	Partial *partialDigest `json:"partial,omitempty"`
	// Transfer describes an unfinished state transfer, nil if there is none.
	Transfer *transferDigest `json:"copy,omitempty"`
}

// transferDigest is the receiver's progress in a state transfer. Until Done, the next chunk starts
// after the cursor After; from then on, the records above Base are needed.
type transferDigest struct {
	After string `json:"after,omitempty"`
	Done  bool   `json:"done,omitempty"`
	Base  uint64 `json:"base"`
}

// delta is the data that one exchange brings to a node.
type delta struct {
	Evidence Evidence `json:"evidence,omitzero"`
	// Records holds encoded records of consecutive revisions.
	Records  []json.RawMessage `json:"records,omitempty"`
	Fragment *fragment         `json:"fragment,omitempty"`
	Chunk    *chunk            `json:"chunk,omitempty"`
}

// partialDigest says how many bytes of a fragmented record or entry have been received.
type partialDigest struct {
	ID       string `json:"of"`
	Received int    `json:"have"`
}

// fragment is a part of a record or entry that exceeds the byte budget of one exchange. ID names the
// record or entry; data with the same ID has the same content on every node.
type fragment struct {
	ID     string `json:"of"`
	Offset int    `json:"offset"`
	Total  int    `json:"total"`
	Bytes  []byte `json:"bytes"`
}

// chunk holds the entries of the state at Revision, sorted by key, whose keys are above After and at
// most Last. If the next entry alone exceeds the budget, the chunk holds a fragment of it instead.
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
		panic("sagesync: encode wire type: " + err.Error())
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

// maxFragmentedBytes bounds the total size of a record or entry that a peer sends in fragments.
const maxFragmentedBytes = 2 * sageconfig.MaxTicketBytes

// Check returns an error if the fragment lies outside the data that it is part of, or the data is too
// large.
func (f *fragment) Check() error {
	if f.Total <= 0 || f.Total > maxFragmentedBytes || f.Offset < 0 || f.Offset > f.Total-len(f.Bytes) {
		return fmt.Errorf("fragment at offset %d of %d bytes is out of bounds: %w", f.Offset, f.Total, ErrBadDelta)
	}
	return nil
}

func decodeEntry(b []byte) (sageconfig.Entry, error) {
	var e sageconfig.Entry
	if err := json.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("decode entry: %v: %w", err, ErrBadDelta)
	}
	if err := e.Change.Check(); err != nil || e.TicketNumber == 0 {
		return e, fmt.Errorf("invalid entry %d: %v: %w", e.TicketNumber, err, ErrBadDelta)
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

// Check returns an error if a fragment in the delta is invalid.
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
