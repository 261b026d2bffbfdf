package sagesync

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrBadRule reports invalid settings of the freshness rule.
var ErrBadRule = errors.New("malformed freshness rule")

// IsolationPolicy says what an isolated node serves: one that has no fresh evidence and so may miss new
// tickets.
type IsolationPolicy string

// The policies. docs/design/distribution.md states the guarantees of each.
const (
	// IsolatedServe continues to serve with the newest known configuration.
	IsolatedServe IsolationPolicy = "serve"
	// IsolatedIdempotent serves idempotent requests only.
	IsolatedIdempotent IsolationPolicy = "idempotent_only"
	// IsolatedFence refuses all requests.
	IsolatedFence IsolationPolicy = "fence"
	// IsolatedQuorum accepts recent contact with a majority of the roster in place of fresh evidence.
	// Without such contact the node accepts no tickets, and without either it refuses all requests.
	IsolatedQuorum IsolationPolicy = "quorum"
)

// Rule decides what a node may serve, depending on how fresh its configuration is.
type Rule struct {
	Isolated IsolationPolicy
	// MaxEvidenceAge is the age of the newest evidence above which the node counts as isolated.
	MaxEvidenceAge time.Duration
	// CatchUpTimeout is how long a node may serve its revision after it has observed a higher one.
	CatchUpTimeout time.Duration
}

// The default periods. Evidence is renewed every two seconds and reaches the last of 400 nodes some
// exchange rounds later; see docs/design/distribution.md.
const (
	DefaultMaxEvidenceAge = 10 * time.Second
	DefaultCatchUpTimeout = 3 * time.Second
)

// Check returns an error that wraps [ErrBadRule] for an unknown policy or a period that is not above
// zero.
func (r Rule) Check() error {
	switch r.Isolated {
	case IsolatedServe, IsolatedIdempotent, IsolatedFence, IsolatedQuorum:
	default:
		return fmt.Errorf("isolated %q (want serve, idempotent_only, fence or quorum): %w", r.Isolated, ErrBadRule)
	}
	if r.MaxEvidenceAge <= 0 || r.CatchUpTimeout <= 0 {
		return fmt.Errorf("maximum evidence age %v, catch-up timeout %v (want above 0): %w", r.MaxEvidenceAge, r.CatchUpTimeout, ErrBadRule)
	}
	return nil
}

// Status is what a node knows about its configuration.
type Status struct {
	// Revision is the served revision, 0 before there is one.
	Revision uint64
	// Observed is the highest revision known to exist.
	Observed uint64
	// BehindSince is when the node first observed a revision that it doesn't hold yet; zero if it holds
	// all it has observed.
	BehindSince time.Time
	// ConfirmedAt is the latest instant at which the store is known to have had no revision above
	// Revision.
	ConfirmedAt time.Time
	// QuorumAt is the latest instant at which the node had contact with a majority of the roster.
	QuorumAt time.Time
}

// ServiceLevel says which requests a node serves.
type ServiceLevel int

// The service levels.
const (
	ServeNothing ServiceLevel = iota
	ServeIdempotent
	ServeAll
)

// Decision is what a node may serve and, unless it may serve everything, the refusal for the rest.
type Decision struct {
	Level   ServiceLevel
	Refusal *sagewire.Refusal
}

// Evaluate decides what may be served at now. The RetryAt of a refusal is when a retry may succeed.
//
// A node without a configuration serves nothing. A node that has observed a higher revision serves its
// own only until CatchUpTimeout has passed. Without this limit, a node whose transfers keep failing
// would send requests to a data centre that is known to be out of service. A node without fresh
// evidence follows the isolation policy, because it may have missed a ticket without observing its
// revision.
func (r Rule) Evaluate(now time.Time, s Status) Decision {
	retry := now.Add(r.CatchUpTimeout)
	if s.Revision == 0 {
		return Decision{Refusal: sagewire.Refuse(sagewire.ReasonNoConfig, "no configuration yet", retry)}
	}
	if !s.BehindSince.IsZero() && now.After(s.BehindSince.Add(r.CatchUpTimeout)) {
		detail := fmt.Sprintf("at revision %d, knows of %d", s.Revision, s.Observed)
		return Decision{Refusal: sagewire.Refuse(sagewire.ReasonStale, detail, retry)}
	}
	freshAt := s.ConfirmedAt
	if r.Isolated == IsolatedQuorum && s.QuorumAt.After(freshAt) {
		freshAt = s.QuorumAt
	}
	if r.Isolated == IsolatedServe || !now.After(freshAt.Add(r.MaxEvidenceAge)) {
		return Decision{Level: ServeAll}
	}
	refusal := sagewire.Refuse(sagewire.ReasonStale, "no fresh evidence that this configuration is the newest", retry)
	if r.Isolated == IsolatedIdempotent {
		return Decision{Level: ServeIdempotent, Refusal: refusal}
	}
	return Decision{Refusal: refusal}
}

// MayAccept reports whether a node with status s may accept tickets at now. Under [IsolatedQuorum] both
// this and serving without fresh evidence need contact with a majority of the roster, so that the two
// majorities always share a node.
func (r Rule) MayAccept(now time.Time, s Status) bool {
	return r.Isolated != IsolatedQuorum || !now.After(s.QuorumAt.Add(r.MaxEvidenceAge))
}

// QuorumAt returns the latest instant such that a majority of a roster had its last contact then or
// later. It is given the last contact, direct or through other nodes, with each roster node: now for
// this node itself, zero for a node that was never in contact. Without a roster it returns now.
//
// The roster must be the same on all nodes and include the unreachable ones. If only reachable nodes
// counted, an isolated minority would always consider itself complete. If each node added itself to a
// roster of even size, two halves could both count as a majority.
func QuorumAt(now time.Time, lastContacts []time.Time) time.Time {
	if len(lastContacts) == 0 {
		return now
	}
	sorted := slices.Clone(lastContacts)
	slices.SortFunc(sorted, func(a, b time.Time) int { return b.Compare(a) })
	return sorted[len(sorted)/2]
}
