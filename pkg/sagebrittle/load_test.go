package sagebrittle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// brittleModel is a service of brittle upstreams behind some nodes, in virtual time with steps of a millisecond.
//
// The pattern: all upstreams let no more requests wait than their queues hold, which shrink to nothing after three
// seconds, and callers send more than the upstreams bear. Nodes know each other's requests in flight and reduced limits
// with a delay.
type brittleModel struct {
	nodes, upstreams, slots, maxDeclines int
	meanRun                              time.Duration
	load                                 float64 // requests as a multiple of what the upstreams can execute
	crashAt                              int     // second in which upstream 0 crashes for another reason; 0 means never

	rnd                                *rand.Rand
	limits                             []*Limits[string]
	ups                                []modelUpstream
	served, declined, falls, neverSent int
}

type modelUpstream struct {
	start     int
	running   int
	declines  []int // in the present second
	downUntil int
}

const (
	modelSeconds   = 20
	modelLag       = 300 // milliseconds
	modelDownTime  = 3000
	modelQueue     = 4
	modelBrittleAt = 3000
)

func (m *brittleModel) run() {
	m.rnd = rand.New(rand.NewPCG(1, 2))
	m.ups = make([]modelUpstream, m.upstreams)
	for range m.nodes {
		m.limits = append(m.limits, new(Limits[string]))
	}
	ends := make(map[int][]func())
	perMilli := m.load * float64(m.upstreams*m.slots) / float64(m.meanRun.Milliseconds())
	for ms := range modelSeconds * 1000 {
		now := sageclock.Instant(ms+1) * sageclock.Instant(time.Millisecond)
		for _, end := range ends[ms] {
			end()
		}
		delete(ends, ms)
		if ms%modelLag == 0 {
			m.exchange(now)
		}
		if m.crashAt > 0 && ms == m.crashAt*1000 {
			m.fall(0, ms)
		}
		for n := m.poisson(perMilli); n > 0; n-- {
			m.arrive(ms, now, ends)
		}
	}
}

func (m *brittleModel) poisson(mean float64) int {
	n := 0
	for t := m.rnd.ExpFloat64(); t < mean; t += m.rnd.ExpFloat64() {
		n++
	}
	return n
}

// exchange delivers the nodes' heartbeats.
func (m *brittleModel) exchange(now sageclock.Instant) {
	for i, l := range m.limits {
		l.Announce(now, "s", m.maxDeclines, 0)
		_, reports := l.Reports(now)
		for j, o := range m.limits {
			if i != j {
				o.Merge(now, nil, reports, func(string) string { return "s" })
			}
		}
	}
}

func (m *brittleModel) fall(u, ms int) {
	m.falls++
	m.ups[u] = modelUpstream{start: m.ups[u].start + 1, downUntil: ms + modelDownTime}
}

// arrive handles a caller's request at a random node, which tries two upstreams at the most.
func (m *brittleModel) arrive(ms int, now sageclock.Instant, ends map[int][]func()) {
	node := m.rnd.IntN(m.nodes)
	l := m.limits[node]
	tries := 0
	for _, u := range m.rnd.Perm(m.upstreams) {
		up := &m.ups[u]
		if ms < up.downUntil {
			continue // its entry is gone
		}
		p, ok := l.Acquire(now, &Request[string]{Service: "s", Upstream: fmt.Sprint(u, up.start), Name: fmt.Sprint("e", u), Slots: m.slots, Offset: u * FullLimit(m.slots), Nodes: m.nodes, Index: node})
		if !ok {
			continue
		}
		capacity := m.slots
		if ms < modelBrittleAt {
			capacity += modelQueue
		}
		if up.running < capacity {
			m.served++
			up.running++
			start := up.start
			end := ms + 1 + int(m.rnd.ExpFloat64()*float64(m.meanRun.Milliseconds()))
			ends[end] = append(ends[end], func() {
				if m.ups[u].start == start {
					m.ups[u].running--
				}
				l.Release(p)
			})
			return
		}
		m.declined++
		l.RecordDecline(now, p)
		l.Release(p)
		for len(up.declines) > 0 && ms-up.declines[0] >= 1000 {
			up.declines = up.declines[1:]
		}
		if up.declines = append(up.declines, ms); len(up.declines) > m.maxDeclines {
			m.fall(u, ms)
		}
		if tries++; tries == 2 {
			break
		}
	}
	m.neverSent++
}

// Prevents brittle upstreams from falling over under more load than they bear, and from standing idle for fear of it.
func TestBrittleUpstreamsUnderOverload(t *testing.T) {
	for _, tt := range []struct {
		name      string
		model     brittleModel
		minServed float64 // of what the upstreams can execute
	}{
		{"few slots", brittleModel{nodes: 9, upstreams: 3, slots: 6, maxDeclines: 5, meanRun: 40 * time.Millisecond, load: 1.5}, 0.55},
		{"engines", brittleModel{nodes: 9, upstreams: 18, slots: 64, maxDeclines: 5, meanRun: 800 * time.Millisecond, load: 1.5}, 0.75},
		{"hardly any decline allowed", brittleModel{nodes: 9, upstreams: 6, slots: 6, maxDeclines: 1, meanRun: 40 * time.Millisecond, load: 2}, 0.55},
		{"more nodes than slots", brittleModel{nodes: 100, upstreams: 60, slots: 16, maxDeclines: 4, meanRun: 100 * time.Millisecond, load: 1.5}, 0.5},
		{"an upstream crashes", brittleModel{nodes: 9, upstreams: 6, slots: 16, maxDeclines: 4, meanRun: 100 * time.Millisecond, load: 1.2, crashAt: 8}, 0.6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := tt.model
			m.run()
			capacity := float64(modelSeconds*m.upstreams*m.slots) / m.meanRun.Seconds()
			t.Logf("served %.2f of what the upstreams can execute, declined %d, not sent %d, falls %d", float64(m.served)/capacity, m.declined, m.neverSent, m.falls)
			require.LessOrEqual(t, float64(m.falls), 2+0.1*float64(m.upstreams))
			require.GreaterOrEqual(t, float64(m.served), tt.minServed*capacity)
		})
	}
}
