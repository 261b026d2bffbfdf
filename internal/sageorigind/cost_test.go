package sageorigind

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Prevents the messages of a stream from growing with the fleet. The log has the costs.
func TestMessagesOfStream(t *testing.T) {
	const writers, streams, perStream = 10, 200, sageorigin.NumHolders + 2
	for _, nodes := range []int{10, 91, 133, 400} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(nodes, "v1", "v2")
				first := f.holders()[:writers]
				n := f.nodes[nodes-1]
				n.Writers, n.Save = func() []sageorigin.Holder { return first }, func([]sageorigin.Record) {}
				for i := range streams {
					n.Begin("r", key(i), v1, virtualNow().Add(11*time.Second))()
				}
				sent := int(n.Metrics.GetOrCreateCounter("sagestand_origin_messages_total").Get())
				bytes := int(n.Metrics.GetOrCreateCounter("sagestand_origin_bytes_total").Get())
				require.LessOrEqual(t, sent, perStream*streams)
				t.Logf("a stream: %.2f messages, %.0f bytes", float64(sent)/streams, float64(bytes)/streams)
			})
		})
	}
}

// BenchmarkRestore measures how a node sends recovered records to their holders, without the system calls.
func BenchmarkRestore(b *testing.B) {
	for _, nodes := range []int{10, 91, 133, 400} {
		for _, batch := range []int{500, 5000, 15_000} {
			b.Run(fmt.Sprintf("%d/%d", nodes, batch), func(b *testing.B) {
				var holders []sageorigin.Holder
				for i := range nodes {
					holders = append(holders, sageorigin.Holder{Address: fmt.Sprintf("10.0.%d.%d:7", i/200, i%200), DataCentre: fmt.Sprint("dc", i%4)})
				}
				sent, bytes := 0, 0
				s := &Service{
					Self: holders[0].Address, Nodes: func() []sageorigin.Holder { return holders }, Metrics: metrics.NewSet(),
					Send: func(_ string, b []byte) error {
						sent++
						bytes += len(b)
						return nil
					},
				}
				records := make([]sageorigin.Record, batch)
				until := sageclock.Now().Add(time.Hour)
				for i := range records {
					records[i] = sageorigin.Record{Key: key(i), Origin: sageorigin.Origin{Service: "service-one", Version: "v1.1"}, Until: until}
				}
				for b.Loop() {
					s.Restore(records)
				}
				all := float64(b.N) * float64(batch)
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/all, "ns/record")
				b.ReportMetric(float64(sent)/all, "messages/record")
				b.ReportMetric(float64(bytes)/all, "B/record")
			})
		}
	}
}

// Prevents a node that recovers the records of a large fleet from dropping those that it holds for others.
func TestRecoveryKeepsHeldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(91, "v1", "v2")
		n := f.nodes[0]
		n.Send = func(string, []byte) error { return nil }
		until := virtualNow().Add(time.Minute)
		held := &sageorigin.Message{Records: []sageorigin.Record{{Key: key(0), Origin: v2, Until: until}}}
		n.Handle(held.Encode(virtualNow()), address(1))
		records := make([]sageorigin.Record, sageorigin.DefaultMaxRecords)
		for i := range records {
			records[i] = sageorigin.Record{Key: key(i + 1), Origin: v1, Until: until}
		}
		n.Restore(records)
		require.Equal(t, sageorigin.Found, n.Find(t.Context(), "r", key(0)).Status)
	})
}
