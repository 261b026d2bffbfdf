package sagemeasure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sagefair"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Shape of the surge measure: routers with equal parts of the slots, ten client accounts of equal
// weight, one of which sends a multiple of what the whole fleet can serve for half of the time.
const (
	surgeRouters     = 8
	surgeSlots       = 24 // of each router
	surgeAccounts    = 10
	surgeDuration    = 3 * time.Minute
	surgeStart       = time.Minute
	surgeMeanService = 400 * time.Millisecond
	surgeDeadline    = 3 * time.Second
	surgeUtilisation = 0.6 // of the slots, by the nine others and the tenth before its surge
	surgeMultiple    = 5   // the surge as a multiple of all slots
	surgeMaxQueue    = 200
)

// surgeQueuing is one way to queue the requests of a router.
type surgeQueuing struct {
	name     string
	newQueue func() surgeQueuer
}

// surgeQueuer offers requests and takes their ends; items are those of the scheduler.
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

// surgeCase says where the surge comes in and how it is marked.
type surgeCase struct {
	name     string
	routers  int // that get the surge
	priority sagewire.Priority
}

var surgeCases = []surgeCase{
	{"surge at every router", surgeRouters, sagewire.Normal},
	{"surge at one router", 1, sagewire.Normal},
	{"surge marked urgent", surgeRouters, sagewire.Urgent},
}

// Surge measures what other accounts get while one surges, against the same run without a surge.
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

type surgeSimulation struct {
	clock

	rand   *rand.Rand
	queues []surgeQueuer
	jobs   map[*sagefair.Item]*surgeJob

	goodput                      int // requests of others that ended within their deadline, during the surge
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
	w := &surgeSimulation{rand: rand.New(rand.NewPCG(seed, 13)), jobs: make(map[*sagefair.Item]*surgeJob)}
	for range surgeRouters {
		w.queues = append(w.queues, q.newQueue())
	}
	fleetRate := surgeRouters * surgeSlots / surgeMeanService.Seconds()
	for a := range surgeAccounts {
		source := rand.New(rand.NewPCG(seed, uint64(100+a)))
		w.scheduleArrival(source, a, surgeUtilisation*fleetRate/surgeAccounts, surgeRouters, sagewire.Normal)
	}
	if multiple > 0 {
		source := rand.New(rand.NewPCG(seed, 99))
		w.after(surgeStart, func() {
			w.scheduleArrival(source, 0, multiple*fleetRate*float64(c.routers)/surgeRouters, c.routers, c.priority)
		})
	}
	return w
}

// arrive makes the requests of one account come; each account draws from a source of its own, so
// that the others' requests are the same with and without the surge.
func (w *surgeSimulation) scheduleArrival(source *rand.Rand, account int, rate float64, routers int, p sagewire.Priority) {
	w.after(time.Duration(source.ExpFloat64()/rate*float64(time.Second)), func() {
		j := &surgeJob{router: source.IntN(routers), account: account, arrivedAt: w.now,
			service: time.Duration(source.ExpFloat64() * float64(surgeMeanService))}
		w.offer(j, p)
		w.scheduleArrival(source, account, rate, routers, p)
	})
}

func (w *surgeSimulation) offer(j *surgeJob, p sagewire.Priority) {
	now := w.instant()
	it, others := w.queues[j.router].Offer(now, sagefair.Request{
		Account: fmt.Sprint("account-", j.account), Weight: 1, Priority: p, Deadline: now.Add(surgeDeadline)})
	w.jobs[it] = j
	w.start(append(others, it))
}

// start runs the items that got their slot.
func (w *surgeSimulation) start(items []*sagefair.Item) {
	for _, it := range items {
		j := w.jobs[it]
		switch it.State {
		case sagefair.Refused:
			delete(w.jobs, it)
		case sagefair.Running:
			w.after(j.service, func() { w.finish(it, j) })
		}
	}
}

func (w *surgeSimulation) finish(it *sagefair.Item, j *surgeJob) {
	delete(w.jobs, it)
	if w.now >= surgeStart {
		w.totalSlotTime += j.service
		if j.account == 0 {
			w.surgeSlotTime += j.service
		} else if latency := w.now - j.arrivedAt; latency <= surgeDeadline {
			w.goodput++
			w.latencies = append(w.latencies, latency)
		}
	}
	w.start(w.queues[j.router].Done(w.instant(), it))
}

func (w *surgeSimulation) p99() float64 {
	slices.Sort(w.latencies)
	return float64(w.latencies[len(w.latencies)*99/100]) / float64(time.Millisecond)
}

// fifo is the baseline: one bounded queue for all, first in first out.
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
