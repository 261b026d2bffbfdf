package sagefollow

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// ErrGone reports that the store no longer has the history after a revision, so the kind has to be listed.
var ErrGone = errors.New("history is gone")

// ErrOutdated reports an answer of the store from before a state that the copy had when the call started.
var ErrOutdated = errors.New("answer is outdated")

// Object is one object of a kind.
type Object struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// Era is the store's era in which this state was read.
	Era uint64 `json:"era,omitempty"`
	// Created is the revision at which the object was created, in this era or an earlier one.
	Created uint64          `json:"created,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	// Status is what has been written about the object since its creation.
	Status json.RawMessage `json:"status,omitempty"`
}

// Point returns the point in the store's history as of which the object has this state.
func (o *Object) Point() Point { return Point{o.Era, o.Revision} }

// Change is an object after a change, or in its last state if it was deleted.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
	// Missing says, in a full delta from a peer, that the restored store lacks the object, which stays in force.
	Missing bool `json:"missing,omitempty"`
	// Hidden says, in a full delta from a peer, that the restored store has the object, which stays deleted.
	Hidden bool `json:"hidden,omitempty"`
	// Rewritten says that the object replaces one of an earlier era with the same content.
	Rewritten bool `json:"-"`
	// Lost says that a restored store lacks the object although nobody deleted it. Deleted is set as well.
	Lost bool `json:"-"`
	// Revived says that a restored store has the object although it had been deleted.
	Revived bool `json:"-"`
}

// Delta brings a copy up to the revision AsOf. If Full is set it contains all objects, else the changes since the
// point for which it was requested.
type Delta struct {
	Full    bool     `json:"full,omitempty"`
	Changes []Change `json:"changes,omitempty"`
	AsOf    uint64   `json:"as_of"`
	// Era is the era of AsOf.
	Era uint64 `json:"era,omitempty"`
	// Base is set in a full delta from a peer: the point in an earlier era up to which its changes stay in force. Objects
	// of earlier eras are among the changes, as are deletions.
	Base Point `json:"base"`
}

// Page is one page of a listing.
type Page struct {
	Changes []Change
	// AsOf is the store's revision at which the page was read.
	AsOf uint64
	// Era is the store's era in which the page was read.
	Era uint64
	// Next is the name after which the next page begins; empty if this is the last one.
	Next string
}

// Source is the store.
type Source interface {
	// List returns a page of the objects of a kind in the order of their names, starting behind the name
	// after; an empty name means from the first.
	List(ctx context.Context, kind, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there are any, or none after wait. It returns
	// [ErrGone] if the history after the revision is gone.
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (Delta, error)
	// ResetConnections makes later calls use new connections.
	ResetConnections()
}

// Peers are the other nodes.
type Peers interface {
	// Fetch returns the changes of a kind after a point that a peer knows. It fails if the peer stalls.
	Fetch(ctx context.Context, peer, kind string, since Point) (Delta, error)
}

// Position describes how current a copy is.
type Position struct {
	// AsOf is the revision of the store up to which the copy is complete.
	AsOf uint64
	// Era is the era of the revisions.
	Era uint64
	// Base is the point in an earlier era up to which changes stay in force.
	Base Point
	// ContentRevision is the revision as of which the content last changed.
	ContentRevision uint64
	// ProofAgeMillis is the age of the freshness proof; negative if there is none.
	ProofAgeMillis int64
}
