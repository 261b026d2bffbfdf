package sagemesh

import (
	"fmt"
	"testing"

	"sagestand.example/sagestand/internal/sagefollow"
)

// usual is a heartbeat of a node with n requests in flight at as many upstreams.
func usual(n int) *Heartbeat {
	h := &Heartbeat{
		Address: "10.200.13.250:17040", Identity: Identity{"front-north-12", "10.200.13.250:18227", "north-one", 200}, Ready: true,
		Stamp: Stamp{1 << 62, 1 << 50}, Echo: Stamp{1 << 62, 1 << 50}, InFlight: make(map[string]int),
		Copies: map[string]sagefollow.Position{"config": {AsOf: 12345, Content: 12340, AgeMillis: 700}, "servers": {AsOf: 12345, Content: 12345, AgeMillis: 1200}, "closed": {AsOf: 12345, Content: 90, AgeMillis: 900}},
		Known:  []string{"10.200.13.251:17040", "10.200.13.252:17040", "10.200.13.253:17040"},
	}
	for i := range n {
		h.InFlight[fmt.Sprintf("i-%010d", i)] = 2
	}
	return h
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{4, 12} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := usual(n)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				common, err := h.encode()
				if err != nil {
					b.Fatal(err)
				}
				data, err := (&extra{echo: h.Echo}).append(common)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if _, err := decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
