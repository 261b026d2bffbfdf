package sagesim

import (
	"flag"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// costs are what a node has used in a period, in the middle of the fleet and at most.
type costs struct{ mid, max float64 }

func (c costs) String() string { return fmt.Sprintf("%.1f / %.1f", c.mid, c.max) }

func costsOf(values []float64) costs {
	sort.Float64s(values)
	return costs{values[len(values)/2], values[len(values)-1]}
}

// usage is what each node has used so far.
type usage struct{ cpu, out, in, datagrams []float64 }

func (f *fleet) usage() usage {
	var u usage
	for _, n := range f.nodes {
		u.cpu = append(u.cpu, float64(n.cpu.used.Load())/1e9)
		u.out = append(u.out, float64(n.out.bytes.Load()))
		u.in = append(u.in, float64(n.in.bytes.Load()))
		u.datagrams = append(u.datagrams, float64(n.socket.sent.Load()))
	}
	return u
}

func difference(a, b []float64, scale float64) []float64 {
	out := make([]float64, len(a))
	for i := range a {
		out[i] = (b[i] - a[i]) * scale
	}
	return out
}

// sizes are the fleets that TestFleetTable simulates.
var sizes = flag.String("sizes", "8,30", "numbers of nodes to simulate, separated by commas")

// TestFleetTable simulates fleets of several sizes and logs their costs and times: a start of all nodes together, rest,
// changes, and a dead node.
func TestFleetTable(t *testing.T) {
	for _, s := range strings.Split(*sizes, ",") {
		nodes, err := strconv.Atoi(s)
		require.NoError(t, err)
		t.Run(s, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulate(t, fleetOf(nodes)) })
		})
	}
}

func simulate(t *testing.T, sz size) {
	const startLimit, changeLimit = 30 * time.Second, 10 * time.Second
	f := newFleet(t, sz)
	defer f.shutdown()
	f.await(startLimit, func() bool { return f.readyCount() == len(f.nodes) })
	ready := f.readyTimes(f.started, startLimit)
	startCalls, startRefused := f.store.callCount(), f.store.refused
	start := f.usage()
	time.Sleep(3 * time.Second)
	calls := f.store.callCount()
	before := f.usage()
	const rest = 5 * time.Second
	time.Sleep(rest)
	after := f.usage()
	restCalls := f.store.callCount() - calls
	change := f.propagate(kindConfig, "main", changeLimit)
	leave := f.propagate(kindUpstreams, "i-00000003", changeLimit)
	f.nodes[len(f.nodes)/2].kill()
	gone := f.await(30*time.Second, func() bool { return f.stale() == 0 })
	perSecond := 1 / rest.Seconds()
	t.Logf("nodes %d, upstreams %d\n"+
		"  start: ready ms %s; store calls %d, refused %d, stale %d; cpu s %s; KB out %s, in %s; copies from peers %d, refused %d\n"+
		"  rest: cpu %% of a core %s; KB/s out %s, in %s; datagrams/s %s; store calls/s %.1f; dropped %d\n"+
		"  config ms %s; upstream ms %s; dead node gone ms %d",
		sz.nodes, sz.upstreams, ready, startCalls, startRefused, f.store.staleCalls,
		costsOf(append([]float64(nil), start.cpu...)), costsOf(difference(make([]float64, len(start.out)), start.out, 1e-3)), costsOf(difference(make([]float64, len(start.in)), start.in, 1e-3)), f.total(func(n *node) int { return n.fetched }), f.total(func(n *node) int { return n.rejected }),
		costsOf(difference(before.cpu, after.cpu, 100*perSecond)), costsOf(difference(before.out, after.out, 1e-3*perSecond)), costsOf(difference(before.in, after.in, 1e-3*perSecond)),
		costsOf(difference(before.datagrams, after.datagrams, perSecond)), float64(restCalls)*perSecond, f.total(func(n *node) int { return int(n.socket.dropped.Load()) }),
		change, leave, gone.Milliseconds())
}

func (f *fleet) readyCount() int {
	c := 0
	for _, n := range f.nodes {
		if n.ready() {
			c++
		}
	}
	return c
}

func (f *fleet) total(of func(n *node) int) int {
	sum := 0
	for _, n := range f.nodes {
		n.mu.Lock()
		sum += of(n)
		n.mu.Unlock()
	}
	return sum
}
