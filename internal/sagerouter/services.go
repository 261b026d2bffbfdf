package sagerouter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
)

// entryName is the name of the server that callers connect to.
const entryName = "entry"

// server runs one HTTP server.
type server struct {
	name     string
	listener net.Listener
	node     *Node
	http     *http.Server
}

// Run serves until ctx ends. The entry server then stops gracefully, the others immediately.
func (s *server) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.http.Serve(s.listener) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve %s: %w", s.name, err)
	case <-ctx.Done():
	}
	if s.name != entryName {
		return s.http.Close()
	}
	return s.drain()
}

// drain stops the entry server gracefully, so that a planned stop fails no request.
//
// Callers cache directory answers, so the listener stays open until these have expired. Then the server waits for
// the requests in flight, up to the time by which the process has to end.
func (s *server) drain() error {
	n := s.node
	deadline := time.Now().Add(seconds(n.Settings.Bounds.StopWithinSeconds) - exitMargin)
	n.leaving.Store(true)
	n.mesh.TriggerHeartbeats(true)
	n.Log.Component("node").Info("Leaving.", "in_flight", n.relay.InFlight())
	time.Sleep(min(maxCachedTTLs*DirectoryTTL+DirectoryTTL/2, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
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

// abortTimeout limits the wait for the ends of aborted requests, which log them.
const abortTimeout = 100 * time.Millisecond

// awaitAborted waits until the requests that were aborted have ended.
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

// recordCleanupInterval is how often health records of removed upstreams, and ended pauses and back-offs, are dropped.
const recordCleanupInterval = 10 * time.Second

// expirer drops upstreams whose entries lapsed during an outage of the store, and health records of removed ones.
// It also flushes the log of peers and adapts the garbage collector.
type expirer struct{ node *Node }

// Run works until ctx ends.
func (e *expirer) Run(ctx context.Context) error {
	n := e.node
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	cleanup := time.NewTicker(recordCleanupInterval)
	defer cleanup.Stop()
	released := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-cleanup.C:
			set := n.view.upstreams.Load()
			alive := func(u string) bool { return set.Get(u) != nil }
			n.fleet.health.Retain(alive)
			n.fleet.reach.Retain(alive)
			now := sageclock.Now()
			n.fleet.pauses.Sweep(now)
			n.fleet.declines.sweep(now)
			n.fleet.brittle.limits.Sweep(now)
			n.fleet.retainHelpers()
			tuneGC()
		case <-t.C:
			n.peers.Flush()
			n.fleet.settleEvidence(sageclock.Now())
			n.relay.CancelUndelivered()
			n.view.expireLapsed(n.storeProof.Age(sageclock.Now()) > sagefollow.LongOutage)
			if !released && n.view.upstreams.Load() != nil {
				released = true
				tuneGC()
				debug.FreeOSMemory() // the first listing needs several times the memory of its result
			}
		}
	}
}
