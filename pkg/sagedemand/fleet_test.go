package sagedemand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// requireAims requires what callers must see.
func (m *fleetModel) requireAims(t *testing.T) {
	t.Helper()
	r := m.result()
	t.Log(r)
	require.GreaterOrEqual(t, r.steadyServed, 0.95, r)
	require.GreaterOrEqual(t, r.capacityUsed, 0.9, r)
	require.LessOrEqual(t, r.overShare, exchangeBound, r)
	require.LessOrEqual(t, r.overCapacity, exchangeBound, r)
}

// Prevents that an account that asks for four times the capacity takes it from those that ask for less than their share.
func TestFloodIsLimitedToShareOverFleet(t *testing.T) {
	for _, size := range modelSizes[:3] {
		t.Run(fmt.Sprintf("nodes=%d/all", size.nodes), func(t *testing.T) {
			m := newFleetModel(size)
			m.run()
			m.requireAims(t)
		})
		t.Run(fmt.Sprintf("nodes=%d/one", size.nodes), func(t *testing.T) {
			m := newFleetModel(size)
			m.floodThrough(0, always)
			m.run()
			m.requireAims(t)
		})
	}
}

// Prevents that the bursts which gates allow, at all nodes together, keep the flood above its share.
func TestGatesLimitFlood(t *testing.T) {
	for _, size := range modelSizes {
		t.Run(fmt.Sprintf("nodes=%d/all", size.nodes), func(t *testing.T) {
			m := newFleetModel(size)
			m.gates = true
			m.run()
			m.requireAims(t)
		})
		t.Run(fmt.Sprintf("nodes=%d/one", size.nodes), func(t *testing.T) {
			m := newFleetModel(size)
			m.gates = true
			m.floodThrough(0, always)
			m.run()
			m.requireAims(t)
		})
	}
}

// Prevents that accounts which all ask for more than their share, a little at each node, get more than the capacity together or
// leave a part of it unused.
func TestGatesDivideCapacityAmongAllThatAskTooMuch(t *testing.T) {
	for _, size := range modelSizes {
		t.Run(fmt.Sprint("nodes=", size.nodes), func(t *testing.T) {
			m := newFleetModel(size)
			m.gates = true
			m.steadyPart, m.floodPart = 2, 0
			if size.nodes < 1000 {
				m.end = sageclock.Instant(30 * time.Second) // some accounts have few requests
			}
			m.run()
			r := m.result()
			t.Log(r)
			require.InDelta(t, 1, r.capacityUsed, 0.1, r)
			require.GreaterOrEqual(t, r.worstServed, 0.8*r.steadyServed, "equal shares: %v", r)
		})
	}
}

// Prevents that many accounts, each with few requests, lose their shares beside one that floods.
func TestManyAccountsBesideFlood(t *testing.T) {
	for _, size := range modelSizes[1:] {
		t.Run(fmt.Sprint("nodes=", size.nodes), func(t *testing.T) {
			m := newFleetModel(size)
			m.gates = true
			m.setAccounts(manyAccounts)
			m.run()
			m.requireAims(t)
		})
	}
}

// Prevents that the bursts of many accounts, a few requests each at each node, add up to several times the capacity.
func TestManyAccountsThatAskTooMuch(t *testing.T) {
	for _, size := range modelSizes[1:] {
		t.Run(fmt.Sprint("nodes=", size.nodes), func(t *testing.T) {
			m := newFleetModel(size)
			m.gates = true
			m.setAccounts(manyAccounts)
			m.steadyPart, m.floodPart = 2, 0
			m.run()
			r := m.result()
			t.Log(r)
			require.InDelta(t, 1, r.capacityUsed, 0.1, r)
		})
	}
}

