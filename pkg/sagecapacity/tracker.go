package sagecapacity

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// queueWindow is how long reported requests in flight determine the queue.
	queueWindow = 200 * time.Millisecond
	// maxUpdateAge is the age from which an estimate isn't used to refuse anything.
	maxUpdateAge = 2 * time.Second
	// maxSlots, maxInFlight and maxRuns limit reported figures.
	maxSlots    = 100_000
	maxInFlight = 1_000_000
	maxRuns     = 1_000_000
	// unusedTimeout is the time after which an upstream or a service that isn't used is dropped.
	unusedTimeout = time.Minute
)

// Upstream is what a node knows of an upstream that may get requests.
type Upstream struct {
	ID string
	// Slots is the number of requests that it runs at once; 0 if unknown.
	Slots int
	// InFlight is the number of requests there from all nodes, as last reported.
	InFlight int
	// RunsPerSecond is the number of runs that it completed in the last second for all nodes, as last reported; negative
	// if unknown.
	RunsPerSecond float64
}

// Tracker estimates the capacity of all services. Its exported fields are set before use. The zero value is ready to use. It is
// safe for concurrent use.
type Tracker struct {
	// Rand returns random numbers in [0, 1). Nil means [rand.Float64].
	Rand func() float64

	mu       sync.Mutex
	services map[string]*service
}

// service is what is known of a service.
type service struct {
	usedAt    sageclock.Instant
	upstreams map[string]*upstream
	estimate  Estimate
	own       samples // runs at all upstreams
	asked     average // requests per second of all nodes
	runs      count
	declines  count
	// usual is the mean run in seconds and busy the part of the slots in use by the last update.
	usual, busy float64
	lastShort   sageclock.Instant
}

// upstream is what is known of an upstream.
type upstream struct {
	usedAt sageclock.Instant
	own    samples
	// busy is the average number of slots in use, runs the average number of runs per second, inFlight the recent
	// number of requests there, slots the reported number of slots.
	busy, runs, inFlight average
	slots                int
	load                 Load
	loadAt               sageclock.Instant
}

func (t *Tracker) service(now sageclock.Instant, name string) *service {
	s := t.services[name]
	if s == nil {
		if t.services == nil {
			t.services = make(map[string]*service)
		}
		s = &service{upstreams: make(map[string]*upstream)}
		t.services[name] = s
	}
	s.usedAt = max(s.usedAt, now)
	return s
}

func (t *Tracker) upstream(now sageclock.Instant, service, id string) *upstream {
	return t.service(now, service).upstream(now, id)
}

func (s *service) upstream(now sageclock.Instant, id string) *upstream {
	u := s.upstreams[id]
	if u == nil {
		u = &upstream{}
		s.upstreams[id] = u
	}
	u.usedAt = max(u.usedAt, now)
	return u
}

func (t *Tracker) random() float64 {
	if t.Rand != nil {
		return t.Rand()
	}
	return rand.Float64()
}

// RecordRun records a complete response of an upstream to this node: the time from the send to the response's end. A time
// that isn't positive is ignored.
func (t *Tracker) RecordRun(now sageclock.Instant, service, upstream string, took time.Duration) {
	if took <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(now, service)
	u := s.upstream(now, upstream)
	run := min(took.Seconds(), maxRun) / u.crowding(now)
	u.own.add(now, run)
	s.own.add(now, run)
	s.runs.add(now, declineWindow)
}

// RecordDecline records that an upstream declined a request of this node for want of capacity.
func (t *Tracker) RecordDecline(now sageclock.Instant, service, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(now, service)
	s.upstream(now, upstream)
	s.declines.add(now, declineWindow)
}

// RecordAsked records the number of requests per second that all nodes are asked for. It is used by
// [Tracker.AllowSecondSend] only. A negative number is ignored.
func (t *Tracker) RecordAsked(now sageclock.Instant, service string, perSecond float64) {
	if !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(now, service).asked.add(now, queueWindow, perSecond)
}

// Update updates the estimate of a service from what all nodes report. Figures that make no sense count as unknown.
//
// If an upstream's slots are unknown, it is assumed to have as many as the others have on average. If those of all are
// unknown, or none of them ran a request yet, the capacity is unknown.
func (t *Tracker) Update(now sageclock.Instant, service string, upstreams []Upstream) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(now, service)
	defaultSlots := meanSlots(upstreams)
	for i := range upstreams {
		s.upstream(now, upstreams[i].ID).report(now, &upstreams[i], defaultSlots)
	}
	s.usual = s.reportedRun(now, upstreams)
	s.estimate = s.newEstimate(now, upstreams, defaultSlots)
	s.recordShortage(now)
	return s.estimate
}

// Estimate returns the last estimate of a service.
func (t *Tracker) Estimate(service string) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[service]; s != nil {
		return s.estimate
	}
	return Estimate{}
}

// Sweep drops what is known of upstreams and services that weren't used for a while.
func (t *Tracker) Sweep(now sageclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		for id, u := range s.upstreams {
			if now.Sub(u.usedAt) > unusedTimeout {
				delete(s.upstreams, id)
			}
		}
		if now.Sub(s.usedAt) > unusedTimeout {
			delete(t.services, name)
		}
	}
}

// report adds what all nodes report of the upstream. defaultSlots is used if its slots are unknown.
func (u *upstream) report(now sageclock.Instant, r *Upstream, defaultSlots float64) {
	u.slots = min(max(r.Slots, 0), maxSlots)
	inFlight := float64(min(max(r.InFlight, 0), maxInFlight))
	u.inFlight.add(now, queueWindow, inFlight)
	if !(r.RunsPerSecond >= 0) {
		return
	}
	if slots := u.slotsOr(defaultSlots); slots > 0 {
		inFlight = min(inFlight, slots)
	}
	u.busy.add(now, sumWindow, inFlight)
	u.runs.add(now, sumWindow, min(r.RunsPerSecond, maxRuns))
}

// slotsOr returns the number of slots, or defaultSlots if it is unknown.
func (u *upstream) slotsOr(defaultSlots float64) float64 {
	if u.slots == 0 {
		return defaultSlots
	}
	return float64(u.slots)
}
