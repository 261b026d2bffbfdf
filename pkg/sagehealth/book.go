package sagehealth

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Result is how an exchange with an upstream ended.
type Result int

// The results.
const (
	OK Result = iota
	// Failed is a failure that the upstream answered itself.
	Failed
	// Broken is an exchange without a whole answer: refused, reset, cut off or silent.
	Broken
)

// How failures weigh.
const (
	// weight is the part of the newest result in the moving failure rate; six results decide.
	weight = 0.15
	// excess is how far above its service's mean an upstream's failure rate must be to avoid it.
	// Four of ten requests failing on one upstream pass it after five or six results, a usual rate
	// of one in seven on all of them does not.
	excess = 0.25
	// firstOut and longestOut bound how long a broken upstream is left out. A restart takes one to
	// three seconds; one request a second then finds out.
	firstOut   = 700 * time.Millisecond
	longestOut = 3 * time.Second
	// trial is how long a failing upstream is left out between two trials.
	trial = 500 * time.Millisecond
)

type record struct {
	rate   float64
	streak int
	out    sageclock.Instant
	broke  sageclock.Instant // of the last broken exchange
	ok     sageclock.Instant // of the last whole answer; 0 if there was none
	// reported is when another node last reported broken exchanges.
	reported sageclock.Instant
}

// service are the records of one service's upstreams.
type service struct {
	records map[string]*record
	sum     float64 // of the failure rates
}

// Tracker keeps the records of all upstreams. The zero value is ready; it is safe for concurrent use.
type Tracker struct {
	// Self is the name of this node, by which the nodes spread their trials. It is set before use.
	Self string

	mu       sync.Mutex
	services map[string]*service
}

// Note takes in how an exchange ended.
func (b *Tracker) Record(now sageclock.Instant, service, upstream string, res Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(service, upstream)
	bad := 1.0
	if res == OK {
		bad = 0
	}
	step := weight * (bad - r.rate)
	r.rate += step
	b.services[service].sum += step
	switch res {
	case OK:
		r.streak = 0
		r.out = 0
		r.ok = now
	case Broken:
		out := min(firstOut<<min(r.streak, 8), longestOut)
		r.streak++
		r.broke = now
		r.out = now.Add(out)
	}
}

// Out reports whether an upstream is left out because its exchanges break.
func (b *Tracker) Excluded(now sageclock.Instant, service, upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(service, upstream)
	return r != nil && now < r.out && r.streak > 0
}

// Avoid reports whether other upstreams of the service are to be preferred now. A yes for a failing
// upstream is interrupted by single trials.
func (b *Tracker) Avoid(now sageclock.Instant, service, upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(service, upstream)
	if r == nil {
		return false
	}
	if now < r.out {
		return true
	}
	if r.rate <= b.services[service].mean()+excess {
		return false
	}
	r.out = now.Add(trial)
	return false
}

// Keep forgets the upstreams that alive denies.
func (b *Tracker) Retain(alive func(upstream string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		for id, r := range s.records {
			if !alive(id) {
				s.sum -= r.rate
				delete(s.records, id)
			}
		}
	}
}

// find returns an upstream's record, or nil.
func (b *Tracker) find(service, upstream string) *record {
	if s := b.services[service]; s != nil {
		return s.records[upstream]
	}
	return nil
}

// record returns an upstream's record, a new one if there is none.
func (b *Tracker) record(name, upstream string) *record {
	if b.services == nil {
		b.services = make(map[string]*service)
	}
	s := b.services[name]
	if s == nil {
		s = &service{records: make(map[string]*record)}
		b.services[name] = s
	}
	if s.records[upstream] == nil {
		s.records[upstream] = new(record)
	}
	return s.records[upstream]
}

// mean returns the mean failure rate.
func (s *service) mean() float64 { return s.sum / float64(max(1, len(s.records))) }
