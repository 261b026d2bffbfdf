package sageshare

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// The parts of the fleet's bound that the nodes use, so that requests in flight between two windows
// and nodes that are unknown to each other don't break it.
const (
	ratioUsed = 0.7
	slackUsed = 0.7
)

// buckets is into how many parts the window of a [RetryLimiter] is divided.
const buckets = 20

// RetryLimiter bounds sends beyond the first of each request, by service. It is not safe for concurrent
// use.
//
// It guards against retries that multiply the load of upstreams that already fail: in any window a
// service gets at most Ratio times its requests plus Slack such sends from all nodes together. A node
// spends that ratio of its own requests and an equal part of the slack.
type RetryLimiter struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	services map[string]*window
}

// First notes a request for a service.
func (r *RetryLimiter) RecordFirstSend(now sageclock.Instant, service string) {
	r.at(now, service).first[0]++
}

// Allow reports whether one more send may go to a service, and counts it. Nodes is the number of all
// known nodes, this one included.
func (r *RetryLimiter) Allow(now sageclock.Instant, service string, nodes int) bool {
	w := r.at(now, service)
	first, again := w.sums()
	limit := ratioUsed*r.Ratio*float64(first) + slackUsed*r.Slack/float64(max(1, nodes))
	if float64(again+1) > limit {
		return false
	}
	w.again[0]++
	return true
}

func (r *RetryLimiter) at(now sageclock.Instant, service string) *window {
	if r.services == nil {
		r.services = make(map[string]*window)
	}
	w := r.services[service]
	if w == nil {
		w = new(window)
		r.services[service] = w
	}
	w.advance(int64(now) / max(1, int64(r.Window)/buckets))
	return w
}

// window counts in buckets, the current one first. One more bucket than the window has makes every
// sliding window of that length covered.
type window struct {
	slot  int64
	first [buckets + 1]int
	again [buckets + 1]int
}

func (w *window) advance(slot int64) {
	steps := min(max(0, slot-w.slot), buckets+1)
	for range steps {
		copy(w.first[1:], w.first[:buckets])
		copy(w.again[1:], w.again[:buckets])
		w.first[0], w.again[0] = 0, 0
	}
	w.slot = max(w.slot, slot)
}

// sums leaves the oldest bucket out for requests and counts it for retries, so that a partly passed
// bucket errs to the careful side.
func (w *window) sums() (first, again int) {
	for i := range buckets + 1 {
		if i < buckets {
			first += w.first[i]
		}
		again += w.again[i]
	}
	return first, again
}
