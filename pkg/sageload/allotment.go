package sageload

import "time"

// GrantRequest is a router's request for units of one upstream, sent to its coordinator. It may also
// carry the router's vote for that coordinator.
type GrantRequest struct {
	Upstream string
	// Holder identifies one process of one router.
	Holder string
	// Node is the router's name on the roster.
	Node string
	// Seq increases with each request of a holder.
	Seq uint64
	// AdoptedSeq is the Seq of the last answer that the holder adopted; 0 for none.
	AdoptedSeq uint64
	// Coordinator identifies the process that gave the adopted answer.
	Coordinator string
	// ExcessInFlight is the number of requests in flight beyond the guaranteed share.
	ExcessInFlight int
	// Units is the number of units wanted beyond the guaranteed share.
	Units int
	// Reserve is the part of Units wanted only as a reserve; the needs of other holders come first.
	Reserve int
	// Vote promises to vote for no other coordinator until [Limits.PromiseDuration] has passed.
	Vote bool
}

// Grant is a coordinator's answer. Zero units confirm the request and allow nothing.
type Grant struct {
	Upstream string
	Seq      uint64
	// Coordinator identifies one process of the granting node.
	Coordinator string
	Units       int
	// BootID is the boot of the upstream that the units are for.
	BootID string
	Cap    int
	Report Report
	// ReportFresh is true if Report is recent.
	ReportFresh bool
	// Pending is true if the coordinator doesn't grant yet: the holder keeps its units until they
	// expire.
	Pending bool
	// GuaranteedUsable is true if the guaranteed shares may be used on this boot.
	GuaranteedUsable bool
	// Resigned releases the holder from its promise: this coordinator grants no more.
	Resigned bool
}

// Allotment is a router's side of the in-flight allotment of one upstream: its guaranteed share, the
// granted units and the requests that use them. It is not safe for concurrent use.
type Allotment struct {
	Upstream string
	// Holder identifies this process, Node is its name on the roster.
	Holder string
	Node   string
	// Voter is true if Node is one of the upstream's voters.
	Voter bool
	// Guaranteed is the number of units usable without a grant, see [GuaranteedShare]. They are usable
	// on boots for which a coordinator has set [Grant.GuaranteedUsable], or on any boot if Static is
	// set. Static suits upstreams that report no load; their whole limit is divided into guaranteed
	// shares.
	Guaranteed int
	Static     bool
	// Reserve is how many of the units in the next request are wanted only as a reserve.
	Reserve int
	Limits  Limits
	// AbstainUntil is the end of the first promise period after the start of this process.
	//
	// A voter that restarts has lost its promise. If it voted immediately, two coordinators could have
	// a majority, and the upstream would get the grants of both. By this instant each promise of an
	// earlier process of this node has expired.
	AbstainUntil time.Time
	// GuaranteedFrom is when the guaranteed share becomes usable: one request lifetime after the start
	// of this process.
	//
	// Requests that an earlier process of this node sent on the share may run until then. Using it
	// immediately would put twice the share in flight.
	GuaranteedFrom time.Time

	inFlight       int
	lastBoot       string // last boot named by a grant or a connection
	guaranteedBoot string // boot on which the guaranteed share is usable
	units          int
	unitsBoot      string
	unitsUntil     time.Time
	seq            uint64
	adoptedSeq     uint64
	adoptedFrom    string // process that gave the adopted answer, see GrantRequest.Coordinator
	requestedAt    time.Time
	promisedTo     string // node that this voter has promised its vote
	promisedUntil  time.Time
}

// Request returns the request to send to the node that this router takes for the coordinator. It
// returns false while a promise binds the router to another node.
func (a *Allotment) Request(now time.Time, coordinator string, units int) (GrantRequest, bool) {
	if a.Voter && a.promisedTo != "" && a.promisedTo != coordinator && now.Before(a.promisedUntil) {
		return GrantRequest{}, false
	}
	r := GrantRequest{Upstream: a.Upstream, Holder: a.Holder, Node: a.Node, ExcessInFlight: max(0, a.InUse()-a.usableShare(now)), Units: max(0, units-a.usableShare(now))}
	r.Reserve = min(a.Reserve, r.Units)
	if a.Voter && !now.Before(a.AbstainUntil) {
		a.promisedTo, a.promisedUntil = coordinator, now.Add(a.Limits.PromiseDuration)
		r.Vote = true
	}
	a.seq++
	a.requestedAt = now
	r.Seq, r.AdoptedSeq, r.Coordinator = a.seq, a.adoptedSeq, a.adoptedFrom
	return r, true
}

// ApplyGrant adopts a coordinator's answer to the latest request and reports whether it did. It drops
// an answer to an earlier request, because the coordinator no longer counts the units of that answer.
func (a *Allotment) ApplyGrant(g Grant) bool {
	if g.Seq != a.seq || g.Seq == a.adoptedSeq {
		return false
	}
	if g.Resigned {
		a.promisedTo = ""
	}
	a.adoptedSeq, a.adoptedFrom = g.Seq, g.Coordinator
	if g.Pending {
		return true
	}
	a.lastBoot = g.BootID
	if g.GuaranteedUsable {
		a.guaranteedBoot = g.BootID
	}
	a.units, a.unitsBoot = g.Units, g.BootID
	// The coordinator counts from a later instant, when it answered, and for longer.
	a.unitsUntil = a.requestedAt.Add(a.Limits.GrantDuration)
	return true
}

// Acquire takes one unit and reports whether the request may be sent. It may only be sent on a
// connection to the boot last given to [Allotment.ObserveBoot] or named by a grant.
//
// The caller passes the current time, not that of its last tick: a router that was paused past the
// deadline would otherwise send on units that the coordinator has since given to others, and the
// upstream would exceed its cap.
func (a *Allotment) Acquire(now time.Time) bool {
	if a.Free(now) <= 0 {
		return false
	}
	a.inFlight++
	return true
}

// Release returns the unit of a request that has ended.
func (a *Allotment) Release() { a.inFlight = max(0, a.inFlight-1) }

// Free returns the number of units that Acquire can still take.
func (a *Allotment) Free(now time.Time) int {
	n := a.usableShare(now)
	if now.Before(a.unitsUntil) && a.unitsBoot == a.lastBoot {
		n += a.units
	}
	return max(0, n-a.InUse())
}

// ObserveBoot records the boot to which a connection to the upstream leads. Units granted for another
// boot are no longer usable.
//
// A restart closes the connections of the earlier boot. If each new connection is asked for its boot id
// before it carries a request, no unit granted for a warm engine is used on its cold successor, however
// late the coordinator learns of the restart.
func (a *Allotment) ObserveBoot(boot string) { a.lastBoot = boot }

// BootID returns the last observed boot.
func (a *Allotment) BootID() string { return a.lastBoot }

// InUse returns the requests in flight. Those of an earlier boot count until they are released; their
// connections break with that boot.
func (a *Allotment) InUse() int { return a.inFlight }

// usableShare returns the units of the guaranteed share that are usable at the instant now.
func (a *Allotment) usableShare(now time.Time) int {
	if now.Before(a.GuaranteedFrom) || !a.Static && (a.guaranteedBoot == "" || a.guaranteedBoot != a.lastBoot) {
		return 0
	}
	return a.Guaranteed
}
