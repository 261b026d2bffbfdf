package sagegossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagegossip"
)

// maxSection is a section that holds the greatest byte it has received. It panics on an empty delta.
type maxSection struct {
	name  string
	value byte
	pad   int
}

func (s *maxSection) Name() string   { return s.name }
func (s *maxSection) Digest() []byte { return []byte{s.value} }

func (s *maxSection) Delta(digest []byte, budget int) []byte {
	if len(digest) > 0 && digest[0] >= s.value {
		return nil
	}
	return append([]byte{s.value}, make([]byte, min(s.pad, budget-1))...)
}

func (s *maxSection) Merge(delta []byte) error {
	if delta[0] > 200 {
		return fmt.Errorf("value %d above 200", delta[0])
	}
	s.value = max(s.value, delta[0])
	return nil
}

// directTransport is a [sagegossip.Transport] that calls the peer's engine directly.
type directTransport map[string]*sagegossip.Engine

func (d directTransport) Meet(_ context.Context, addr string, digests []sagegossip.Part) (_, _ []sagegossip.Part, err error) {
	return d[addr].Answer(digests)
}

func (d directTransport) Push(_ context.Context, addr string, deltas []sagegossip.Part) error {
	return d[addr].Merge(deltas)
}

func TestExchangeSynchronizesBothNodes(t *testing.T) {
	a, b := &maxSection{name: "x", value: 1}, &maxSection{name: "x", value: 7}
	c, d := &maxSection{name: "y", value: 9}, &maxSection{name: "y", value: 2}
	ea := &sagegossip.Engine{Sections: []sagegossip.Section{a, c}, Budget: 100}
	eb := &sagegossip.Engine{Sections: []sagegossip.Section{b, d}, Budget: 100}
	require.NoError(t, ea.Exchange(t.Context(), directTransport{"b": eb}, "b"))
	require.Equal(t, []byte{7, 7, 9, 9}, []byte{a.value, b.value, c.value, d.value})
}

// A node runs a version that sends an empty delta. Without the recover, every node that contacts it would crash,
// and crash again after each restart.
func TestPanicOfOneSectionIsContained(t *testing.T) {
	bad, good := &maxSection{name: "bad"}, &maxSection{name: "good"}
	e := &sagegossip.Engine{Sections: []sagegossip.Section{bad, good}, Budget: 100}
	err := e.Merge([]sagegossip.Part{{Section: "bad"}, {Section: "good", Data: []byte{5}}})
	require.ErrorIs(t, err, sagegossip.ErrPanic)
	require.Equal(t, byte(5), good.value)
	require.EqualValues(t, 1, e.Panics())

	err = e.Merge([]sagegossip.Part{{Section: "bad", Data: []byte{201}}, {Section: "good", Data: []byte{6}}})
	require.ErrorIs(t, err, sagegossip.ErrSection)
	require.Equal(t, byte(6), good.value)
	_, _, err = e.Answer(make([]sagegossip.Part, sagegossip.MaxParts+1))
	require.ErrorIs(t, err, sagegossip.ErrTooManyParts)
}

func TestBudgetIsSharedInOrder(t *testing.T) {
	a, b := &maxSection{name: "a", value: 1, pad: 1000}, &maxSection{name: "b", value: 1, pad: 1000}
	e := &sagegossip.Engine{Sections: []sagegossip.Section{a, b}, Budget: 600}
	d := e.Deltas([]sagegossip.Part{{Section: "a"}, {Section: "b"}})
	require.Len(t, d, 1)
	require.Len(t, d[0].Data, 600)
}

// newChooser returns the chooser of node i of n nodes in dcs data centres, and the other nodes as its peers.
func newChooser(i, n, dcs int) (*sagegossip.Chooser, []sagegossip.Peer) {
	var self sagegossip.Peer
	var peers []sagegossip.Peer
	for j := range n {
		p := sagegossip.Peer{Address: fmt.Sprintf("10.0.%d.%d:70", j/200, j%200), DataCentre: fmt.Sprintf("dc%d", j%dcs)}
		if j == i {
			self = p
			continue
		}
		peers = append(peers, p)
	}
	return &sagegossip.Chooser{Self: self, Rand: rand.New(rand.NewPCG(1, uint64(i)))}, peers
}

// Every pair of data centres exchanges state, and at most half of a node's exchanges leave its own data centre.
func TestChooserConnectsDataCentres(t *testing.T) {
	for _, size := range []struct{ n, dcs int }{{8, 4}, {9, 9}, {50, 3}, {100, 9}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			pairs := make(map[string]bool)
			for i := range size.n {
				c, peers := newChooser(i, size.n, size.dcs)
				dcOf := make(map[string]string)
				for _, p := range peers {
					dcOf[p.Address] = p.DataCentre
				}
				const rounds = 40
				remote := 0
				for range rounds {
					a, ok := c.Next(peers, nil)
					require.True(t, ok)
					if dcOf[a] != c.Self.DataCentre {
						remote++
						pairs[c.Self.DataCentre+dcOf[a]] = true
					}
				}
				if size.n > size.dcs {
					require.LessOrEqual(t, remote, rounds/2)
				}
			}
			require.Len(t, pairs, size.dcs*(size.dcs-1))
		})
	}
}

// After a rack of twenty nodes failed, their urgent addresses took every round, and the heartbeats of the other
// nodes reached no node.
func TestUrgentAddressesTakeEveryThirdRound(t *testing.T) {
	c, peers := newChooser(0, 8, 2)
	urgent := 0
	for range 30 {
		if a, _ := c.Next(peers, []string{"10.9.9.9:70"}); a == "10.9.9.9:70" {
			urgent++
		}
	}
	require.Equal(t, 10, urgent)
	a, ok := c.Next(nil, []string{"10.9.9.9:70"})
	require.True(t, ok)
	require.Equal(t, "10.9.9.9:70", a)
}

func BenchmarkChooser400(b *testing.B) {
	c, peers := newChooser(0, 400, 9)
	for b.Loop() {
		c.Next(peers, nil)
	}
}

func ExampleEngine_Exchange() {
	a, b := &maxSection{name: "x", value: 1}, &maxSection{name: "x", value: 7}
	ea := &sagegossip.Engine{Sections: []sagegossip.Section{a}, Budget: 100}
	eb := &sagegossip.Engine{Sections: []sagegossip.Section{b}, Budget: 100}
	err := ea.Exchange(context.Background(), directTransport{"b": eb}, "b")
	fmt.Println(a.value, b.value, err)
	// Output: 7 7 <nil>
}
