package sagesync

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageticket"
)

// entryCount is the number of entries in a configuration of the design size: 32,000 client accounts,
// 2,300 runners, and routes, sets and data centres.
const entryCount = 34_500

// newLargeReplica returns a replica of the design size.
func newLargeReplica(c *clock) *Replica {
	s := sageconfig.NewState()
	for i := range entryCount {
		s.Apply(sageconfig.Entry{TicketNumber: 1, Change: sageconfig.Change{
			Key:           sageconfig.EntryKey{Kind: sageconfig.KindClientAccount, Name: fmt.Sprintf("account-%d", i)},
			ClientAccount: &sageconfig.ClientAccount{KeySHA256: fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)})), Weight: 1},
		}})
	}
	r := &Replica{Now: c.Now}
	r.ApplyLoaded(&sageticket.Loaded{Head: &sageticket.Head{Revision: 1, CompactedRevision: 1}, State: s}, c.now)
	return r
}

// benchTicket returns a ticket that takes a data centre into or out of service.
func benchTicket(i int) *sageconfig.Ticket {
	return &sageconfig.Ticket{Number: uint64(i + 2), Changes: []sageconfig.Change{{
		Key:        sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: "derby"},
		DataCentre: &sageconfig.DataCentre{InService: i%2 == 0},
	}}}
}

func benchHead(revision uint64) *sageticket.Head {
	t := benchTicket(int(revision))
	return &sageticket.Head{Revision: revision, CompactedRevision: revision - 1, Tail: []sageticket.Record{{
		Revision: revision, Digest: t.Digest(), AcceptedAt: start, Ticket: t,
	}}}
}

// BenchmarkIdle measures an exchange between nodes that hold the same revision.
func BenchmarkIdle(b *testing.B) {
	c := &clock{start}
	n, peer := newLargeReplica(c), newLargeReplica(c)
	b.ReportAllocs()
	for b.Loop() {
		n.Delta(peer.Digest(), 16<<10)
	}
	b.ReportMetric(float64(len(peer.Digest())), "digest-bytes")
}

// BenchmarkMerge measures the transfer of one ticket from node to node.
func BenchmarkMerge(b *testing.B) {
	c := &clock{start}
	n, peer := newLargeReplica(c), newLargeReplica(c)
	b.ReportAllocs()
	size := 0
	for rev := uint64(2); b.Loop(); rev++ {
		peer.ApplyHead(benchHead(rev), c.now)
		d := peer.Delta(n.Digest(), 16<<10)
		size = len(d)
		if err := n.Merge(d); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "delta-bytes")
}

// BenchmarkCopy measures the transfer of the complete state to a node that starts during an outage of
// the store.
func BenchmarkCopy(b *testing.B) {
	c := &clock{start}
	peer := newLargeReplica(c)
	b.ReportAllocs()
	exchanges, size := 0, 0
	for b.Loop() {
		n := &Replica{Now: c.Now}
		exchanges, size = 0, 0
		for n.Current().Revision == 0 {
			d := peer.Delta(n.Digest(), 16<<10)
			exchanges, size = exchanges+1, size+len(d)
			if err := n.Merge(d); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(exchanges), "exchanges")
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkHeld reports the heap memory that a state of the design size holds when decoded from the
// store, and that during the application of a ticket.
func BenchmarkHeld(b *testing.B) {
	c := &clock{start}
	entry, _ := newLargeReplica(c).Current().State.Get(sageconfig.EntryKey{Kind: sageconfig.KindClientAccount, Name: "account-1"})
	raw := encode(entry)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var held, during float64
	for b.Loop() {
		before := heap()
		s := sageconfig.NewState()
		for i := range entryCount {
			e, err := decodeEntry(raw)
			if err != nil {
				b.Fatal(err)
			}
			e.Change.Key.Name = fmt.Sprintf("account-%d", i)
			s.Apply(e)
		}
		held = float64(heap() - before)
		next := s.Clone()
		next.ApplyTicket(benchTicket(1))
		during = float64(heap() - before)
		runtime.KeepAlive(s)
		runtime.KeepAlive(next)
	}
	b.ReportMetric(held, "held-bytes")
	b.ReportMetric(during, "during-bytes")
}
