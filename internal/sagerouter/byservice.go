package sagerouter

import "sync"

// byService holds one value for each service, created on first use. The zero value is ready to use. Services are named
// by the configuration, so their number is limited.
type byService[T any] struct {
	mu     sync.Mutex
	values map[string]*T
}

// get returns the value of a service, which is made by create if there is none.
func (b *byService[T]) get(service string, create func() *T) *T {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := b.values[service]; v != nil {
		return v
	}
	if b.values == nil {
		b.values = make(map[string]*T)
	}
	v := create()
	b.values[service] = v
	return v
}

// each calls visit for each value, in no particular order.
func (b *byService[T]) each(visit func(v *T)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range b.values {
		visit(v)
	}
}
