package sageorders

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagelease"
	"sagestand.example/sagestand/pkg/sageobject"
)

type fixedConfig struct{ state *sageconfig.State }

func (f *fixedConfig) State() *sageconfig.State { return f.state }

// roundTripper passes requests to the engine with the given address, in the caller's goroutine.
type roundTripper map[string]http.Handler

func (m roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	h, ok := m[r.URL.Host]
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

func testState(checks bool) *sageconfig.State {
	s := sageconfig.NewState()
	add := func(n uint64, c sageconfig.Change) { s.Apply(sageconfig.Entry{TicketNumber: n, Change: c}) }
	add(1, sageconfig.Change{Key: sageconfig.EntryKey{Kind: sageconfig.KindUpstream, Name: "e1"}, Upstream: &sageconfig.Upstream{Kind: sageconfig.Engine, Address: "e1:1", DataCentre: "derby", MaxInFlight: 1, ChecksFencing: checks}})
	add(2, sageconfig.Change{Key: sageconfig.EntryKey{Kind: sageconfig.KindOrder, Name: "old"}, Order: &sageconfig.Order{Upstream: "e1", Role: "old"}})
	add(3, sageconfig.Change{Key: sageconfig.EntryKey{Kind: sageconfig.KindOrder, Name: "new"}, Order: &sageconfig.Order{Upstream: "e1", Role: "decode", Drain: true}})
	add(4, sageconfig.Change{Key: sageconfig.EntryKey{Kind: sageconfig.KindOrder, Name: "gone"}, Order: &sageconfig.Order{Upstream: "nobody"}})
	return s
}

func node(st sageobject.Store, name string, checks bool, engines roundTripper) *Service {
	return &Service{
		Config: &fixedConfig{testState(checks)}, HTTP: &http.Client{Transport: engines},
		Lease: &sagelease.Elector{Store: st, Key: "lease/orders", Holder: name, Term: 10 * time.Second, Margin: 3 * time.Second, MaxDeliveryDelay: 5 * time.Second},
	}
}

// Prevents a stale order from a node that was paused until its lease expired and another node took over. The fencing
// numbers of the orders that an engine receives must never decrease.
func TestOrdersOverAPause(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := &sagestandin.Engine{Name: "e1", Slots: 1, ChecksFencing: checks}
			engines := roundTripper{"e1:1": e.Handler()}
			st := &sageobject.Memory{}
			a, b := node(st, "a", checks, engines), node(st, "b", checks, engines)
			require.NoError(t, a.Lease.AcquireOrRenew(t.Context()))
			require.NoError(t, b.Lease.AcquireOrRenew(t.Context()))
			a.Apply(t.Context(), time.Now())
			wait := time.Duration(0)
			if !checks {
				_, log := e.CurrentOrder()
				assert.Empty(t, log, "the first holder must wait until orders of an unknown predecessor have expired")
				wait = a.Lease.MaxDeliveryDelay
			}
			time.Sleep(wait)
			a.Apply(t.Context(), time.Now())
			b.Apply(t.Context(), time.Now())
			o, log := e.CurrentOrder()
			assert.Equal(t, sagestandin.Order{Fencing: 1, Role: "decode", Drain: true}, o)
			assert.Equal(t, []int64{1}, log)

			paused := time.Now()
			time.Sleep(11 * time.Second)
			require.NoError(t, b.Lease.AcquireOrRenew(t.Context()))
			time.Sleep(b.Lease.MaxDeliveryDelay)
			b.Apply(t.Context(), time.Now())
			a.sent = nil
			a.Apply(t.Context(), paused)
			assert.Error(t, a.send(t.Context(), &newestOrders(testState(checks))[0]), "the lease must be checked again before sending")
			_, log = e.CurrentOrder()
			assert.Equal(t, []int64{1, 2}, log)
		})
	}
}

// An engine loses its order when it restarts, so orders must be resent at each resendInterval, and no more often.
func TestOrdersAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &sagestandin.Engine{Name: "e1", Slots: 1}
		s := node(&sageobject.Memory{}, "a", true, roundTripper{"e1:1": e.Handler()})
		ctx, cancel := context.WithTimeout(t.Context(), 2*resendInterval+resendInterval/2)
		defer cancel()
		require.NoError(t, s.Run(ctx))
		_, log := e.CurrentOrder()
		assert.Len(t, log, 3)
	})
}

// An engine that was unreachable must get its order once it is reachable. A node must relinquish the lease when an
// engine has seen a higher fencing number.
func TestFailedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &sagestandin.Engine{Name: "e1", Slots: 1, ChecksFencing: true}
		engines := roundTripper{}
		s := node(&sageobject.Memory{}, "a", true, engines)
		require.NoError(t, s.Lease.AcquireOrRenew(t.Context()))
		s.Apply(t.Context(), time.Now())
		engines["e1:1"] = e.Handler()
		s.Apply(t.Context(), time.Now())
		_, log := e.CurrentOrder()
		assert.Equal(t, []int64{1}, log)
		high := node(&sageobject.Memory{}, "b", true, engines)
		high.Lease.Store = &sageobject.Memory{}
		_, err := high.Lease.Store.Put(t.Context(), "lease/orders", []byte(`{"holder":"z","fencing":8,"write":"z-1"}`), sageobject.NoVersion)
		require.NoError(t, err)
		require.NoError(t, high.Lease.AcquireOrRenew(t.Context()))
		time.Sleep(11 * time.Second)
		require.NoError(t, high.Lease.AcquireOrRenew(t.Context()))
		high.Apply(t.Context(), time.Now())
		require.NoError(t, s.Lease.AcquireOrRenew(t.Context()))
		s.sent = nil
		s.Apply(t.Context(), time.Now())
		_, err = s.Lease.Permit(time.Now(), true)
		require.ErrorIs(t, err, sagelease.ErrNotHeld)
		_, log = e.CurrentOrder()
		assert.Equal(t, []int64{1, 9}, log)
	})
}
