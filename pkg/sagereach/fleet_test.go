package sagereach

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// fleetModel is a fleet of nodes, some of which lose their path to all upstreams, in virtual time with steps of ten
// milliseconds.
//
// The pattern: callers keep the addresses of cut nodes and go on sending as before. Their requests go over the nodes that
// have a path, each of which takes only so many.
type fleetModel struct {
	nodes, cut int
	rnd        *rand.Rand
	members    []*modelNode
	cached     [modelZones][]Candidate // by data centre
	cachedAt   int
	second     [modelSeconds]struct{ cut, others modelTries }
}

type modelNode struct {
	Tracker
	Helpers
	relayed int  // requests of peers in progress
	lost    bool // as the other nodes know it
}

type modelTries struct{ served, sent int }

const (
	modelStep       = 10 // milliseconds
	modelSeconds    = 8
	modelCutAt      = 1000
	modelLag        = 500 // between the loss of a path and the other nodes' knowledge of it
	modelRunTime    = 300 // of a request at an upstream
	modelPerSecond  = 10  // requests of callers at each node
	modelMaxRelayed = 60
	modelUpstreams  = 20
	modelZones      = 10
	modelCacheTime  = 100
	dialTimeout     = 250
)

func (m *fleetModel) run() {
	m.rnd = rand.New(rand.NewPCG(uint64(m.nodes), uint64(m.cut)))
	for range m.nodes {
		m.members = append(m.members, new(modelNode))
	}
	upstreams := make([]string, modelUpstreams)
	for i := range upstreams {
		upstreams[i] = fmt.Sprint("e", i)
	}
	events := make(map[int][]func(now sageclock.Instant))
	for t := 0; t < modelSeconds*1000; t += modelStep {
		now := sageclock.Instant(t+modelStep) * ms
		for _, e := range events[t] {
			e(now)
		}
		delete(events, t)
		for i, n := range m.members {
			isCut := i < m.cut && t >= modelCutAt
			m.probe(n, now, t, isCut, upstreams, events)
			if m.rnd.Float64() < modelPerSecond*modelStep/1000.0 {
				m.arrive(i, now, t, isCut, upstreams, events)
			}
		}
	}
}

// probe runs the rounds of probes of a cut node.
func (m *fleetModel) probe(n *modelNode, now sageclock.Instant, t int, isCut bool, upstreams []string, events map[int][]func(sageclock.Instant)) {
	for _, u := range n.StartRound(now, "s", upstreams) {
		res, delay := ProbeAnswered, modelStep
		if isCut {
			res, delay = ProbeTimedOut, dialTimeout
		}
		end := t + delay
		events[end] = append(events[end], func(now sageclock.Instant) {
			if n.RecordProbe(now, "s", u, res) != nil {
				known := end + modelLag
				events[known] = append(events[known], func(sageclock.Instant) { n.lost = n.State("s") == Lost })
			}
		})
	}
}

// arrive handles a request of a caller at a node.
func (m *fleetModel) arrive(i int, now sageclock.Instant, t int, isCut bool, upstreams []string, events map[int][]func(sageclock.Instant)) {
	n, tries := m.members[i], &m.second[t/1000].others
	if i < m.cut {
		tries = &m.second[t/1000].cut
	}
	tries.sent++
	switch {
	case !isCut:
		tries.served++
	case n.State("s") == Lost:
		m.relay(i, now, t, tries, events)
	default: // two upstreams aren't reached, then peers are tried
		for k := range maxUnreachedInModel {
			end := t + (k+1)*dialTimeout/modelStep*modelStep
			events[end] = append(events[end], func(now sageclock.Instant) {
				n.RecordUnanswered(now, "s", upstreams[m.rnd.IntN(len(upstreams))])
				n.Suspect(now, "s", len(upstreams))
				if k == maxUnreachedInModel-1 && n.State("s") != Open {
					m.relay(i, now, end, tries, events)
				}
			})
		}
	}
}

const maxUnreachedInModel = 2

// candidates returns the peers that node i knows to have a path.
func (m *fleetModel) candidates(i, t int) []Candidate {
	if t-m.cachedAt >= modelCacheTime {
		m.cached, m.cachedAt = [modelZones][]Candidate{}, t
	}
	zone := i % modelZones
	if m.cached[zone] == nil {
		for j, o := range m.members {
			if !o.lost {
				m.cached[zone] = append(m.cached[zone], Candidate{Node: fmt.Sprint(j), Local: j%modelZones == zone})
			}
		}
	}
	return m.cached[zone]
}

// relay sends a request over peers.
func (m *fleetModel) relay(i int, now sageclock.Instant, t int, tries *modelTries, events map[int][]func(sageclock.Instant)) {
	n := m.members[i]
	candidates, tried := m.candidates(i, t), []string{fmt.Sprint(i)}
	for range 3 {
		c, ok := n.Start(now, candidates, tried)
		if !ok {
			return
		}
		var j int
		_, _ = fmt.Sscan(c.Node, &j) // a number
		helper := m.members[j]
		refused := helper.State("s") == Lost || helper.relayed >= modelMaxRelayed || j < m.cut
		if refused {
			n.End(now, c.Node, true)
			tried = append(tried, c.Node)
			continue
		}
		tries.served++
		helper.relayed++
		end := t + modelRunTime
		events[end] = append(events[end], func(now sageclock.Instant) {
			helper.relayed--
			n.End(now, c.Node, false)
		})
		return
	}
}

// Prevents callers of cut nodes from being left without service, and nodes with a path from being overloaded, in fleets of
// a hundred and of a thousand nodes.
func TestCutNodesOfLargeFleetsAreServed(t *testing.T) {
	for _, nodes := range []int{100, 1000} {
		for _, cut := range []int{nodes / 10, nodes / 2, nodes - 2} {
			if testing.Short() && nodes > 100 {
				continue
			}
			t.Run(fmt.Sprintf("%d of %d", cut, nodes), func(t *testing.T) {
				m := fleetModel{nodes: nodes, cut: cut}
				m.run()
				capacity := (nodes - cut) * modelMaxRelayed * 1000 / modelRunTime // relayed requests a second
				var late modelTries
				for s := range m.second {
					c, o := m.second[s].cut, m.second[s].others
					t.Logf("second %d: %d/%d without a path, %d/%d with one", s, c.served, c.sent, o.served, o.sent)
					require.Equal(t, o.sent, o.served, "nodes with a path serve their own callers as before")
					if s >= modelCutAt/1000+3 {
						late.served, late.sent = late.served+c.served, late.sent+c.sent
					}
				}
				perSecond := late.sent / (modelSeconds - modelCutAt/1000 - 3)
				if perSecond < capacity*2/3 {
					require.GreaterOrEqual(t, late.served*3, late.sent*2)
				}
				for _, n := range m.members {
					require.LessOrEqual(t, n.relayed, modelMaxRelayed)
				}
			})
		}
	}
}
