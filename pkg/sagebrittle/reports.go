package sagebrittle

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Announcement is that the upstreams of a service are brittle, as nodes report it to each other.
type Announcement struct {
	Service     string
	MaxDeclines int
	Age         time.Duration
}

// Reports returns the announcements that hold and the limits that this node reduced recently.
func (l *Limits[K]) Reports(now sageclock.Instant) ([]Announcement, []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var announcements []Announcement
	var reports []Report
	for name, s := range l.services {
		if now >= s.until {
			continue
		}
		announcements = append(announcements, Announcement{name, s.maxDeclines, announcementDuration - s.until.Sub(now)})
		for _, u := range s.limits {
			if u.declined != 0 && now.Sub(u.declined) < reportDuration && len(reports) < maxReports {
				reports = append(reports, Report{u.name, int(u.value)})
			}
		}
	}
	return announcements, reports
}

// Merge applies the reports of another node, and returns the services that it announces as brittle and this node didn't
// know of. serviceOf returns the service of an upstream; empty if it isn't known.
func (l *Limits[K]) Merge(now sageclock.Instant, announcements []Announcement, reports []Report, serviceOf func(upstream string) string) (began []string) {
	for _, a := range announcements {
		if l.Announce(now, a.Service, a.MaxDeclines, a.Age) {
			began = append(began, a.Service)
		}
	}
	if len(reports) == 0 {
		return began
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		s := l.active(now, serviceOf(r.Upstream))
		if s == nil {
			continue
		}
		if old, ok := s.reports[r.Upstream]; ok && now.Sub(old.at) < reportDuration && old.limit < r.Limit {
			continue
		}
		s.reports[r.Upstream] = reported{r.Limit, now}
	}
	return began
}
