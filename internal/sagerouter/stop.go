package sagerouter

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagemesh"
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
	now, within := time.Now(), seconds(n.Settings.Bounds.StopWithinSeconds)
	signal := n.progress.EarliestSignal(now)
	closing := newClosing(signal, now, within)
	n.closing.Store(closing)
	n.mesh.TriggerHeartbeats(true)
	n.Log.Component("node").Info("Leaving.", "in_flight", n.relay.InFlight(), "close_at", closing.CloseAt, "cut_at", closing.CutAt)
	n.awaitClose(closing, aloneClosing(closing, signal))
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(within-exitMargin))
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down %s: %w", s.name, err)
	}
	n.awaitRelayed(ctx)
	n.Log.Component("node").Info("Entry closed.", "in_flight", n.relay.InFlight())
	n.relay.AbortRequests()
	abortBy := time.Now().Add(abortTimeout)
	n.awaitAborted(abortBy)
	n.relay.CloseIdleConnections()
	return closeAfterResponses(s.http, abortBy)
}

// closeAfterResponses closes a server once the responses of its handlers have been written, or at the deadline. A request that no
// longer counts as in progress may still have its response in the server's buffer.
func closeAfterResponses(srv *http.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	return srv.Close()
}

// newClosing returns the times of a stop that may take the given time from the signal, which is handled now. Directory answers name
// the node until then.
func newClosing(signal, now time.Time, within time.Duration) *sagedrain.Closing {
	cutAt := signal.Add(max(0, within-exitMargin))
	closeAt := earlier(now.Add(maxCachedTTLs*DirectoryTTL+DirectoryTTL/2), cutAt)
	return &sagedrain.Closing{CertainFrom: earlier(signal.Add(certainTTLs*DirectoryTTL), closeAt), CloseAt: closeAt, CutAt: cutAt}
}

// aloneClosing returns the times of the same stop while no other node serves. What is likely to end before the exit is accepted for
// longer, since a refused caller has nowhere to go: as long as callers may use answers that name the node, less what the node may
// have missed of the time since the signal.
func aloneClosing(c *sagedrain.Closing, signal time.Time) *sagedrain.Closing {
	out := *c
	out.CertainFrom = earlier(signal.Add(maxCachedTTLs*DirectoryTTL-sagedrain.MaxProgressGap), c.CloseAt)
	out.Alone = true
	return &out
}

// stopPollInterval is how often a stopping node checks whether others serve, and whether it still relays requests of peers.
const stopPollInterval = 20 * time.Millisecond

// awaitClose waits until the listener closes, and meanwhile sets the times of the stop that apply.
func (n *Node) awaitClose(closing, alone *sagedrain.Closing) {
	for {
		wait := time.Until(closing.CloseAt)
		if wait <= 0 {
			return
		}
		time.Sleep(min(wait, stopPollInterval))
		// A node cut off from the others knows nothing of them.
		current := closing
		if !n.isolated() && !anyServes(n.mesh.Live()) {
			current = alone
		}
		if n.closing.Swap(current) != current {
			n.Log.Component("node").Info("Other nodes began or ceased to serve.", "alone", current.Alone)
		}
	}
}

// anyServes reports whether callers can be sent to one of the nodes.
func anyServes(nodes []sagemesh.Member) bool {
	return slices.ContainsFunc(nodes, func(m sagemesh.Member) bool { return m.Ready && !m.Leaving })
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// abortTimeout limits the wait for the ends of aborted requests, whose callers get an answer if they have none yet.
const abortTimeout = 200 * time.Millisecond

// awaitAborted waits until the requests that were aborted have ended, or until the deadline.
func (n *Node) awaitAborted(deadline time.Time) {
	for n.relay.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// awaitRelayed waits until no request of a peer is in progress or ctx ends.
func (n *Node) awaitRelayed(ctx context.Context) {
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for n.relay.Relayed() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
