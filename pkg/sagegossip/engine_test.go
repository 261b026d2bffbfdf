package sagegossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagegossip"
)

// counter is a section that holds the greatest byte it has seen. Its peer may make it panic.
type counter struct {
	name  string
	value byte
	pad   int
}

func (c *counter) Name() string   { return c.name }
func (c *counter) Digest() []byte { return []byte{c.value} }

func (c *counter) Delta(digest []byte, budget int) []byte {
	if len(digest) > 0 && digest[0] >= c.value {
		return nil
	}
	return append([]byte{c.value}, make([]byte, min(c.pad, budget-1))...)
}

func (c *counter) Merge(delta []byte) error {
	if delta[0] > 200 { // panics on an empty delta
		return fmt.Errorf("value %d above 200", delta[0])
	}
	c.value = max(c.value, delta[0])
	return nil
}

// link is a caller that hands messages straight to the peer's engine.
type link map[string]*sagegossip.Engine

func (l link) Meet(_ context.Context, addr string, digests []sagegossip.Part) (_, _ []sagegossip.Part, err error) {
	return l[addr].Answer(digests)
}

func (l link) Push(_ context.Context, addr string, deltas []sagegossip.Part) error {
	return l[addr].Merge(deltas)
}

func TestExchangeBringsBothUpToDate(t *testing.T) {
	a, b := &counter{name: "x", value: 1}, &counter{name: "x", value: 7}
	c, d := &counter{name: "y", value: 9}, &counter{name: "y", value: 2}
	ea := &sagegossip.Engine{Sections: []sagegossip.Section{a, c}, Budget: 100}
	eb := &sagegossip.Engine{Sections: []sagegossip.Section{b, d}, Budget: 100}
	require.NoError(t, ea.Exchange(t.Context(), link{"b": eb}, "b"))
	require.Equal(t, []byte{7, 7, 9, 9}, []byte{a.value, b.value, c.value, d.value})
}

// A node runs a version whose section sends an empty delta. Every node that meets it crashes, is
// restarted, meets it again. Cause: a panic in one section ended the process.
func TestPanicOfOneSectionIsContained(t *testing.T) {
	bad, good := &counter{name: "bad"}, &counter{name: "good"}
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
	a, b := &counter{name: "a", value: 1, pad: 1000}, &counter{name: "b", value: 1, pad: 1000}
	e := &sagegossip.Engine{Sections: []sagegossip.Section{a, b}, Budget: 600}
	d := e.Deltas([]sagegossip.Part{{Section: "a"}, {Section: "b"}})
	require.Len(t, d, 1)
	require.Len(t, d[0].Data, 600)
}

// chooserOf returns the chooser of node i of n in dcs data centres, and the others as its peers.
func chooserOf(i, n, dcs int) (*sagegossip.Chooser, []sagegossip.Peer) {
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

// Every pair of data centres stays in touch, and at most half of a node's exchanges leave its own.
func TestChooserKeepsDataCentresInTouch(t *testing.T) {
	for _, size := range []struct{ n, dcs int }{{8, 4}, {9, 9}, {50, 3}, {100, 9}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			pairs := make(map[string]bool)
			for i := range size.n {
				c, peers := chooserOf(i, size.n, size.dcs)
				dcOf := make(map[string]string)
				for _, p := range peers {
					dcOf[p.Address] = p.DataCentre
				}
				const rounds = 40
				far := 0
				for range rounds {
					a, ok := c.Next(peers, nil)
					require.True(t, ok)
					if dcOf[a] != c.Self.DataCentre {
						far++
						pairs[c.Self.DataCentre+dcOf[a]] = true
					}
				}
				if size.n > size.dcs {
					require.LessOrEqual(t, far, rounds/2)
				}
			}
			require.Len(t, pairs, size.dcs*(size.dcs-1))
		})
	}
}

// A rack of twenty nodes dies. The nodes that are left try nothing but its addresses, and their
// own heartbeats reach nobody. Cause: urgent addresses took every round.
func TestUrgentAddressesLeaveRoundsToTheRest(t *testing.T) {
	c, peers := chooserOf(0, 8, 2)
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
	c, peers := chooserOf(0, 400, 9)
	for b.Loop() {
		c.Next(peers, nil)
	}
}

func ExampleEngine_Exchange() {
	a, b := &counter{name: "x", value: 1}, &counter{name: "x", value: 7}
	ea := &sagegossip.Engine{Sections: []sagegossip.Section{a}, Budget: 100}
	eb := &sagegossip.Engine{Sections: []sagegossip.Section{b}, Budget: 100}
	err := ea.Exchange(context.Background(), link{"b": eb}, "b")
	fmt.Println(a.value, b.value, err)
	// Output: 7 7 <nil>
}
