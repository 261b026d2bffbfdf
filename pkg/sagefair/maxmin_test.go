package sagefair

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// referenceLevel finds the level by bisection: the highest one at which no more than the capacity is used.
func referenceLevel(capacity float64, demands []Demand) float64 {
	used := func(level float64) float64 {
		sum := 0.0
		for _, d := range demands {
			sum += referenceRate(level, d)
		}
		return sum
	}
	low, high := 0.0, 1e9
	for range 200 {
		if mid := (low + high) / 2; used(mid) <= capacity {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

func referenceRate(level float64, d Demand) float64 {
	weight, limit := d.Weight, d.Cap
	if weight <= 0 {
		weight = 1
	}
	if limit <= 0 {
		limit = math.Inf(1)
	}
	return min(weight*level, max(d.Rate, 0), limit)
}

func drawDemands(t *rapid.T) []Demand {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
		return Demand{
			Rate:   rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 1, 7, 7, 40, math.Inf(1)}).Draw(t, "rate") * rapid.Float64Range(0.9, 1.1).Draw(t, "factor"),
			Weight: rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 1, 3}).Draw(t, "weight"),
			Cap:    rapid.SampledFrom([]float64{0, 0, 0, 0.7, 5}).Draw(t, "cap"),
		}
	}), 0, 12).Draw(t, "demands")
}

func TestDivideMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.Float64Range(0, 150).Draw(t, "capacity")
		rates, _ := Divide(capacity, demands)
		level := referenceLevel(capacity, demands)
		for i, d := range demands {
			require.InDelta(t, referenceRate(level, d), rates[i], 1e-6)
		}
	})
}

func TestHeadroomMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.Float64Range(0, 150).Draw(t, "capacity")
		for i, got := range Headroom(capacity, demands) {
			all := append([]Demand(nil), demands...)
			all[i].Rate = math.Inf(1)
			rates, _ := Divide(capacity, all)
			require.InDelta(t, rates[i], got, 1e-6)
		}
	})
}

func TestDivideLevel(t *testing.T) {
	for name, c := range map[string]struct {
		capacity float64
		demands  []Demand
		level    float64
	}{
		"nobody asks":             {10, nil, 10},
		"no capacity":             {0, []Demand{{Rate: 1}}, 0},
		"negative capacity":       {-1, []Demand{{Rate: 1}}, 0},
		"unlimited demands":       {10, []Demand{{Rate: math.Inf(1)}, {Rate: math.Inf(1)}}, 5},
		"one asks for little":     {10, []Demand{{Rate: 1}, {Rate: 20}, {Rate: 20, Weight: 2}}, 3},
		"a cap leaves capacity":   {10, []Demand{{Rate: 20, Cap: 2}, {Rate: 20}}, 8},
		"all get what they asked": {10, []Demand{{Rate: 1}, {Rate: 4, Weight: 2}}, 4.5},
	} {
		t.Run(name, func(t *testing.T) {
			_, level := Divide(c.capacity, c.demands)
			require.InDelta(t, c.level, level, 1e-9)
		})
	}
}

func ExampleDivide() {
	rates, level := Divide(100, []Demand{{Rate: 10}, {Rate: 400}, {Rate: 60}, {Rate: 50, Cap: 20}})
	fmt.Println(rates, level)
	// Output: [10 35 35 20] 35
}

func BenchmarkHeadroom(b *testing.B) {
	demands := make([]Demand, 1000)
	for i := range demands {
		demands[i].Rate = float64(i % 37)
	}
	for b.Loop() {
		Headroom(9000, demands)
	}
}
