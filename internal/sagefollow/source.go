package sagefollow

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrGone reports that the history after a revision is no longer there: the kind has to be listed.
var ErrGone = errors.New("history is gone")

// ErrPosition reports a position that can't be read.
var ErrPosition = errors.New("malformed position")

// Object is one object of a kind.
type Object struct {
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// Change is an object as it is now, or as it was when it was deleted.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Delta leads from one revision to another: all objects if Full, else what changed.
type Delta struct {
	Full    bool     `json:"full,omitempty"`
	Changes []Change `json:"changes,omitempty"`
	AsOf    uint64   `json:"as_of"`
}

// Source is the store.
type Source interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (Delta, error)
	// Watch returns the changes after a revision, at the latest after wait, or [ErrGone].
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (Delta, error)
}

// Peers are the other nodes.
type Peers interface {
	// Fetch returns what a peer knows of a kind beyond a revision.
	Fetch(ctx context.Context, peer, kind string, since uint64) (Delta, error)
}

// Position is how far a copy is. On the wire it is a list, since heartbeats carry several.
type Position struct {
	// AsOf is the revision of the store up to which the copy is complete.
	AsOf uint64
	// Content is the revision as of which the content last changed.
	Content uint64
	// AgeMillis is the age of the proof; negative if there is none.
	AgeMillis int64
}

// MarshalJSON implements [json.Marshaler].
func (p Position) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "[%d,%d,%d]", p.AsOf, p.Content, p.AgeMillis), nil
}

// UnmarshalJSON implements [json.Unmarshaler].
func (p *Position) UnmarshalJSON(b []byte) error {
	var l []json.Number
	if err := json.Unmarshal(b, &l); err != nil {
		return fmt.Errorf("decode position: %w", err)
	}
	if len(l) != 3 {
		return fmt.Errorf("position of %d numbers: %w", len(l), ErrPosition)
	}
	var err [3]error
	p.AsOf, err[0] = strconv.ParseUint(l[0].String(), 10, 64)
	p.Content, err[1] = strconv.ParseUint(l[1].String(), 10, 64)
	p.AgeMillis, err[2] = l[2].Int64()
	for _, e := range err {
		if e != nil {
			return fmt.Errorf("%v: %w", e, ErrPosition)
		}
	}
	return nil
}
