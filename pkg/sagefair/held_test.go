package sagefair

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Prevents that an account that floods a node takes capacity from the others.
func TestFloodTakesNoMoreThanItsShare(t *testing.T) {
	const seconds = 60
	for _, nodes := range []int{1, 133} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			s := newGateSim(nodes, 1)
			s.returns = true
			part := 1 / float64(nodes)
			s.setShares(Shares{
				Short:  true,
				Rates:  map[string]float64{"flood": 40 * part, "calm": 60 * part},
				Excess: map[string]float64{"flood": 10},
			})
			s.play(seconds*time.Second, gateLoad{account: "flood", perSecond: 400}, gateLoad{account: "calm", perSecond: 50})
			starts := float64(len(s.starts["flood"]))
			require.Less(t, starts, 40.0*seconds*1.1)
			require.Greater(t, starts, 40.0*seconds*0.9, "the share is used")
			require.Greater(t, s.counts["calm"].inTime(), 0.99)
		})
	}
}

// Prevents that requests of an account that floods wait for their places until their responses are late.
func TestFloodIsServedInTime(t *testing.T) {
	const seconds, share = 60, 48.0
	for _, nodes := range []int{1, 4} {
		for _, excess := range []float64{4, 10} {
			t.Run(fmt.Sprintf("%d nodes, excess %g", nodes, excess), func(t *testing.T) {
				s := newGateSim(nodes, 1)
				s.objective, s.wait, s.run, s.spread = 750*time.Millisecond, 50*time.Millisecond, 150*time.Millisecond, 0.5
				s.setShares(Shares{
					Short:  true,
					Rates:  map[string]float64{"flood": share / float64(nodes)},
					Excess: map[string]float64{"flood": excess},
				})
				s.play(seconds*time.Second, gateLoad{account: "flood", perSecond: share * excess})
				c := s.counts["flood"]
				require.Greater(t, float64(c.InTime), 0.98*float64(c.InTime+c.Late))
				require.Greater(t, float64(c.InTime+c.Late), 0.95*share*seconds, "the share is used")
			})
		}
	}
}

// Prevents that many nodes with few requests each admit, with the bursts of all accounts, far more than there is capacity for, or
// that they leave capacity unused.
func TestAllAskTooMuch(t *testing.T) {
	const capacity, accounts, nodes = 200.0, 24, 133
	for _, excess := range []float64{1.2, 1.5, 2, 5} {
		t.Run(fmt.Sprint("excess ", excess), func(t *testing.T) {
			s := newGateSim(nodes, 1)
			sh := Shares{Short: true, Rates: map[string]float64{}, Excess: map[string]float64{}}
			var loads []gateLoad
			for i := range accounts {
				a := fmt.Sprint("a", i)
				sh.Rates[a], sh.Excess[a] = capacity/accounts/nodes, excess
				loads = append(loads, gateLoad{account: a, perSecond: capacity / accounts * excess})
			}
			s.setShares(sh)
			s.play(60*time.Second, loads...)
			perSecond := make([]float64, 12) // in each 5 s
			total := 0
			for _, starts := range s.starts {
				for _, at := range starts {
					perSecond[min(11, int(at.Sub(gateStart)/(5*time.Second)))] += 1.0 / 5
				}
				total += len(starts)
			}
			for _, n := range perSecond {
				require.InDelta(t, capacity, n, capacity*0.12)
			}
			require.InDelta(t, capacity*60, total, capacity*60*0.06)
			for a, starts := range s.starts {
				require.InDelta(t, total/accounts, len(starts), capacity*60/accounts*0.15, a)
			}
		})
	}
}

// Prevents that a new request takes the place for which one of another account waits, where accounts share a rate.
func TestRequestsOfAGroupWaitInTurn(t *testing.T) {
	g := &Gate{}
	g.SetShares(gateStart, Shares{Short: true, Other: 10, OtherTotal: 10})
	for i := range othersBurst * burstRequests {
		require.Equal(t, Running, g.Offer(gateStart, arrival(gateStart, fmt.Sprint(i))).State)
	}
	first := g.Offer(gateStart, arrival(gateStart, "first"))
	require.Equal(t, Waiting, first.State)
	now := gateStart.Add(100 * time.Millisecond)
	second := g.Offer(now, arrival(now, "another"))
	require.Equal(t, Waiting, second.State)
	decided, _ := g.Advance(now)
	require.Equal(t, []*Entry{first}, decided)
	decided, _ = g.Advance(now.Add(100 * time.Millisecond))
	require.Equal(t, []*Entry{second}, decided)
}

