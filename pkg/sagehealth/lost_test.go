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

// ending is the end of an exchange of the model.
type ending struct {
	at           time.Duration
	node, engine int
	res          Result
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// loaded is what the loaded model showed.
type loaded struct {
	avoided, broken, aboveCap float64 // parts of the engines, of the requests, of the requests
}

// loadedModel plays ten seconds in which nodes send to the least loaded of two engines that they don't avoid, with
// counts and reports that come each 0.3 s. exchange returns how an exchange with an engine ends, and after what time.
func loadedModel(seed uint64, exchange func(rnd *rand.Rand, engine int) (Result, time.Duration)) loaded {
	const beat = 300 * time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 2))
	books := make([]Tracker, nodes)
	for i := range books {
		books[i].Self = fmt.Sprintf("vm%d", i)
	}
	var ends endings
	load, known := make([]int, engines), make([]int, engines)
	total, sent, above, broken, avoided, looks := 0, 0, 0, 0, 0, 0
	next := beat
	for at := time.Second; at < 11*time.Second; at += time.Second / rate {
		now := sageclock.Instant(at)
		for len(ends) > 0 && ends[0].at <= at {
			e := heap.Pop(&ends).(ending)
			books[e.node].Record(sageclock.Instant(e.at), "s", fmt.Sprint(e.engine), e.res)
			load[e.engine]--
			total--
		}
		if at >= next {
			next = at + beat
			copy(known, load)
			reports := make(map[string]int)
			own := make([]map[string]bool, nodes)
			for i := range books {
				own[i] = make(map[string]bool)
				for _, u := range books[i].RecentlyBroken(now) {
					reports[u]++
					own[i][u] = true
				}
			}
			for i := range books {
				for e := range engines {
					u := fmt.Sprint(e)
					n := reports[u]
					if own[i][u] {
						n--
					}
					books[i].RecordReports(now, "s", u, n, known[e])
				}
			}
		}
		node := rnd.IntN(nodes)
		var free []int
		for e := range engines {
			looks++
			if books[node].Avoid(now, "s", fmt.Sprint(e)) {
				avoided++
				continue
			}
			free = append(free, e)
		}
		if len(free) == 0 {
			continue
		}
		e, o := free[rnd.IntN(len(free))], free[rnd.IntN(len(free))]
		if known[o] < known[e] {
			e = o
		}
		sent++
		if float64(load[e]) > 2*float64(total)/engines+3 {
			above++
		}
		res, took := exchange(rnd, e)
		if res == Broken {
			broken++
		}
		load[e]++
		total++
		heap.Push(&ends, ending{at + took, node, e, res})
	}
	return loaded{
		avoided: float64(avoided) / float64(looks), broken: float64(broken) / float64(sent), aboveCap: float64(above) / float64(sent),
	}
}

// Guards against the ejection of a third of a service whose upstreams lose some answers.
func TestEnginesThatLoseSomeAnswersStayInUse(t *testing.T) {
	for seed := range uint64(3) {
		got := loadedModel(seed, func(rnd *rand.Rand, engine int) (Result, time.Duration) {
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

// Guards against upstreams that are down and stay in use, as requests that wait there raise the number of reports
// needed.
func TestDarkEnginesAreLeftOut(t *testing.T) {
	for name, took := range map[string]time.Duration{"refused": 2 * time.Millisecond, "dark": 700 * time.Millisecond} {
		got := loadedModel(1, func(rnd *rand.Rand, engine int) (Result, time.Duration) {
			if engine < engines/4 {
				return Broken, took
			}
			return OK, time.Duration((0.2 + rnd.ExpFloat64()) * float64(time.Second))
		})
		t.Logf("%s: %+v", name, got)
		require.Less(t, got.broken, 0.12, name)
	}
}
