package sagerelay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagedrain"
	"sagestand.example/sagestand/pkg/sageroute"
)

// stoppableService returns a service of f, and a function that has its node leave with the given times until it closes and cuts.
func stoppableService(f *fakeFleet) (s *Service, leave func(closeIn, cutIn time.Duration)) {
	s = f.service()
	var closing atomic.Pointer[sagedrain.Closing]
	s.Closing = closing.Load
	return s, func(closeIn, cutIn time.Duration) {
		now := time.Now()
		closing.Store(&sagedrain.Closing{CertainFrom: now.Add(closeIn), CloseAt: now.Add(closeIn), CutAt: now.Add(cutIn)})
	}
}

// Prevents a leaving node from sending a request that waited for admission when the stop began, and that it would abort.
func TestLeavingNodeRefusesQueuedRequest(t *testing.T) {
	for _, tt := range []struct {
		name string
		wait time.Duration // for admission
	}{
		{"the stop begins while it waits", time.Second},
		{"the listener closes while it waits", 1200 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": delayed(2*time.Second, respond(200, sealHeader, "fine"))})
				s, leave := stoppableService(f)
				f.admit = func(*AdmitQuery) Admission {
					time.Sleep(tt.wait)
					return Admission{OK: true}
				}
				time.AfterFunc(500*time.Millisecond, func() { leave(600*time.Millisecond, 1500*time.Millisecond) })
				out := f.callOn(t.Context(), s, nil, "body")
				require.Empty(t, f.sent, "sent though its deadline is after the cut and nothing is known of its route")
				require.Equal(t, 503, out.Code)
			})
		})
	}
}

// Prevents a leaving node from sending a request that a peer refused to a second peer, although it would abort it.
func TestLeavingNodeTriesNoSecondPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ok := respond(200, sealHeader, "fine")
		env := newHopEnv(t, sageroute.Once, map[string]upstream{}, map[string]upstream{"b": ok})
		env.node.upstreams["p1"] = delayed(time.Second, respond(503, headerRelayRefusal+": "+string(RelayBusy)+"\r\n", ""))
		s, leave := stoppableService(env.node)
		time.AfterFunc(500*time.Millisecond, func() { leave(400*time.Millisecond, 1500*time.Millisecond) })
		out := env.node.callOn(t.Context(), s, nil, "body")
		require.Empty(t, env.peers["p2"].sent, "sent after the listener closed")
		require.Equal(t, 503, out.Code)
	})
}

// Prevents a leaving node from accepting a request of a route whose requests in progress have taken longer than what is left.
func TestLeavingNodeCountsRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ok := respond(200, sealHeader, "fine")
		run := 100 * time.Millisecond
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": func(c net.Conn, r *http.Request) { delayed(run, ok)(c, r) }})
		s, leave := stoppableService(f)
		for range usualRequests {
			require.Equal(t, 200, f.callOn(t.Context(), s, nil, "body").Code)
		}
		run = 3 * time.Second // the upstreams have become slow
		ended := make(chan callerResult, usualRequests)
		for range usualRequests {
			go func() { ended <- f.callOn(t.Context(), s, nil, "body") }()
		}
		time.Sleep(2 * time.Second)
		leave(500*time.Millisecond, time.Second)
		out := f.callOn(t.Context(), s, nil, "body")
		for range usualRequests {
			<-ended
		}
		require.Equal(t, 503, out.Code, "accepted beside 20 requests that have taken 2 s, 1 s before the cut")
	})
}

// Prevents a request that waits for admission at a leaving node from being cut without an answer, although it isn't executed.
func TestLeavingNodeAnswersQueuedRequestBeforeTheCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cutIn = time.Second
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": delayed(100*time.Millisecond, respond(200, sealHeader, "fine"))})
		s, leave := stoppableService(f)
		for range usualRequests {
			require.Equal(t, 200, f.callOn(t.Context(), s, nil, "body").Code)
		}
		f.neverAdmits = true
		leave(cutIn/2, cutIn)
		start := time.Now()
		go func() {
			for time.Since(start) < cutIn {
				s.RefuseWaiting()
				time.Sleep(cutIn / 10)
			}
		}()
		out := f.callOn(t.Context(), s, nil, "body")
		require.Equal(t, 503, out.Code)
		require.Equal(t, `{"reason":"leaving"}`, out.Body.String())
		require.LessOrEqual(t, time.Since(start), cutIn*3/4, "still queued when the node cuts what is in progress")
		time.Sleep(cutIn) // for the goroutine above
	})
}

