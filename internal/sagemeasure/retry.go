package sagemeasure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageretry"
)

// Parameters of the retry measurement: routers send to twelve upstreams, some of which fail for two
// minutes.
const (
	retryRouters           = 8
	retryUpstreams         = 12
	retryDuration          = 3 * time.Minute
	retryFailFrom          = 30 * time.Second
	retryFailUntil         = 150 * time.Second
	retryRequestsPerSecond = 400.0 // over all routers
	retryMeanService       = 300 * time.Millisecond
	retryDeadline          = 5 * time.Second
	naiveRetries           = 3 // of the baseline
	retryHedgeDelay        = 900 * time.Millisecond
)

// retryCase describes the failure of upstreams.
type retryCase struct {
	name             string
	failingUpstreams int
	failureDelay     time.Duration // until the failure is observed
	slowShare        float64       // fraction of responses that take ten times as long but succeed
}

var retryCases = []retryCase{
	{"third refuses at once", retryUpstreams / 3, 5 * time.Millisecond, 0},
	{"third hangs for a second", retryUpstreams / 3, time.Second, 0},
	{"all refuse at once", retryUpstreams, 5 * time.Millisecond, 0},
	{"some answers slow", 0, 0, 0.02},
}

// retryRule is one policy for retries.
type retryRule struct {
	name         string
	useSageretry bool // use the budget and circuits of sageretry
	// retries is the maximum number of retries per request without a budget.
	retries int
	hedge   bool
}

var retryRules = []retryRule{
	{name: "budget and circuits", useSageretry: true},
	{name: "naive, 3 retries", retries: naiveRetries},
	{name: "no retries"},
	{name: "budget, circuits and hedging", useSageretry: true, hedge: true},
}

// Retry measures the sends per request and the fraction of requests answered while upstreams fail.
func Retry(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, c := range retryCases {
		for _, rule := range retryRules {
			sim := newRetrySimulation(c, rule, seed)
			sim.runUntil(retryDuration)
			out = append(out, sim.samples()...)
		}
	}
	return out, nil
}

// retrySimulation is one run of a case under a rule.
type retrySimulation struct {
	clock

	rand      *rand.Rand
	retryCase retryCase
	rule      retryRule
	policies  []*sageretry.Policy

	requests, sent, answered int
	currentSecond            [2]int // requests and sends
	worstRatio               float64
	latencies                []time.Duration
}

// retryRequest is a request until its first response.
type retryRequest struct {
	router    int
	arrivedAt time.Duration
	tried     []string
	done      bool
	inFlight  int
}

