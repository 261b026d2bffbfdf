package sagerouter

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagedrain"
)

// certainTTLs times DirectoryTTL is how long a leaving node takes requests that will probably end before its exit. Those that
// come later are from callers that use a directory answer for longer than it is valid.
const certainTTLs = 2

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
	n.relay.AbortRequests()
	n.awaitAborted()
	n.relay.CloseIdleConnections()
	return s.http.Close()
}

// newClosing returns the times of a stop that begins now and may take the given time.
func newClosing(now time.Time, within time.Duration) *sagedrain.Closing {
	cutIn := max(0, within-exitMargin)
	closeIn := min(maxCachedTTLs*DirectoryTTL+DirectoryTTL/2, cutIn)
	return &sagedrain.Closing{CertainFrom: now.Add(min(certainTTLs*DirectoryTTL, closeIn)), CloseAt: now.Add(closeIn), CutAt: now.Add(cutIn)}
}

// abortTimeout limits the wait for the ends of aborted requests, whose callers get an answer if they have none yet.
const abortTimeout = 200 * time.Millisecond

// awaitAborted waits until the requests that were aborted have ended.
func (n *Node) awaitAborted() {
	for deadline := time.Now().Add(abortTimeout); n.relay.InFlight() > 0 && time.Now().Before(deadline); {
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
