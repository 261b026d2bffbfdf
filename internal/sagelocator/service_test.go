package sagelocator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagelocator"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sagewire"
)

// view is a fixed view of the nodes with a configuration.
type view struct {
	nodes []sagemember.Node
	stale bool
	state *sageconfig.State
}

func (v *view) Live() []sagemember.Node  { return v.nodes }
func (v *view) Fresh() bool              { return !v.stale }
func (v *view) State() *sageconfig.State { return v.state }
func (v *view) Revision() uint64         { return 9 }

func node(entry, dc string, p sagemember.Phase) sagemember.Node {
	return sagemember.Node{Entry: entry, DataCentre: dc, Phase: p, State: sagemember.Alive}
}

// A VM that leaves, one that has no configuration yet, and one in a data centre taken out are named
// to callers, who are turned away there.
func TestLocateReturnsOnlyServingVMs(t *testing.T) {
	state := sageconfig.NewState()
	state.ApplyTicket(&sageconfig.Ticket{Number: 1, Changes: []sageconfig.Change{{
		Key: sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: "out"}, DataCentre: &sageconfig.DataCentre{},
	}}})
	v := &view{state: state, nodes: []sagemember.Node{
		node("a:1", "in", sagemember.Serving), node("b:1", "in", sagemember.Leaving), node("c:1", "in", sagemember.Starting),
		node("d:1", "out", sagemember.Serving), node("a:1", "in", sagemember.Serving),
	}}
	s := &sagelocator.Service{Members: v, Config: v, Ranker: sagelocate.DefaultRanker(), AnswerTTL: 30 * time.Second}
	now := time.Unix(1000, 0)
	a, ref := s.Locate(now, sagelocate.Query{Account: "x", Chat: "1"})
	require.Nil(t, ref)
	require.Equal(t, sagelocate.Answer{Addresses: []string{"a:1"}, ValidUntil: now.Add(30 * time.Second), Revision: 9}, a)

	v.nodes = v.nodes[3:4]
	a, ref = s.Locate(now, sagelocate.Query{Account: "x"})
	require.Nil(t, ref)
	require.Equal(t, []string{"d:1"}, a.Addresses, "better a VM of that data centre than none")

	v.nodes = nil
	_, ref = s.Locate(now, sagelocate.Query{Account: "x"})
	require.Equal(t, sagewire.NotRun, ref.Outcome)
	v.nodes, v.stale = []sagemember.Node{node("a:1", "in", sagemember.Serving)}, true
	_, ref = s.Locate(now, sagelocate.Query{Account: "x"})
	require.Equal(t, sagewire.ReasonStale, ref.Reason)
	require.Equal(t, now.Add(time.Second), ref.RetryAt)
}

// A VM is replaced at the same address. Its chats move away although it is up. Cause: the suspected
// old incarnation was taken for the VM.
func TestReplacedVMIsNotSuspect(t *testing.T) {
	old := node("a:1", "in", sagemember.Serving)
	old.State = sagemember.Suspect
	fresh, other := node("a:1", "in", sagemember.Serving), node("b:1", "in", sagemember.Serving)
	v := &view{}
	s := &sagelocator.Service{Members: v, Config: v, Ranker: sagelocate.DefaultRanker(), AnswerTTL: time.Second}
	first := func(nodes ...sagemember.Node) map[string]string {
		v.nodes = nodes
		got := make(map[string]string)
		for _, chat := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
			a, ref := s.Locate(time.Unix(1000, 0), sagelocate.Query{Account: "x", Chat: chat})
			require.Nil(t, ref)
			got[chat] = a.Addresses[0]
		}
		return got
	}
	want := first(fresh, other)
	require.Equal(t, want, first(old, fresh, other))
	require.Equal(t, want, first(fresh, old, other))
	require.NotEqual(t, want, first(old, other))
}
