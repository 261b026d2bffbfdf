package sagerelay

import (
	"math"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Parameters of the reuse of idle connections.
const (
	// minIdleEvidence is the idle time below which a break says nothing about idle connections.
	minIdleEvidence = 20 * time.Millisecond
	// promptBreak is the time within which a connection breaks that the upstream has forgotten. A later break has
	// other causes if new connections break as well, lately within freshBreakMemory.
	promptBreak      = 50 * time.Millisecond
	freshBreakMemory = 5 * time.Second
	// maxTimeouts is the number of reused connections in a row without any answer that count as one break.
	maxTimeouts = 3
	// minIdleBound is the lowest learnt bound of the idle time.
	minIdleBound = 50 * time.Millisecond
	// idleBoundRise is the time in which a learnt bound doubles; each break doubles it up to maxIdleBoundRise.
	idleBoundRise    = 30 * time.Second
	maxIdleBoundRise = time.Hour
	// idleBuckets is the number of classes of idle times in which reuse is counted. bucketsPerDoubling classes double
	// the time, the first one is about a millisecond.
	idleBuckets        = 64
	bucketsPerDoubling = 4
	// provenReuses is the number of successful reuses after longer idle times, after which a request that must be executed
	// at most once may reuse a connection. The counts halve in proofHalfLife.
	provenReuses  = 4
	proofHalfLife = 5 * time.Minute
	// minProof is below provenReuses, since the counts decay from their first moment.
	minProof = provenReuses - 0.5
)

// idleBounds learns for each service how long a connection may have been idle when it is reused. The zero value is ready to
// use. It is safe for concurrent use.
type idleBounds struct {
	mu       sync.Mutex
	services map[string]*idleBound
}

// idleBound is what is known of the idle connections of one service.
type idleBound struct {
	// bound is the longest idle time at the time set; 0 before the first break.
	bound time.Duration
	set   sageclock.Instant
	// rise is the time in which bound doubles.
	rise time.Duration
	// freshBreak is the time at which a new connection last broke before the answer.
	freshBreak sageclock.Instant
	// timeouts is the number of reused connections without any answer since the last reuse that worked after timedOutIdle, the
	// shortest idle time of them.
	timeouts     int
	timedOutIdle time.Duration
	// reuses counts successful reuses by idle time.
	reuses [idleBuckets]decayingCount
}

// decayingCount is a count that halves in proofHalfLife.
type decayingCount struct {
	n  float64
	at sageclock.Instant
}

func (c *decayingCount) value(now sageclock.Instant) float64 {
	return c.n * math.Exp2(-float64(now.Sub(c.at))/float64(proofHalfLife))
}

func (c *decayingCount) add(now sageclock.Instant) {
	c.n = c.value(now) + 1
	c.at = now
}

// bucketOf returns the class of an idle time.
func bucketOf(idle time.Duration) int {
	ms := float64(max(0, idle)) / float64(time.Millisecond)
	return min(int(bucketsPerDoubling*math.Log2(1+ms)), idleBuckets-1)
}

// boundAt returns the longest idle time allowed now; 0 means that none is learnt.
func (b *idleBound) boundAt(now sageclock.Instant) time.Duration {
	if b.bound == 0 {
		return 0
	}
	grown := float64(b.bound) * math.Exp2(float64(now.Sub(b.set))/float64(b.rise))
	if grown > float64(maxIdleTimeout) {
		return 0
	}
	return time.Duration(grown)
}

// allows reports whether a request may reuse a connection that was idle for a while. Requests that must be executed at most
// once follow repeatable ones: their connection was idle for less than connections with which reuse has lately worked.
func (b *idleBounds) allows(now sageclock.Instant, service string, idle time.Duration, repeatable bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return repeatable
	}
	if bound := s.boundAt(now); bound > 0 && idle > bound {
		return false
	}
	return repeatable || s.proven(now, idle)
}

// proven reports whether enough connections that were idle for longer have been reused.
func (b *idleBound) proven(now sageclock.Instant, idle time.Duration) bool {
	sum := 0.0
	for i := bucketOf(idle) + 1; i < idleBuckets && sum < minProof; i++ {
		sum += b.reuses[i].value(now)
	}
	return sum >= minProof
}

// recordReuse records that a request got an answer on a connection that had been idle. Only repeatable requests reuse
// connections after times for which nothing is proven.
func (b *idleBounds) recordReuse(now sageclock.Instant, service string, idle time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.reuses[bucketOf(idle)].add(now)
	if idle >= s.timedOutIdle {
		s.timeouts = 0
	}
}

// recordFreshTimeout records that a request got no answer in time on a new connection, so that timeouts aren't due to reuse.
func (b *idleBounds) recordFreshTimeout(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(service).timeouts = 0
}

// recordTimeout records that a request got no answer in time on a connection that had been idle. If that happens again and
// again, the upstreams may have forgotten the connections without a reset. It returns like recordBreak.
func (b *idleBounds) recordTimeout(now sageclock.Instant, service string, idle time.Duration) (time.Duration, bool) {
	if idle < minIdleEvidence {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	if s.timeouts == 0 || idle < s.timedOutIdle {
		s.timedOutIdle = idle
	}
	if s.timeouts++; s.timeouts < maxTimeouts {
		return s.boundAt(now), false
	}
	s.timeouts = 0
	return s.lower(now, s.timedOutIdle)
}

// recordFreshBreak records that a new connection broke before the first byte of the answer.
func (b *idleBounds) recordFreshBreak(now sageclock.Instant, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(service).freshBreak = now
}

// recordBreak records that a connection that had been idle broke before the first byte of the answer, took after the request
// got it. It returns the new bound and whether that is lower than before.
func (b *idleBounds) recordBreak(now sageclock.Instant, service string, idle, took time.Duration) (time.Duration, bool) {
	if idle < minIdleEvidence {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	if took > promptBreak && s.freshBreak != 0 && now.Sub(s.freshBreak) < freshBreakMemory {
		return s.boundAt(now), false
	}
	return s.lower(now, idle)
}

// lower lowers the bound to half of an idle time. It returns the bound and whether it is lower than before.
func (b *idleBound) lower(now sageclock.Instant, idle time.Duration) (time.Duration, bool) {
	next, before := max(minIdleBound, idle/2), b.boundAt(now)
	clear(b.reuses[bucketOf(next):])
	if before > 0 && before <= next {
		return before, false
	}
	b.rise = min(max(idleBoundRise, 2*b.rise), maxIdleBoundRise)
	b.bound, b.set = next, now
	return next, true
}

// service returns the entry of a service. The caller must hold mu.
func (b *idleBounds) service(name string) *idleBound {
	s := b.services[name]
	if s == nil {
		if b.services == nil {
			b.services = make(map[string]*idleBound)
		}
		s = new(idleBound)
		b.services[name] = s
	}
	return s
}
