package sageobject

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValueBytes is the greatest size of a value in bytes.
const MaxValueBytes = 1 << 20

// Errors of a store; every error that a [Store] returns wraps one of them or a context's error.
var (
	// ErrNotFound: no object of that key exists.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object's version is not the expected one; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable: the store refused or couldn't be reached; nothing was written.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrUnknown: the answer to a write was lost; it may have taken effect.
	ErrUnknown = errors.New("outcome of object write unknown")
	// ErrTooLarge: the value exceeds [MaxValueBytes]; nothing was written.
	ErrTooLarge = errors.New("object value too large")
)

// AnyVersion as the expected version of a put writes unconditionally.
const AnyVersion int64 = -1

// NoVersion as the expected version of a put requires that the object does not exist.
const NoVersion int64 = 0

// Object is a value with its version. Versions of a key grow with each write, starting above 0.
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

// Store is the platform's Object API as the system uses it.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is want, and returns the new version.
	Put(ctx context.Context, key string, value []byte, want int64) (int64, error)
	// Delete removes the object if its version is want.
	Delete(ctx context.Context, key string, want int64) error
	// Watch blocks until the version of key exceeds after, and returns the object then. It returns
	// ctx's error when ctx ends first, and ErrUnavailable when the store goes away.
	Watch(ctx context.Context, key string, after int64) (Object, error)
	// List returns the objects whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Meta, error)
}
