package sagereach

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// spreadWindow is how long an unanswered exchange counts towards the spread. Upstreams fail independently within
	// such a time only seldom.
	spreadWindow = 2 * time.Second
	// reportRetention is how long a report of peers can be contradicted after it was last received. Reports are
	// repeated several times a second.
	reportRetention = 2 * time.Second
	// contradictionDuration is how long an answer contradicts reports.
	contradictionDuration = time.Second
	// maxContradicted limits the upstreams in one heartbeat, to about a kilobyte.
	maxContradicted = 64
)

// record is the evidence about one upstream.
type record struct {
	lastAnswer     sageclock.Instant
	lastFresh      sageclock.Instant // last answer over a new connection
	unansweredFrom sageclock.Instant // first unanswered exchange since the last answer; 0 if there is none
	lastUnanswered sageclock.Instant
}

// failing reports whether the upstream's last exchange was unanswered and recent.
func (r *record) failing(now sageclock.Instant) bool {
	return r.unansweredFrom != 0 && now.Sub(r.lastUnanswered) < spreadWindow
}

// Spread summarizes the recent evidence about the upstreams of a service.
type Spread struct {
	// Unanswered is the number of upstreams whose last exchange with this node was unanswered.
	Unanswered int
	// Since is when the first of them stopped answering.
	Since sageclock.Instant
	// Answered is the number of upstreams that answered since then.
	Answered int
}

// Tracker records which upstreams answer this node. The zero value is ready to use. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[string]map[string]*record // by service and upstream
	paths    map[string]*path              // by service
	// reported are the upstreams that peers report as unanswered, with the times of their first and last report.
	reported map[string]*reportTimes
}

type reportTimes struct{ first, last sageclock.Instant }

// RecordAnswer records that an upstream answered this node. fresh says that the connection was new: only then the answer
// shows that the path is open, since open connections may outlive it.
func (t *Tracker) RecordAnswer(now sageclock.Instant, service, upstream string, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrCreate(service, upstream).recordAnswer(now, fresh)
}

func (r *record) recordAnswer(now sageclock.Instant, fresh bool) {
	r.lastAnswer, r.unansweredFrom = now, 0
	if fresh {
		r.lastFresh = now
	}
}

// RecordUnanswered records an exchange that an upstream didn't answer, and returns the spread in its service.
func (t *Tracker) RecordUnanswered(now sageclock.Instant, service, upstream string) Spread {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(service, upstream)
	r.lastUnanswered = now
	if r.unansweredFrom == 0 {
		r.unansweredFrom = now
	}
	return t.spread(now, service)
}

// Spread returns the spread in a service.
func (t *Tracker) Spread(now sageclock.Instant, service string) Spread {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spread(now, service)
}

func (t *Tracker) spread(now sageclock.Instant, service string) Spread {
	var s Spread
	for _, r := range t.services[service] {
		if !r.failing(now) {
			continue
		}
		s.Unanswered++
		if s.Since == 0 || r.unansweredFrom < s.Since {
			s.Since = r.unansweredFrom
		}
	}
	if s.Unanswered == 0 {
		return s
	}
	for _, r := range t.services[service] {
		if r.lastAnswer >= s.Since {
			s.Answered++
		}
	}
	return s
}

// Unanswered returns the number of upstreams of all services whose last exchange was unanswered and recent.
func (t *Tracker) Unanswered(now sageclock.Instant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for service := range t.services {
		n += t.spread(now, service).Unanswered
	}
	return n
}

// RecordReports records the upstreams that peers report as unanswered.
func (t *Tracker) RecordReports(now sageclock.Instant, upstreams []string) {
	if len(upstreams) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reported == nil {
		t.reported = make(map[string]*reportTimes)
	}
	for _, u := range upstreams {
		r := t.reported[u]
		if r == nil || now.Sub(r.last) >= reportRetention {
			r = &reportTimes{first: now}
			t.reported[u] = r
		}
		r.last = now
	}
}

// Contradicted returns the upstreams that peers report as unanswered and that answered this node after the report.
func (t *Tracker) Contradicted(now sageclock.Instant) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for u, reported := range t.reported {
		if now.Sub(reported.last) >= reportRetention {
			delete(t.reported, u)
			continue
		}
		if len(out) < maxContradicted && t.answeredSince(u, max(reported.first, now.Add(-contradictionDuration))) {
			out = append(out, u)
		}
	}
	return out
}

func (t *Tracker) answeredSince(upstream string, since sageclock.Instant) bool {
	for _, records := range t.services {
		if r := records[upstream]; r != nil && r.lastAnswer > since && r.unansweredFrom == 0 {
			return true
		}
	}
	return false
}

// Retain drops the records of all upstreams that alive rejects.
func (t *Tracker) Retain(alive func(upstream string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, records := range t.services {
		for u := range records {
			if !alive(u) {
				delete(records, u)
			}
		}
	}
}

func (t *Tracker) getOrCreate(service, upstream string) *record {
	if t.services == nil {
		t.services = make(map[string]map[string]*record)
	}
	records := t.services[service]
	if records == nil {
		records = make(map[string]*record)
		t.services[service] = records
	}
	r := records[upstream]
	if r == nil {
		r = new(record)
		records[upstream] = r
	}
	return r
}
