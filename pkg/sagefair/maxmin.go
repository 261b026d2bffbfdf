package sagefair

import (
	"math"
	"slices"
	"sort"
)

// Divide divides capacity, in requests per second, among the accounts by weighted max-min fairness: no account gets more than it
// asks for or than its cap, and what it leaves goes to the others by weight. rates are in the order of demands. level is the
// rate per unit weight of an account that asks for more than it gets; if all get what they ask for, it is what the account
// with the highest rate per unit weight would get if it alone asked for more.
func Divide(capacity float64, demands []Demand) (rates []float64, level float64) {
	f := newFill(capacity, demands)
	level = f.level()
	rates = make([]float64, len(demands))
	used, top := 0.0, 0.0
	for i := range rates {
		rates[i] = min(f.wants[i], f.weights[i]*level)
		used += rates[i]
		top = max(top, rates[i]/f.weights[i])
	}
	if math.IsInf(level, 1) {
		level = f.unused(used, top)
	}
	return rates, level
}

// Headroom returns, for each account, what [Divide] would give it if it alone asked for more.
func Headroom(capacity float64, demands []Demand) []float64 {
	f := newFill(capacity, demands)
	rates := make([]float64, len(demands))
	for i, d := range demands {
		rates[i] = f.weights[i] * f.levelWithout(i)
		if d.Cap > 0 {
			rates[i] = min(rates[i], d.Cap)
		}
	}
	return rates
}

// fill is a division: each account gets as much as it wants, or its weight times a common level.
type fill struct {
	capacity       float64
	wants, weights []float64
	order          []int     // accounts by the level at which they have what they want
	levels         []float64 // these levels, ascending
	satisfied      []float64 // satisfied[k] is the sum of what the first k accounts in order want
	remaining      []float64 // remaining[k] is the sum of the weights of the others
}

func newFill(capacity float64, demands []Demand) *fill {
	n := len(demands)
	f := &fill{
		capacity:  capacity,
		wants:     make([]float64, n),
		weights:   make([]float64, n),
		order:     make([]int, n),
		levels:    make([]float64, n),
		satisfied: make([]float64, n+1),
		remaining: make([]float64, n+1),
	}
	if !(capacity > 0) { // also NaN
		f.capacity = 0
	}
	for i, d := range demands {
		f.order[i] = i
		f.weights[i] = 1
		if d.Weight > 0 {
			f.weights[i] = d.Weight
		}
		if d.Rate > 0 {
			f.wants[i] = d.Rate
		}
		if d.Cap > 0 {
			f.wants[i] = min(f.wants[i], d.Cap)
		}
	}
	slices.SortStableFunc(f.order, func(i, j int) int {
		a, b := f.wants[i]/f.weights[i], f.wants[j]/f.weights[j]
		switch {
		case a < b:
			return -1
		case a > b:
			return 1
		}
		return 0
	})
	for k, i := range f.order {
		f.levels[k] = f.wants[i] / f.weights[i]
		f.satisfied[k+1] = f.satisfied[k] + f.wants[i]
	}
	for k := n - 1; k >= 0; k-- {
		f.remaining[k] = f.remaining[k+1] + f.weights[f.order[k]]
	}
	return f
}

// used returns how much is used at the level of the k-th account in order.
func (f *fill) used(k int) float64 {
	l := f.levels[k]
	if math.IsInf(l, 1) {
		return l
	}
	return f.satisfied[k] + l*f.remaining[k]
}

// level returns the level at which the capacity is used up; infinity if it isn't.
func (f *fill) level() float64 {
	n := len(f.order)
	k := sort.Search(n, func(k int) bool { return f.used(k) > f.capacity })
	if k == n {
		return math.Inf(1)
	}
	return (f.capacity - f.satisfied[k]) / f.remaining[k]
}

// levelWithout returns the level at which the capacity is used up if account i asks for more than there is.
func (f *fill) levelWithout(i int) float64 {
	want, weight := f.wants[i], f.weights[i]
	extra := func(l float64) float64 { return max(0, weight*l-want) }
	n := len(f.order)
	k := sort.Search(n, func(k int) bool {
		u := f.used(k)
		return math.IsInf(u, 1) || u+extra(f.levels[k]) > f.capacity
	})
	satisfied, remaining := f.satisfied[k], f.remaining[k]
	if own := want / weight; k == n || own < f.levels[k] {
		// Account i is among those that have what they want below this level.
		satisfied -= want
		remaining += weight
	}
	return max(0, f.capacity-satisfied) / remaining
}

// unused returns the level if all have what they want.
func (f *fill) unused(used, top float64) float64 {
	left := max(0, f.capacity-used)
	weight := 1.0
	if n := len(f.order); n > 0 {
		weight = f.weights[f.order[n-1]]
	}
	return top + left/weight
}
