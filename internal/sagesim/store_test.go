package sagesim

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sagestand.example/sagestand/internal/sagefollow"
)

// The store.
const (
	storeLatency = 2 * time.Millisecond // one way, with half of the time that an answer takes
	pageSize     = 200
	// objectBytes is the size of an upstream's entry in an answer of the store.
	objectBytes = 300
	// objectDecodeTime and objectEncodeTime are the usual processor time for one object of a copy.
	objectDecodeTime = 6 * time.Microsecond
	objectEncodeTime = 2 * time.Microsecond
	// compressTime is the processor time to compress one object, copiedBytes its compressed size.
	compressTime = 3 * time.Microsecond
	copiedBytes  = 45
)

var (
	errLimited = errors.New("store: too many calls")
	errOut     = errors.New("store: out")
)

// store is the platform's store.
type store struct {
	mu       sync.Mutex
	kinds    map[string]map[string]sagefollow.Object
	names    map[string][]string // sorted
	log      map[string][]sagefollow.Change
	revision uint64
	changed  chan struct{} // closed at each change
	limiter  *rate.Limiter
	out      bool
	calls    int
	refused  int
	// staleCalls are calls that may be answered with outdated data, which cost a tenth.
	staleCalls int
}

func newStore(readsPerSecond float64) *store {
	return &store{
		kinds: make(map[string]map[string]sagefollow.Object), names: make(map[string][]string), log: make(map[string][]sagefollow.Change),
		changed: make(chan struct{}), limiter: rate.NewLimiter(rate.Limit(readsPerSecond), int(readsPerSecond/10)),
	}
}

// put creates or changes an object and returns its revision.
func (s *store) put(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]sagefollow.Object)
	}
	o := sagefollow.Object{Name: name, Revision: s.revision, Created: s.revision}
	if _, ok := s.kinds[kind][name]; !ok {
		names := s.names[kind]
		i := sort.SearchStrings(names, name)
		s.names[kind] = append(names[:i:i], append([]string{name}, names[i:]...)...)
	}
	s.kinds[kind][name] = o
	s.log[kind] = append(s.log[kind], sagefollow.Change{Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// fill creates many objects whose changes nobody has to watch.
func (s *store) fill(kind string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind] = make(map[string]sagefollow.Object, n)
	for i := range n {
		s.revision++
		name := fmt.Sprintf("i-%08d", i)
		s.kinds[kind][name] = sagefollow.Object{Name: name, Revision: s.revision, Created: s.revision}
		s.names[kind] = append(s.names[kind], name)
	}
}

// admit counts a call, and refuses it if the store is out or its rate is exceeded.
func (s *store) admit(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(storeLatency):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.out:
		s.refused++
		return errOut
	case !s.limiter.AllowN(time.Now(), 1):
		s.refused++
		return errLimited
	}
	return nil
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// admitStale counts a call that may be answered with outdated data. It doesn't count toward the rate.
func (s *store) admitStale() {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleCalls++
}

// storeLink is one node's path to the store. It implements [sagefollow.Source].
type storeLink struct {
	*store
	node *node
}

func (l storeLink) List(ctx context.Context, kind, after string) (sagefollow.Page, error) {
	if err := l.admit(ctx); err != nil {
		return sagefollow.Page{}, err
	}
	l.mu.Lock()
	names := l.names[kind]
	from := sort.Search(len(names), func(i int) bool { return names[i] > after })
	to := min(from+pageSize, len(names))
	page := sagefollow.Page{AsOf: l.revision}
	for _, name := range names[from:to] {
		page.Changes = append(page.Changes, sagefollow.Change{Object: l.kinds[kind][name]})
	}
	if to < len(names) {
		page.Next = names[to-1]
	}
	l.mu.Unlock()
	l.receive(len(page.Changes))
	return page, ctx.Err()
}

func (l storeLink) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (sagefollow.Delta, error) {
	until := time.Now().Add(wait)
	if err := l.admit(ctx); err != nil {
		return sagefollow.Delta{}, err
	}
	for {
		l.mu.Lock()
		d := sagefollow.Delta{AsOf: l.revision}
		log := l.log[kind]
		from := sort.Search(len(log), func(i int) bool { return log[i].Object.Revision > since })
		d.Changes = append(d.Changes, log[from:]...)
		changed := l.changed
		l.mu.Unlock()
		if len(d.Changes) > 0 || !time.Now().Before(until) {
			l.receive(len(d.Changes))
			return d, ctx.Err()
		}
		select {
		case <-ctx.Done():
			return sagefollow.Delta{}, ctx.Err()
		case <-changed:
		case <-time.After(time.Until(until)):
		}
	}
}

// receive waits while an answer with some objects reaches the node and is decoded.
func (l storeLink) receive(objects int) {
	now := virtualNow()
	time.Sleep(l.node.in.reserve(now, (objects+1)*objectBytes).Sub(now) + storeLatency)
	l.node.cpu.run(time.Duration(objects+1) * l.node.fleet.size.decodeTime)
}

func (storeLink) ResetConnections() {}
