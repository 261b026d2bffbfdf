package sagelocate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sagestand.example/sagestand/pkg/sagelocate"
)

func vmsOf(n, dcs int) []sagelocate.VM {
	vms := make([]sagelocate.VM, n)
	for i := range vms {
		vms[i] = sagelocate.VM{Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), DataCentre: fmt.Sprintf("dc%d", i%dcs)}
	}
	return vms
}

// A VM is replaced, and millions of chats elsewhere lose their warm caches as well. Cause: the
// account's subset was drawn anew over the VMs that were left.
func TestOnlyChatsOfTheDepartedVMMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := sagelocate.Ranker{Slots: rapid.IntRange(1, 12).Draw(t, "slots"), Count: 3}
		vms := vmsOf(rapid.IntRange(2, 60).Draw(t, "vms"), rapid.IntRange(1, 4).Draw(t, "dcs"))
		gone := rapid.IntRange(0, len(vms)-1).Draw(t, "gone")
		left := append(append([]sagelocate.VM(nil), vms[:gone]...), vms[gone+1:]...)
		q := sagelocate.Query{Account: rapid.StringMatching("[a-z]{1,6}").Draw(t, "account")}
		if rapid.Bool().Draw(t, "near") {
			q.DataCentre = "dc0"
		}
		for c := range 50 {
			q.Chat = fmt.Sprint(c)
			before, after := r.Rank(q, vms)[0], r.Rank(q, left)[0]
			if before != after && before != vms[gone].Address {
				t.Fatalf("chat %d moved from %s to %s, but %s departed", c, before, after, vms[gone].Address)
			}
		}
	})
}

// An account that breaks what it touches must not reach every VM.
func TestAccountStaysWithinItsSlots(t *testing.T) {
	r, vms := sagelocate.DefaultRanker(), vmsOf(45, 1)
	for a := range 50 {
		seen := make(map[string]bool)
		for c := range 300 {
			for _, addr := range r.Rank(sagelocate.Query{Account: fmt.Sprint(a), Chat: fmt.Sprint(c)}, vms) {
				seen[addr] = true
			}
		}
		require.LessOrEqual(t, len(seen), r.Slots)
		require.GreaterOrEqual(t, len(seen), r.Slots/2)
	}
}

func TestNearFirstAndOneElsewhere(t *testing.T) {
	r, vms := sagelocate.DefaultRanker(), vmsOf(12, 3)
	dcOf := make(map[string]string)
	for _, v := range vms {
		dcOf[v.Address] = v.DataCentre
	}
	for c := range 100 {
		list := r.Rank(sagelocate.Query{Account: "haller", Chat: fmt.Sprint(c), DataCentre: "dc1"}, vms)
		require.Len(t, list, 3)
		require.Equal(t, []string{"dc1", "dc1"}, []string{dcOf[list[0]], dcOf[list[1]]})
		require.NotEqual(t, "dc1", dcOf[list[2]])
	}
	require.Len(t, r.Rank(sagelocate.Query{Account: "a", DataCentre: "nowhere"}, vms), 3)
	require.Empty(t, r.Rank(sagelocate.Query{Account: "a"}, nil))
	require.Equal(t, []string{vms[0].Address}, r.Rank(sagelocate.Query{Account: "a"}, vms[:1]))
}

// A few accounts surge and their VMs drown while others idle. Cause: hashing alone has no bound.
func TestLoadedAndSuspectedGoLast(t *testing.T) {
	r, vms := sagelocate.DefaultRanker(), vmsOf(8, 1)
	q := sagelocate.Query{Account: "a", Chat: "c"}
	first := r.Rank(q, vms)[0]
	for i := range vms {
		vms[i].Load = 100
		if vms[i].Address == first {
			vms[i].Load = 400
		}
	}
	require.NotContains(t, r.Rank(q, vms), first)
	r.LoadBound = 0
	require.Equal(t, first, r.Rank(q, vms)[0])
	for i := range vms {
		vms[i].Suspect = vms[i].Address == first
	}
	require.NotContains(t, r.Rank(q, vms), first)
	for i := range vms {
		vms[i].Suspect = true
	}
	require.Len(t, r.Rank(q, vms), 3, "better a suspect than nobody")
}

func TestAnswerChecksItself(t *testing.T) {
	a, err := sagelocate.DecodeAnswer([]byte(`{"addresses":["10.0.0.1:80"],"valid_until":"2027-01-01T00:00:00Z","revision":4}`))
	require.NoError(t, err)
	require.EqualValues(t, 4, a.Revision)
	for _, bad := range []string{`{`, `{"addresses":[],"valid_until":"2027-01-01T00:00:00Z"}`, `{"addresses":["a:1"]}`} {
		_, err := sagelocate.DecodeAnswer([]byte(bad))
		require.ErrorIs(t, err, sagelocate.ErrBadAnswer, bad)
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{8, 50, 150, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, vms := sagelocate.DefaultRanker(), vmsOf(n, 9)
			for b.Loop() {
				r.Rank(sagelocate.Query{Account: "trentvale", Chat: "c", DataCentre: "dc3"}, vms)
			}
		})
	}
}

func ExampleRanker_Rank() {
	vms := []sagelocate.VM{{Address: "10.0.0.1:80"}, {Address: "10.0.0.2:80"}}
	r := sagelocate.DefaultRanker()
	q := sagelocate.Query{Account: "trentvale", Chat: "c1"}
	fmt.Println(r.Rank(q, vms))
	fmt.Println(r.Rank(q, vms[:1]))
	// Output:
	// [10.0.0.2:80 10.0.0.1:80]
	// [10.0.0.1:80]
}
