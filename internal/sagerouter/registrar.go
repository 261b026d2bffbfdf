package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
)

// Time-out and retry delay of the registration.
const (
	registerTimeout    = 2 * time.Second
	registerRetryDelay = 500 * time.Millisecond
)

// nodeEntry is the store object by which nodes find each other.
type nodeEntry struct {
	Mesh       string `json:"mesh"`
	DataCentre string `json:"data_centre"`
}

// registrar registers this node in the store and lists the other registered nodes.
//
// Each node registers before it lists. Of two that start at the same time, at least one therefore finds the other
// in the list and sends it a heartbeat, by which the other one discovers it. A restarted node is usually still
// registered and finds that out from the list alone, which saves one call per node when a large fleet restarts.
type registrar struct{ node *Node }

// Run registers the node, with retries, and returns when ctx ends.
func (r *registrar) Run(ctx context.Context) error {
	log := r.node.Log.Component("members")
	for ctx.Err() == nil {
		err := r.register(ctx)
		if err == nil {
			break
		}
		log.Warn("Registration failed.", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryDelay):
		}
	}
	<-ctx.Done()
	return nil
}

// register makes one attempt to register this node and to list the others.
func (r *registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if !r.node.Settings.FirstStart {
		names, registered, err := r.list(ctx)
		if err != nil {
			return err
		}
		if registered {
			r.applyNames(names)
			return nil
		}
	}
	if err := r.create(ctx); err != nil {
		return err
	}
	names, _, err := r.list(ctx)
	if err != nil {
		return err
	}
	r.applyNames(names)
	return nil
}

// applyNames stores the names of the registered nodes. It sends them a heartbeat immediately, since their replies
// would otherwise come up to one interval later.
func (r *registrar) applyNames(names []string) {
	r.node.registeredNames.Store(&names)
	r.node.mesh.TriggerHeartbeats(true)
}

// create writes this node's entry to the store.
func (r *registrar) create(ctx context.Context) error {
	n := r.node
	spec, err := json.Marshal(r.entry())
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	if err := n.Store.Create(ctx, n.Kinds.Nodes, n.Settings.Node, spec); err != nil {
		return fmt.Errorf("register node: %w", err)
	}
	return nil
}

func (r *registrar) entry() nodeEntry {
	return nodeEntry{Mesh: r.node.Settings.Listen.Mesh, DataCentre: r.node.Settings.DataCentre}
}

// list adds the registered nodes as peers and returns their names. registered reports whether this node is among
// them with its present address.
func (r *registrar) list(ctx context.Context) (names []string, registered bool, err error) {
	n := r.node
	d, err := sagefollow.ListAll(ctx, n.Store, n.Kinds.Nodes)
	if err != nil {
		return nil, false, fmt.Errorf("list nodes: %w", err)
	}
	log := n.Log.Component("members")
	for _, c := range d.Changes {
		names = append(names, c.Object.Name)
		var e nodeEntry
		if err := json.Unmarshal(c.Object.Spec, &e); err != nil {
			log.Warn("Node entry can't be decoded.", "name", c.Object.Name, "err", err)
			continue
		}
		if err := n.mesh.AddPeer(e.Mesh); err != nil {
			log.Warn("Node entry has an invalid address.", "name", c.Object.Name, "err", err)
		}
		registered = registered || c.Object.Name == n.Settings.Node && e == r.entry()
	}
	return names, registered, nil
}
