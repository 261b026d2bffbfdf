package sagefair

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// fleetShares gives all gates of a simulation their shares several times a second, from the counts of the last second of all
// nodes, some time ago.
type fleetShares struct {
	sim      *gateSim
	capacity float64
	age      time.Duration
	asked    map[string][]sageclock.Instant
}

const (
	fleetInterval = 200 * time.Millisecond
	fleetWindow   = time.Second
	fleetListed   = 64 // accounts with the highest counts
	fleetOthers   = "the others"
)

func (f *fleetShares) run(until sageclock.Instant) {
	s := f.sim
	end := s.now.Add(-f.age)
	total := 0.0
	var demands []Demand
	for _, a := range slices.Sorted(maps.Keys(f.asked)) {
		at := f.asked[a]
		n := 0
		keep := at[:0]
		for _, t := range at {
			if t >= end.Add(-fleetWindow) {
				keep = append(keep, t)
				if t < end {
					n++
				}
			}
		}
		f.asked[a] = keep
		if n > 0 {
			demands = append(demands, Demand{Account: a, Rate: float64(n)})
			total += float64(n)
		}
	}
	demands = listHeaviest(demands)
	nodes := float64(len(s.gates))
	_, level := Divide(f.capacity, demands)
	headroom := Headroom(f.capacity, demands)
	sh := Shares{Short: total > f.capacity, Rates: map[string]float64{}, Excess: map[string]float64{}, Other: level / nodes}
	for i, d := range demands {
		if d.Account == fleetOthers {
			sh.OtherTotal = headroom[i] / nodes
			continue
		}
		sh.Rates[d.Account] = headroom[i] / nodes
		sh.Excess[d.Account] = d.Rate / headroom[i]
	}
	s.setShares(sh)
	if s.now < until {
		s.at(s.now.Add(fleetInterval), func() { f.run(until) })
	}
}

// listHeaviest keeps the accounts with the highest counts and adds up the others.
func listHeaviest(demands []Demand) []Demand {
	if len(demands) <= fleetListed {
		return demands
	}
	slices.SortStableFunc(demands, func(a, b Demand) int { return cmp.Compare(b.Rate, a.Rate) })
	others := Demand{Account: fleetOthers}
	for _, d := range demands[fleetListed:] {
		others.Rate += d.Rate
	}
	others.Weight = others.Rate / demands[fleetListed-1].Rate
	return append(demands[:fleetListed:fleetListed], others)
}

// playFleet plays 40 s in which accounts ask for a part of the capacity together; from 10 s on, an account floods with a part of the capacity.
// It returns the part of the requests of the others that are served in the objective, and the part of the capacity used from 14 s
// on.
func playFleet(s *gateSim, accounts int, capacity, load, flood float64) (calm, used float64) {
	const d, floodAt, settled = 40 * time.Second, 10 * time.Second, 14 * time.Second
	f := &fleetShares{sim: s, capacity: capacity, age: 400 * time.Millisecond, asked: map[string][]sageclock.Instant{}}
	s.onArrival = func(a string) { f.asked[a] = append(f.asked[a], s.now) }
	f.run(gateStart.Add(d))
	var loads []gateLoad
	for i := range accounts {
		loads = append(loads, gateLoad{account: fmt.Sprint("a", i), perSecond: load * capacity / float64(accounts)})
	}
	if flood > 0 {
		loads = append(loads, gateLoad{account: "flood", perSecond: flood * capacity, from: floodAt})
	}
	s.play(d, loads...)

	starts := 0
	var sum gateCount
	for a, n := range s.counts {
		if a != "flood" {
			sum.Asked += n.Asked
			sum.InTime += n.InTime
		}
		for _, at := range s.starts[a] {
			if at >= gateStart.Add(settled) && at < gateStart.Add(d) {
				starts++
			}
		}
	}
	return sum.inTime(), float64(starts) / (d - settled).Seconds() / capacity
}

// Prevents that callers who come back before they are asked to take the places of new ones.
func TestCallersThatReturnTooEarly(t *testing.T) {
	for _, c := range []struct {
		nodes, accounts               int
		capacity, load, flood, inTime float64
	}{
		{133, 24, 200, 1.5, 0, 0.45},
		{133, 24, 200, 0.6, 4, 0.99},
		{4, 12, 600, 1.5, 0, 0.6},
		{4, 12, 600, 0.9, 4, 0.99},
	} {
		t.Run(fmt.Sprintf("%d nodes, load %v, flood %v", c.nodes, c.load, c.flood), func(t *testing.T) {
			s := newGateSim(c.nodes, 1)
			s.returns, s.early = true, true
			calm, used := playFleet(s, c.accounts, c.capacity, c.load, c.flood)
			t.Logf("in the objective %.3f, capacity used %.3f", calm, used)
			require.GreaterOrEqual(t, calm, c.inTime)
			require.LessOrEqual(t, used, 1.1)
		})
	}
}

// Prevents that an account that floods, or all accounts together, take more than there is capacity for over a fleet, or leave capacity
// unused, or that the others are refused.
func TestSharesOverFleet(t *testing.T) {
	for _, c := range []struct {
		nodes, accounts int
		capacity        float64
		load, flood     float64 // of the capacity
		inTime          float64 // of the accounts that don't flood, at least
		used            float64 // of the capacity, at most
	}{
		{133, 24, 200, 0.6, 0, 1, 1.05},
		{133, 24, 200, 0.9, 0, 0.99, 1.05},
		{133, 24, 200, 1, 0, 0.95, 1.05},
		{133, 24, 200, 1.1, 0, 0.87, 1.05},
		{133, 24, 200, 1.5, 0, 0.6, 1.05},
		{133, 24, 200, 0.6, 4, 0.99, 1.05},
		{133, 24, 200, 0.9, 4, 0.97, 1.05},
		{133, 24, 200, 0.6, 1, 0.99, 1.05},
		{65, 24, 600, 0.9, 2, 0.99, 1.05},
		{50, 375, 375, 0.8, 2, 0.97, 1.05},
		{50, 375, 375, 1.5, 0, 0.6, 1.1},
		{4, 12, 600, 0.6, 4, 0.99, 1.05},
		{4, 12, 600, 0.9, 4, 0.99, 1.05},
		{4, 12, 600, 1, 0, 0.97, 1.05},
		{4, 12, 600, 1.5, 0, 0.6, 1.05},
	} {
		t.Run(fmt.Sprintf("%d nodes, load %v, flood %v", c.nodes, c.load, c.flood), func(t *testing.T) {
			s := newGateSim(c.nodes, 1)
			s.returns = true
			calm, used := playFleet(s, c.accounts, c.capacity, c.load, c.flood)
			returned, refusedTwice := 0, 0
			for _, n := range s.counts {
				returned += n.Returned
				refusedTwice += n.RefusedTwice
			}
			t.Logf("in the objective %.3f, capacity used %.3f, refused twice %d of %d", calm, used, refusedTwice, returned)
			require.GreaterOrEqual(t, calm, c.inTime)
			require.LessOrEqual(t, used, c.used)
			require.GreaterOrEqual(t, used, min(0.95, 0.97*(c.load+c.flood)))
			require.LessOrEqual(t, refusedTwice*50, returned)
		})
	}
}
