package sagemeasure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageretry"
)

// Shape of the retry measure: routers before twelve upstreams, a third of which fail for a while.
const (
	retryRouters           = 8
	retryUpstreams         = 12
	retryDuration          = 3 * time.Minute
	retryFailFrom          = 30 * time.Second
	retryFailUntil         = 150 * time.Second
	retryRequestsPerSecond = 400.0 // requests a second of all routers
	retryMeanService       = 300 * time.Millisecond
	retryDeadline          = 5 * time.Second
	naiveRetries           = 3 // retries of the baseline
	retryHedgeDelay        = 900 * time.Millisecond
)

// retryCase says how the failing upstreams fail.
type retryCase struct {
	name             string
	failingUpstreams int           // upstreams that fail
	failureDelay     time.Duration // until the failure shows
	slowShare        float64       // part of answers that take ten times as long, without a failure
}

var retryCases = []retryCase{
	{"third refuses at once", retryUpstreams / 3, 5 * time.Millisecond, 0},
	{"third hangs for a second", retryUpstreams / 3, time.Second, 0},
	{"all refuse at once", retryUpstreams, 5 * time.Millisecond, 0},
	{"some answers slow", 0, 0, 0.02},
}

// retryRule is one way to retry.
type retryRule struct {
	name         string
	useSageretry bool // budget and circuits of sageretry
	// retries bounds the retries of one request without a budget.
	retries int
	hedge   bool
}

var retryRules = []retryRule{
	{name: "budget and circuits", useSageretry: true},
	{name: "naive, 3 retries", retries: naiveRetries},
	{name: "no retries"},
	{name: "budget, circuits and hedging", useSageretry: true, hedge: true},
}

// Retry measures what is sent for each request that is asked, and how many are answered, while
// upstreams fail.
func Retry(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, c := range retryCases {
		for _, rule := range retryRules {
			w := newRetrySimulation(c, rule, seed)
			w.runUntil(retryDuration)
			out = append(out, w.samples()...)
		}
	}
	return out, nil
}

type retrySimulation struct {
	clock

	rand      *rand.Rand
	retryCase retryCase
	rule      retryRule
	policies  []*sageretry.Policy

	requests, sent, answered int
	currentSecond            [2]int // asked and sent in the present second
	worstRatio               float64
	latencies                []time.Duration
}

// retryRequest is a request until its first answer.
type retryRequest struct {
	router    int
	arrivedAt time.Duration
	tried     []string
	done      bool
	inFlight  int
}