// BenchmarkModel reports what the nodes reach if each knows only its own counts and an even part of the capacity, with the sums,
// and with the sums and gates.
func BenchmarkModel(b *testing.B) {
	for _, size := range modelSizes {
		for _, kind := range []string{"local", "sums", "gates"} {
			for _, through := range []string{"all", "one"} {
				b.Run(fmt.Sprintf("nodes=%d/%s/%s", size.nodes, kind, through), func(b *testing.B) {
					for b.Loop() {
						m := newFleetModel(size)
						m.localOnly, m.gates = kind == "local", kind == "gates"
						if through == "one" {
							m.floodThrough(0, always)
						}
						m.run()
						r := m.result()
						b.ReportMetric(r.steadyServed, "served")
						b.ReportMetric(r.worstServed, "worst_served")
						b.ReportMetric(r.capacityUsed, "capacity_used")
						b.ReportMetric(r.overCapacity.Seconds(), "s_over_capacity")
						b.ReportMetric(r.peak, "peak")
						b.ReportMetric(r.overShare.Seconds(), "s_over_share")
					}
				})
			}
		}
	}
}

const (
	// faultAt is when a fault begins in the model, faultEnd when one that passes ends.
	faultAt  = 4 * time.Second
	faultEnd = 5 * time.Second
)

// modelFaults are faults of the fleet.
var modelFaults = []struct {
	name string
	// end is when the fault ends, or the last change that belongs to it happens.
	end time.Duration
	set func(m *fleetModel)
}{
	{"flood moves from one node to all", faultAt, func(m *fleetModel) {
		m.floodThrough(0, func() bool { return time.Duration(m.now) < faultAt })
	}},
	{"flood moves from all nodes to one", faultAt, func(m *fleetModel) {
		m.floodThrough(0, func() bool { return time.Duration(m.now) >= faultAt })
	}},
	{"flood moves from one node to another", faultAt, func(m *fleetModel) {
		m.floodThrough(0, func() bool { return time.Duration(m.now) < faultAt })
		m.floodThrough(1, func() bool { return time.Duration(m.now) >= faultAt })
	}},
	{"node stops", faultAt, func(m *fleetModel) {
		m.at[faultAt] = func() { m.setDown(m.nodes[0], true) }
		m.at[faultAt+exchangeBound] = func() { m.known-- }
	}},
	{"node freezes", faultEnd, func(m *fleetModel) {
		m.at[faultAt] = func() { m.setDown(m.nodes[0], true) }
		m.at[faultEnd] = func() { m.setDown(m.nodes[0], false) }
	}},
	{"node is cut off", faultAt, func(m *fleetModel) {
		m.at[faultAt] = func() { m.nodes[0].cut = true }
	}},
	{"sums are lost", faultEnd, func(m *fleetModel) {
		m.at[faultAt] = func() { m.sumCut = true }
		m.at[faultEnd] = func() { m.sumCut = false }
	}},
	{"half of the nodes start", faultAt, func(m *fleetModel) {
		late := m.nodes[:len(m.nodes)/2]
		for _, n := range late {
			m.setDown(n, true)
		}
		m.known -= len(late)
		m.at[faultAt] = func() {
			m.known += len(late)
			for _, n := range late {
				m.setDown(n, false)
				m.restart(n)
			}
		}
	}},
}

// Prevents that an account loses its share, or gets twice its share, for longer than the exchange's bound after a fault.
func TestSharesFollowFaults(t *testing.T) {
	for _, size := range modelSizes[:3] {
		for _, fault := range modelFaults {
			t.Run(fmt.Sprintf("nodes=%d/%s", size.nodes, fault.name), func(t *testing.T) {
				m := newFleetModel(size)
				m.measureFrom = sageclock.Instant(fault.end + exchangeBound)
				fault.set(m)
				m.run()
				m.requireAims(t)
			})
		}
	}
}

// Prevents that nodes give away the capacity that nodes of an older program use without counting.
func TestNodesThatDoNotCountKeepTheirPart(t *testing.T) {
	for _, size := range modelSizes[:3] {
		t.Run(fmt.Sprint("nodes=", size.nodes), func(t *testing.T) {
			m := newFleetModel(size)
			for _, n := range m.nodes[:size.nodes/2] {
				n.old = true
			}
			m.run()
			r := m.result()
			t.Log(r)
			require.GreaterOrEqual(t, r.steadyServed, 0.95, r)
			part := float64(size.nodes-size.nodes/2) / float64(size.nodes)
			require.InDelta(t, part, r.capacityUsed, 0.1*part, r)
		})
	}
}
