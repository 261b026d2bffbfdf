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

func TestSubmitResults(t *testing.T) {
	forced := ticket(9, dataCentre("derby", false))
	forced.Force = true
	oversized := ticket(9, dataCentre("derby", true))
	oversized.Reason = strings.Repeat("x", sageconfig.MaxTicketBytes)
	otherContent := ticket(1, dataCentre("derby", false))
	for _, c := range []struct {
		name string
		t    *sageconfig.Ticket
		want error
	}{
		{"newer", ticket(9, dataCentre("leeds", true)), nil},
		{"same ticket again", servedTicket(), nil},
		{"same number, other content", otherContent, ErrContentMismatch},
		{"same number, content for another entry", ticket(1, dataCentre("york", true)), ErrContentMismatch},
		{"one of two entries is older", ticket(4, dataCentre("leeds", true), dataCentre("hull", true)), ErrSuperseded},
		{"no number", ticket(0, dataCentre("derby", true)), sageconfig.ErrInvalidTicket},
		{"no changes", ticket(9), sageconfig.ErrInvalidTicket},
		{"same entry twice", ticket(9, dataCentre("york", true), dataCentre("york", false)), sageconfig.ErrInvalidTicket},
		{"oversized", oversized, sageconfig.ErrInvalidTicket},
		{"unknown data centre", ticket(9, upstream("e2", "nowhere")), sageconfig.ErrUnknownReference},
		{"unknown upstream", ticket(9, upstreamSet("s2", "e9")), sageconfig.ErrUnknownReference},
		{"unknown set", ticket(9, route("r2", "s9")), sageconfig.ErrUnknownReference},
		{"last data centre out", ticket(9, dataCentre("derby", false)), sageconfig.ErrNoUpstream},
		{"last data centre out, forced", forced, nil},
	} {
		for _, compacted := range []bool{false, true} {
			store := newFaultyStore()
			a := &Acceptor{Store: store}
			mustSubmit(t, a, servedTicket(), ticket(5, dataCentre("hull", true)))
			if compacted {
				require.NoError(t, a.Compact(ctx))
				for n := uint64(100); n < 100+DefaultKeepRecords+1; n++ {
					mustSubmit(t, a, ticket(n, dataCentre("filler", true)))
				}
				require.NoError(t, a.Compact(ctx))
				h, _, err := ReadHead(ctx, store)
				require.NoError(t, err)
				require.Greater(t, h.FirstTailRevision(), uint64(2), "the first tickets have left the tail")
			}
			before, err := Load(ctx, store)
			require.NoError(t, err)
			_, err = a.Submit(ctx, c.t)
			if c.want == nil {
				assert.NoError(t, err, "%s, compacted %v", c.name, compacted)
				continue
			}
			assert.ErrorIs(t, err, c.want, "%s, compacted %v", c.name, compacted)
			after, err := Load(ctx, store)
			require.NoError(t, err)
			assert.Equal(t, maps.Collect(before.State.All()), maps.Collect(after.State.All()), "%s: nothing is applied", c.name)
		}
	}
}

// An operator takes a data centre out of service, and the response of the store is lost although the
// update took effect. If Submit reported a rejection, the operator would submit another ticket while the
// first is in force.
func TestSubmitLostResponse(t *testing.T) {
	store := newFaultyStore()
	a := &Acceptor{Store: store}
	mustSubmit(t, a, servedTicket())
	store.loseResponse = store.puts + 1
	accepted, err := a.Submit(ctx, ticket(2, dataCentre("leeds", true)))
	require.NoError(t, err)
	assert.Equal(t, uint64(2), accepted.Revision)

	store.clearFaults()
	store.loseResponse, store.failReadBack = store.puts+1, true
	_, err = a.Submit(ctx, ticket(3, dataCentre("york", true)))
	assert.ErrorIs(t, err, ErrOutcomeUnknown, "the read back fails too")
	store.clearFaults()
	accepted, err = a.Submit(ctx, ticket(3, dataCentre("york", true)))
	require.NoError(t, err)
	assert.True(t, accepted.Repeated)
	assert.Equal(t, uint64(3), accepted.Revision)
}

// The response is lost before the update takes effect, and the repeated update is rejected because the
// store is unavailable. The first update may still take effect, so the outcome must not be reported as
// "not accepted".
func TestSubmitLateEffect(t *testing.T) {
	store := newFaultyStore()
	a := &Acceptor{Store: store}
	mustSubmit(t, a, servedTicket())
	delayed := &delayedPut{faultyStore: store}
	_, err := (&Acceptor{Store: delayed}).Submit(ctx, ticket(2, dataCentre("leeds", true)))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	delayed.deliver()
	l, err := Load(ctx, store)
	require.NoError(t, err)
	_, found := l.State.DataCentre("leeds")
	assert.True(t, found, "the late update did take effect")
}

// While the store is unavailable, the operator must get the rejection immediately, and the ticket must
// not come into force later.
func TestSubmitStoreDown(t *testing.T) {
	for _, failReads := range []bool{false, true} {
		store := newFaultyStore()
		a := &Acceptor{Store: store}
		mustSubmit(t, a, servedTicket())
		store.refuse = store.puts + 1
		if failReads {
			store.crashFrom = store.puts
		}
		calls := store.Calls()
		_, err := a.Submit(ctx, ticket(2, dataCentre("leeds", true)))
		assert.ErrorIs(t, err, ErrNotAccepted)
		assert.LessOrEqual(t, store.Calls()["get"]-calls["get"], int64(2*NumShards), "no retries against a store that is out")
		store.clearFaults()
		l, err := Load(ctx, store)
		require.NoError(t, err)
		assert.Equal(t, uint64(1), l.Head.Revision)
	}
}

// Operators at several nodes submit concurrently: each number must keep one content, and each accepted
// ticket must get its own revision.
func TestSubmitRace(t *testing.T) {
	store := new(sageobject.Memory)
	const operators = 8
	var wg sync.WaitGroup
	errs := make([]error, operators)
	for i := range operators {
		wg.Go(func() {
			a := &Acceptor{Store: store}
			// Each number is used by two operators, with different contents.
			_, errs[i] = a.Submit(ctx, ticket(uint64(10+i/2), dataCentre("dc-"+string(rune('a'+i)), true)))
		})
	}
	wg.Wait()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		assert.ErrorIs(t, err, ErrContentMismatch)
	}
	assert.Equal(t, operators/2, accepted)
	l, err := Load(ctx, store)
	require.NoError(t, err)
	assert.Equal(t, uint64(operators/2), l.Head.Revision)
	assert.Equal(t, operators/2, l.State.Len())
}

// The store was restored from an old copy. A ticket accepted on top of it would get a revision that the
// nodes have passed, and never come into force.
func TestSubmitOnRestoredStore(t *testing.T) {
	store := newFaultyStore()
	mustSubmit(t, &Acceptor{Store: store}, servedTicket())
	l, err := Load(ctx, store)
	require.NoError(t, err)
	a := &Acceptor{Store: store, BaseState: func() (uint64, *sageconfig.State) { return 7, l.State }}
	puts := store.puts
	_, err = a.Submit(ctx, ticket(9, dataCentre("leeds", true)))
	require.ErrorIs(t, err, ErrNotAccepted)
	assert.Equal(t, puts, store.puts, "nothing is written")
}
