package sagerouter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/internal/sagerpc/heartbeat"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagedemand"
	"sagestand.example/sagestand/pkg/sageflight"
)

// demandKey returns the key of the requests of an account for service s; of all accounts if it is empty.
func demandKey(account string) string {
	return sagedemand.Key{Kind: sagedemand.Requests, Service: "s", Name: account}.String()
}

// nodesKey is the key of the number of nodes that count.
var nodesKey = sagedemand.Key{Kind: sagedemand.Nodes}.String()

// newDemandFleet returns a fleet whose service s has capacity for 100 requests per second.
func newDemandFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, 2, 0)
	f.demand.capacity = func(string) float64 { return 100 }
	return f
}

// ask records requests of an account during the second before an instant.
func ask(f *fleet, now sageclock.Instant, account string, n int) {
	for i := range n {
		f.demand.meter.RecordRequest(now.Add(-time.Duration(n-i)*time.Second/time.Duration(n+1)), "s", account)
	}
}

// askSteadily records requests of account a, spread over the 200 ms before an instant.
func askSteadily(f *fleet, millis, n int) {
	for i := range n {
		f.demand.meter.RecordRequest(at(millis-200+200*i/n), "s", "a")
	}
}

func at(millis int) sageclock.Instant {
	return sageclock.Instant(time.Hour + time.Duration(millis)*time.Millisecond)
}

func TestDemandIsExchanged(t *testing.T) {
	f, other := newDemandFleet(t), newDemandFleet(t)
	for millis := 1000; millis <= 3000; millis += 200 {
		askSteadily(f, millis, 10)
		askSteadily(other, millis, 10)
		f.demand.updateNode(at(millis), "vm2", "north", other.reportDemand(at(millis)))
		other.demand.updateNode(at(millis), "vm1", "north", f.reportDemand(at(millis)))
	}
	got := f.demandOf(at(3000), "s")
	require.Equal(t, 2, got.Nodes)
	require.InDelta(t, 100, got.Fleet, 10)
	require.InDelta(t, 50, got.Own, 5)
	require.Len(t, got.Accounts, 1)
	require.InDelta(t, 100, got.Accounts[0].Fleet, 10)
	require.Equal(t, sagedemand.Service{Nodes: 2}, f.demandOf(at(3000), "t"))
}

// Prevents that each node takes a flood that has just begun at all nodes for its own alone, and admits the whole share of
// the account.
func TestOwnDemandIsAsOldAsSums(t *testing.T) {
	f := newDemandFleet(t)
	f.reportDemand(at(1000))
	ask(f, at(1400), "a", 200)
	f.reportDemand(at(1400))
	f.demand.updateTotal(at(1400), sageflight.Counts{nodesKey: 4, demandKey(""): 40, demandKey("a"): 40})
	require.Zero(t, f.demandOf(at(1401), "s").Own, "the total doesn't include the requests yet")
	f.demand.updateTotal(at(2100), sageflight.Counts{nodesKey: 4, demandKey(""): 800, demandKey("a"): 800})
	require.InDelta(t, 200, f.demandOf(at(2100), "s").Own, 1)
	require.InDelta(t, 800, f.demandOf(at(2100), "s").Fleet, 1)
}

// Prevents that heartbeats and sums of an older program, which have no counts, replace or hide those of newer nodes.
func TestHeartbeatsWithoutDemandAreIgnored(t *testing.T) {
	f := newDemandFleet(t)
	ask(f, at(1000), "a", 80)
	f.reportDemand(at(500))
	f.reportDemand(at(1000))
	f.demand.updateNode(at(1000), "vm2", "north", sageflight.Counts{nodesKey: 1, demandKey(""): 20, demandKey("a"): 20})
	f.demand.updateNode(at(1000), "vm3", "north", nil)
	f.demand.updateNode(at(1000), "vm4", "north", sageflight.Counts{})
	f.demand.updateNode(at(1010), "vm2", "north", sageflight.Counts{})
	f.demand.updateTotal(at(1010), sageflight.Counts{})
	f.demand.updateGroup(at(1010), "north", sageflight.Counts{})
	got := f.demandOf(at(1700), "s")
	require.Equal(t, 2, got.Nodes)
	require.InDelta(t, 100, got.Fleet, 1)
	shares := sagedemand.Split(got, sagedemand.Params{Capacity: 100, Nodes: 4})
	require.InDelta(t, 40, shares.Rates["a"], 1, "its part of half of the capacity")
}

// Prevents that a node that is cut off uses the sums of the time before for long, or all of the capacity.
func TestDemandOfNodeThatIsCutOff(t *testing.T) {
	f := newDemandFleet(t)
	f.demand.updateTotal(at(1000), sageflight.Counts{nodesKey: 4, demandKey(""): 400, demandKey("a"): 400})
	for millis := 1000; millis <= 3000; millis += 200 {
		askSteadily(f, millis, 20)
		f.reportDemand(at(millis))
	}
	got := f.demandOf(at(3000), "s")
	require.Equal(t, 1, got.Nodes)
	require.InDelta(t, 100, got.Fleet, 10)
	require.InDelta(t, 25, sagedemand.Split(got, sagedemand.Params{Capacity: 100, Nodes: 4}).Rates["a"], 1)
}