// Prevents requests that timed out, or whose callers left, from counting as short ones of their route at a leaving node.
func TestLeavingNodeTakesTimeoutsForNoDurations(t *testing.T) {
	for _, tt := range []struct {
		name     string
		leaves   bool // the earlier callers, before their deadline
		deadline string
	}{
		{"earlier requests timed out", false, "300"},
		{"earlier callers left", true, "4000"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": delayed(3*time.Second, respond(200, sealHeader, "fine"))})
				s, leave := stoppableService(f)
				for range usualRequests {
					ctx, cancel := context.WithCancel(t.Context())
					if tt.leaves {
						time.AfterFunc(300*time.Millisecond, cancel)
					}
					out := f.callOn(ctx, s, map[string]string{testDeadline: tt.deadline}, "body")
					require.True(t, out.aborted || out.Code == 504)
					cancel()
				}
				leave(500*time.Millisecond, time.Second)
				out := f.callOn(t.Context(), s, nil, "body")
				require.Equal(t, 503, out.Code, "accepted for a run of 3 s, 1 s before the cut")
				time.Sleep(3 * time.Second) // for the upstreams' goroutines
			})
		})
	}
}

// Prevents a declined request that a leaving peer hands back from being sent once more without the retry budget.
func TestDeclinedRequestOfLeavingPeerNeedsRetryBudget(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(strconv.FormatBool(leaves), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				declines := delayed(time.Second, respond(503, testNotRun+": 1\r\n", ""))
				env := newHopEnv(t, sageroute.Once, map[string]upstream{"a": declines, "b": declines}, map[string]upstream{"a": declines, "b": declines})
				for _, f := range []*fakeFleet{env.node, env.peers["p1"], env.peers["p2"]} {
					f.retryBudget = 0
				}
				s, leave := stoppableService(env.peers["p1"])
				env.node.upstreams["p1"] = peer(s)
				if leaves {
					time.AfterFunc(500*time.Millisecond, func() { leave(400*time.Millisecond, 1500*time.Millisecond) })
				}
				out := env.node.call(t.Context(), nil, "body")
				require.Equal(t, 503, out.Code)
				require.Equal(t, 1, env.sent(), "arrivals at upstreams with a retry budget of 0")
			})
		})
	}
}

// Prevents a leaving node from aborting, as one that waits, a request that it has sent.
func TestLeavingNodeLeavesSentRequestsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": delayed(time.Second, respond(200, sealHeader, "fine"))})
		s, leave := stoppableService(f)
		time.AfterFunc(100*time.Millisecond, func() {
			leave(500*time.Millisecond, 1500*time.Millisecond)
			for range 5 {
				s.RefuseWaiting()
				time.Sleep(100 * time.Millisecond)
			}
		})
		out := f.callOn(t.Context(), s, nil, "body")
		require.Equal(t, 200, out.Code)
	})
}

// Prevents a request that a leaving node has refused as not run from being sent afterwards.
func TestRefusedRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, hop := range []bool{false, true} {
			ok := respond(200, sealHeader, "fine")
			env := newHopEnv(t, sageroute.Once, map[string]upstream{"a": ok}, map[string]upstream{"b": ok})
			f, name := env.node, "peer"
			if !hop {
				f, name = env.peers["p1"], "upstream"
			}
			s, leave := stoppableService(f)
			for range usualRequests {
				require.Equal(t, 200, f.callOn(t.Context(), s, nil, "body").Code)
			}
			before := env.sent()
			// The request is refused between its last check and the send, and its context isn't cancelled yet.
			f.beforePick = func() {
				leave(0, time.Second)
				for _, j := range s.jobs.list() {
					require.True(t, j.state.CompareAndSwap(sendWaiting, sendRefused))
				}
			}
			out := f.callOn(t.Context(), s, nil, "body")
			require.Equal(t, before, env.sent(), name)
			require.Equal(t, 503, out.Code, name)
			require.Equal(t, `{"reason":"leaving"}`, out.Body.String(), name)
		}
	})
}
