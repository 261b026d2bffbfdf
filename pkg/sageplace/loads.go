package sageplace

import "math"

// Load is a router's estimate of the load of one upstream.
type Load struct {
	// InFlight estimates the requests of all routers: the last report plus own dispatches since.
	InFlight float64
	// Cap is the upstream's current cap. It is lower than the configured one after a cold start.
	Cap int
	// Free is this router's unused in-flight allotment.
	Free int
	// Known is false if there is no recent report. Unknown load doesn't mean that the upstream is idle.
	Known bool
	// CacheGeneration changes when the upstream has lost its cache.
	CacheGeneration uint64
}

// Loads holds the loads of a table's upstreams, in the order of the table, and the sums of the known
// ones.
type Loads struct {
	loads         []Load
	totalInFlight float64
	totalCap      float64
}

// NewLoads returns the loads of n upstreams, all unknown and without capacity.
func NewLoads(n int) *Loads { return &Loads{loads: make([]Load, n)} }

// Len returns the number of upstreams.
func (l *Loads) Len() int { return len(l.loads) }

// At returns the load of upstream i.
func (l *Loads) At(i int) Load { return l.loads[i] }

// Set replaces the load of upstream i.
func (l *Loads) Set(i int, v Load) {
	l.addToTotals(l.loads[i], -1)
	l.loads[i] = v
	l.addToTotals(v, 1)
}

// WithFreeUnits returns a copy in which this router has at least one free unit of every upstream. It
// shows where a request would go if the allotments were not exhausted.
func (l *Loads) WithFreeUnits() *Loads {
	c := &Loads{loads: make([]Load, len(l.loads)), totalInFlight: l.totalInFlight, totalCap: l.totalCap}
	copy(c.loads, l.loads)
	for i := range c.loads {
		c.loads[i].Free = max(1, c.loads[i].Free)
	}
	return c
}

// LacksUnits reports whether there is an upstream of which this router has no free unit.
func (l *Loads) LacksUnits() bool {
	for i := range l.loads {
		if l.loads[i].Free < 1 {
			return true
		}
	}
	return false
}

// AddRequests adds n own requests to the load of upstream i; n may be negative.
func (l *Loads) AddRequests(i, n int) {
	v := l.loads[i]
	v.InFlight = math.Max(0, v.InFlight+float64(n))
	v.Free -= n
	l.Set(i, v)
}

// Refresh replaces all loads and recomputes the sums, which removes the rounding errors of many
// updates.
func (l *Loads) Refresh(load func(i int) Load) {
	l.totalInFlight, l.totalCap = 0, 0
	for i := range l.loads {
		l.loads[i] = load(i)
		l.addToTotals(l.loads[i], 1)
	}
}

func (l *Loads) addToTotals(v Load, sign float64) {
	if !v.Known {
		return
	}
	l.totalInFlight += sign * v.InFlight
	l.totalCap += sign * float64(v.Cap)
}

// proportionalLoad returns the load of upstream i if the total load were divided in proportion to the
// caps.
func (l *Loads) proportionalLoad(i int) float64 {
	if l.totalCap <= 0 {
		return 0
	}
	return l.totalInFlight * float64(l.loads[i].Cap) / l.totalCap
}

// estimatedLoad returns the load of upstream i. An unknown load counts as at least the proportional
// load: counted as idle, the upstream would attract the overflow of all others from all routers.
func (l *Loads) estimatedLoad(i int) float64 {
	v := &l.loads[i]
	if v.Known {
		return v.InFlight
	}
	return math.Max(v.InFlight, l.proportionalLoad(i))
}

// loadLimit limits the load of an upstream by its cap and by a multiple of the mean.
type loadLimit struct {
	// perCap is the allowed load per unit of cap: a multiple of the mean after one more request.
	perCap float64
	// capFraction is the fraction of the cap that may be used.
	capFraction float64
}

func (l *Loads) limitFor(multiple, headroom float64) loadLimit {
	if l.totalCap <= 0 {
		return loadLimit{perCap: math.MaxFloat64, capFraction: 1 - headroom} // the mean is unknown
	}
	return loadLimit{perCap: multiple * (l.totalInFlight + 1) / l.totalCap, capFraction: 1 - headroom}
}

// fits reports whether one more request keeps upstream i within the limit and this router's allotment.
func (l *Loads) fits(i int, limit loadLimit) bool {
	v := &l.loads[i]
	if v.Free < 1 {
		return false
	}
	after, capacity := l.estimatedLoad(i)+1, float64(v.Cap)
	// Rounding up keeps a small cap usable for less urgent classes: otherwise an idle upstream with a
	// cap of one would refuse them.
	return after <= math.Ceil(capacity*limit.capFraction) && after <= math.Ceil(limit.perCap*capacity)
}

// anyFits reports whether any upstream fits.
func (l *Loads) anyFits(limit loadLimit) bool {
	for i := range l.loads {
		if l.fits(i, limit) {
			return true
		}
	}
	return false
}

// utilization returns the load of upstream i as a fraction of its cap.
func (l *Loads) utilization(i int) float64 {
	return l.estimatedLoad(i) / math.Max(1, float64(l.loads[i].Cap))
}
