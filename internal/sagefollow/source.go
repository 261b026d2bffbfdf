package sagefollow

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// ErrGone reports that the history after a revision is no longer there: the kind has to be listed.
var ErrGone = errors.New("history is gone")

// Object is one object of a kind.
type Object struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// Created is the revision at which it was created.
	Created uint64          `json:"created,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	// Status is what was written about the object since.
	Status json.RawMessage `json:"status,omitempty"`
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

// Page is a part of a listing.
type Page struct {
	Changes []Change
	AsOf    uint64
	// Next is the name after which the next page begins; empty if this is the last one.
	Next string
}

// Source is the store.
type Source interface {
	// List returns the objects of a kind with names after one, in order, or the first of them.
	List(ctx context.Context, kind, after string) (Page, error)
	// Watch returns the changes after a revision, at the latest after wait, or [ErrGone].
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (Delta, error)
	// Renew has the next calls use connections that no call has used before.
	ResetConnections()
}

// Peers are the other nodes.
type Peers interface {
	// Fetch returns what a peer knows of a kind beyond a revision.
	Fetch(ctx context.Context, peer, kind string, since uint64) (Delta, error)
}

// Position is how far a copy is.
type Position struct {
	// AsOf is the revision of the store up to which the copy is complete.
	AsOf uint64
	// Content is the revision as of which the content last changed.
	ContentRevision uint64
	// AgeMillis is the age of the proof; negative if there is none.
	ProofAgeMillis int64
}
