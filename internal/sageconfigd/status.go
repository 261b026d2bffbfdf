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

// TicketStatus tells where an accepted ticket is in force, as far as this node has heard.
type TicketStatus struct {
	sageticket.Summary
	// InForce lists the nodes that hold it; Since is when this node first heard so.
	InForce []NodeRevision `json:"in_force"`
	// Lacking lists the nodes that, by their newest heartbeat, do not hold it; Since is zero for one
	// that was never heard of at its revision.
	NotInForce []NodeRevision `json:"lacking"`
}

// History returns the newest accepted tickets, newest first.
func (s *Service) History(ctx context.Context, n int) ([]sageticket.Summary, error) {
	return sageticket.History(ctx, s.Store, n)
}

// Status tells where a ticket is in force. The newest tickets are known also while the store is out.
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
	s.track(time.Now())
	for _, n := range s.nodes(time.Now()) {
		if n.Revision < st.Revision {
			st.NotInForce = append(st.NotInForce, n)
			continue
		}
		n.Since = s.tracker.since(n.Node, st.Revision)
		st.InForce = append(st.InForce, n)
	}
	return st, nil
}

// nodes lists all known nodes, this one by its own word.
func (s *Service) nodes(now time.Time) []NodeRevision {
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

// track notes the revisions that the newest heartbeats tell.
func (s *Service) track(now time.Time) { s.tracker.note(now, s.nodes(now)) }

// maxSteps bounds the remembered revisions of a node.
const maxSteps = 32

// step is a revision and when a node was first heard to hold it.
type step struct {
	revision uint64
	at       time.Time
}

// tracker remembers since when each node has held its newest revisions.
type tracker struct {
	mu    sync.Mutex
	steps map[string][]step
}

// note takes in what is known of all nodes now, and forgets nodes that are no longer known.
func (t *tracker) note(now time.Time, nodes []NodeRevision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string][]step, len(nodes))
	for _, n := range nodes {
		ss := t.steps[n.Node]
		last := uint64(0)
		if len(ss) > 0 {
			last = ss[len(ss)-1].revision
		}
		switch {
		case n.Revision < last: // a new process of the same name
			ss = []step{{n.Revision, now}}
		case n.Revision > last:
			ss = append(ss, step{n.Revision, now})
		}
		next[n.Node] = ss[max(0, len(ss)-maxSteps):]
	}
	t.steps = next
}

// since returns when the node was first heard to hold a revision, or a later one; zero if that is
// no longer remembered.
func (t *tracker) since(node string, revision uint64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	ss := t.steps[node]
	for i, s := range ss {
		if s.revision < revision {
			continue
		}
		if i == 0 && len(ss) == maxSteps {
			return time.Time{}
		}
		return s.at
	}
	return time.Time{}
}
