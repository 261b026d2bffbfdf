package sageorigin

import (
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Window is how long a caller may return after its stream began at a version that no longer serves.
const Window = 30 * time.Second

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the version of the upstream's software; empty if it isn't known.
	Version string
}

// maxNameBytes limits the names of services, versions and routes in messages.
const maxNameBytes = 200

// ErrOrigin reports an origin without a service, or with a name that is too long.
var ErrOrigin = errors.New("invalid origin")

// Check reports whether the origin can be sent to other nodes.
func (o *Origin) Check() error {
	if o.Service == "" || len(o.Service) > maxNameBytes || len(o.Version) > maxNameBytes {
		return ErrOrigin
	}
	return nil
}

// Record is the origin of one stream.
type Record struct {
	Key    Key
	Origin Origin
	// Until is when the caller can no longer return.
	Until sageclock.Instant
}

// Status is what a node knows of a stream's origin.
type Status int

// The statuses, as they appear in messages.
const (
	// Unknown: there is no record, and the route had several versions or services.
	Unknown Status = iota
	// Found: there is a record.
	Found
	// Sole: there is no record, and the route had one version of one service within [Window].
	Sole
	// SoleSinceStart: as Sole, since the node started less than [Window] ago.
	SoleSinceStart
	// Uninformed: there is no record, and the node doesn't know the route or an upstream of its service.
	Uninformed
	numStatuses
)

var statusNames = [numStatuses]string{"unknown", "found", "sole", "sole_since_start", "uninformed"}

// String returns the name of the status in logs and metrics.
func (s Status) String() string {
	if s < 0 || s >= numStatuses {
		return "invalid"
	}
	return statusNames[s]
}

// hasOrigin reports whether an answer with the status names an origin.
func (s Status) hasOrigin() bool { return s == Found || s == Sole || s == SoleSinceStart }

// Finding is the result of a search for a stream's origin.
type Finding struct {
	// Status is Found, Sole or Unknown.
	Status Status
	// Origin is set unless Status is Unknown.
	Origin Origin
	// Age is for how long the node that was asked has had the record.
	Age time.Duration
	// From is the address of the node that had the record; empty if this one had it.
	From string
	// MayFollow says that the origin isn't known yet and may be soon, FollowsIn in how long at the earliest; 0 if that isn't known.
	MayFollow bool
	FollowsIn time.Duration
	// Asked and Answered count the nodes that were asked and those that answered.
	Asked, Answered int
}
