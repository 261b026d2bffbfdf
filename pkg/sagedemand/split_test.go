package sagedemand

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagefair"
)

func TestOf(t *testing.T) {
	for _, c := range []struct {
		name       string
		own, fleet map[string]int
		want       Service
	}{
		{"nothing", nil, nil, Service{Nodes: 1}},
		{
			"own and fleet",
			map[string]int{"n\x00": 1, "qapp\x00": 5, "qapp\x00a": 4, "qapp\x00new": 1},
			map[string]int{"n\x00": 3, "qapp\x00": 50, "qapp\x00a": 20, "qapp\x00b": 25, "qmodels\x00": 7, "qmodels\x00a": 7, "rapp\x00": 30, "rapp\x00u1": 20, "rapp\x00u2": 10},
			Service{Own: 5, Fleet: 50, Nodes: 3, Accounts: []Account{{"b", 0, 25}, {"a", 4, 20}}, Runs: map[string]float64{"u1": 20, "u2": 10}, AllRuns: 30},
		},
		{
			"no sums",
			map[string]int{"n\x00": 1, "qapp\x00": 5, "qapp\x00a": 4}, nil,
			Service{Own: 5, Fleet: 5, Nodes: 1, Accounts: []Account{{"a", 4, 4}}},
		},
		{
			"sums of an older program",
			map[string]int{"n\x00": 1, "qapp\x00": 5, "qapp\x00a": 4}, map[string]int{"qapp\x00": 500},
			Service{Own: 5, Fleet: 5, Nodes: 1, Accounts: []Account{{"a", 4, 4}}},
		},
		{
			"older sums",
			map[string]int{"n\x00": 1, "qapp\x00": 9, "qapp\x00a": 9}, map[string]int{"n\x00": 2, "qapp\x00": 3, "qapp\x00a": 3},
			Service{Own: 9, Fleet: 9, Nodes: 2, Accounts: []Account{{"a", 9, 9}}},
		},
		{
			"damaged and absurd",
			map[string]int{"n\x00": 1, "qapp\x00": -5, "qapp": 4, "": 9, "qapp\x00a": math.MaxInt},
			map[string]int{"n\x00": 2, "qapp\x00": math.MaxInt, "qapp\x00a": -1, "qapp\x00b": 2, "qapp\x00\xff": 3, "rapp\x00u1": math.MinInt},
			Service{Fleet: 2, Nodes: 2, Accounts: []Account{{"b", 0, 2}}},
		},
		{
			"runs that a node left out", nil,
			map[string]int{"n\x00": 2, "rapp\x00": 40, "rapp\x00u1": 20, "rapp\x00u2": 12},
			Service{Nodes: 2, Runs: map[string]float64{"u1": 25, "u2": 15}, AllRuns: 40},
		},
		{
			"runs that most nodes left out", nil,
			map[string]int{"n\x00": 2, "rapp\x00": 400, "rapp\x00u1": 20},
			Service{Nodes: 2, AllRuns: 400},
		},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Of("app", c.own, c.fleet)) })
	}
}

func FuzzSplit(f *testing.F) {
	f.Add("qapp\x00a", 5, "qapp\x00", 7, 3, 100.0, 4)
	f.Add("n\x00", -1, "rapp\x00u", math.MaxInt, 0, math.Inf(1), -1)
	f.Fuzz(func(t *testing.T, k1 string, n1 int, k2 string, n2, counted int, capacity float64, nodes int) {
		own := map[string]int{"n\x00": 1, k1: n1, k2: n2}
		fleet := map[string]int{"n\x00": counted, k1: n2, k2: n1}
		s := Split(Of("app", own, fleet), Params{Capacity: capacity, Nodes: nodes})
		for _, r := range slices.Concat([]float64{s.Other, s.OtherTotal}, values(s.Rates), values(s.Excess)) {
			require.GreaterOrEqual(t, r, 0.0)
			require.False(t, math.IsInf(r, 0))
		}
	})
}

