package sageload

// Ramp computes the current cap of an upstream. The cap starts at InitialCap, or at a quarter of the
// capacity that the upstream reports if that is more, and grows by one for each CompletionsPerUnit
// completed requests, up to the reported capacity.
//
// Growth follows completed work, not time: an upstream that hangs while it starts would otherwise be
// given more and more requests. The ramp restarts when the boot id or the cache generation changes, or
// when [Ramp.Restart] is called (after an increase of latency, or on return from an exclusion), so that
// a cold upstream never gets the cap that it had when warm.
type Ramp struct {
	// InitialCap is the lowest initial cap of a cold upstream.
	InitialCap int
	// CompletionsPerUnit is the number of completed requests for which the cap grows by one; 0 means 1.
	CompletionsPerUnit uint64
	// MaxCap is the configured limit of the cap; 0 means none.
	MaxCap int

	observed        bool
	bootID          string
	cacheGeneration uint64
	baseCompleted   uint64
	completed       uint64
}

// Observe records a report and returns the current cap.
func (p *Ramp) Observe(r Report) int {
	switch {
	case !p.observed || r.BootID != p.bootID:
		// Completed counts since the boot, so a coordinator that first observes a warm upstream treats
		// it as warm.
		p.baseCompleted = 0
	case r.CacheGeneration != p.cacheGeneration || r.Completed < p.baseCompleted:
		p.baseCompleted = r.Completed
	}
	p.observed, p.bootID, p.cacheGeneration, p.completed = true, r.BootID, r.CacheGeneration, r.Completed
	return p.Cap(r.Capacity)
}

// Restart restarts the ramp of an upstream that has turned cold within the same boot.
func (p *Ramp) Restart() { p.baseCompleted = p.completed }

// Cap returns the current cap of an upstream that reports the given capacity.
func (p *Ramp) Cap(capacity int) int {
	growth := uint64(0)
	if p.completed > p.baseCompleted {
		growth = (p.completed - p.baseCompleted) / max(p.CompletionsPerUnit, 1)
	}
	c, initial := capacity, max(p.InitialCap, capacity/4)
	if uint64(initial)+growth < uint64(max(capacity, 0)) {
		c = initial + int(growth)
	}
	if p.MaxCap > 0 {
		c = min(c, p.MaxCap)
	}
	return max(c, 0)
}
