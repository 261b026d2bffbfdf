package sageentry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sagewire"
)

// slowAdmission admits requests after a time.
type slowAdmission time.Duration

func (d slowAdmission) Admit(context.Context, *Request) (func(), *sagewire.Refusal) {
	time.Sleep(time.Duration(d))
	return func() {}, nil
}

// Prevents a leaving node from sending a booking that waited for admission when the stop began, and that it would abort.
func TestLeavingNodeRefusesQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeSteps{results: []sagedispatch.Result{{Outcome: sagewire.Complete}}}
		s := testService(f)
		for range 20 {
			s.recordDuration(&Request{Route: "orders", ArrivedAt: time.Now().Add(-8 * time.Second)})
		}
		s.Admission = slowAdmission(2 * time.Second)
		time.AfterFunc(time.Second, func() { s.setClosing(time.Now().Add(5*time.Second), time.Now().Add(10*time.Second)) })
		w := call(s, "POST", "/v1/services/orders/x", "", sagewire.HeaderDeadline, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
		require.Empty(t, f.attempts, "sent 9 s before the stop; requests of the route take 8 s")
		require.Equal(t, 503, w.Code)
	})
}
