package sageobject

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Op is an operation of a store, as passed to the hooks of [Memory].
type Op string

// The operations.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
	OpList   Op = "list"
)

// Memory is an in-memory store. The zero value is ready for use.
//
// Before and After are optional hooks for fault injection and must be set before first use. They are
// called before and after the effect of each operation, except that After is not called for a list. An
// error that one returns is returned by the operation. An error of Before prevents the effect, as in an
// outage. An error of After simulates a lost response to an operation that took effect, and should wrap
// [ErrUnknown] for writes.
type Memory struct {
	Before func(op Op, key string) error
	After  func(op Op, key string) error

	mu          sync.Mutex
	objects     map[string]Object
	changed     chan struct{}
	lastVersion int64
	calls       map[Op]int64
}

func (m *Memory) before(op Op, key string) error {
	m.mu.Lock()
	if m.calls == nil {
		m.calls = make(map[Op]int64)
	}
	m.calls[op]++
	m.mu.Unlock()
	if m.Before == nil {
		return nil
	}
	return m.Before(op, key)
}

func (m *Memory) after(op Op, key string) error {
	if m.After == nil {
		return nil
	}
	return m.After(op, key)
}

// Calls returns how often each operation was called.
func (m *Memory) Calls() map[Op]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := make(map[Op]int64, len(m.calls))
	for op, n := range m.calls {
		c[op] = n
	}
	return c
}

// Get implements [Store].
func (m *Memory) Get(_ context.Context, key string) (Object, error) {
	if err := m.before(OpGet, key); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	o, ok := m.objects[key]
	m.mu.Unlock()
	if err := m.after(OpGet, key); err != nil {
		return Object{}, err
	}
	if !ok {
		return Object{}, fmt.Errorf("get %s: %w", key, ErrNotFound)
	}
	return o, nil
}

// Put implements [Store].
func (m *Memory) Put(_ context.Context, key string, value []byte, expected int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put %s, %d bytes: %w", key, len(value), ErrTooLarge)
	}
	if err := m.before(OpPut, key); err != nil {
		return 0, err
	}
	v, err := m.put(key, value, expected)
	if err != nil {
		return 0, err
	}
	if err := m.after(OpPut, key); err != nil {
		return 0, err
	}
	return v, nil
}

func (m *Memory) put(key string, value []byte, expected int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.objects[key].Version
	if expected != AnyVersion && expected != current {
		return 0, fmt.Errorf("put %s: have version %d, want %d: %w", key, current, expected, ErrConflict)
	}
	if m.objects == nil {
		m.objects = make(map[string]Object)
	}
	m.lastVersion++
	m.objects[key] = Object{Key: key, Version: m.lastVersion, Value: append([]byte(nil), value...)}
	m.notifyWatchers()
	return m.lastVersion, nil
}

// Delete implements [Store].
func (m *Memory) Delete(_ context.Context, key string, expected int64) error {
	if err := m.before(OpDelete, key); err != nil {
		return err
	}
	if err := m.remove(key, expected); err != nil {
		return err
	}
	return m.after(OpDelete, key)
}

func (m *Memory) remove(key string, expected int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return fmt.Errorf("delete %s: %w", key, ErrNotFound)
	}
	if expected != AnyVersion && expected != o.Version {
		return fmt.Errorf("delete %s: have version %d, want %d: %w", key, o.Version, expected, ErrConflict)
	}
	delete(m.objects, key)
	m.notifyWatchers()
	return nil
}

// notifyWatchers wakes all waiting calls of Watch; mu is held.
func (m *Memory) notifyWatchers() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Watch implements [Store].
func (m *Memory) Watch(ctx context.Context, key string, after int64) (Object, error) {
	if err := m.before(OpWatch, key); err != nil {
		return Object{}, err
	}
	for {
		m.mu.Lock()
		o := m.objects[key]
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if o.Version > after {
			return o, m.after(OpWatch, key)
		}
		select {
		case <-ctx.Done():
			return Object{}, fmt.Errorf("watch %s: %w", key, ctx.Err())
		case <-changed:
		}
	}
}

// List implements [Store].
func (m *Memory) List(_ context.Context, prefix string) ([]Meta, error) {
	if err := m.before(OpList, prefix); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var metas []Meta
	for k, o := range m.objects {
		if strings.HasPrefix(k, prefix) {
			metas = append(metas, Meta{Key: k, Version: o.Version})
		}
	}
	sort.Slice(metas, func(i, j int) bool { return metas[i].Key < metas[j].Key })
	return metas, nil
}
