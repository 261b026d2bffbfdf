package sageburn

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sagestand.example/sagestand/pkg/sagewire"
)

// MaxSeries bounds the pairs of account and priority that a book keeps; further ones are counted
// under [OtherAccounts], so that many accounts can't take the memory of a node.
const MaxSeries = 2048

// OtherAccounts is the account under which a full book counts.
const OtherAccounts = "_other"

// seriesKey names a series of counts.
type seriesKey struct {
	account  string
	priority sagewire.Priority
}

// series holds the counts of one account and priority.
type series struct {
	rings   [len(levels)]ring
	latency *hdrhistogram.Histogram
}

// Tracker counts the requests of one node. Objectives are set before first use; its methods are safe
// for concurrent use.
type Tracker struct {
	Objectives []Objective

	mu     sync.Mutex
	series map[seriesKey]*series
}

// Record counts the end of a request. Requests without an objective or by the caller's own fault
// are not counted.
func (b *Tracker) Record(r Request) {
	o, ok := find(b.Objectives, r.Account, r.Priority)
	fault := FaultOf(r.Outcome, r.Reason)
	if !ok || fault == FaultCaller {
		return
	}
	c := Count{Total: 1}
	if fault == FaultService || !o.good(&r) {
		c.Bad = 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(seriesKey{account: r.Account, priority: r.Priority})
	for i, l := range levels {
		if at := s.rings[i].at(l, l.slot(r.EndedAt)); at != nil {
			at.add(c)
		}
	}
	if fault == FaultNone && !r.FirstByteAt.IsZero() {
		recordLatency(s.latency, r.FirstByteAt.Sub(r.ArrivedAt))
	}
}

// of returns the series of k; mu is held.
func (b *Tracker) of(k seriesKey) *series {
	if b.series == nil {
		b.series = make(map[seriesKey]*series)
	}
	s := b.series[k]
	if s == nil && len(b.series) >= MaxSeries && k.account != OtherAccounts {
		return b.of(seriesKey{account: OtherAccounts, priority: k.priority})
	}
	if s == nil {
		s = &series{latency: newLatency()}
		b.series[k] = s
	}
	return s
}

// Series is the counts of one account and priority, by level and slot.
type Series struct {
	Account  string            `json:"account"`
	Priority sagewire.Priority `json:"priority"`
	// Slots maps, for each level, the number of a slot to its count.
	Slots [len(levels)]map[int64]Count `json:"slots"`
	// Latency counts first bytes by latency in milliseconds, since the node's start.
	Latency *hdrhistogram.Snapshot `json:"latency,omitempty"`
}

// Snapshot is what a node has counted.
type Snapshot struct {
	Series []Series `json:"series"`
}

// Check reports a snapshot whose histograms can't be added up, wrapped around [ErrInvalidLatency].
func (s *Snapshot) Check() error {
	for i := range s.Series {
		if err := checkLatency(s.Series[i].Latency); err != nil {
			return fmt.Errorf("%s %s: %w", s.Series[i].Account, s.Series[i].Priority, err)
		}
	}
	return nil
}

// Snapshot returns a copy of everything counted that is still within a window at now.
func (b *Tracker) Snapshot(now time.Time) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out Snapshot
	for k, s := range b.series {
		x := Series{Account: k.account, Priority: k.priority, Latency: s.latency.Export()}
		for i, l := range levels {
			x.Slots[i] = s.rings[i].recent(l, l.slot(now))
		}
		out.Series = append(out.Series, x)
	}
	out.sort()
	return out
}

// recent returns the counts that aren't empty of the slots up to n.
func (r *ring) recent(l level, n int64) map[int64]Count {
	m := make(map[int64]Count)
	if r.counts == nil {
		return m
	}
	for i := max(n-int64(l.slots), r.newest-int64(l.slots)) + 1; i <= r.newest; i++ {
		if c := r.counts[i%int64(l.slots)]; c.Total > 0 {
			m[i] = c
		}
	}
	return m
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Priority, b.Priority))
	})
}

// Merge adds up the snapshots of several nodes.
func Merge(snaps ...Snapshot) Snapshot {
	sum := make(map[seriesKey]*Series)
	for _, s := range snaps {
		for i := range s.Series {
			mergeSeries(sum, &s.Series[i])
		}
	}
	var out Snapshot
	for _, s := range sum {
		out.Series = append(out.Series, *s)
	}
	out.sort()
	return out
}

func mergeSeries(sum map[seriesKey]*Series, s *Series) {
	k := seriesKey{account: s.Account, priority: s.Priority}
	to := sum[k]
	if to == nil {
		to = &Series{Account: s.Account, Priority: s.Priority}
		for i := range levels {
			to.Slots[i] = make(map[int64]Count)
		}
		sum[k] = to
	}
	for i := range levels {
		for n, c := range s.Slots[i] {
			have := to.Slots[i][n]
			have.add(c)
			to.Slots[i][n] = have
		}
	}
	to.Latency = addLatency(to.Latency, s.Latency)
}
