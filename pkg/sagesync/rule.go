package sagesync

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrBadRule reports settings of the freshness rule that can't be used.
var ErrBadRule = errors.New("malformed freshness rule")

// IsolationPolicy says what a node serves that can't know of new tickets any more.
type IsolationPolicy string

// The ways. Which promise each keeps is set out in docs/design/distribution.md.
const (
	// IsolatedServe goes on with the newest known configuration.
	IsolatedServe IsolationPolicy = "serve"
	// IsolatedIdempotent serves idempotent requests only.
	IsolatedIdempotent IsolationPolicy = "idempotent_only"
	// IsolatedFence refuses everything.
	IsolatedFence IsolationPolicy = "fence"
	// IsolatedQuorum takes recent contact to most of the roster for freshness, in service and in the
	// acceptance of tickets, and refuses everything without it.
	IsolatedQuorum IsolationPolicy = "quorum"
)

// Rule decides what a node may serve from how fresh its configuration is.
type Rule struct {
	Isolated IsolationPolicy
	// Freshness is how old the newest evidence may be before the node counts as isolated.
	MaxEvidenceAge time.Duration
	// CatchUp is how long a node may serve the revision it has after it heard of a higher one.
	CatchUpTimeout time.Duration
}

// The defaults of the periods. Evidence is renewed every two seconds and reaches the last of 400
// nodes some exchange rounds later; see docs/design/distribution.md.
const (
	DefaultMaxEvidenceAge = 10 * time.Second
	DefaultCatchUpTimeout = 3 * time.Second
)

// Check reports an unknown way or a period that is not above zero.
func (r Rule) Check() error {
	switch r.Isolated {
	case IsolatedServe, IsolatedIdempotent, IsolatedFence, IsolatedQuorum:
	default:
		return fmt.Errorf("isolated %q (want serve, idempotent_only, fence or quorum): %w", r.Isolated, ErrBadRule)
	}
	if r.MaxEvidenceAge <= 0 || r.CatchUpTimeout <= 0 {
		return fmt.Errorf("freshness %v, catch up %v (want above 0): %w", r.MaxEvidenceAge, r.CatchUpTimeout, ErrBadRule)
	}
	return nil
}

// Status is what a node knows about its configuration.
type Status struct {
	// Revision is that of the served state, 0 before there is one.
	Revision uint64
	// Heard is the highest revision heard of.
	Observed uint64
	// BehindSince is when the node first heard of a revision that it still lacks; zero if none.
	BehindSince time.Time
	// ConfirmedAt is the latest instant at which the store is known to have had no higher revision.
	ConfirmedAt time.Time
	// QuorumAt is the latest instant at which the node had contact to most of the roster.
	QuorumAt time.Time
}

// ServiceLevel is the extent of service.
type ServiceLevel int

// The extents.
const (
	ServeNothing ServiceLevel = iota
	ServeIdempotent
	ServeAll
)

// Decision is what a node may serve and, if not everything, why.
type Decision struct {
	Level   ServiceLevel
	Refusal *sagewire.Refusal
}

// Judge says what may be served at now. A refusal's RetryAt is when asking again can help.
//
// A node without any configuration serves nothing. A node that has heard of a higher revision serves
// its own only until CatchUp has passed: without this guard a node whose transfers keep failing
// would send work to a data centre that it could know to be out of service. A node without fresh
// evidence serves what Isolated says: it may have missed a ticket without hearing of it.
func (r Rule) Evaluate(now time.Time, s Status) Decision {
	retry := now.Add(r.CatchUpTimeout)
	if s.Revision == 0 {
		return Decision{Refusal: sagewire.Refuse(sagewire.ReasonNoConfig, "no configuration yet", retry)}
	}
	if !s.BehindSince.IsZero() && now.After(s.BehindSince.Add(r.CatchUpTimeout)) {
		detail := fmt.Sprintf("at revision %d, heard of %d", s.Revision, s.Observed)
		return Decision{Refusal: sagewire.Refuse(sagewire.ReasonStale, detail, retry)}
	}
	fresh := s.ConfirmedAt
	if r.Isolated == IsolatedQuorum && s.QuorumAt.After(fresh) {
		fresh = s.QuorumAt
	}
	if r.Isolated == IsolatedServe || !now.After(fresh.Add(r.MaxEvidenceAge)) {
		return Decision{Level: ServeAll}
	}
	ref := sagewire.Refuse(sagewire.ReasonStale, "no fresh evidence that this configuration is the newest", retry)
	if r.Isolated == IsolatedIdempotent {
		return Decision{Level: ServeIdempotent, Refusal: ref}
	}
	return Decision{Refusal: ref}
}

// MayAccept reports whether a node with that standing may accept tickets at now. Under the quorum
// rule an acceptor needs contact to most of the roster, as service without evidence does, so that
// the two always share a node.
func (r Rule) MayAccept(now time.Time, s Status) bool {
	return r.Isolated != IsolatedQuorum || !now.After(s.QuorumAt.Add(r.MaxEvidenceAge))
}

// QuorumAt returns the latest instant since which this node has had contact to most of a roster,
// given when it last heard of each of its nodes, directly or through others: now for itself if it is
// in the roster, zero for one never heard of. Without a roster there is nobody to lose: it returns
// now.
//
// The roster must be the same on all nodes and hold those that are out of sight too. Counted among
// the visible ones only, a cut-off minority would always find itself complete; and two nodes that
// each add themselves to an even roster could both count a half of it as most.
func QuorumAt(now time.Time, heard []time.Time) time.Time {
	if len(heard) == 0 {
		return now
	}
	h := slices.Clone(heard)
	slices.SortFunc(h, func(a, b time.Time) int { return b.Compare(a) })
	return h[len(h)/2]
}
