package sageshare

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Fractions of the fleet-wide limit that nodes use. The rest covers requests in flight between two
// windows and nodes that don't know each other.
const (
	ratioFraction = 0.7
	slackFraction = 0.7
)

// trialFraction is the fraction of a node's retries that trials may use.
const trialFraction = 0.5

// windowBuckets is the number of buckets into which the window of a [RetryLimiter] is divided.
const windowBuckets = 20

// RetryLimiter limits, for each service, the sends beyond the first one of each request. It is not
// safe for concurrent use.
//
// Unlimited retries would multiply the load of upstreams that already fail. In any window all nodes
// together send to a service at most Ratio times its requests plus Slack retries. Each node uses
// Ratio of its own requests and an equal share of Slack.
type RetryLimiter struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	services map[string]*sendWindow
}

// RecordFirstSend records the first send of a request to a service.
func (r *RetryLimiter) RecordFirstSend(now sageclock.Instant, service string) {
	r.currentWindow(now, service).firstSends[0]++
}

// Allow reports whether a retry may be sent to a service, and counts it. nodes is the number of all
// known nodes, including this one.
func (r *RetryLimiter) Allow(now sageclock.Instant, service string, nodes int) bool {
	w := r.currentWindow(now, service)
	if used, limit := r.usage(w, nodes); used+1 > limit {
		return false
	}
	w.retries[0]++
	return true
}

// RetryUsage is what one node has used of its share of the retries of a service.
type RetryUsage struct {
	// Used is the number of retries in the window, Allowed their limit.
	Used, Allowed float64
}

// Usage returns the node's usage, for logs and metrics.
func (r *RetryLimiter) Usage(now sageclock.Instant, service string, nodes int) RetryUsage {
	used, limit := r.usage(r.currentWindow(now, service), nodes)
	return RetryUsage{Used: used, Allowed: limit}
}

// AllowTrial reports whether a request may be sent to an upstream that will probably decline it, which
// takes a retry. Half of the retries are left for other failures.
func (r *RetryLimiter) AllowTrial(now sageclock.Instant, service string, nodes int) bool {
	used, limit := r.usage(r.currentWindow(now, service), nodes)
	return used+1 <= limit*trialFraction
}

// usage returns the number of retries in the window and its limit.
func (r *RetryLimiter) usage(w *sendWindow, nodes int) (used, limit float64) {
	first, retries := w.totals()
	return float64(retries), ratioFraction*r.Ratio*float64(first) + slackFraction*r.Slack/float64(max(1, nodes))
}

func (r *RetryLimiter) currentWindow(now sageclock.Instant, service string) *sendWindow {
	if r.services == nil {
		r.services = make(map[string]*sendWindow)
	}
	w := r.services[service]
	if w == nil {
		w = new(sendWindow)
		r.services[service] = w
	}
	w.advance(int64(now) / max(1, int64(r.Window)/windowBuckets))
	return w
}

// sendWindow counts sends in buckets, the current one first. It has one bucket more than the window,
// so that it covers every sliding window of that length.
type sendWindow struct {
	bucket     int64
	firstSends [windowBuckets + 1]int
	retries    [windowBuckets + 1]int
}

func (w *sendWindow) advance(bucket int64) {
	elapsed := min(max(0, bucket-w.bucket), windowBuckets+1)
	for range elapsed {
		copy(w.firstSends[1:], w.firstSends[:windowBuckets])
		copy(w.retries[1:], w.retries[:windowBuckets])
		w.firstSends[0], w.retries[0] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
}

// totals excludes the oldest bucket from the first sends and includes it in the retries. The oldest
// bucket is only partly in the window, so both errors are on the safe side.
func (w *sendWindow) totals() (first, retries int) {
	for i := range windowBuckets + 1 {
		if i < windowBuckets {
			first += w.firstSends[i]
		}
		retries += w.retries[i]
	}
	return first, retries
}
