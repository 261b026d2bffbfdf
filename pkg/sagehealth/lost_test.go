package sagehealth

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// exchangeEnd is the end of a simulated exchange.
type exchangeEnd struct {
	at           time.Duration
	node, engine int
	res          Result
}

type endQueue []exchangeEnd

func (e endQueue) Len() int           { return len(e) }
func (e endQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endQueue) Push(x any)        { *e = append(*e, x.(exchangeEnd)) }
func (e *endQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// loadResult is the result of simulateLoad.
type loadResult struct {
	// avoided is the fraction of the calls of Avoid that returned true, the others are fractions of the requests.
	avoided, broken, aboveBound float64
}

// simulateLoad runs ten seconds of virtual time in which nodes send each request to the less loaded of two engines
// that they don't avoid. Counts and reports are exchanged every 0.3 s. exchange returns the result of an exchange
// and its duration.
func simulateLoad(seed uint64, exchange func(rnd *rand.Rand, engine int) (Result, time.Duration)) loadResult {
	const interval = 300 * time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 2))
	trackers := make([]Tracker, nodes)
	for i := range trackers {
		trackers[i].Self = fmt.Sprintf("vm%d", i)
	}
	var pending endQueue
	load, known := make([]int, engines), make([]int, engines)
	total, sent, aboveBound, broken, avoided, checks := 0, 0, 0, 0, 0, 0
	next := interval
	for at := time.Second; at < 11*time.Second; at += time.Second / requestsPerSecond {
		now := sageclock.Instant(at)
		for len(pending) > 0 && pending[0].at <= at {
			e := heap.Pop(&pending).(exchangeEnd)
			trackers[e.node].Record(sageclock.Instant(e.at), "s", fmt.Sprint(e.engine), e.res)
			load[e.engine]--
			total--
		}
		if at >= next {
			next = at + interval
			copy(known, load)
			reports := make(map[string]int)
			own := make([]map[string]bool, nodes)
			for i := range trackers {
				own[i] = make(map[string]bool)
				for _, u := range trackers[i].RecentlyBroken(now) {
					reports[u]++
					own[i][u] = true
				}
			}
			for i := range trackers {
				for e := range engines {
					u := fmt.Sprint(e)
					n := reports[u]
					if own[i][u] {
						n--
					}
					trackers[i].RecordReports(now, "s", u, n, known[e])
				}
			}
		}
		node := rnd.IntN(nodes)
		var usable []int
		for e := range engines {
			checks++
			if trackers[node].Avoid(now, "s", fmt.Sprint(e)) {
				avoided++
				continue
			}
			usable = append(usable, e)
		}
		if len(usable) == 0 {
			continue
		}
		e, o := usable[rnd.IntN(len(usable))], usable[rnd.IntN(len(usable))]
		if known[o] < known[e] {
			e = o
		}
		sent++
		if float64(load[e]) > 2*float64(total)/engines+3 {
			aboveBound++
		}
		res, took := exchange(rnd, e)
		if res == Broken {
			broken++
		}
		load[e]++
		total++
		heap.Push(&pending, exchangeEnd{at + took, node, e, res})
	}
	return loadResult{
		avoided: float64(avoided) / float64(checks), broken: float64(broken) / float64(sent), aboveBound: float64(aboveBound) / float64(sent),
	}
}

// A third of a service's upstreams was ejected because they lost some answers.
func TestEnginesThatLoseSomeAnswersStayInUse(t *testing.T) {
	for seed := range uint64(3) {
		got := simulateLoad(seed, func(rnd *rand.Rand, engine int) (Result, time.Duration) {
			took := time.Duration((0.2 + rnd.ExpFloat64()) * float64(time.Second))
			if engine < engines*3/5 && rnd.IntN(100) < 15 {
				return Broken, min(took, 40*time.Millisecond)
			}
			return OK, took
		})
		t.Logf("%+v", got)
		require.Less(t, got.avoided, 0.15, "seed %d", seed)
	}
}

// Requests that wait at an upstream that is down raise the number of reports needed to eject it, which must not
// keep it in use.
func TestUnreachableEnginesAreExcluded(t *testing.T) {
	for name, took := range map[string]time.Duration{"refused": 2 * time.Millisecond, "stalled": 700 * time.Millisecond} {
		got := simulateLoad(1, func(rnd *rand.Rand, engine int) (Result, time.Duration) {
			if engine < engines/4 {
				return Broken, took
			}
			return OK, time.Duration((0.2 + rnd.ExpFloat64()) * float64(time.Second))
		})
		t.Logf("%s: %+v", name, got)
		require.Less(t, got.broken, 0.12, name)
	}
}