func TestContended(t *testing.T) {
	for _, c := range []struct {
		name     string
		asked    int
		inFlight int
		want     bool
	}{
		{"at rest", 10, 1, false},
		{"much asked", 61, 0, true},
		{"many in flight", 0, assumedSlots + 1, true},
		{"half in flight", 0, assumedSlots, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newDemandFleet(t)
			f.demand.updateTotal(at(0), sageflight.Counts{nodesKey: 2, demandKey(""): c.asked})
			f.inFlight.UpdateTotal(at(0), sageflight.Counts{"u0": c.inFlight})
			require.Equal(t, c.want, f.contended(at(10), "s"))
			require.False(t, f.contended(at(10), "t"))
		})
	}
}

func TestContentionIsUpdated(t *testing.T) {
	f := newDemandFleet(t)
	require.False(t, f.contended(at(0), "s"))
	f.demand.updateTotal(at(100), sageflight.Counts{nodesKey: 2, demandKey(""): 90})
	require.True(t, f.contended(at(200), "s"))
	f.demand.capacity = nil
	require.False(t, f.contended(at(400), "s"), "the capacity isn't known")
}

func TestHeartbeatUpdatesDemand(t *testing.T) {
	n := &Node{fleet: newDemandFleet(t), mesh: new(sagemesh.Service)}
	h := &sagemesh.Heartbeat{Address: "10.0.0.2:1", Identity: sagemesh.Identity{Node: "vm2", DataCentre: "north"}, Demand: map[string]int{nodesKey: 1, demandKey(""): 7}}
	n.handleHeartbeat(h, 0)
	require.Equal(t, 7.0, n.fleet.demandOf(sageclock.Now(), "s").Fleet)
	sum := new(sagemesh.Heartbeat)
	n.fillSum(sum, true)
	require.Equal(t, h.Demand, sum.Sum.Demand)
}

// demandBytes returns the encoded size of counts in a heartbeat.
func demandBytes(tb testing.TB, counts map[string]int) int {
	tb.Helper()
	m := new(heartbeat.Heartbeat)
	for k, n := range counts {
		m.DemandKeys, m.Demand = append(m.DemandKeys, k), append(m.Demand, uint32(n))
	}
	b, err := proto.Marshal(m)
	require.NoError(tb, err)
	return len(b)
}

// demandSizes are fleets whose accounts ask for 0.6 of the capacity of a service, and one of them for four times the capacity.
var demandSizes = []struct {
	nodes, accounts, upstreams int
	capacity                   float64
}{
	{4, 24, 3, 400}, {65, 24, 3, 1200}, {133, 24, 6, 600}, {1000, 24, 60, 36_000}, {1000, 32_000, 60, 36_000}, {1000, 32_000, 2300, 36_000},
}

// countsOfFleet returns the counts of the nodes of a fleet in a typical second.
func countsOfFleet(nodes, accounts, upstreams int, capacity float64, contended bool) []map[string]int {
	rnd := rand.New(rand.NewPCG(1, uint64(nodes)))
	meters := make([]sagedemand.Meter, nodes)
	now := at(1000)
	for i := range int(0.6 * capacity) {
		meters[rnd.IntN(nodes)].RecordRequest(now, "app", fmt.Sprintf("account-%05d", i%accounts))
	}
	for range int(4 * capacity) {
		meters[rnd.IntN(nodes)].RecordRequest(now, "app", "account-flood")
	}
	for range int(capacity) {
		meters[rnd.IntN(nodes)].RecordRun(now, "app", fmt.Sprintf("i-%010d", rnd.IntN(upstreams)))
	}
	var out []map[string]int
	for i := range meters {
		out = append(out, meters[i].Counts(now, func(string) bool { return contended }))
	}
	return out
}

// Prevents that the counts of a contended service outgrow a datagram or the bytes that a node may use for control.
func TestDemandBytesAreBounded(t *testing.T) {
	for _, s := range demandSizes {
		t.Run(fmt.Sprintf("nodes=%d/accounts=%d/upstreams=%d", s.nodes, s.accounts, s.upstreams), func(t *testing.T) {
			rest, busy, sum := demandSizesOf(t, s.nodes, s.accounts, s.upstreams, s.capacity)
			t.Logf("at rest %d B, contended %d B, sum %d B", rest, busy, sum)
			require.LessOrEqual(t, rest, 40)
			require.LessOrEqual(t, busy, 4<<10)
			require.LessOrEqual(t, sum, 6<<10)
		})
	}
}

// demandSizesOf returns the mean encoded sizes of the counts of a node at rest and while contended, and of their sum.
func demandSizesOf(tb testing.TB, nodes, accounts, upstreams int, capacity float64) (rest, busy, sum int) {
	tb.Helper()
	var c sageflight.Counter
	for i, counts := range countsOfFleet(nodes, accounts, upstreams, capacity, true) {
		busy += demandBytes(tb, counts)
		c.UpdateNode(at(0), fmt.Sprint("vm", i), "north", counts)
	}
	for _, counts := range countsOfFleet(nodes, accounts, upstreams, capacity, false) {
		rest += demandBytes(tb, counts)
	}
	return rest / nodes, busy / nodes, demandBytes(tb, sagedemand.Truncate(c.Sum(at(0))))
}
