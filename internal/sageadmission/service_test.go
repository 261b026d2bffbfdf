package sageadmission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagewire"
)

// fakeLoad gives out a number of slots and is at the same time the configuration.
type fakeLoad struct {
	state *sageconfig.State
	slots atomic.Int64
}

func (f *fakeLoad) State() *sageconfig.State                  { return f.state }
func (f *fakeLoad) Revision() uint64                          { return 1 }
func (f *fakeLoad) Serving(time.Time, bool) *sagewire.Refusal { return nil }
func (f *fakeLoad) Slots([]string, int) int                   { return int(f.slots.Load()) }

func newService(slots int) (*Service, *fakeLoad) {
	f := &fakeLoad{state: sageconfig.NewState()}
	f.slots.Store(int64(slots))
	f.state.ApplyTicket(&sageconfig.Ticket{Number: 1, Changes: []sageconfig.Change{
		{Key: sageconfig.EntryKey{Kind: sageconfig.KindRoute, Name: "assist"}, Route: &sageconfig.Route{Kind: sageconfig.RouteChat, UpstreamSet: "engines"}},
		{Key: sageconfig.EntryKey{Kind: sageconfig.KindUpstreamSet, Name: "engines"}, UpstreamSet: &sageconfig.UpstreamSet{Upstreams: []string{"e1"}}},
	}})
	return &Service{Config: f, Load: f, MaxInFlight: 100, MaxQueued: 100}, f
}

func request(account string) *sageentry.Request {
	return &sageentry.Request{Account: account, Route: "assist", Kind: sageconfig.RouteChat, Priority: sagewire.Normal, Deadline: time.Now().Add(time.Minute)}
}

// Story: callers of a node that has just started are refused although it gets its first units
// seconds later, and those that wait in the queue are never told that slots came.
func TestWaitsForUnits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newService(0)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Run(ctx) }()
		admitted := make(chan func(), 3)
		for range 3 {
			go func() {
				release, ref := s.Admit(ctx, request("a"))
				if ref == nil {
					admitted <- release
				}
			}()
		}
		time.Sleep(2 * time.Second)
		require.Empty(t, admitted)
		f.slots.Store(1)
		time.Sleep(time.Second)
		require.Len(t, admitted, 1)
		f.slots.Store(2)
		time.Sleep(time.Second)
		require.Len(t, admitted, 2, "the allotment has grown")
		(<-admitted)()
		time.Sleep(time.Second)
		require.Len(t, admitted, 2, "an ended request makes room for the next")
		cancel()
	})
}

func TestCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newService(1)
		release, ref := s.Admit(t.Context(), request("a"))
		require.Nil(t, ref)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, ref = s.Admit(ctx, request("a"))
		require.Equal(t, sagewire.ReasonDeadline, ref.Reason)
		require.Equal(t, sagewire.NotRun, ref.Outcome)
		release()
		release()
		_, ref = s.Admit(t.Context(), request("a"))
		require.Nil(t, ref, "the slot is free, once")
		late := request("a")
		late.Deadline = time.Now()
		_, ref = s.Admit(t.Context(), late)
		require.Equal(t, sagewire.ReasonDeadline, ref.Reason)
	})
}

func TestUnknownRouteIsAdmitted(t *testing.T) {
	s, _ := newService(0)
	r := request("a")
	r.Route = "none"
	release, ref := s.Admit(t.Context(), r)
	require.Nil(t, ref)
	release()
}

func BenchmarkAdmit(b *testing.B) {
	s, _ := newService(10)
	r := request("a")
	r.Deadline = time.Now().Add(time.Hour)
	for b.Loop() {
		release, _ := s.Admit(b.Context(), r)
		release()
	}
}
