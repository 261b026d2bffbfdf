package sagerouter

import (
	"context"
	"encoding/json"
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
	n.mesh.Nudge(true)
	n.Log.Part("node").Info("Leaving.", "in_flight", n.relay.InFlight())
	time.Sleep(min(keptTimes*AnswerValid+AnswerValid/2, time.Until(by)))
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down %s: %w", s.name, err)
	}
	n.Log.Part("node").Info("Entry closed.", "in_flight", n.relay.InFlight())
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
			n.fleet.health.Keep(func(u string) bool { return set.Get(u) != nil })
		case <-t.C:
			n.view.settle(n.reach.Age(sageclock.Now()) > sagefollow.AwayAfter)
		}
	}
}

// Pauses of the registration.
const (
	registerWithin = 2 * time.Second
	registerPause  = 500 * time.Millisecond
)

// nodeEntry is this system's own object in the store: where other nodes reach this one.
type nodeEntry struct {
	Mesh       string `json:"mesh"`
	DataCentre string `json:"data_centre"`
}

// members registers this node in the store and learns of the nodes that did.
//
// Each node registers before it lists, so of two that start at once at least one sees the other,
// and hearing of a node is enough to answer it.
type members struct{ node *Node }

// Run tries until it succeeded, then waits for ctx.
func (m *members) Run(ctx context.Context) error {
	log := m.node.Log.Part("members")
	for ctx.Err() == nil {
		err := m.register(ctx)
		if err == nil {
			break
		}
		log.Warn("Registration failed.", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(registerPause):
		}
	}
	<-ctx.Done()
	return nil
}

func (m *members) register(ctx context.Context) error {
	n := m.node
	ctx, cancel := context.WithTimeout(ctx, registerWithin)
	defer cancel()
	spec, err := json.Marshal(nodeEntry{Mesh: n.Settings.Listen.Mesh, DataCentre: n.Settings.DataCentre})
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	if err := n.Store.Create(ctx, n.Kinds.Nodes, n.Settings.Node, spec); err != nil {
		return fmt.Errorf("register node: %w", err)
	}
	d, err := sagefollow.ListAll(ctx, n.Store, n.Kinds.Nodes)
	if err != nil {
		return fmt.Errorf("list nodes: %w", err)
	}
	names := make([]string, 0, len(d.Changes))
	for _, c := range d.Changes {
		names = append(names, c.Object.Name)
		var e nodeEntry
		if err := json.Unmarshal(c.Object.Spec, &e); err != nil {
			n.Log.Part("members").Warn("Entry names no node.", "name", c.Object.Name, "err", err)
			continue
		}
		if err := n.mesh.Add(e.Mesh); err != nil {
			n.Log.Part("members").Warn("Entry names no node.", "name", c.Object.Name, "err", err)
		}
	}
	n.names.Store(&names)
	// A started node is told what the others know as soon as they hear of it, not a heartbeat later.
	n.mesh.Nudge(true)
	return nil
}
