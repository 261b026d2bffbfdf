package sagemembers_test

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagemembers"
	"sagestand.example/sagestand/pkg/sagedrain"
	"sagestand.example/sagestand/pkg/sagemember"
)

type vmList []string

func (l vmList) ListVMs(context.Context) ([]string, error) { return l, nil }

func TestLifeOfAProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &sagemember.Table{Self: sagemember.Node{Address: "10.0.0.1:7000", DataCentre: "derby"}, Limits: sagemember.DefaultLimits()}
		require.NoError(t, tab.Start())
		var ready atomic.Bool
		var nudges atomic.Int64
		s := &sagemembers.Service{
			Table: tab, HeartbeatPeriod: time.Second, Seeds: []string{"10.0.0.7:7000"}, VMs: vmList{"10.0.0.9", "10.0.0.8:80", "10.0.0.1", "junk"},
			Ready: ready.Load, Revision: func() uint64 { return 12 }, Load: func() int64 { return 3 },
			TriggerExchange: func() { nudges.Add(1) }, Drain: sagedrain.Machine{AnswerTTL: 5 * time.Second, PropagationDelay: 10 * time.Second},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Run(ctx) }()
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, []string{"10.0.0.7:7000", "10.0.0.8:7000", "10.0.0.9:7000"}, tab.Urgent(), "hints take the own port")
		require.Equal(t, sagemember.Starting, tab.LocalNode().Phase, "without configuration it is not named")
		require.Equal(t, []uint64{4, 12, 3}, []uint64{tab.LocalNode().Counter, tab.LocalNode().Revision, uint64(tab.LocalNode().Load)})

		ready.Store(true)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, sagemember.Serving, tab.LocalNode().Phase)
		require.EqualValues(t, 1, nudges.Load())
		now := time.Now()
		require.Equal(t, now.Add(15*time.Second), s.Leave(now))
		require.Equal(t, now.Add(15*time.Second), s.Leave(now.Add(time.Second)), "the deadline is stated once")
		require.Equal(t, sagemember.Leaving, tab.LocalNode().Phase)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, nil)
		require.Contains(t, w.Body.String(), `"phase_name":"leaving","state_name":"alive"`)

		cancel()
		require.NoError(t, <-done)
		require.Equal(t, sagemember.Gone, tab.LocalNode().Phase)
	})
}
