package sageticket

import (
	"context"
	"fmt"
	"sync"

	"sagestand.example/sagestand/pkg/sageobject"
)

// delayedPut delays the first put and reports its outcome as unknown. The put takes effect when deliver
// is called. All other puts are rejected.
type delayedPut struct {
	*faultyStore
	deliver func()
}

func (d *delayedPut) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	if d.deliver != nil {
		return 0, fmt.Errorf("injected: %w", sageobject.ErrUnavailable)
	}
	d.deliver = func() { _, _ = d.faultyStore.Put(ctx, key, value, want) }
	return 0, fmt.Errorf("injected: %w", sageobject.ErrUnknown)
}

// readHook calls hook right before read number atRead. It serialises reads.
type readHook struct {
	*sageobject.Memory
	atRead int
	hook   func()

	mu    sync.Mutex
	reads int
}

func (s *readHook) Get(ctx context.Context, key string) (sageobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads++; s.reads == s.atRead {
		s.hook()
	}
	return s.Memory.Get(ctx, key)
}