// Prevents that accounts which flood get the places of one that asks for a little more than its share, because their requests
// come at each moment.
func TestFloodsLeaveTheShareOfAnother(t *testing.T) {
	const capacity, accounts, seconds = 200.0, 24, 60
	for _, nodes := range []int{4, 133} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			s := newGateSim(nodes, 1)
			sh := Shares{Short: true, Rates: map[string]float64{}, Excess: map[string]float64{}}
			var loads []gateLoad
			for i := range accounts {
				a, excess := fmt.Sprint("a", i), 10.0
				if i == 0 {
					excess = 1.5
				}
				sh.Rates[a], sh.Excess[a] = capacity/accounts/float64(nodes), excess
				loads = append(loads, gateLoad{account: a, perSecond: capacity / accounts * excess})
			}
			s.setShares(sh)
			s.play(seconds*time.Second, loads...)
			share := capacity / accounts * seconds
			for a, starts := range s.starts {
				require.InDelta(t, share, len(starts), share*0.1, a)
			}
		})
	}
}

// Prevents that an account that asks for no more than its share is refused because its requests come at random, also where a
// node gets one of them in 20 s.
func TestEdgeOfShareIsServedInTime(t *testing.T) {
	for _, c := range []struct {
		nodes         int
		perSecond     float64 // the account's share at a node
		asked, inTime float64
	}{
		{133, 0.05, 0.7, 0.99},
		{133, 0.05, 0.9, 0.98},
		{133, 0.05, 1, 0.95},
		{1, 5, 0.9, 0.98},
		{1, 5, 1, 0.95},
		{4, 40, 0.9, 0.99},
		{4, 40, 1, 0.95},
	} {
		t.Run(fmt.Sprintf("%d nodes, rate %v, %v of it", c.nodes, c.perSecond, c.asked), func(t *testing.T) {
			s := newGateSim(c.nodes, 1)
			s.returns = true
			s.setShares(Shares{Short: true, Rates: map[string]float64{"a": c.perSecond}})
			s.play(500*time.Second, gateLoad{account: "a", perSecond: c.perSecond * float64(c.nodes) * c.asked})
			require.Greater(t, s.counts["a"].inTime(), c.inTime)
		})
	}
}

// Prevents that requests with made-up account names fill the memory, or push out the accounts that are listed.
func TestMadeUpAccountNames(t *testing.T) {
	g := &Gate{}
	g.SetShares(gateStart, Shares{Short: true, Rates: map[string]float64{"a": 10}, Other: 0.001})
	now := gateStart
	for i := range 100000 {
		now = now.Add(100 * time.Microsecond)
		g.Offer(now, arrival(now, fmt.Sprint("made-up ", i)))
	}
	require.LessOrEqual(t, len(g.buckets), maxBuckets+1)
	require.Equal(t, Running, g.Offer(now, arrival(now, "a")).State)
	now = now.Add(24 * time.Hour)
	g.SetShares(now, g.shares)
	require.Empty(t, g.buckets, "idle accounts are dropped")
	require.Nil(t, g.overflow)
}

// Prevents that requests with made-up account names take the places of the accounts that are listed.
func TestAccountsThatAreNotListedHaveOneRate(t *testing.T) {
	g := &Gate{}
	g.SetShares(gateStart, Shares{Short: true, Rates: map[string]float64{"a": 10}, Other: 5, OtherTotal: 20})
	starts := 0
	now := gateStart
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		if g.Offer(now, arrival(now, fmt.Sprint("made-up ", i))).State == Running {
			starts++
		}
		decided, _ := g.Advance(now)
		for _, e := range decided {
			if e.State == Running {
				starts++
			}
		}
	}
	require.LessOrEqual(t, starts, 20*10+othersBurst*burstRequests)
	require.GreaterOrEqual(t, starts, 20*10-1)
	require.Equal(t, Running, g.Offer(now, arrival(now, "a")).State)
}
