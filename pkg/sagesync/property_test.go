package sagesync

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sagestand.example/sagestand/pkg/sageconfig"
)

// message is a delta or a digest under way to a node.
type message struct {
	from, to int
	digest   bool
	body     []byte
}

// fleet is a few replicas, the store, and the messages under way between them.
type fleet struct {
	*clock
	src   *source
	nodes []*Replica
	seen  []*sageconfig.State // what each node served at the last check
	way   []message
	split bool // nodes 0 and 1 are cut off from the others
}

func (f *fleet) cut(a, b int) bool { return f.split && (a < 2) != (b < 2) }

func (f *fleet) node(t *rapid.T) int { return rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node") }

func (f *fleet) restart(i int, t *rapid.T) {
	f.nodes[i] = &Replica{Now: f.Now, MaxTail: rapid.IntRange(1, 4).Draw(t, "tail")}
	f.seen[i] = sageconfig.NewState()
}

// deliver hands a message over, and puts the answer to a digest under way.
func (f *fleet) deliver(t *rapid.T, m message) {
	if f.cut(m.from, m.to) {
		return
	}
	n := f.nodes[m.to]
	if !m.digest {
		// A node that restarted meanwhile gets messages meant for the one before it.
		require.NoError(t, n.Merge(m.body))
		return
	}
	budget := rapid.IntRange(900, 1600).Draw(t, "budget")
	d := n.Delta(m.body, budget)
	require.LessOrEqual(t, len(d), budget)
	if d != nil {
		f.way = append(f.way, message{from: m.to, to: m.from, body: d})
	}
}

// check: what each node serves is exactly the state of one revision, and no number falls.
func (f *fleet) check(t *rapid.T) {
	for i, n := range f.nodes {
		s := n.Current()
		require.Equal(t, entries(f.src.at(s.Revision)), entries(s.State), "node %d at revision %d", i, s.Revision)
		for th, e := range f.seen[i].All() {
			require.GreaterOrEqual(t, s.State.TicketNumber(th), e.TicketNumber, "%s fell at node %d", th, i)
		}
		f.seen[i] = s.State
		for k, rec := range n.tail {
			require.Equal(t, s.Revision, rec.revision+uint64(len(n.tail)-1-k), "the tail of node %d has no gap", i)
		}
		st := n.Status()
		if !st.ConfirmedAt.IsZero() {
			require.GreaterOrEqual(t, s.Revision, f.acceptedBy(st.ConfirmedAt), "node %d counts as fresh", i)
		}
		require.Equal(t, st.Observed > st.Revision, !st.BehindSince.IsZero(), "node %d knows that it is behind", i)
	}
}

// acceptedBy returns the revision that the store had at an instant; the clock moves with each
// acceptance.
func (f *fleet) acceptedBy(at time.Time) uint64 { return uint64(at.Sub(start) / time.Second) }

// TestDistributionProperty: tickets are accepted while messages between nodes are lost, repeated and
// reordered, nodes restart and are cut off. A user of a node that mixes states would be routed by
// half a ticket; one whose node falls back would be sent to a data centre that had been taken out.
// Once exchanges resume, what was accepted is in force at every node after a bounded number of them.
func TestDistributionProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{clock: &clock{start}, src: newSource(), nodes: make([]*Replica, 4), seen: make([]*sageconfig.State, 4)}
		for i := range f.nodes {
			f.restart(i, t)
		}
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(f.way)-1).Draw(t, "message") }
		digest := func(t *rapid.T) {
			i, j := f.node(t), f.node(t)
			f.way = append(f.way, message{from: i, to: j, digest: true, body: f.nodes[i].Digest()})
		}
		deliver := func(t *rapid.T) {
			if len(f.way) == 0 {
				return
			}
			i := pick(t)
			m := f.way[i]
			if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
				f.way = append(f.way[:i], f.way[i+1:]...)
			}
			f.deliver(t, m)
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 3, rapid.ID[string]).Draw(t, "things")
				f.now = f.now.Add(time.Second)
				f.src.accept(t, rapid.SampledFrom([]int{0, 150, 1500}).Draw(t, "pad"), names...)
			},
			"fold":      func(t *rapid.T) { require.NoError(t, f.src.a.Compact(ctx)) },
			"watch":     func(t *rapid.T) { f.src.feed(t, f.nodes[f.node(t)], f.now) },
			"digest":    digest,
			"digest 2":  digest,
			"deliver":   deliver,
			"deliver 2": deliver,
			"exchange": func(t *rapid.T) {
				if i, j := f.node(t), f.node(t); !f.cut(i, j) {
					pull(t, f.nodes[i], f.nodes[j], 1200)
				}
			},
			"lose": func(t *rapid.T) {
				if len(f.way) > 0 {
					i := pick(t)
					f.way = append(f.way[:i], f.way[i+1:]...)
				}
			},
			"restart":   func(t *rapid.T) { f.restart(f.node(t), t) },
			"partition": func(*rapid.T) { f.split = !f.split },
			"":          f.check,
		})
		f.heal(t)
	})
}

// heal lets exchanges resume, in which one watcher reads the store again.
func (f *fleet) heal(t *rapid.T) {
	f.src.feed(t, f.nodes[0], f.now)
	want := uint64(len(f.src.log) - 1)
	const rounds = 120
	for round := range rounds {
		for i := range f.nodes {
			pull(t, f.nodes[i], f.nodes[(i+1)%len(f.nodes)], 1200)
		}
		if round%8 == 0 {
			f.check(t)
		}
	}
	for i, n := range f.nodes {
		require.Equal(t, want, n.Current().Revision, fmt.Sprintf("accepted is in force at node %d", i))
	}
}