func newRetrySimulation(c retryCase, rule retryRule, seed uint64) *retrySimulation {
	w := &retrySimulation{rand: rand.New(rand.NewPCG(seed, 17)), retryCase: c, rule: rule}
	for i := range retryRouters {
		w.policies = append(w.policies, &sageretry.Policy{Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
	}
	w.scheduleArrival()
	w.after(retryFailFrom, func() { w.every(time.Second, time.Second, w.endSecond) })
	return w
}

func (w *retrySimulation) failing() bool { return w.now >= retryFailFrom && w.now < retryFailUntil }

func (w *retrySimulation) scheduleArrival() {
	w.after(time.Duration(w.rand.ExpFloat64()/retryRequestsPerSecond*float64(time.Second)), func() {
		q := &retryRequest{router: w.rand.IntN(retryRouters), arrivedAt: w.now}
		if w.failing() {
			w.requests++
			w.currentSecond[0]++
		}
		if w.rule.useSageretry {
			w.policies[q.router].RecordFirstAttempt()
		}
		w.send(q)
		if w.rule.hedge {
			w.after(retryHedgeDelay, func() {
				if !q.done && q.inFlight == 1 {
					w.retry(q)
				}
			})
		}
		w.scheduleArrival()
	})
}

// try sends the request to an upstream that it was not sent to yet.
func (w *retrySimulation) send(q *retryRequest) {
	name, i, ok := w.pick(q)
	if !ok {
		return
	}
	policy := w.policies[q.router]
	if w.rule.useSageretry {
		policy.RecordAttempt(name)
	}
	q.tried = append(q.tried, name)
	q.inFlight++
	if w.failing() {
		w.sent++
		w.currentSecond[1]++
	}
	if w.failing() && i < w.retryCase.failingUpstreams {
		w.after(w.retryCase.failureDelay, func() { w.fail(q, name) })
		return
	}
	d := time.Duration((0.5 + w.rand.Float64()) * float64(retryMeanService))
	if w.rand.Float64() < w.retryCase.slowShare {
		d *= 10
	}
	w.after(d, func() { w.complete(q, name) })
}

func (w *retrySimulation) pick(q *retryRequest) (name string, i int, ok bool) {
	now, first := w.instant(), w.rand.IntN(retryUpstreams)
	for k := range retryUpstreams {
		i := (first + k) % retryUpstreams
		name := fmt.Sprint("upstream-", i)
		if slices.Contains(q.tried, name) {
			continue
		}
		if !w.rule.useSageretry || w.policies[q.router].Allow(now, name, epoch.Add(q.arrivedAt+retryDeadline)) {
			return name, i, true
		}
	}
	return "", 0, false
}

func (w *retrySimulation) complete(q *retryRequest, name string) {
	if w.rule.useSageretry {
		w.policies[q.router].RecordSuccess(name)
	}
	q.inFlight--
	if q.done || w.now-q.arrivedAt > retryDeadline {
		return
	}
	q.done = true
	if q.arrivedAt >= retryFailFrom && q.arrivedAt < retryFailUntil {
		w.answered++
		w.latencies = append(w.latencies, w.now-q.arrivedAt)
	}
}

func (w *retrySimulation) fail(q *retryRequest, name string) {
	q.inFlight--
	if w.rule.useSageretry {
		w.policies[q.router].RecordFailure(w.instant(), name)
	}
	if q.done || q.inFlight > 0 {
		return
	}
	w.retry(q)
}

// again retries or hedges if the rule allows it.
func (w *retrySimulation) retry(q *retryRequest) {
	if !w.rule.useSageretry {
		if len(q.tried) <= w.rule.retries {
			w.send(q)
		}
		return
	}
	d := w.policies[q.router].Retry(w.instant(), sageretry.Attempt{Idempotent: true, Tried: q.tried, Untried: 1, Deadline: epoch.Add(q.arrivedAt + retryDeadline)})
	if d.OK {
		w.after(d.At.Sub(w.instant()), func() {
			if !q.done {
				w.send(q)
			}
		})
	}
}

func (w *retrySimulation) endSecond() {
	if w.currentSecond[0] > 0 {
		w.worstRatio = max(w.worstRatio, float64(w.currentSecond[1])/float64(w.currentSecond[0]))
	}
	w.currentSecond = [2]int{}
}

func (w *retrySimulation) samples() []Sample {
	s := []Sample{
		{Metric: "sent / asked", Value: float64(w.sent) / float64(w.requests)},
		{Metric: "sent / asked, worst second", Value: w.worstRatio},
		{Metric: "answered", Unit: "%", Value: 100 * float64(w.answered) / float64(w.requests)},
		{Metric: "p99", Unit: "ms", Value: w.p99()},
	}
	if w.rule.useSageretry && !w.rule.hedge {
		s[0].Target = &Target{AtMost, 1 + sageretry.DefaultRatio}
	}
	for i := range s {
		s[i].Scenario, s[i].Policy = w.retryCase.name, w.rule.name
	}
	return s
}

func (w *retrySimulation) p99() float64 {
	if len(w.latencies) == 0 {
		return 0
	}
	slices.Sort(w.latencies)
	return float64(w.latencies[len(w.latencies)*99/100]) / float64(time.Millisecond)
}