func values(m map[string]float64) []float64 {
	var out []float64
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

// accounts returns accounts that ask for a rate each, the same at each of some nodes.
func accounts(n int, rate, nodes float64) []Account {
	var out []Account
	for i := range n {
		out = append(out, Account{fmt.Sprintf("a%02d", i), rate / nodes, rate})
	}
	return out
}

func TestSplitBoundsFloodByItsShare(t *testing.T) {
	s := Service{Own: 460, Fleet: 4600, Nodes: 10, Accounts: append(accounts(24, 25, 10), Account{"flood", 400, 4000})}
	got := Split(s, Params{Capacity: 1000, Nodes: 10})
	require.True(t, got.Short)
	require.InDelta(t, 40, got.Rates["flood"], 1e-9, "a tenth of what the others leave")
	require.Len(t, got.Excess, 25)
	require.InDelta(t, 10, got.Excess["flood"], 1e-9)
	require.InDelta(t, 25/212.5, got.Excess["a00"], 1e-9, "of what it leaves to the flood and itself, half")
	require.Greater(t, got.Rates["a00"], 10.0, "they may ask for several times as much")
	require.Greater(t, got.Other, 10.0)
}

func TestSplitByWeightAndCap(t *testing.T) {
	s := Service{Own: 3000, Fleet: 3000, Nodes: 1, Accounts: []Account{{"heavy", 1000, 1000}, {"light", 1000, 1000}, {"capped", 1000, 1000}}}
	got := Split(s, Params{Capacity: 700, Nodes: 1, Weight: func(account string) (float64, float64) {
		switch account {
		case "heavy":
			return 2, 0
		case "capped":
			return 1, 100
		}
		return 1, 0
	}})
	require.InDelta(t, 400, got.Rates["heavy"], 1e-9)
	require.InDelta(t, 200, got.Rates["light"], 1e-9)
	require.InDelta(t, 100, got.Rates["capped"], 1e-9)
}

// Prevents that many accounts with few requests each get together what one account gets.
func TestSplitGivesUnlistedAccountsTheirShares(t *testing.T) {
	s := Service{Own: 200, Fleet: 2000, Nodes: 10, Accounts: accounts(maxListedAccounts, 10, 10)}
	got := Split(s, Params{Capacity: 1000, Nodes: 10})
	require.InDelta(t, 5, got.Rates["a00"]*10, 0.1)
	require.InDelta(t, 840, got.OtherTotal*10, 10)
	require.InDelta(t, 5, got.Other, 0.1, "of a single account")
}

// Prevents that a flood which has just begun at all nodes gets several times the capacity before the nodes know of each other.
func TestSplitLimitsWhatSumsDoNotInclude(t *testing.T) {
	for _, nodes := range []int{4, 1000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			s := Service{Own: 600 / float64(nodes), Fleet: 600, Nodes: nodes, Accounts: accounts(24, 25, float64(nodes))}
			got := Split(s, Params{Capacity: 1000, Nodes: nodes})
			require.False(t, got.Short)
			require.InDelta(t, 400, got.Other*float64(nodes), 1, "the spare capacity over all nodes")
			require.InDelta(t, 425, got.Rates["a00"]*float64(nodes), 1, "and what it asked before")
		})
	}
}

// Prevents that a caller who sends some more at its node is refused while there is capacity.
func TestSplitLeavesSpareCapacityToAccountAtOneNode(t *testing.T) {
	s := Service{Own: 50, Fleet: 500, Nodes: 1000, Accounts: []Account{{"a", 50, 50}, {"b", 0, 450}}}
	got := Split(s, Params{Capacity: 1000, Nodes: 1000})
	require.InDelta(t, 550, got.Rates["a"], 1e-9)
	require.InDelta(t, 0.5, got.Rates["b"], 1e-9, "it has no requests here")
}

// Prevents that counted nodes divide the capacity of nodes that aren't counted, or a node that is alone takes all capacity.
func TestSplitOfPartlyCountedFleet(t *testing.T) {
	s := Service{Own: 1000, Fleet: 5000, Nodes: 5, Accounts: []Account{{"a", 1000, 5000}}}
	require.InDelta(t, 100, Split(s, Params{Capacity: 1000, Nodes: 10}).Rates["a"], 1e-9)
	s = Service{Own: 1000, Fleet: 1000, Nodes: 1, Accounts: []Account{{"a", 1000, 1000}}}
	require.InDelta(t, 100, Split(s, Params{Capacity: 1000, Nodes: 10}).Rates["a"], 1e-9)
	s.Nodes = 20
	require.InDelta(t, 1000, Split(s, Params{Capacity: 1000, Nodes: 10}).Rates["a"], 1e-9, "more nodes than are known")
}

func TestSplitWithoutCapacity(t *testing.T) {
	for _, capacity := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		require.Equal(t, sagefair.Shares{}, Split(Service{Own: 5, Fleet: 5, Nodes: 1}, Params{Capacity: capacity, Nodes: 4}))
	}
}

func ExampleSplit() {
	own := map[string]int{"n\x00": 1, "qapp\x00": 60, "qapp\x00calm": 10, "qapp\x00flood": 50}
	fleet := map[string]int{"n\x00": 2, "qapp\x00": 220, "qapp\x00calm": 20, "qapp\x00flood": 200}
	s := Split(Of("app", own, fleet), Params{Capacity: 100, Nodes: 2})
	fmt.Println(s.Short, s.Rates["calm"], s.Rates["flood"])
	// Output: true 25 20
}

func BenchmarkSplit(b *testing.B) {
	for _, n := range []int{24, maxSummedAccounts} {
		b.Run(fmt.Sprint("accounts=", n), func(b *testing.B) {
			var m Meter
			for i := range 10_000 {
				m.RecordRequest(at(0), "app", fmt.Sprintf("account-%05d", i%n))
			}
			own := m.Counts(at(0), yes)
			fleet := make(map[string]int)
			for i := range n {
				fleet[Key{Requests, "app", fmt.Sprintf("account-%05d", i)}.String()] = 100 + i
			}
			fleet[Key{Kind: Nodes}.String()], fleet[Key{Kind: Requests, Service: "app"}.String()] = 1000, 200*n
			b.ReportAllocs()
			for b.Loop() {
				Split(Of("app", own, fleet), Params{Capacity: 3000, Nodes: 1000})
			}
		})
	}
}
