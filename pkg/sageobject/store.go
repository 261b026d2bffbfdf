package sageobject

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValueBytes is the greatest size of a value.
const MaxValueBytes = 1 << 20

// Errors of a store. Every error that a [Store] returns wraps one of them or is a context's error.
var (
	// ErrNotFound means that no object with the key exists.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the store refused the request or couldn't be reached; nothing was
	// written.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrUnknown means that the response to a write was lost; the write may have taken effect.
	ErrUnknown = errors.New("outcome of object write unknown")
	// ErrTooLarge means that the value exceeds [MaxValueBytes]; nothing was written.
	ErrTooLarge = errors.New("object value too large")
)

// AnyVersion as the expected version makes a write unconditional.
const AnyVersion int64 = -1

// NoVersion as the expected version of a put requires that the object doesn't exist.
const NoVersion int64 = 0

// Object is a value with its version. The versions of a key increase with each write and are above 0.
type Object struct {
	Key     string
	Version int64
	Value   []byte
}

// Meta is an object without its value.
type Meta struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Store is the platform's Object API.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if expected is the object's version, and returns the new version.
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	// Delete removes the object if expected is its version.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch blocks until the version of key exceeds after, and returns the object then. It returns
	// ctx's error if ctx ends first, and ErrUnavailable if the store becomes unavailable.
	Watch(ctx context.Context, key string, after int64) (Object, error)
	// List returns the objects whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Meta, error)
}
