package sagemeasure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sagefair"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Parameters of the surge measurement: routers share the slots equally, and one of ten client accounts
// of equal weight sends a multiple of what the whole fleet can serve from surgeStart on.
const (
	surgeRouters     = 8
	surgeSlots       = 24 // per router
	surgeAccounts    = 10
	surgeDuration    = 3 * time.Minute
	surgeStart       = time.Minute
	surgeMeanService = 400 * time.Millisecond
	surgeDeadline    = 3 * time.Second
	surgeUtilisation = 0.6 // of the slots, by all accounts without the surge
	surgeMultiple    = 5   // rate of the surge as a multiple of what the fleet can serve
	surgeMaxQueue    = 200
)

// surgeQueuing is one way to queue the requests of a router.
type surgeQueuing struct {
	name     string
	newQueue func() surgeQueuer
}

// surgeQueuer queues requests. Offer adds a request, Done ends one; both return the items whose state
// changed.
type surgeQueuer interface {
	Offer(now time.Time, r sagefair.Request) (*sagefair.Item, []*sagefair.Item)
	Done(now time.Time, it *sagefair.Item) []*sagefair.Item
}

var surgeQueuings = []surgeQueuing{
	{"fair shares", func() surgeQueuer {
		s := &sagefair.Scheduler{MaxQueue: surgeMaxQueue}
		s.SetSlots(epoch, surgeSlots)
		return s
	}},
	{"first in first out", func() surgeQueuer { return &fifo{slots: surgeSlots} }},
}

// surgeCase describes where the surge arrives and which priority it has.
type surgeCase struct {
	name     string
	routers  int // that receive the surge
	priority sagewire.Priority
}

var surgeCases = []surgeCase{
	{"surge at every router", surgeRouters, sagewire.Normal},
	{"surge at one router", 1, sagewire.Normal},
	{"surge marked urgent", surgeRouters, sagewire.Urgent},
}

// Surge measures the service of the other accounts while one account surges, relative to the same run
// without a surge.
func Surge(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, c := range surgeCases {
		for _, q := range surgeQueuings {
			baseline := newSurgeSimulation(q, c, 0, seed)
			withSurge := newSurgeSimulation(q, c, surgeMultiple, seed)
			baseline.runUntil(surgeDuration)
			withSurge.runUntil(surgeDuration)
			out = append(out, surgeSamples(c, q, baseline, withSurge)...)
		}
	}
	return out, nil
}

func surgeSamples(c surgeCase, q surgeQueuing, baseline, withSurge *surgeSimulation) []Sample {
	goodputShare := 100 * float64(withSurge.goodput) / float64(baseline.goodput)
	s := []Sample{
		{Metric: "goodput of others, of that without surge", Unit: "%", Value: goodputShare},
		{Metric: "p99 of others without surge", Unit: "ms", Value: baseline.p99()},
		{Metric: "p99 of others with surge", Unit: "ms", Value: withSurge.p99()},
		{Metric: "surging account's part of slot time", Unit: "%", Value: 100 * withSurge.surgeSlotTime.Seconds() / withSurge.totalSlotTime.Seconds()},
	}
	if q.name == "fair shares" {
		s[0].Target = &Target{AtLeast, 98}
	}
	for i := range s {
		s[i].Scenario, s[i].Policy = c.name, q.name
	}
	return s
}

// surgeSimulation is one run of a case with one way of queuing.
type surgeSimulation struct {
	clock

	rand   *rand.Rand
	queues []surgeQueuer
	jobs   map[*sagefair.Item]*surgeJob

	goodput                      int // requests of other accounts that completed within their deadline
	latencies                    []time.Duration
	surgeSlotTime, totalSlotTime time.Duration
}

type surgeJob struct {
	router    int
	account   int
	arrivedAt time.Duration
	service   time.Duration
}

