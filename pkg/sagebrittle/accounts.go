package sagebrittle

import (
	"sagestand.example/sagestand/pkg/sageclock"
)

// scarceFraction is the fraction of this node's places from which accounts are limited to an equal share of them.
const scarceFraction = 0.75

// Admit reports whether a request of an account may take a place in a brittle service, and counts it until leave is
// called. places is the number of places of this node in the service.
//
// Without it, an account that sends many requests would take the places of the others.
func (l *Limits[K]) Admit(now sageclock.Instant, name, account string, places int) (leave func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.active(now, name)
	if s == nil {
		return func() {}, true
	}
	used, others := 0, 0
	for a, n := range s.accounts {
		used += n
		if a != account {
			others++
		}
	}
	if float64(used) >= scarceFraction*float64(places) && s.accounts[account] >= max(1, places/(others+1)) {
		return nil, false
	}
	s.accounts[account]++
	return func() { l.leave(s, account) }, true
}

func (l *Limits[K]) leave(s *service[K], account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.accounts[account]--; s.accounts[account] <= 0 {
		delete(s.accounts, account)
	}
}
