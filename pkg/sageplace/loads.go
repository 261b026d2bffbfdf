package sageplace

import "math"

// Load is what a router believes of one upstream.
type Load struct {
	// InFlight is the estimate over all routers: the last report and own dispatches since.
	InFlight float64
	// Cap is what the upstream may bear now, with the ramp of a cold start.
	Cap int
	// Free is this router's unused in-flight allotment.
	Free int
	// Known is false after too long a silence. An unknown load is not an idle one.
	Known bool
	// CacheGeneration changes when the upstream has lost its cache.
	CacheGeneration uint64
}

// Loads holds the loads of a table's upstreams, in its order, and their sums.
type Loads struct {
	all      []Load
	inFlight float64
	capacity float64
}

// NewLoads returns the loads of n upstreams, all unknown and without capacity.
func NewLoads(n int) *Loads { return &Loads{all: make([]Load, n)} }

// Len returns the number of upstreams.
func (l *Loads) Len() int { return len(l.all) }

// At returns the load of upstream i.
func (l *Loads) At(i int) Load { return l.all[i] }

// Set replaces the load of upstream i.
func (l *Loads) Set(i int, v Load) {
	l.count(l.all[i], -1)
	l.all[i] = v
	l.count(v, 1)
}

// Add corrects the load of upstream i by n own requests.
func (l *Loads) Add(i, n int) {
	v := l.all[i]
	v.InFlight = math.Max(0, v.InFlight+float64(n))
	v.Free -= n
	l.Set(i, v)
}

// Refresh replaces all loads and computes the sums anew, which also clears the rounding errors that
// many corrections leave in them.
func (l *Loads) Refresh(load func(i int) Load) {
	l.inFlight, l.capacity = 0, 0
	for i := range l.all {
		l.all[i] = load(i)
		l.count(l.all[i], 1)
	}
}

func (l *Loads) count(v Load, sign float64) {
	if !v.Known {
		return
	}
	l.inFlight += sign * v.InFlight
	l.capacity += sign * float64(v.Cap)
}

// mean returns the load of upstream i if it carried exactly its part, by capacity, of the whole.
func (l *Loads) mean(i int) float64 {
	if l.capacity <= 0 {
		return 0
	}
	return l.inFlight * float64(l.all[i].Cap) / l.capacity
}

// estimate returns the load of upstream i. An unknown one is taken to carry at least its part: as an
// idle one it would draw what others may not carry, from all routers at once.
func (l *Loads) estimate(i int) float64 {
	v := &l.all[i]
	if v.Known {
		return v.InFlight
	}
	return math.Max(v.InFlight, l.mean(i))
}

// fits reports whether one request more keeps upstream i within multiple x mean, its own capacity
// and this router's allotment.
func (l *Loads) fits(i int, multiple float64) bool { return l.under(i, l.mark(multiple)) }

// mark returns the load, for each unit of capacity, that is multiple x mean after one request more.
func (l *Loads) mark(multiple float64) float64 {
	if l.capacity <= 0 {
		return math.MaxFloat64 // nothing is known: only allotments and capacities hold
	}
	return multiple * (l.inFlight + 1) / l.capacity
}

func (l *Loads) under(i int, mark float64) bool {
	v := &l.all[i]
	if v.Free < 1 {
		return false
	}
	after := l.estimate(i) + 1
	return after <= float64(v.Cap) && after <= math.Ceil(mark*float64(v.Cap))
}
