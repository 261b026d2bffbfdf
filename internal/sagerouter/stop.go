package sagerouter

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagedrain"
)

// drain stops the entry server gracefully, so that a planned stop fails no request.
//
// Callers cache directory answers, so the listener stays open until these have expired. What may not end before the exit is
// refused from the beginning, and everything once the listener closes: peers may send requests as long as the process lives. Then
// the server waits for the requests in flight, up to the time by which the process has to end.
func (s *server) drain() error {
	n := s.node
	closing := newClosing(time.Now(), seconds(n.Settings.Bounds.StopWithinSeconds))
	n.closing.Store(closing)
	n.mesh.TriggerHeartbeats(true)
	n.Log.Component("node").Info("Leaving.", "in_flight", n.relay.InFlight(), "close_at", closing.CloseAt, "cut_at", closing.CutAt)
	time.Sleep(time.Until(closing.CloseAt))
	ctx, cancel := context.WithDeadline(context.Background(), closing.CutAt)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down %s: %w", s.name, err)
	}
	n.awaitRelayed(ctx)
	n.Log.Component("node").Info("Entry closed.", "in_flight", n.relay.InFlight())
	n.relay.CloseIdleConnections()
	n.relay.RecordCuts()
	err := s.http.Close()
	n.awaitAborted()
	return err
}

// signalDelay is how long a signal may have been on its way when the node sees it. Callers count from its sending.
const signalDelay = 200 * time.Millisecond

// newClosing returns the times of a stop that begins now and may take the given time.
func newClosing(now time.Time, within time.Duration) *sagedrain.Closing {
	cutAt := now.Add(max(0, within-exitMargin))
	earliest := func(a, b time.Time) time.Time {
		if b.Before(a) {
			return b
		}
		return a
	}
	return &sagedrain.Closing{
		CertainFrom: earliest(now.Add(maxCachedTTLs*DirectoryTTL-signalDelay), cutAt),
		CloseAt:     earliest(now.Add(maxCachedTTLs*DirectoryTTL+DirectoryTTL/2), cutAt),
		CutAt:       cutAt,
	}
}

// abortTimeout limits the wait for the ends of aborted requests, which log them.
const abortTimeout = 100 * time.Millisecond

// awaitAborted waits until the callers' requests that were aborted have ended.
func (n *Node) awaitAborted() {
	for deadline := time.Now().Add(abortTimeout); n.relay.InFlight() > n.relay.Relayed() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// relayedPollInterval is how often a stopping node checks whether it still relays requests of peers.
const relayedPollInterval = 20 * time.Millisecond

// awaitRelayed waits until no request of a peer is in progress or ctx ends.
func (n *Node) awaitRelayed(ctx context.Context) {
	t := time.NewTicker(relayedPollInterval)
	defer t.Stop()
	for n.relay.Relayed() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
