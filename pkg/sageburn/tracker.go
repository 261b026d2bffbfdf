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

// MaxSeries limits the number of pairs of account and priority in a tracker. Further ones are counted
// under [OtherAccounts], so that many accounts can't exhaust the memory of a node.
const MaxSeries = 2048

// OtherAccounts is the account for requests that exceed [MaxSeries].
const OtherAccounts = "_other"

// seriesKey identifies a series of counts.
type seriesKey struct {
	account  string
	priority sagewire.Priority
}

// series holds the counts of one account and priority.
type series struct {
	rings   [len(levels)]ring
	latency *hdrhistogram.Histogram
}

// Tracker counts the requests of one node. Objectives must be set before first use. Its methods are
// safe for concurrent use.
type Tracker struct {
	Objectives []Objective

	mu     sync.Mutex
	series map[seriesKey]*series
}

// Record counts a finished request. Requests without an objective and requests that failed through the
// caller's fault are not counted.
func (b *Tracker) Record(r Request) {
	o, ok := findObjective(b.Objectives, r.Account, r.Priority)
	fault := FaultOf(r.Outcome, r.Reason)
	if !ok || fault == FaultCaller {
		return
	}
	c := Count{Total: 1}
	if fault == FaultService || !o.meetsLatency(&r) {
		c.Bad = 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seriesFor(seriesKey{account: r.Account, priority: r.Priority})
	for i, l := range levels {
		if count := s.rings[i].slot(l, l.slot(r.EndedAt)); count != nil {
			count.add(c)
		}
	}
	if fault == FaultNone && !r.FirstByteAt.IsZero() {
		recordLatency(s.latency, r.FirstByteAt.Sub(r.ArrivedAt))
	}
}

// seriesFor returns the series of k, or that of [OtherAccounts] if the tracker is full. mu must be
// held.
func (b *Tracker) seriesFor(k seriesKey) *series {
	if b.series == nil {
		b.series = make(map[seriesKey]*series)
	}
	s := b.series[k]
	if s == nil && len(b.series) >= MaxSeries && k.account != OtherAccounts {
		return b.seriesFor(seriesKey{account: OtherAccounts, priority: k.priority})
	}
	if s == nil {
		s = &series{latency: newLatency()}
		b.series[k] = s
	}
	return s
}

// Series holds the counts of one account and priority, by level and slot.
type Series struct {
	Account  string            `json:"account"`
	Priority sagewire.Priority `json:"priority"`
	// Slots maps, for each level, the number of a slot to its count.
	Slots [len(levels)]map[int64]Count `json:"slots"`
	// Latency is a histogram of the time to the first byte in milliseconds, since the node's start.
	Latency *hdrhistogram.Snapshot `json:"latency,omitempty"`
}

// Snapshot holds the counts of a node, or the sum of several.
type Snapshot struct {
	Series []Series `json:"series"`
}

// Check reports a snapshot with histograms that can't be added. Its error wraps [ErrInvalidLatency].
func (s *Snapshot) Check() error {
	for i := range s.Series {
		if err := checkLatency(s.Series[i].Latency); err != nil {
			return fmt.Errorf("%s %s: %w", s.Series[i].Account, s.Series[i].Priority, err)
		}
	}
	return nil
}

// Snapshot returns a copy of all counts that are still within a window at now.
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

// recent returns the nonzero counts that are still within the level's period at slot n.
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

// Merge adds the snapshots of several nodes.
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
	merged := sum[k]
	if merged == nil {
		merged = &Series{Account: s.Account, Priority: s.Priority}
		for i := range levels {
			merged.Slots[i] = make(map[int64]Count)
		}
		sum[k] = merged
	}
	for i := range levels {
		for n, c := range s.Slots[i] {
			total := merged.Slots[i][n]
			total.add(c)
			merged.Slots[i][n] = total
		}
	}
	merged.Latency = addLatency(merged.Latency, s.Latency)
}
