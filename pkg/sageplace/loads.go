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

// WithUnits returns a copy in which this router has a free unit of every upstream. It says where a
// request would go if only allotments were lacking.
func (l *Loads) WithFreeUnits() *Loads {
	c := &Loads{all: make([]Load, len(l.all)), inFlight: l.inFlight, capacity: l.capacity}
	copy(c.all, l.all)
	for i := range c.all {
		c.all[i].Free = max(1, c.all[i].Free)
	}
	return c
}

// Short reports whether this router lacks a unit of any upstream.
func (l *Loads) LacksUnits() bool {
	for i := range l.all {
		if l.all[i].Free < 1 {
			return true
		}
	}
	return false
}

// Add corrects the load of upstream i by n own requests.
func (l *Loads) AddRequests(i, n int) {
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

// limit is how far an upstream may be loaded.
type limit struct {
	// mean is the load, for each unit of capacity, that is the wanted multiple of the mean after one
	// request more.
	mean float64
	// part is the part of its capacity that may be used.
	part float64
}

func (l *Loads) limit(multiple, yield float64) limit {
	if l.capacity <= 0 {
		return limit{mean: math.MaxFloat64, part: 1 - yield} // nothing is known of the mean
	}
	return limit{mean: multiple * (l.inFlight + 1) / l.capacity, part: 1 - yield}
}

// fits reports whether one request more keeps upstream i within the limit and this router's
// allotment.
func (l *Loads) fits(i int, m limit) bool {
	v := &l.all[i]
	if v.Free < 1 {
		return false
	}
	after, capacity := l.estimate(i)+1, float64(v.Cap)
	// A small cap would leave the less urgent classes nothing at all if its part were not rounded up:
	// they would be refused by an idle upstream that bears one request.
	return after <= math.Ceil(capacity*m.part) && after <= math.Ceil(m.mean*capacity)
}

// anyFits reports whether any upstream fits.
func (l *Loads) anyFits(m limit) bool {
	for i := range l.all {
		if l.fits(i, m) {
			return true
		}
	}
	return false
}

// relative returns the part of its capacity that upstream i carries.
func (l *Loads) relative(i int) float64 { return l.estimate(i) / math.Max(1, float64(l.all[i].Cap)) }
