package sageconfigd

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageticket"
)

// TicketStatus lists the nodes on which an accepted ticket is in force, as far as this node knows.
type TicketStatus struct {
	sageticket.Summary
	// InForce lists the nodes on which it is in force; Since is when this node first observed that, or zero if
	// that is no longer recorded.
	InForce []NodeRevision `json:"in_force"`
	// NotInForce lists the nodes on which, according to their newest heartbeat, it is not in force. Since is zero
	// for a node that was never observed at its revision.
	NotInForce []NodeRevision `json:"lacking"`
}

// History returns the newest accepted tickets, newest first.
func (s *Service) History(ctx context.Context, n int) ([]sageticket.Summary, error) {
	return sageticket.History(ctx, s.Store, n)
}

// Status returns where a ticket is in force. For the newest tickets it also works while the store is unavailable.
func (s *Service) Status(ctx context.Context, number uint64) (TicketStatus, error) {
	s.init()
	var st TicketStatus
	if r, ok := s.replica.Find(number); ok {
		st.Summary = sageticket.SummaryOf(r)
	} else {
		p, err := sageticket.Find(ctx, s.Store, number)
		if err != nil {
			return TicketStatus{}, fmt.Errorf("status: %w", err)
		}
		st.Summary = p
	}
	s.recordRevisions(time.Now())
	for _, n := range s.nodeRevisions(time.Now()) {
		if n.Revision < st.Revision {
			st.NotInForce = append(st.NotInForce, n)
			continue
		}
		n.Since = s.tracker.since(n.Node, st.Revision)
		st.InForce = append(st.InForce, n)
	}
	return st, nil
}

// nodeRevisions returns the revisions of all known nodes, including this one, ordered by name.
func (s *Service) nodeRevisions(now time.Time) []NodeRevision {
	c := s.replica.Current()
	ns := []NodeRevision{{Node: s.Node, DataCentre: s.DataCentre, Revision: c.Revision, Since: c.AppliedAt, LastContact: now}}
	if s.Members != nil {
		for _, n := range s.Members.Nodes() {
			if n.Node != s.Node {
				ns = append(ns, n)
			}
		}
	}
	slices.SortFunc(ns, func(a, b NodeRevision) int { return cmp.Compare(a.Node, b.Node) })
	return ns
}

// recordRevisions records the current revisions of all known nodes.
func (s *Service) recordRevisions(now time.Time) { s.tracker.record(now, s.nodeRevisions(now)) }

// maxObservations is the maximum number of revisions recorded per node.
const maxObservations = 32

// observation is a revision of a node and the time at which it was first observed.
type observation struct {
	revision uint64
	at       time.Time
}

// tracker records when each node was first observed at each of its newest revisions.
type tracker struct {
	mu           sync.Mutex
	observations map[string][]observation
}

// record adds the current revisions of all known nodes, and removes the nodes that are no longer known.
func (t *tracker) record(now time.Time, nodes []NodeRevision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string][]observation, len(nodes))
	for _, n := range nodes {
		observed := t.observations[n.Node]
		last := uint64(0)
		if len(observed) > 0 {
			last = observed[len(observed)-1].revision
		}
		switch {
		case n.Revision < last: // a new process of the same name, which holds an older revision
			observed = []observation{{n.Revision, now}}
		case n.Revision > last:
			observed = append(observed, observation{n.Revision, now})
		}
		next[n.Node] = observed[max(0, len(observed)-maxObservations):]
	}
	t.observations = next
}

// since returns when the node was first observed at a revision or a later one, or zero if that is not recorded or
// no longer recorded.
func (t *tracker) since(node string, revision uint64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	observed := t.observations[node]
	for i, s := range observed {
		if s.revision < revision {
			continue
		}
		if i == 0 && len(observed) == maxObservations {
			return time.Time{}
		}
		return s.at
	}
	return time.Time{}
}
