package sageplacement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
	"sagestand.example/sagestand/pkg/sageplace"
)

const (
	// maxGroups bounds the compiled groups. Each takes some 40 KB at 256 upstreams, so all of them
	// stay within a few MB.
	maxGroups = 128
	// refreshEvery is the greatest age of the loads that a decision reads, besides own requests.
	refreshEvery = 20 * time.Millisecond
)

// groupKey names the candidates that a route and an account lead to.
type groupKey struct {
	kind     sageconfig.RouteKind
	set      string
	modelSet string
}

// group is the compiled form of a groupKey under one state of the configuration.
type group struct {
	table     *sageplace.Table
	upstreams []*sageconfig.Upstream
	loads     *sageplace.Loads
	readAt    time.Time
	used      uint64
	// endedBefore is the number of requests that had ended when the loads were read.
	endedBefore uint64
}

// compile returns the candidates of a key.
func compile(s *sageconfig.State, key groupKey) *group {
	g := new(group)
	var ups []sageplace.Upstream
	set, ok := s.UpstreamSet(key.set)
	if !ok {
		set = new(sageconfig.UpstreamSet)
	}
	drained := drainedUpstreams(s)
	for _, name := range set.Upstreams {
		u, ok := s.Upstream(name)
		if !ok || drained[name] || !candidate(s, u, key) {
			continue
		}
		ups = append(ups, sageplace.Upstream{Name: name, Weight: u.MaxInFlight})
		g.upstreams = append(g.upstreams, u)
	}
	g.table, g.loads = sageplace.NewTable(ups), sageplace.NewLoads(len(ups))
	return g
}

// candidate reports whether an upstream may get new work of a group.
//
// A data centre that is missing from the configuration counts as out of service: an operator who
// deletes one must not find that its upstreams are served again.
func candidate(s *sageconfig.State, u *sageconfig.Upstream, key groupKey) bool {
	dc, ok := s.DataCentre(u.DataCentre)
	if u.Leaving || !ok || !dc.InService {
		return false
	}
	if key.kind == sageconfig.RouteService {
		return u.Kind == sageconfig.Application
	}
	if u.Kind != sageconfig.Engine {
		return false
	}
	if key.modelSet == "" {
		return true
	}
	models, ok := s.ModelSet(key.modelSet)
	return ok && slices.ContainsFunc(u.Models, func(m string) bool { return slices.Contains(models.Versions, m) })
}

// drainedUpstreams returns the engines that an order drains: they would refuse new work.
func drainedUpstreams(s *sageconfig.State) map[string]bool {
	drained := make(map[string]bool)
	for t, e := range s.All() {
		if o := e.Change.Order; t.Kind == sageconfig.KindOrder && o != nil && !e.Change.Deleted && o.Drain {
			drained[o.Upstream] = true
		}
	}
	return drained
}

// refresh reads the loads again if they are old.
func (g *group) refresh(now time.Time, load Load, ended uint64) {
	if age := now.Sub(g.readAt); age < 0 || age >= refreshEvery {
		g.read(now, load, ended)
	}
}

func (g *group) read(now time.Time, load Load, ended uint64) {
	g.readAt, g.endedBefore = now, ended
	g.loads.Refresh(func(i int) sageplace.Load {
		v := load.View(g.table.Upstreams[i].Name)
		return sageplace.Load{
			InFlight: v.InFlight, Cap: v.Cap, Free: v.Free, Known: v.Known, CacheGeneration: generation(v),
		}
	})
}

// generation names one life of an upstream's cache: engines that count from zero after each start
// would otherwise seem to hold what they have lost.
func generation(v sageload.View) uint64 {
	return xxhash.Sum64String(v.BootID) + v.CacheGeneration
}

// find returns the places in g of the named upstreams.
func (g *group) find(names []string) []int {
	var at []int
	for _, n := range names {
		if i := g.table.Find(sageplace.Key(n)); i >= 0 {
			at = append(at, i)
		}
	}
	return at
}
