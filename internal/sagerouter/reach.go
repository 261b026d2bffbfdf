package sagerouter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// spreadLogInterval is the shortest time between two lines about the spread in one service.
const spreadLogInterval = 500 * time.Millisecond

// reachLog limits the lines about the spread of unanswered exchanges.
type reachLog struct {
	mu   sync.Mutex
	next map[string]sageclock.Instant // by service
}

// due reports whether a line about a service may be written now.
func (l *reachLog) due(now sageclock.Instant, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.next[service] {
		return false
	}
	if l.next == nil {
		l.next = make(map[string]sageclock.Instant)
	}
	l.next[service] = now.Add(spreadLogInterval)
	return true
}

// RecordAnswer implements [sagerelay.Fleet].
func (f *fleet) RecordAnswer(u *sageupstream.Entry, fresh bool) {
	f.reach.RecordAnswer(sageclock.Now(), u.Service, u.ID, fresh)
}

// RecordUnanswered implements [sagerelay.Fleet].
func (f *fleet) RecordUnanswered(u *sageupstream.Entry) {
	now := sageclock.Now()
	s := f.reach.RecordUnanswered(now, u.Service, u.ID)
	f.suspectPath(now, u.Service)
	if s.Unanswered < 2 || !f.reachLog.due(now, u.Service) {
		return
	}
	f.view.log.Limited(sagelog.KindStateChange, "Upstreams don't answer this node.", "service", u.Service, "unanswered", s.Unanswered, "answered", s.Answered,
		"answered_others", f.countAnsweredOthers(now, u.Service), "known", len(f.view.upstreams.Load().All(u.Service)), "since_ms", now.Sub(s.Since).Milliseconds())
}

// countAnsweredOthers returns how many upstreams of a service answered other nodes after they were reported as broken.
func (f *fleet) countAnsweredOthers(now sageclock.Instant, service string) int {
	set, n := f.view.upstreams.Load(), 0
	for id := range f.answeredNodes.SumOthers(now) {
		if e := set.Get(id); e != nil && e.Service == service {
			n++
		}
	}
	return n
}

// recordReports records which upstreams other nodes report as broken.
func (f *fleet) recordReports(now sageclock.Instant, h *sagemesh.Heartbeat) {
	f.reach.RecordReports(now, h.Broken)
	f.reach.RecordReports(now, h.Unanswered)
	if h.Sum != nil {
		f.reach.RecordReports(now, slices.Collect(maps.Keys(f.brokenNodes.SumOthers(now))))
	}
}
