package sagebrittle

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Parameters of the limits.
const (
	// announcementDuration is how long an announcement holds. Upstreams repeat it in all responses.
	announcementDuration = 3 * time.Second
	// reserveDivisor is the part of the slots that is left free, at least one: requests that this node abandoned may
	// still occupy some.
	reserveDivisor = 16
	// unknownSlots stands for the slots of an upstream that doesn't register them.
	unknownSlots = 8
	// declineFactor multiplies a limit at a decline. growthPerSecond is how much of the full limit it grows back.
	declineFactor   = 0.75
	growthPerSecond = 0.1
	// startFraction is the fraction of the full limit for an upstream that has just started.
	startFraction = 0.25
	// reportDuration is how long a reduced limit is reported after a decline.
	reportDuration = 2 * time.Second
	// maxReports limits the reports in one heartbeat.
	maxReports = 64
)

// Request describes a request that needs a place at an upstream.
type Request[K comparable] struct {
	Service  string
	Upstream K
	// Name identifies the upstream on all nodes.
	Name string
	// Slots is the number of requests that the upstream executes at once; 0 if unknown.
	Slots int
	// Offset is the sum of [FullLimit] over the service's upstreams before this one, in an order that all nodes share.
	Offset int
	// Nodes is the number of nodes that share the service's upstreams, Index the position of this node among them, in
	// an order that all nodes share.
	Nodes, Index int
}

// Place is a place of a request at an upstream. The zero Place is that of a request to a service that isn't brittle.
type Place[K comparable] struct {
	service  string
	upstream K
}

// Report is a reduced limit, as nodes report it to each other.
type Report struct {
	Upstream string
	Limit    int
}

// limit is the limit of one upstream.
type limit struct {
	name      string
	full      float64
	value     float64
	changedAt sageclock.Instant
	declined  sageclock.Instant // last decline; 0 if there was none
	own       int               // this node's requests in flight
}

// service is a service whose upstreams are brittle.
type service[K comparable] struct {
	maxDeclines int
	since       sageclock.Instant
	until       sageclock.Instant
	limits      map[K]*limit
	reports     map[string]reported // limits reported by other nodes, by upstream name
	accounts    map[string]int      // requests in flight of this node by account
	released    chan struct{}       // closed when a place is released
	waiting     int                 // requests that wait for a place
}

type reported struct {
	limit int
	at    sageclock.Instant
}

// Limits are the limits of all brittle services. Keys of type K identify starts of upstreams. It is safe for concurrent
// use.
type Limits[K comparable] struct {
	mu       sync.Mutex
	services map[string]*service[K]
}

// Announce records that the upstreams of a service are brittle: one that declines more than maxDeclines requests in a
// second crashes. age is the age of the announcement.
func (l *Limits[K]) Announce(now sageclock.Instant, name string, maxDeclines int, age time.Duration) (began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := now.Add(announcementDuration - age)
	if until <= now {
		return false
	}
	s := l.services[name]
	if s == nil || now >= s.until {
		if l.services == nil {
			l.services = make(map[string]*service[K])
		}
		s = &service[K]{since: now, limits: make(map[K]*limit), reports: make(map[string]reported), accounts: make(map[string]int), released: make(chan struct{})}
		l.services[name] = s
		began = true
	}
	s.maxDeclines, s.until = maxDeclines, max(s.until, until)
	return began
}

// Active reports whether the upstreams of a service are brittle.
func (l *Limits[K]) Active(now sageclock.Instant, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active(now, name) != nil
}

func (l *Limits[K]) active(now sageclock.Instant, name string) *service[K] {
	if s := l.services[name]; s != nil && now < s.until {
		return s
	}
	return nil
}

// Acquire takes a place at an upstream; false if there is none. The place has to be released.
func (l *Limits[K]) Acquire(now sageclock.Instant, r *Request[K]) (Place[K], bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.active(now, r.Service)
	if s == nil {
		return Place[K]{}, true
	}
	u := s.limitOf(now, r)
	n := u.effective(now, s.reports[r.Name])
	place := Place[K]{service: r.Service, upstream: r.Upstream}
	if u.own >= r.share(n) {
		return Place[K]{}, false
	}
	u.own++
	return place, true
}

// FullLimit returns the number of places at an upstream with so many slots; 0 if its slots are unknown.
func FullLimit(slots int) int {
	if slots == 0 {
		slots = unknownSlots
	}
	return max(1, slots-max(1, slots/reserveDivisor))
}

// limitOf returns the limit of an upstream, which the first request creates.
func (s *service[K]) limitOf(now sageclock.Instant, r *Request[K]) *limit {
	u := s.limits[r.Upstream]
	if u == nil {
		full := float64(FullLimit(r.Slots))
		u = &limit{name: r.Name, full: full, value: full, changedAt: now}
		if now.Sub(s.since) >= announcementDuration {
			u.value = max(1, startFraction*full)
		}
		s.limits[r.Upstream] = u
	}
	u.value = min(u.full, u.value+growthPerSecond*u.full*now.Sub(u.changedAt).Seconds())
	u.changedAt = now
	return u
}

// effective returns the number of places of all nodes together.
func (u *limit) effective(now sageclock.Instant, r reported) int {
	n := max(1, int(u.value))
	if r.at != 0 && now.Sub(r.at) < reportDuration {
		n = min(n, max(1, r.limit))
	}
	return n
}

// share returns how many of the first n places of the upstream belong to this node. The places of all upstreams are
// numbered and dealt to the nodes in turn, so that each gets as many.
func (r *Request[K]) share(n int) int {
	nodes, out := max(1, r.Nodes), 0
	for p := range n {
		if (r.Offset+p)%nodes == r.Index {
			out++
		}
	}
	return out
}

// RecordDecline records that the upstream declined the request of a place, for want of capacity.
func (l *Limits[K]) RecordDecline(now sageclock.Instant, p Place[K]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitAt(p)
	if u == nil {
		return
	}
	u.value = max(1, declineFactor*u.value)
	u.changedAt, u.declined = now, now
}

// Release frees a place. Nothing happens if the service's announcement has ended meanwhile.
func (l *Limits[K]) Release(p Place[K]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitAt(p)
	if u == nil {
		return
	}
	u.own = max(0, u.own-1)
	s := l.services[p.service]
	close(s.released)
	s.released = make(chan struct{})
}

// AwaitRelease returns a channel that is closed when this node releases a place in a brittle service, and a function that
// ends the wait. It returns false if the service isn't brittle, or if as many requests wait as this node has places.
func (l *Limits[K]) AwaitRelease(now sageclock.Instant, name string, places int) (released <-chan struct{}, end func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.active(now, name)
	if s == nil || s.waiting >= places {
		return nil, nil, false
	}
	s.waiting++
	return s.released, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.waiting--
	}, true
}

func (l *Limits[K]) limitAt(p Place[K]) *limit {
	if s := l.services[p.service]; s != nil {
		return s.limits[p.upstream]
	}
	return nil
}

// Places returns how many places this node has at an upstream.
func (l *Limits[K]) Places(now sageclock.Instant, r *Request[K]) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.active(now, r.Service)
	if s == nil {
		return 0
	}
	return r.share(s.limitOf(now, r).effective(now, s.reports[r.Name]))
}

// Len returns the number of brittle services.
func (l *Limits[K]) Len(now sageclock.Instant) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.services {
		if now < s.until {
			n++
		}
	}
	return n
}

// Sweep drops the services that are no longer brittle.
func (l *Limits[K]) Sweep(now sageclock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.services {
		if now >= s.until {
			delete(l.services, name)
		}
	}
}
