package sagerouter

import (
	"context"
	"fmt"
	"net"
	"net/http"
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

// Run serves until ctx ends. The entry then goes on for callers that still hold an answer of the
// directory, and ends when no request is under way.
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
	return s.leave()
}

// leave stops the entry gracefully.
//
// It guards against requests that are cut off by a planned stop. Callers learn of an entry from
// directory answers that they keep, so a listener that closed at once would refuse them; and a
// request that was read has to be answered.
func (s *server) leave() error {
	n := s.node
	by := time.Now().Add(seconds(n.Settings.Bounds.StopWithinSeconds) - stopMargin)
	n.leaving.Store(true)
	n.mesh.TriggerHeartbeats(true)
	n.Log.Component("node").Info("Leaving.", "in_flight", n.relay.InFlight())
	time.Sleep(min(keptTimes*DirectoryTTL+DirectoryTTL/2, time.Until(by)))
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down %s: %w", s.name, err)
	}
	n.Log.Component("node").Info("Entry closed.", "in_flight", n.relay.InFlight())
	return s.http.Close()
}

// forgetEvery is how often records of upstreams that are gone are dropped.
const forgetEvery = 10 * time.Second

// settler drops upstreams whose entries lapsed in an outage of the store, and the records of those
// that are gone.
type settler struct{ node *Node }

// Run looks through them until ctx ends.
func (s *settler) Run(ctx context.Context) error {
	n := s.node
	t := time.NewTicker(settleEvery)
	defer t.Stop()
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-forget.C:
			set := n.view.set.Load()
			n.fleet.health.Retain(func(u string) bool { return set.Get(u) != nil })
		case <-t.C:
			n.peers.Flush()
			n.view.settle(n.reach.Age(sageclock.Now()) > sagefollow.LongOutage)
		}
	}
}
