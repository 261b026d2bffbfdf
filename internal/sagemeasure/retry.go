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
	retryRouters   = 8
	retryUpstreams = 12
	retryTime      = 3 * time.Minute
	retryFailFrom  = 30 * time.Second
	retryFailTill  = 150 * time.Second
	retryRate      = 400.0 // requests a second of all routers
	retryService   = 300 * time.Millisecond
	retryPatience  = 5 * time.Second
	retryNaive     = 3 // retries of the baseline
	retryHedgeAt   = 900 * time.Millisecond
)

// retryCase says how the failing upstreams fail.
type retryCase struct {
	name  string
	fails int           // upstreams that fail
	after time.Duration // until the failure shows
	slow  float64       // part of answers that take ten times as long, without a failure
}

var retryCases = []retryCase{
	{"third refuses at once", retryUpstreams / 3, 5 * time.Millisecond, 0},
	{"third hangs for a second", retryUpstreams / 3, time.Second, 0},
	{"all refuse at once", retryUpstreams, 5 * time.Millisecond, 0},
	{"some answers slow", 0, 0, 0.02},
}

// retryRule is one way to retry.
type retryRule struct {
	name string
	own  bool // budget and circuits of sageretry
	// retries bounds the retries of one request without a budget.
	retries int
	hedge   bool
}

var retryRules = []retryRule{
	{name: "budget and circuits", own: true},
	{name: "naive, 3 retries", retries: retryNaive},
	{name: "no retries"},
	{name: "budget, circuits and hedging", own: true, hedge: true},
}

// Retry measures what is sent for each request that is asked, and how many are answered, while
// upstreams fail.
func Retry(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, c := range retryCases {
		for _, rule := range retryRules {
			w := newRetryWorld(c, rule, seed)
			w.runUntil(retryTime)
			out = append(out, w.samples()...)
		}
	}
	return out, nil
}

type retryWorld struct {
	clock

	rand     *rand.Rand
	c        retryCase
	rule     retryRule
	policies []*sageretry.Policy

	asked, sent, answered int
	second                [2]int // asked and sent in the present second
	worst                 float64
	latencies             []time.Duration
}

// retryRequest is a request until its first answer.
type retryRequest struct {
	router int
	came   time.Duration
	tried  []string
	done   bool
	flying int
}

func newRetryWorld(c retryCase, rule retryRule, seed uint64) *retryWorld {
	w := &retryWorld{rand: rand.New(rand.NewPCG(seed, 17)), c: c, rule: rule}
	for i := range retryRouters {
		w.policies = append(w.policies, &sageretry.Policy{Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
	}
	w.arrive()
	w.after(retryFailFrom, func() { w.every(time.Second, time.Second, w.endSecond) })
	return w
}

func (w *retryWorld) failing() bool { return w.now >= retryFailFrom && w.now < retryFailTill }

func (w *retryWorld) arrive() {
	w.after(time.Duration(w.rand.ExpFloat64()/retryRate*float64(time.Second)), func() {
		q := &retryRequest{router: w.rand.IntN(retryRouters), came: w.now}
		if w.failing() {
			w.asked++
			w.second[0]++
		}
		if w.rule.own {
			w.policies[q.router].RecordFirstAttempt()
		}
		w.try(q)
		if w.rule.hedge {
			w.after(retryHedgeAt, func() {
				if !q.done && q.flying == 1 {
					w.again(q)
				}
			})
		}
		w.arrive()
	})
}

// try sends the request to an upstream that it was not sent to yet.
func (w *retryWorld) try(q *retryRequest) {
	name, i, ok := w.pick(q)
	if !ok {
		return
	}
	p := w.policies[q.router]
	if w.rule.own {
		p.RecordAttempt(name)
	}
	q.tried = append(q.tried, name)
	q.flying++
	if w.failing() {
		w.sent++
		w.second[1]++
	}
	if w.failing() && i < w.c.fails {
		w.after(w.c.after, func() { w.failed(q, name) })
		return
	}
	d := time.Duration((0.5 + w.rand.Float64()) * float64(retryService))
	if w.rand.Float64() < w.c.slow {
		d *= 10
	}
	w.after(d, func() { w.answer(q, name) })
}

func (w *retryWorld) pick(q *retryRequest) (name string, i int, ok bool) {
	now, first := w.instant(), w.rand.IntN(retryUpstreams)
	for k := range retryUpstreams {
		i := (first + k) % retryUpstreams
		name := fmt.Sprint("upstream-", i)
		if slices.Contains(q.tried, name) {
			continue
		}
		if !w.rule.own || w.policies[q.router].Allow(now, name, epoch.Add(q.came+retryPatience)) {
			return name, i, true
		}
	}
	return "", 0, false
}

func (w *retryWorld) answer(q *retryRequest, name string) {
	if w.rule.own {
		w.policies[q.router].RecordSuccess(name)
	}
	q.flying--
	if q.done || w.now-q.came > retryPatience {
		return
	}
	q.done = true
	if q.came >= retryFailFrom && q.came < retryFailTill {
		w.answered++
		w.latencies = append(w.latencies, w.now-q.came)
	}
}

func (w *retryWorld) failed(q *retryRequest, name string) {
	q.flying--
	if w.rule.own {
		w.policies[q.router].RecordFailure(w.instant(), name)
	}
	if q.done || q.flying > 0 {
		return
	}
	w.again(q)
}

// again retries or hedges if the rule allows it.
func (w *retryWorld) again(q *retryRequest) {
	if !w.rule.own {
		if len(q.tried) <= w.rule.retries {
			w.try(q)
		}
		return
	}
	d := w.policies[q.router].Retry(w.instant(), sageretry.Attempt{Idempotent: true, Tried: q.tried, Untried: 1, Deadline: epoch.Add(q.came + retryPatience)})
	if d.OK {
		w.after(d.At.Sub(w.instant()), func() {
			if !q.done {
				w.try(q)
			}
		})
	}
}

func (w *retryWorld) endSecond() {
	if w.second[0] > 0 {
		w.worst = max(w.worst, float64(w.second[1])/float64(w.second[0]))
	}
	w.second = [2]int{}
}

func (w *retryWorld) samples() []Sample {
	s := []Sample{
		{Metric: "sent / asked", Value: float64(w.sent) / float64(w.asked)},
		{Metric: "sent / asked, worst second", Value: w.worst},
		{Metric: "answered", Unit: "%", Value: 100 * float64(w.answered) / float64(w.asked)},
		{Metric: "p99", Unit: "ms", Value: w.p99()},
	}
	if w.rule.own && !w.rule.hedge {
		s[0].Target = &Target{AtMost, 1 + sageretry.DefaultRatio}
	}
	for i := range s {
		s[i].Scenario, s[i].Policy = w.c.name, w.rule.name
	}
	return s
}

func (w *retryWorld) p99() float64 {
	if len(w.latencies) == 0 {
		return 0
	}
	slices.Sort(w.latencies)
	return float64(w.latencies[len(w.latencies)*99/100]) / float64(time.Millisecond)
}
