package sagedemand

import (
	"sync"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// maxListedAccounts and maxListedUpstreams limit the counts of a service in a node's report.
	maxListedAccounts  = 32
	maxListedUpstreams = 64
)

// Meter counts this node's requests and runs of the last second. The zero value is ready to use. It is safe for concurrent
// use.
type Meter struct {
	mu       sync.Mutex
	services map[string]*serviceMeter
}

// serviceMeter counts the requests and runs of a service.
type serviceMeter struct {
	requests, runs      window
	accounts, upstreams tally
}

// RecordRequest counts a request of an account for a service.
//
// Names that can't be sent are counted in the service's total only.
func (m *Meter) RecordRequest(now sageclock.Instant, service, account string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.of(service)
	if s == nil {
		return
	}
	s.requests.add(now)
	if account != "" && isName(account) {
		s.accounts.add(now, account)
	}
}

// RecordRun counts a complete response of an upstream.
func (m *Meter) RecordRun(now sageclock.Instant, service, upstream string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.of(service)
	if s == nil {
		return
	}
	s.runs.add(now)
	if upstream != "" && isName(upstream) {
		s.upstreams.add(now, upstream)
	}
}

// of returns the counts of a service; nil if its name can't be sent. m.mu is held.
func (m *Meter) of(service string) *serviceMeter {
	s := m.services[service]
	if s != nil || service == "" || !isName(service) {
		return s
	}
	if m.services == nil {
		m.services = make(map[string]*serviceMeter)
	}
	s = new(serviceMeter)
	m.services[service] = s
	return s
}

// Counts returns the counts of the last second by [Key.String]. Of services that aren't contended only the totals of requests
// are included, of others the accounts with the largest counts and the upstreams. The upstreams are left out if there are too
// many: the sum over the nodes would lack some of their runs.
func (m *Meter) Counts(now sageclock.Instant, contended func(service string) bool) map[string]int {
	out := map[string]int{Key{Kind: Nodes}.String(): 1}
	for _, service := range m.active(now) {
		m.addCounts(now, out, service, contended(service))
	}
	return out
}

// active returns the services with counts and drops the others.
func (m *Meter) active(now sageclock.Instant) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, s := range m.services {
		if s.requests.count(now) == 0 && s.runs.count(now) == 0 {
			delete(m.services, name)
			continue
		}
		out = append(out, name)
	}
	return out
}

// addCounts adds the counts of a service.
func (m *Meter) addCounts(now sageclock.Instant, out map[string]int, service string, contended bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil {
		return
	}
	add := func(kind Kind, name string, n int) {
		if n > 0 {
			out[Key{kind, service, name}.String()] = n
		}
	}
	add(Requests, "", s.requests.count(now))
	if !contended {
		return
	}
	add(Runs, "", s.runs.count(now))
	accounts, _ := s.accounts.heaviest(now, maxListedAccounts)
	for _, a := range accounts {
		add(Requests, a.name, a.count)
	}
	upstreams, n := s.upstreams.heaviest(now, maxListedUpstreams)
	if n > maxListedUpstreams {
		return
	}
	for _, u := range upstreams {
		add(Runs, u.name, u.count)
	}
}
