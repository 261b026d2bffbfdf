package sagemesh

import (
	"fmt"
	"testing"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
)

// typicalHeartbeat returns a heartbeat of a node with requests in flight at n upstreams.
func typicalHeartbeat(n int) *Heartbeat {
	h := &Heartbeat{
		Address: "10.200.13.250:17040", Identity: Identity{"front-north-12", "10.200.13.250:18227", "north-one", "", 200}, Ready: true,
		Stamp: Stamp{1 << 62, 1 << 50}, Echo: Stamp{1 << 62, 1 << 50}, InFlight: make(map[string]int),
		Copies:         map[string]sagefollow.Position{"config": {AsOf: 12345, ContentRevision: 12340, ProofAgeMillis: 700}, "servers": {AsOf: 12345, ContentRevision: 12345, ProofAgeMillis: 1200}, "closed": {AsOf: 12345, ContentRevision: 90, ProofAgeMillis: 900}},
		KnownAddresses: []string{"10.200.13.251:17040", "10.200.13.252:17040", "10.200.13.253:17040"},
	}
	for i := range n {
		h.InFlight[fmt.Sprintf("i-%010d", i)] = 2
	}
	return h
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{4, 12} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := typicalHeartbeat(n)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				common, err := h.encode()
				if err != nil {
					b.Fatal(err)
				}
				data, err := (&receiverFields{echo: h.Echo}).append(common)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if _, err := decode(0, data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkFleetSizes simulates fleets of several sizes in virtual time and reports how much a node sends and how
// long a dead node stays live in the view of others.
func BenchmarkFleetSizes(b *testing.B) {
	for _, n := range []int{8, 30, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				v := newVirtualFleet(b, 1, n, min(n/2, largeFleetCentres))
				v.advance(5 * time.Second)
				sent := make([]int, n)
				bytes := make([]int, n)
				for i, x := range v.nodes {
					sent[i], bytes[i] = x.sent, x.bytes
				}
				const measuredSeconds = 5
				v.advance(measuredSeconds * time.Second)
				total, maxSent, size, largest := 0, 0, 0, 0
				for i, x := range v.nodes {
					total, maxSent = total+x.sent-sent[i], max(maxSent, x.sent-sent[i])
					size, largest = size+x.bytes-bytes[i], max(largest, x.bytes-bytes[i])
				}
				v.nodes[n/2].down = true
				gone := v.advanceUntil(detectionLimit, func() bool { return v.countStaleViews() == 0 })
				b.ReportMetric(float64(total)/measuredSeconds/float64(n), "datagrams/s")
				b.ReportMetric(float64(maxSent)/measuredSeconds, "most_datagrams/s")
				b.ReportMetric(float64(size)/measuredSeconds/float64(n), "B/s")
				b.ReportMetric(float64(largest)/measuredSeconds, "most_B/s")
				b.ReportMetric(gone.Seconds(), "s_until_gone")
			}
		})
	}
}
