package sageplacement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sagebackoff"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
	"sagestand.example/sagestand/pkg/sageplace"
)

const (
	// maxGroups limits the compiled groups to a few MB of memory: each takes about 40 KB with 256 upstreams.
	maxGroups = 128
	// maxLoadAge limits the age of the load data used for a decision. This node's own requests are counted
	// without delay.
	maxLoadAge = 20 * time.Millisecond
)

// groupKey identifies the set of candidates for a route and an account.
type groupKey struct {
	kind     sageconfig.RouteKind
	set      string
	modelSet string
}

// group holds the candidates for a groupKey under one configuration state.
type group struct {
	table       *sageplace.Table
	upstreams   []*sageconfig.Upstream
	loads       *sageplace.Loads
	boots       []string // boot ids of the upstreams when the loads were read
	declines    sagebackoff.Declines[upstreamBoot]
	loadsReadAt time.Time
	lastUse     uint64
	// releasesAtRead is Service.releases at the time the loads were read.
	releasesAtRead uint64
}

// compileGroup returns the candidates for a key.
func compileGroup(s *sageconfig.State, key groupKey) *group {
	g := new(group)
	var ups []sageplace.Upstream
	set, ok := s.UpstreamSet(key.set)
	if !ok {
		set = new(sageconfig.UpstreamSet)
	}
	drained := drainedUpstreams(s)
	for _, name := range set.Upstreams {
		u, ok := s.Upstream(name)
		if !ok || drained[name] || !isCandidate(s, u, key) {
			continue
		}
		ups = append(ups, sageplace.Upstream{Name: name, Weight: u.MaxInFlight})
		g.upstreams = append(g.upstreams, u)
	}
	g.table, g.loads, g.boots = sageplace.NewTable(ups), sageplace.NewLoads(len(ups)), make([]string, len(ups))
	return g
}

// isCandidate reports whether an upstream may get new requests of a group.
//
// A data centre that is missing from the configuration counts as out of service. Otherwise, deleting a data
// centre that was out of service would put its upstreams back into use.
func isCandidate(s *sageconfig.State, u *sageconfig.Upstream, key groupKey) bool {
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

// drainedUpstreams returns the engines that an order drains. They would refuse new requests.
func drainedUpstreams(s *sageconfig.State) map[string]bool {
	drained := make(map[string]bool)
	for t, e := range s.All() {
		if o := e.Change.Order; t.Kind == sageconfig.KindOrder && o != nil && !e.Change.Deleted && o.Drain {
			drained[o.Upstream] = true
		}
	}
	return drained
}

// refresh reads the loads again if they are older than maxLoadAge.
func (g *group) refresh(now time.Time, load Load, releases uint64) {
	if age := now.Sub(g.loadsReadAt); age < 0 || age >= maxLoadAge {
		g.readLoads(now, load, releases)
	}
}

func (g *group) readLoads(now time.Time, load Load, releases uint64) {
	g.loadsReadAt, g.releasesAtRead = now, releases
	g.loads.Refresh(func(i int) sageplace.Load {
		v := load.View(g.table.Upstreams[i].Name)
		g.boots[i] = v.BootID
		return sageplace.Load{
			InFlight: v.InFlight, Cap: v.Cap, Free: v.Free, Known: v.Known, CacheGeneration: cacheGeneration(v),
		}
	})
}

// cacheGeneration combines an upstream's boot id with its cache generation. Engines count generations from zero
// after each start, so without the boot id a restarted engine would seem to have its previous cache contents.
func cacheGeneration(v sageload.View) uint64 {
	return xxhash.Sum64String(v.BootID) + v.CacheGeneration
}

// indexes returns the indexes in g of the named upstreams.
func (g *group) indexes(names []string) []int {
	var at []int
	for _, n := range names {
		if i := g.table.Find(sageplace.Key(n)); i >= 0 {
			at = append(at, i)
		}
	}
	return at
}
