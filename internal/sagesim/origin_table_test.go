package sagesim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	"sagestand.example/sagestand/pkg/sageorigin"
)

// Parameters of the model of where streams began.
const (
	originStreams     = 20000 // streams of the model
	streamsPerSecond  = 90    // at one node
	originLifeSeconds = 12    // for which a caller may return
	originDatagram    = 28    // bytes of IP and UDP headers
	originRecordBytes = 40    // key, time, service and version
	originEntryBytes  = 120   // memory of one record
	heartbeatTargets  = 32    // heartbeats a second that a node of a large fleet sends
)

// originWay is a way in which other nodes get to know where a stream began.
type originWay struct {
	name string
	// copies is the number of nodes that get a copy when the stream begins.
	copies int
	// centres says that the copies are spread over data centres.
	centres bool
	// asked is the number of nodes that are asked on a return.
	asked func(nodes int) int
}

var originWays = []originWay{
	{name: "ask all nodes, no copies", asked: func(n int) int { return n - 1 }},
	{name: "1 copy by rendezvous", copies: 1, asked: func(int) int { return 3 }},
	{name: "2 copies by rendezvous", copies: 2, asked: func(int) int { return 4 }},
	{name: "2 copies, spread over data centres", copies: 2, centres: true, asked: func(int) int { return 4 }},
	{name: "3 copies, spread over data centres", copies: 3, centres: true, asked: func(int) int { return 5 }},
	{name: "4 copies, spread over data centres", copies: 4, centres: true, asked: func(int) int { return 6 }},
	{name: "in heartbeats to all", copies: -1, asked: func(int) int { return 0 }},
}

// originFleet draws streams, each with the node that carries it and the holders of its copies.
type originFleet struct {
	nodes, centres int
	carrier        []int
	holders        [][]int // in order of rank
}

func newOriginFleet(nodes, centres int, spread bool, copies int, rnd *rand.Rand) *originFleet {
	f := &originFleet{nodes: nodes, centres: centres}
	var hs []sageorigin.Holder
	index := make(map[string]int)
	for i := range nodes {
		h := sageorigin.Holder{Address: fmt.Sprintf("10.0.%d.%d:7", i/200, i%200), DataCentre: fmt.Sprint(i % centres)}
		if !spread {
			h.DataCentre = ""
		}
		index[h.Address] = i
		hs = append(hs, h)
	}
	ring := sageorigin.NewRing(hs)
	for range originStreams {
		var k sageorigin.Key
		binary.LittleEndian.PutUint64(k[:], rnd.Uint64())
		carrier := rnd.IntN(nodes)
		var holders []int
		for _, a := range ring.Asked(k, hs[carrier].Address) {
			holders = append(holders, index[a])
		}
		f.carrier = append(f.carrier, carrier)
		f.holders = append(f.holders, holders[:min(max(0, copies), len(holders))])
	}
	return f
}

// share returns the share of the streams of lost nodes whose record another node still has.
func (f *originFleet) share(way originWay, lost func(node int) bool) float64 {
	returns, found := 0, 0
	for i, c := range f.carrier {
		if !lost(c) {
			continue
		}
		returns++
		known := way.copies < 0
		for _, h := range f.holders[i] {
			known = known || !lost(h)
		}
		if known {
			found++
		}
	}
	return float64(found) / float64(max(1, returns))
}

// busiest returns the copies that the busiest node gets a second, from all nodes.
func (f *originFleet) busiest() float64 {
	held := make([]int, f.nodes)
	for _, hs := range f.holders {
		for _, h := range hs {
			held[h]++
		}
	}
	most := 0
	for _, n := range held {
		most = max(most, n)
	}
	return float64(most) * streamsPerSecond * float64(f.nodes) / originStreams
}

// TestOriginTable prints what the ways cost and what they lose.
func TestOriginTable(t *testing.T) {
	if testing.Short() || !testing.Verbose() {
		t.Skip("prints a table; run it with -v")
	}
	for _, nodes := range []int{6, 100, 300, 1000} {
		centres := min(3, nodes/2)
		if nodes >= 300 {
			centres = 9
		}
		fmt.Printf("\n%d nodes in %d data centres, %d streams a second at each node\n", nodes, centres, streamsPerSecond)
		fmt.Println("| way | datagrams a stream | copies in at the busiest node, 1/s | B/s out + in there | records held, KB | datagrams a return | goes on: 1 node lost | 2 | a tenth | half | a data centre |")
		fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
		for _, way := range originWays {
			rnd := rand.New(rand.NewPCG(1, uint64(nodes)))
			f := newOriginFleet(nodes, centres, way.centres, way.copies, rnd)
			perStream, in := float64(way.copies), f.busiest()
			bytes := (in + streamsPerSecond*float64(max(0, way.copies))) * (originDatagram + originRecordBytes)
			held := in * originLifeSeconds * originEntryBytes / 1000
			if way.copies < 0 {
				// Each node gets each record once, in heartbeats that it gets anyway.
				perStream, in = 0, streamsPerSecond*float64(nodes-1)
				bytes = in*originRecordBytes + streamsPerSecond*originRecordBytes*float64(min(nodes-1, heartbeatTargets))
				held = in * originLifeSeconds * originEntryBytes / 1000
			}
			some := func(n int) func(int) bool { return func(node int) bool { return node < n } }
			fmt.Printf("| %s | %.0f | %.0f | %.0f | %.0f | %d | %.3f | %.3f | %.3f | %.3f | %.3f |\n", way.name, perStream, in, bytes, held, 2*way.asked(nodes),
				f.share(way, some(1)), f.share(way, some(2)), f.share(way, some(max(1, nodes/10))), f.share(way, some(nodes/2)), f.share(way, func(n int) bool { return n%centres == 0 }))
		}
	}
}

// originLifeSteps is how many steps a stream of the model of version choice lasts.
const originLifeSteps = 12

// TestVersionFromID prints what choosing the version from the stream's ID would need and lose while a version replaces
// another, upstream by upstream.
func TestVersionFromID(t *testing.T) {
	if testing.Short() || !testing.Verbose() {
		t.Skip("prints a table; run it with -v")
	}
	const upstreams = 18
	rnd := rand.New(rand.NewPCG(1, 1))
	choose := func(id uint64, newer int) bool { return float64(id>>11)/(1<<53) < float64(newer)/upstreams }
	ambiguous, returns := 0, 0
	for step := range upstreams {
		for range originStreams / upstreams {
			id := rnd.Uint64()
			began, now := choose(id, step), choose(id, min(upstreams, step+rnd.IntN(originLifeSteps)))
			returns++
			if began != now {
				ambiguous++
			}
		}
	}
	fmt.Printf("version from the id: %.3f of the returns during a release name a version that didn't begin the stream\n", float64(ambiguous)/float64(returns))
	for _, versions := range []int{2, 3} {
		fmt.Printf("with %d versions of equal size a request may use 1/%d of the upstreams, and a shared prompt is read %d times\n", versions, versions, versions)
	}
}