func newRetrySimulation(c retryCase, rule retryRule, seed uint64) *retrySimulation {
	sim := &retrySimulation{rand: rand.New(rand.NewPCG(seed, 17)), retryCase: c, rule: rule}
	for i := range retryRouters {
		sim.policies = append(sim.policies, &sageretry.Policy{Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
	}
	sim.scheduleArrival()
	sim.after(retryFailFrom, func() { sim.every(time.Second, time.Second, sim.endSecond) })
	return sim
}

func (sim *retrySimulation) failing() bool {
	return sim.now >= retryFailFrom && sim.now < retryFailUntil
}

func (sim *retrySimulation) scheduleArrival() {
	sim.after(time.Duration(sim.rand.ExpFloat64()/retryRequestsPerSecond*float64(time.Second)), func() {
		q := &retryRequest{router: sim.rand.IntN(retryRouters), arrivedAt: sim.now}
		if sim.failing() {
			sim.requests++
			sim.currentSecond[0]++
		}
		if sim.rule.useSageretry {
			sim.policies[q.router].RecordFirstAttempt()
		}
		sim.send(q)
		if sim.rule.hedge {
			sim.after(retryHedgeDelay, func() {
				if !q.done && q.inFlight == 1 {
					sim.retry(q)
				}
			})
		}
		sim.scheduleArrival()
	})
}

// send sends the request to an upstream that it was not sent to yet.
func (sim *retrySimulation) send(q *retryRequest) {
	name, i, ok := sim.pick(q)
	if !ok {
		return
	}
	policy := sim.policies[q.router]
	if sim.rule.useSageretry {
		policy.RecordAttempt(name)
	}
	q.tried = append(q.tried, name)
	q.inFlight++
	if sim.failing() {
		sim.sent++
		sim.currentSecond[1]++
	}
	if sim.failing() && i < sim.retryCase.failingUpstreams {
		sim.after(sim.retryCase.failureDelay, func() { sim.fail(q, name) })
		return
	}
	d := time.Duration((0.5 + sim.rand.Float64()) * float64(retryMeanService))
	if sim.rand.Float64() < sim.retryCase.slowShare {
		d *= 10
	}
	sim.after(d, func() { sim.complete(q, name) })
}

// pick returns a random upstream that the request was not sent to and that the rule allows.
func (sim *retrySimulation) pick(q *retryRequest) (name string, i int, ok bool) {
	now, first := sim.instant(), sim.rand.IntN(retryUpstreams)
	for k := range retryUpstreams {
		i := (first + k) % retryUpstreams
		name := fmt.Sprint("upstream-", i)
		if slices.Contains(q.tried, name) {
			continue
		}
		if !sim.rule.useSageretry || sim.policies[q.router].Allow(now, name, epoch.Add(q.arrivedAt+retryDeadline)) {
			return name, i, true
		}
	}
	return "", 0, false
}

func (sim *retrySimulation) complete(q *retryRequest, name string) {
	if sim.rule.useSageretry {
		sim.policies[q.router].RecordSuccess(name)
	}
	q.inFlight--
	if q.done || sim.now-q.arrivedAt > retryDeadline {
		return
	}
	q.done = true
	if q.arrivedAt >= retryFailFrom && q.arrivedAt < retryFailUntil {
		sim.answered++
		sim.latencies = append(sim.latencies, sim.now-q.arrivedAt)
	}
}

func (sim *retrySimulation) fail(q *retryRequest, name string) {
	q.inFlight--
	if sim.rule.useSageretry {
		sim.policies[q.router].RecordFailure(sim.instant(), name)
	}
	if q.done || q.inFlight > 0 {
		return
	}
	sim.retry(q)
}

// retry retries or hedges the request if the rule allows it.
func (sim *retrySimulation) retry(q *retryRequest) {
	if !sim.rule.useSageretry {
		if len(q.tried) <= sim.rule.retries {
			sim.send(q)
		}
		return
	}
	d := sim.policies[q.router].Retry(sim.instant(), sageretry.Attempt{Idempotent: true, Tried: q.tried, Untried: 1, Deadline: epoch.Add(q.arrivedAt + retryDeadline)})
	if d.OK {
		sim.after(d.At.Sub(sim.instant()), func() {
			if !q.done {
				sim.send(q)
			}
		})
	}
}

// endSecond updates the worst ratio of sends to requests and starts the counts of the next second.
func (sim *retrySimulation) endSecond() {
	if sim.currentSecond[0] > 0 {
		sim.worstRatio = max(sim.worstRatio, float64(sim.currentSecond[1])/float64(sim.currentSecond[0]))
	}
	sim.currentSecond = [2]int{}
}

func (sim *retrySimulation) samples() []Sample {
	s := []Sample{
		{Metric: "sent / asked", Value: float64(sim.sent) / float64(sim.requests)},
		{Metric: "sent / asked, worst second", Value: sim.worstRatio},
		{Metric: "answered", Unit: "%", Value: 100 * float64(sim.answered) / float64(sim.requests)},
		{Metric: "p99", Unit: "ms", Value: sim.p99()},
	}
	if sim.rule.useSageretry && !sim.rule.hedge {
		s[0].Target = &Target{AtMost, 1 + sageretry.DefaultRatio}
	}
	for i := range s {
		s[i].Scenario, s[i].Policy = sim.retryCase.name, sim.rule.name
	}
	return s
}

func (sim *retrySimulation) p99() float64 {
	if len(sim.latencies) == 0 {
		return 0
	}
	slices.Sort(sim.latencies)
	return float64(sim.latencies[len(sim.latencies)*99/100]) / float64(time.Millisecond)
}
