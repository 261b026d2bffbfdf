package sagehealth

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Result is the result of an exchange with an upstream.
type Result int

// The results of an exchange.
const (
	OK Result = iota
	// Failed is a complete answer that reports a failure of the upstream.
	Failed
	// Broken is an exchange without a complete answer: the connection was refused, reset or cut off.
	Broken
	// Stalled is an exchange during which the upstream was unresponsive. Sound upstreams may be unresponsive for about a second.
	Stalled
)

// Parameters of the exclusion by own results.
const (
	// rateWeight is the weight of the newest result in the failure rate, an exponentially weighted moving average.
	// The last six results dominate it.
	rateWeight = 0.15
	// rateExcess is how far the failure rate of an upstream must be above the mean of its service for the upstream to
	// be avoided. An upstream on which four of ten requests fail exceeds it after five or six results. A
	// usual failure rate of one in seven on all upstreams does not exceed it.
	rateExcess = 0.25
	// minExclusion and maxExclusion are the first and the longest exclusion of a broken upstream. A restart takes one
	// to three seconds; about one request per second is spent on finding out whether it is over.
	minExclusion = 700 * time.Millisecond
	maxExclusion = 3 * time.Second
	// trialInterval is the time between two trial requests to an upstream with a high failure rate.
	trialInterval = 500 * time.Millisecond
)

type upstreamRecord struct {
	failureRate   float64
	rateBefore    float64 // failureRate before the present streak of broken exchanges
	brokenStreak  int
	excludedUntil sageclock.Instant
	lastBroken    sageclock.Instant // time of the last broken exchange
	brokenSince   sageclock.Instant // time of the first one of the present streak
	onlyStalled   bool              // all exchanges of the streak stalled
	lastOK        sageclock.Instant // time of the last complete answer; 0 if there was none
	lastReported  sageclock.Instant // time of the last report of another node
}

// serviceRecords holds the records of one service's upstreams.
type serviceRecords struct {
	upstreams map[string]*upstreamRecord
	rateSum   float64 // sum of the failure rates
}

// Tracker tracks the health of all upstreams. The zero value is ready to use. It is safe for concurrent use.
type Tracker struct {
	// Self is the name of this node. It is set before use. Ejection times depend on it, so that the nodes don't all
	// try an upstream again at the same time.
	Self string

	mu       sync.Mutex
	services map[string]*serviceRecords
}

// Record records the result of an exchange.
func (t *Tracker) Record(now sageclock.Instant, service, upstream string, res Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(service, upstream)
	if r.brokenStreak == 0 {
		r.rateBefore = r.failureRate
	}
	failure := 1.0
	if res == OK {
		failure = 0
	}
	t.setRate(service, r, r.failureRate+rateWeight*(failure-r.failureRate))
	switch res {
	case OK:
		r.brokenStreak = 0
		r.excludedUntil = 0
		r.lastOK = now
	case Broken, Stalled:
		r.recordBroken(now, res)
	}
}

// recordBroken excludes the upstream. An exchange that stalled during an exclusion began before it, and doesn't extend it.
func (r *upstreamRecord) recordBroken(now sageclock.Instant, res Result) {
	if r.brokenStreak == 0 {
		r.brokenSince, r.onlyStalled = now, true
	}
	r.lastBroken = now
	if res == Broken {
		r.onlyStalled = false
	} else if now < r.excludedUntil {
		return
	}
	r.excludedUntil = now.Add(min(minExclusion<<min(r.brokenStreak, 8), maxExclusion))
	r.brokenStreak++
}

// Forgive drops what broken exchanges since an instant say about the upstreams of a service, because this node's path
// to them was lost.
func (t *Tracker) Forgive(service string, since sageclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return
	}
	for _, r := range s.upstreams {
		if r.brokenStreak > 0 && r.lastBroken >= since {
			r.brokenStreak, r.excludedUntil = 0, 0
			t.setRate(service, r, r.rateBefore)
		}
	}
}

func (t *Tracker) setRate(service string, r *upstreamRecord, rate float64) {
	t.services[service].rateSum += rate - r.failureRate
	r.failureRate = rate
}

// Excluded reports whether an upstream is excluded and its last exchange with this node broke.
func (t *Tracker) Excluded(now sageclock.Instant, service, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(service, upstream)
	return r != nil && now < r.excludedUntil && r.brokenStreak > 0
}

// Avoid reports whether other upstreams of the service should be preferred now. For an upstream with a high
// failure rate it returns false once per trialInterval, so that the caller sends a trial request.
func (t *Tracker) Avoid(now sageclock.Instant, service, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(service, upstream)
	if r == nil {
		return false
	}
	if now < r.excludedUntil {
		return true
	}
	if r.failureRate <= t.services[service].meanRate()+rateExcess {
		return false
	}
	r.excludedUntil = now.Add(trialInterval)
	return false
}

// Retain drops the records of all upstreams that alive rejects.
func (t *Tracker) Retain(alive func(upstream string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		for id, r := range s.upstreams {
			if !alive(id) {
				s.rateSum -= r.failureRate
				delete(s.upstreams, id)
			}
		}
	}
}

// Forget drops the records of an upstream that has started again. What ended its last start says nothing about this one.
func (t *Tracker) Forget(upstream string) {
	t.Retain(func(id string) bool { return id != upstream })
}

// find returns the record of an upstream, or nil.
func (t *Tracker) find(service, upstream string) *upstreamRecord {
	if s := t.services[service]; s != nil {
		return s.upstreams[upstream]
	}
	return nil
}

// getOrCreate returns the record of an upstream, and creates it if there is none.
func (t *Tracker) getOrCreate(name, upstream string) *upstreamRecord {
	if t.services == nil {
		t.services = make(map[string]*serviceRecords)
	}
	s := t.services[name]
	if s == nil {
		s = &serviceRecords{upstreams: make(map[string]*upstreamRecord)}
		t.services[name] = s
	}
	if s.upstreams[upstream] == nil {
		s.upstreams[upstream] = new(upstreamRecord)
	}
	return s.upstreams[upstream]
}

// meanRate returns the mean failure rate of the service's upstreams.
func (s *serviceRecords) meanRate() float64 { return s.rateSum / float64(max(1, len(s.upstreams))) }
