package sageticket

import (
	"context"
	"maps"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
)

var ctx = context.Background()

func TestSubmitVerdicts(t *testing.T) {
	forced := ticket(9, dc("derby", false))
	forced.Force = true
	long := ticket(9, dc("derby", true))
	long.Reason = strings.Repeat("x", sageconfig.MaxTicketBytes)
	other := ticket(1, dc("derby", false))
	for _, c := range []struct {
		name string
		t    *sageconfig.Ticket
		want error
	}{
		{"newer", ticket(9, dc("leeds", true)), nil},
		{"same again", served(), nil},
		{"same number, other content", other, ErrContentMismatch},
		{"same number, content of other things", ticket(1, dc("york", true)), ErrContentMismatch},
		{"one of two things is older", ticket(4, dc("leeds", true), dc("hull", true)), ErrSuperseded},
		{"no number", ticket(0, dc("derby", true)), sageconfig.ErrInvalidTicket},
		{"nothing", ticket(9), sageconfig.ErrInvalidTicket},
		{"thing twice", ticket(9, dc("york", true), dc("york", false)), sageconfig.ErrInvalidTicket},
		{"oversized", long, sageconfig.ErrInvalidTicket},
		{"unknown data centre", ticket(9, upstream("e2", "nowhere")), sageconfig.ErrUnknownReference},
		{"unknown upstream", ticket(9, set("s2", "e9")), sageconfig.ErrUnknownReference},
		{"unknown set", ticket(9, route("r2", "s9")), sageconfig.ErrUnknownReference},
		{"last data centre out", ticket(9, dc("derby", false)), sageconfig.ErrNoUpstream},
		{"last data centre out, forced", forced, nil},
	} {
		for _, folded := range []bool{false, true} {
			f := newFaults()
			a := &Acceptor{Store: f}
			mustSubmit(t, a, served(), ticket(5, dc("hull", true)))
			if folded {
				require.NoError(t, a.Compact(ctx))
				for n := uint64(100); n < 100+DefaultKeepRecords+1; n++ {
					mustSubmit(t, a, ticket(n, dc("filler", true)))
				}
				require.NoError(t, a.Compact(ctx))
				h, _, err := ReadHead(ctx, f)
				require.NoError(t, err)
				require.Greater(t, h.FirstTailRevision(), uint64(2), "the first tickets have left the tail")
			}
			before, err := Load(ctx, f)
			require.NoError(t, err)
			_, err = a.Submit(ctx, c.t)
			if c.want == nil {
				assert.NoError(t, err, "%s, folded %v", c.name, folded)
				continue
			}
			assert.ErrorIs(t, err, c.want, "%s, folded %v", c.name, folded)
			after, err := Load(ctx, f)
			require.NoError(t, err)
			assert.Equal(t, maps.Collect(before.State.All()), maps.Collect(after.State.All()), "%s: nothing is applied", c.name)
		}
	}
}

// An operator takes a data centre out; the answer of the store is lost, though the update took
// effect. If the ticket were called refused, the operator would hand in another plan while this one
// is in force everywhere.
func TestSubmitLostAnswer(t *testing.T) {
	f := newFaults()
	a := &Acceptor{Store: f}
	mustSubmit(t, a, served())
	f.lose = f.puts + 1
	acc, err := a.Submit(ctx, ticket(2, dc("leeds", true)))
	require.NoError(t, err)
	assert.Equal(t, uint64(2), acc.Revision)

	f.mend()
	f.lose, f.blind = f.puts+1, true
	_, err = a.Submit(ctx, ticket(3, dc("york", true)))
	assert.ErrorIs(t, err, ErrOutcomeUnknown, "the read back fails too")
	f.mend()
	acc, err = a.Submit(ctx, ticket(3, dc("york", true)))
	require.NoError(t, err)
	assert.True(t, acc.Repeated)
	assert.Equal(t, uint64(3), acc.Revision)
}

// The answer is lost and the update had no effect yet; the repeat is refused since the store has gone
// away. The first update may still be under way, so the ticket must not be called "not accepted".
func TestSubmitLateEffect(t *testing.T) {
	f := newFaults()
	a := &Acceptor{Store: f}
	mustSubmit(t, a, served())
	late := &delayedPut{faults: f}
	_, err := (&Acceptor{Store: late}).Submit(ctx, ticket(2, dc("leeds", true)))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	late.arrive()
	l, err := Load(ctx, f)
	require.NoError(t, err)
	_, in := l.State.DataCentre("leeds")
	assert.True(t, in, "the late update did take effect")
}

// The store is out: an operator needs the refusal at once, and nothing may come into force later.
func TestSubmitStoreDown(t *testing.T) {
	for _, reads := range []bool{false, true} {
		f := newFaults()
		a := &Acceptor{Store: f}
		mustSubmit(t, a, served())
		f.down = f.puts + 1
		if reads {
			f.crash = f.puts
		}
		calls := f.Calls()
		_, err := a.Submit(ctx, ticket(2, dc("leeds", true)))
		assert.ErrorIs(t, err, ErrNotAccepted)
		assert.LessOrEqual(t, f.Calls()["get"]-calls["get"], int64(2*NumShards), "no retries against a store that is out")
		f.mend()
		l, err := Load(ctx, f)
		require.NoError(t, err)
		assert.Equal(t, uint64(1), l.Head.Revision)
	}
}

// Operators at several nodes submit at once: each number keeps one content, and each accepted
// ticket has its own revision.
func TestSubmitRace(t *testing.T) {
	f := new(sageobject.Memory)
	const operators = 8
	var wg sync.WaitGroup
	errs := make([]error, operators)
	for i := range operators {
		wg.Go(func() {
			a := &Acceptor{Store: f}
			// Two operators each choose the same number, with other content.
			_, errs[i] = a.Submit(ctx, ticket(uint64(10+i/2), dc("dc-"+string(rune('a'+i)), true)))
		})
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		assert.ErrorIs(t, err, ErrContentMismatch)
	}
	assert.Equal(t, operators/2, won)
	l, err := Load(ctx, f)
	require.NoError(t, err)
	assert.Equal(t, uint64(operators/2), l.Head.Revision)
	assert.Equal(t, operators/2, l.State.Len())
}

// The platform's operators put the store back to an old copy. A ticket accepted on top of it would
// get a revision that the nodes are past, and never come into force.
func TestSubmitOnOldStore(t *testing.T) {
	f := newFaults()
	mustSubmit(t, &Acceptor{Store: f}, served())
	l, err := Load(ctx, f)
	require.NoError(t, err)
	a := &Acceptor{Store: f, BaseState: func() (uint64, *sageconfig.State) { return 7, l.State }}
	puts := f.puts
	_, err = a.Submit(ctx, ticket(9, dc("leeds", true)))
	require.ErrorIs(t, err, ErrNotAccepted)
	assert.Equal(t, puts, f.puts, "nothing is written")
}
