package sagesync

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sagestand.example/sagestand/pkg/sageconfig"
)

// message is a digest or delta on its way to a node.
type message struct {
	from, to int
	digest   bool
	body     []byte
}

// fleet holds a few replicas, the store, and the messages on their way between the replicas.
type fleet struct {
	*clock
	store       *testStore
	nodes       []*Replica
	lastServed  []*sageconfig.State // what each node served at the last check
	inFlight    []message
	partitioned bool // no messages between nodes 0 and 1 and the others
}

func (f *fleet) separated(a, b int) bool { return f.partitioned && (a < 2) != (b < 2) }

func (f *fleet) node(t *rapid.T) int { return rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node") }

func (f *fleet) restart(i int, t *rapid.T) {
	f.nodes[i] = &Replica{Now: f.Now, MaxTail: rapid.IntRange(1, 4).Draw(t, "tail")}
	f.lastServed[i] = sageconfig.NewState()
}

// deliver passes a message to its receiver, and sends the answer to a digest.
func (f *fleet) deliver(t *rapid.T, m message) {
	if f.separated(m.from, m.to) {
		return
	}
	n := f.nodes[m.to]
	if !m.digest {
		// A restarted node may receive messages meant for its earlier process.
		require.NoError(t, n.Merge(m.body))
		return
	}
	budget := rapid.IntRange(900, 1600).Draw(t, "budget")
	d := n.Delta(m.body, budget)
	require.LessOrEqual(t, len(d), budget)
	if d != nil {
		f.inFlight = append(f.inFlight, message{from: m.to, to: m.from, body: d})
	}
}

// check verifies that each node serves exactly the state of one revision, and that no ticket number
// goes back.
func (f *fleet) check(t *rapid.T) {
	for i, n := range f.nodes {
		s := n.Current()
		require.Equal(t, entries(f.store.stateAt(s.Revision)), entries(s.State), "node %d at revision %d", i, s.Revision)
		for key, e := range f.lastServed[i].All() {
			require.GreaterOrEqual(t, s.State.TicketNumber(key), e.TicketNumber, "the ticket number of %s went back at node %d", key, i)
		}
		f.lastServed[i] = s.State
		for k, rec := range n.tail {
			require.Equal(t, s.Revision, rec.revision+uint64(len(n.tail)-1-k), "the tail of node %d has no gap", i)
		}
		st := n.Status()
		if !st.ConfirmedAt.IsZero() {
			require.GreaterOrEqual(t, s.Revision, f.revisionAt(st.ConfirmedAt), "node %d may serve at its confirmed instant", i)
		}
		require.Equal(t, st.Observed > st.Revision, !st.BehindSince.IsZero(), "node %d records whether it is behind", i)
	}
}

// revisionAt returns the revision of the store at an instant: the clock advances a second with each
// acceptance.
func (f *fleet) revisionAt(at time.Time) uint64 { return uint64(at.Sub(start) / time.Second) }

// TestDistributionProperty accepts tickets while messages between nodes are lost, repeated and
// reordered, and nodes restart and are partitioned. A node that mixes states would route requests by a
// partially applied ticket; a node that goes back to an older state would send requests to a data
// centre that was taken out of service. Once exchanges resume, every node must apply the accepted
// tickets after a bounded number of exchanges.
func TestDistributionProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{clock: &clock{start}, store: newTestStore(), nodes: make([]*Replica, 4), lastServed: make([]*sageconfig.State, 4)}
		for i := range f.nodes {
			f.restart(i, t)
		}
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message") }
		digest := func(t *rapid.T) {
			i, j := f.node(t), f.node(t)
			f.inFlight = append(f.inFlight, message{from: i, to: j, digest: true, body: f.nodes[i].Digest()})
		}
		deliver := func(t *rapid.T) {
			if len(f.inFlight) == 0 {
				return
			}
			i := pick(t)
			m := f.inFlight[i]
			if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
				f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
			}
			f.deliver(t, m)
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 3, rapid.ID[string]).Draw(t, "things")
				f.now = f.now.Add(time.Second)
				f.store.accept(t, rapid.SampledFrom([]int{0, 150, 1500}).Draw(t, "pad"), names...)
			},
			"fold":      func(t *rapid.T) { require.NoError(t, f.store.acceptor.Compact(ctx)) },
			"watch":     func(t *rapid.T) { f.store.update(t, f.nodes[f.node(t)], f.now) },
			"digest":    digest,
			"digest 2":  digest,
			"deliver":   deliver,
			"deliver 2": deliver,
			"exchange": func(t *rapid.T) {
				if i, j := f.node(t), f.node(t); !f.separated(i, j) {
					exchange(t, f.nodes[i], f.nodes[j], 1200)
				}
			},
			"lose": func(t *rapid.T) {
				if len(f.inFlight) > 0 {
					i := pick(t)
					f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
				}
			},
			"restart":   func(t *rapid.T) { f.restart(f.node(t), t) },
			"partition": func(*rapid.T) { f.partitioned = !f.partitioned },
			"":          f.check,
		})
		f.checkConvergence(t)
	})
}

// checkConvergence runs exchanges without a partition, after one watcher has read the store again, and
// checks that all nodes hold the newest revision.
func (f *fleet) checkConvergence(t *rapid.T) {
	f.store.update(t, f.nodes[0], f.now)
	want := uint64(len(f.store.log) - 1)
	const rounds = 120
	for round := range rounds {
		for i := range f.nodes {
			exchange(t, f.nodes[i], f.nodes[(i+1)%len(f.nodes)], 1200)
		}
		if round%8 == 0 {
			f.check(t)
		}
	}
	for i, n := range f.nodes {
		require.Equal(t, want, n.Current().Revision, fmt.Sprintf("the newest revision is applied at node %d", i))
	}
}
