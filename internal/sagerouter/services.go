package sagerouter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// entryName is the name of the server that callers connect to.
	entryName = "entry"
	// peersName is the name of the server for other nodes, whose requests the node relays.
	peersName = "peers"
)

// server runs one HTTP server.
type server struct {
	name     string
	listener net.Listener
	node     *Node
	http     *http.Server
}

// Run serves until ctx ends. The entry server then stops gracefully, that for other nodes once its responses are written, the others
// immediately.
func (s *server) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.http.Serve(s.listener) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve %s: %w", s.name, err)
	case <-ctx.Done():
	}
	switch s.name {
	case entryName:
		return s.drain()
	case peersName:
		return closeAfterResponses(s.http, time.Now().Add(abortTimeout))
	}
	return s.http.Close()
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
			n.progress.Record(time.Now())
			n.peers.Flush()
			n.fleet.settleEvidence(sageclock.Now())
			n.relay.CancelUndelivered()
			n.relay.RefuseWaiting()
			n.relay.CancelLeft()
			n.view.expireLapsed(n.storeProof.Age(sageclock.Now()) > sagefollow.LongOutage)
			if !released && n.view.upstreams.Load() != nil {
				released = true
				tuneGC()
				debug.FreeOSMemory() // the first listing needs several times the memory of its result
			}
		}
	}
}
