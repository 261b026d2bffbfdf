package sageticket

import (
	"context"
	"fmt"
	"sync"

	"sagestand.example/sagestand/pkg/sageobject"
)

// delayedPut loses the first put on its way; the store takes it when arrive is called, and refuses
// every other.
type delayedPut struct {
	*faults
	arrive func()
}

func (d *delayedPut) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	if d.arrive != nil {
		return 0, fmt.Errorf("injected: %w", sageobject.ErrUnavailable)
	}
	d.arrive = func() { _, _ = d.faults.Put(ctx, key, value, want) }
	return 0, fmt.Errorf("injected: %w", sageobject.ErrUnknown)
}

// interposed lets others act right before its read number at; reads go one at a time.
type interposed struct {
	*sageobject.Memory
	at  int
	act func()

	mu    sync.Mutex
	reads int
}

func (s *interposed) Get(ctx context.Context, key string) (sageobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads++; s.reads == s.at {
		s.act()
	}
	return s.Memory.Get(ctx, key)
}