func newSurgeSimulation(q surgeQueuing, c surgeCase, multiple float64, seed uint64) *surgeSimulation {
	sim := &surgeSimulation{rand: rand.New(rand.NewPCG(seed, 13)), jobs: make(map[*sagefair.Item]*surgeJob)}
	for range surgeRouters {
		sim.queues = append(sim.queues, q.newQueue())
	}
	fleetRate := surgeRouters * surgeSlots / surgeMeanService.Seconds()
	for a := range surgeAccounts {
		source := rand.New(rand.NewPCG(seed, uint64(100+a)))
		sim.scheduleArrival(source, a, surgeUtilisation*fleetRate/surgeAccounts, surgeRouters, sagewire.Normal)
	}
	if multiple > 0 {
		source := rand.New(rand.NewPCG(seed, 99))
		sim.after(surgeStart, func() {
			sim.scheduleArrival(source, 0, multiple*fleetRate*float64(c.routers)/surgeRouters, c.routers, c.priority)
		})
	}
	return sim
}

// scheduleArrival generates the requests of one account. Each account has its own random source, so
// that the requests of the others are the same with and without the surge.
func (sim *surgeSimulation) scheduleArrival(source *rand.Rand, account int, rate float64, routers int, p sagewire.Priority) {
	sim.after(time.Duration(source.ExpFloat64()/rate*float64(time.Second)), func() {
		j := &surgeJob{router: source.IntN(routers), account: account, arrivedAt: sim.now,
			service: time.Duration(source.ExpFloat64() * float64(surgeMeanService))}
		sim.offer(j, p)
		sim.scheduleArrival(source, account, rate, routers, p)
	})
}

func (sim *surgeSimulation) offer(j *surgeJob, p sagewire.Priority) {
	now := sim.instant()
	it, others := sim.queues[j.router].Offer(now, sagefair.Request{
		Account: fmt.Sprint("account-", j.account), Weight: 1, Priority: p, Deadline: now.Add(surgeDeadline)})
	sim.jobs[it] = j
	sim.start(append(others, it))
}

// start runs the items that got a slot and drops those that were refused.
func (sim *surgeSimulation) start(items []*sagefair.Item) {
	for _, it := range items {
		j := sim.jobs[it]
		switch it.State {
		case sagefair.Refused:
			delete(sim.jobs, it)
		case sagefair.Running:
			sim.after(j.service, func() { sim.finish(it, j) })
		}
	}
}

func (sim *surgeSimulation) finish(it *sagefair.Item, j *surgeJob) {
	delete(sim.jobs, it)
	if sim.now >= surgeStart {
		sim.totalSlotTime += j.service
		if j.account == 0 {
			sim.surgeSlotTime += j.service
		} else if latency := sim.now - j.arrivedAt; latency <= surgeDeadline {
			sim.goodput++
			sim.latencies = append(sim.latencies, latency)
		}
	}
	sim.start(sim.queues[j.router].Done(sim.instant(), it))
}

func (sim *surgeSimulation) p99() float64 {
	slices.Sort(sim.latencies)
	return float64(sim.latencies[len(sim.latencies)*99/100]) / float64(time.Millisecond)
}

// fifo is the baseline: one bounded first-in, first-out queue for all accounts.
type fifo struct {
	slots, running int
	queue          []*sagefair.Item
}

// Offer implements [surgeQueuer].
func (f *fifo) Offer(_ time.Time, r sagefair.Request) (*sagefair.Item, []*sagefair.Item) {
	it := &sagefair.Item{Request: r}
	switch {
	case f.running < f.slots:
		f.running++
		it.State = sagefair.Running
	case len(f.queue) >= surgeMaxQueue:
		it.State = sagefair.Refused
	default:
		f.queue = append(f.queue, it)
	}
	return it, nil
}

// Done implements [surgeQueuer].
func (f *fifo) Done(now time.Time, _ *sagefair.Item) []*sagefair.Item {
	f.running--
	var out []*sagefair.Item
	for f.running < f.slots && len(f.queue) > 0 {
		it := f.queue[0]
		f.queue = f.queue[1:]
		it.State = sagefair.Refused
		if now.Before(it.Request.Deadline) {
			it.State = sagefair.Running
			f.running++
		}
		out = append(out, it)
	}
	return out
}
