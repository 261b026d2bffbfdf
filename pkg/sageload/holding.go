package sageload

import "time"

// GrantRequest is a router's ask to the home of one upstream. It is also the router's recognition of the
// asked node as home.
type GrantRequest struct {
	Upstream string
	// Holder names one process of one router.
	Holder string
	// Node is the router's name on the roster.
	Node string
	// Seq grows with each ask of a holder.
	Seq uint64
	// Echo is the Seq of the last answer that the holder adopted from this home; 0 for none.
	AdoptedSeq uint64
	// Coordinator is the process that gave the echoed answer.
	Coordinator string
	// Over is the number of requests in flight beyond the guaranteed share.
	ExcessInFlight int
	// Units is the number the holder would like, beyond the guaranteed share.
	Units int
	// Spare says how many of Units are only to be held in reserve; they yield to needs of others.
	Reserve int
	// Recognise promises to recognise no other home until [Limits.PromiseDuration] has passed.
	Vote bool
}

// Grant is a home's answer. Zero units confirm the ask and allow nothing.
type Grant struct {
	Upstream string
	Seq      uint64
	// Coordinator names one process of the granting node.
	Coordinator string
	Units       int
	// BootID is the boot of the upstream that the units are for.
	BootID string
	Cap    int
	Report Report
	// Known says that Report is recent.
	ReportFresh bool
	// Pending says that this node grants nothing yet: the holder keeps what it has to its deadline.
	Pending bool
	// Warm says that the guaranteed shares may be used on this boot.
	GuaranteedUsable bool
	// Resigned releases the holder from its promise: this home grants no more.
	Resigned bool
}

// Allotment is a router's side of the allotment of one upstream. It is not safe for concurrent use.
type Allotment struct {
	Upstream string
	// Holder names this process, Node its place on the roster.
	Holder string
	Node   string
	// Voter says that Node is in the upstream's electorate.
	Voter bool
	// GuaranteedShare is the part usable without a grant, see [GuaranteedShare]: on boots that a home said are
	// warm, or on any if Static is set. Static suits upstreams that report no load; their whole limit
	// is divided into guaranteed shares.
	Guaranteed int
	Static     bool
	// Spare is how many of the units that the next ask wants are only a reserve.
	Reserve int
	Limits  Limits
	// AbstainUntil is the end of the first promise period after the start of this process.
	//
	// A voter that restarts has forgotten its promise. If it voted at once, two homes could have a
	// majority, and the upstream would get the grants of both. By this instant each promise of an
	// earlier process of this node has run out.
	AbstainUntil time.Time
	// GuaranteedFrom is when the guaranteed share becomes usable: one request lifetime after the
	// start of this process.
	//
	// Requests that an earlier process of this node sent on the share may run until then. Using it
	// at once would put twice the share in flight.
	GuaranteedFrom time.Time

	running  int
	boot     string // the boot last seen, by a grant or a connection
	warm     string // the boot whose guaranteed share is usable
	units    int
	unitBoot string
	until    time.Time
	seq      uint64
	echo     uint64
	home     string // process that gave the adopted answer
	askedAt  time.Time
	promised string // node that holds the promise
	promise  time.Time
}

// Ask returns the ask to send to the node that this router takes for home. It is false while a
// promise binds the router to another node.
func (h *Allotment) Request(now time.Time, home string, units int) (GrantRequest, bool) {
	if h.Voter && h.promised != "" && h.promised != home && now.Before(h.promise) {
		return GrantRequest{}, false
	}
	w := GrantRequest{Upstream: h.Upstream, Holder: h.Holder, Node: h.Node, ExcessInFlight: max(0, h.InUse()-h.own(now)), Units: max(0, units-h.own(now))}
	w.Reserve = min(h.Reserve, w.Units)
	if h.Voter && !now.Before(h.AbstainUntil) {
		h.promised, h.promise = home, now.Add(h.Limits.PromiseDuration)
		w.Vote = true
	}
	h.seq++
	h.askedAt = now
	w.Seq, w.AdoptedSeq, w.Coordinator = h.seq, h.echo, h.home
	return w, true
}

// Answer adopts a home's answer to the latest ask and reports whether it did. An answer to an
// earlier ask is dropped: the home has already stopped counting it.
func (h *Allotment) ApplyGrant(g Grant) bool {
	if g.Seq != h.seq || g.Seq == h.echo {
		return false
	}
	if g.Resigned {
		h.promised = ""
	}
	h.echo, h.home = g.Seq, g.Coordinator
	if g.Pending {
		return true
	}
	h.boot = g.BootID
	if g.GuaranteedUsable {
		h.warm = g.BootID
	}
	h.units, h.unitBoot = g.Units, g.BootID
	// The home counts from a later instant, when it answered, and for longer.
	h.until = h.askedAt.Add(h.Limits.GrantDuration)
	return true
}

// Acquire takes one unit and reports whether the request may go. The request may only be sent on a
// connection to the boot that was last seen, see [Holding.ObserveBoot].
//
// It compares the deadline with the present, not with the last tick: a router that was paused past
// the deadline would otherwise go on sending on units that the home has since given to others, and
// the upstream would carry more than its cap.
func (h *Allotment) Acquire(now time.Time) bool {
	if h.Free(now) <= 0 {
		return false
	}
	h.running++
	return true
}

// Release gives back the unit of a request that has ended.
func (h *Allotment) Release() { h.running = max(0, h.running-1) }

// Free returns the units that Acquire can still give.
func (h *Allotment) Free(now time.Time) int {
	n := h.own(now)
	if now.Before(h.until) && h.unitBoot == h.boot {
		n += h.units
	}
	return max(0, n-h.InUse())
}

// Seen tells the holding which boot a connection to the upstream leads to. If it is another one
// than before, the units granted for the earlier boot are not usable any more.
//
// A restart closes the connections of the earlier boot. If each new connection is asked for its
// boot id before it carries a request, no unit meant for a warm engine reaches its cold successor,
// however late the home learns of the restart.
func (h *Allotment) ObserveBoot(boot string) { h.boot = boot }

// BootID returns the boot last seen.
func (h *Allotment) BootID() string { return h.boot }

// InUse returns the requests in flight. Those of an earlier boot count until they are released;
// their connections break with it.
func (h *Allotment) InUse() int { return h.running }

// own returns the part of the guaranteed share that is usable now.
func (h *Allotment) own(now time.Time) int {
	if now.Before(h.GuaranteedFrom) || !h.Static && (h.warm == "" || h.warm != h.boot) {
		return 0
	}
	return h.Guaranteed
}
