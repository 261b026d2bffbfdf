package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
)

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
// and hearing of a node is enough to answer it. One that starts again mostly stands there already, and the
// list alone tells so: a fleet of hundreds of nodes that all start again saves as many calls.
type members struct{ node *Node }

// Run tries until it succeeded, then waits for ctx.
func (m *members) Run(ctx context.Context) error {
	log := m.node.Log.Component("members")
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

// register makes one attempt.
func (m *members) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerWithin)
	defer cancel()
	if !m.node.Settings.FirstStart {
		names, found, err := m.list(ctx)
		if err != nil {
			return err
		}
		if found {
			m.use(names)
			return nil
		}
	}
	if err := m.create(ctx); err != nil {
		return err
	}
	names, _, err := m.list(ctx)
	if err != nil {
		return err
	}
	m.use(names)
	return nil
}

// use takes over who is registered. The nodes that were found are told of this one at once, so that it hears
// of them sooner than a heartbeat later.
func (m *members) use(names []string) {
	m.node.names.Store(&names)
	m.node.mesh.TriggerHeartbeats(true)
}

// create registers this node.
func (m *members) create(ctx context.Context) error {
	n := m.node
	spec, err := json.Marshal(m.entry())
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	if err := n.Store.Create(ctx, n.Kinds.Nodes, n.Settings.Node, spec); err != nil {
		return fmt.Errorf("register node: %w", err)
	}
	return nil
}

func (m *members) entry() nodeEntry {
	return nodeEntry{Mesh: m.node.Settings.Listen.Mesh, DataCentre: m.node.Settings.DataCentre}
}

// list learns of the registered nodes and reports whether this one is among them, at its address.
func (m *members) list(ctx context.Context) (names []string, found bool, err error) {
	n := m.node
	d, err := sagefollow.ListAll(ctx, n.Store, n.Kinds.Nodes)
	if err != nil {
		return nil, false, fmt.Errorf("list nodes: %w", err)
	}
	log := n.Log.Component("members")
	for _, c := range d.Changes {
		names = append(names, c.Object.Name)
		var e nodeEntry
		if err := json.Unmarshal(c.Object.Spec, &e); err != nil {
			log.Warn("Entry names no node.", "name", c.Object.Name, "err", err)
			continue
		}
		if err := n.mesh.AddPeer(e.Mesh); err != nil {
			log.Warn("Entry names no node.", "name", c.Object.Name, "err", err)
		}
		found = found || c.Object.Name == n.Settings.Node && e == m.entry()
	}
	return names, found, nil
}
