package sageload

// Ramp says what an upstream may carry now. It starts at Start, or at a quarter of what the upstream
// says that it bears if that is more, and grows by one for each PerUnit
// completed requests, up to what the upstream says it bears.
//
// Growth follows completed work, not time: an upstream that is stuck in its start would otherwise
// be given more and more. It restarts when the boot id or the cache generation changes, when
// [Ramp.Restart] is called (latency, return from an exit), so that a cold upstream never gets the
// share of the warm one that it was.
type Ramp struct {
	// Start is the least that the upstream bears at any time.
	InitialCap int
	// PerUnit is the number of completed requests for one more at once; 0 means 1.
	CompletionsPerUnit uint64
	// Max is the configured limit; 0 means none.
	MaxCap int

	seen       bool
	boot       string
	generation uint64
	base       uint64
	completed  uint64
}

// Observe takes a report and returns the number of requests that the upstream bears now.
func (p *Ramp) Observe(r Report) int {
	switch {
	case !p.seen || r.BootID != p.boot:
		// The count runs since the boot, so a home that is new to a warm upstream sees it warm.
		p.base = 0
	case r.CacheGeneration != p.generation || r.Completed < p.base:
		p.base = r.Completed
	}
	p.seen, p.boot, p.generation, p.completed = true, r.BootID, r.CacheGeneration, r.Completed
	return p.Cap(r.Capacity)
}

// Restart begins the ramp anew: the upstream is cold although it runs as the same boot.
func (p *Ramp) Restart() { p.base = p.completed }

// Cap returns the present cap of an upstream that says it bears that many.
func (p *Ramp) Cap(bears int) int {
	grown := uint64(0)
	if p.completed > p.base {
		grown = (p.completed - p.base) / max(p.CompletionsPerUnit, 1)
	}
	c, start := bears, max(p.InitialCap, bears/4)
	if uint64(start)+grown < uint64(max(bears, 0)) {
		c = start + int(grown)
	}
	if p.MaxCap > 0 {
		c = min(c, p.MaxCap)
	}
	return max(c, 0)
}
