package sagerelay

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sageroute"
)

const (
	// returnGrace is how much longer than its caller waits a stream's origin is known, for clocks and delays on the way.
	returnGrace = 2 * time.Second
	// versionReturn is the Retry-After if the version of a stream has no upstream: one that crashed registers again
	// within about this time.
	versionReturn = 2 * time.Second
)

// originState is the part of a request's state that concerns where its stream began.
type originState struct {
	// origin is where the stream began; nil before its first event. The version is empty if it isn't known.
	origin *sageorigin.Origin
	// originMayFollow says that the origin isn't known yet and may be soon, originFollowsIn in how long at the earliest.
	originMayFollow bool
	originFollowsIn time.Duration
	// begun says that this node has passed on an event.
	begun bool
	// end ends the stream at this node; nil if it wasn't recorded.
	end func()
}

// tracksOrigin reports whether the request's stream may go on at another upstream once it has begun.
func (j *job) tracksOrigin() bool { return j.route.Kind == sageroute.Stream && j.route.Resumable }

// resumes reports whether the caller takes up a stream.
func (j *job) resumes() bool {
	return j.tracksOrigin() && (j.meta.Resumes != "" || j.meta.LastEventID != "")
}

// originKey returns the key of the request's stream.
func (j *job) originKey() sageorigin.Key {
	return sageorigin.KeyOf(j.accountName(), cmp.Or(j.meta.Resumes, j.meta.ID))
}

// findOrigin sets where the stream began that the caller takes up. If it can't go on there, the result is the reason.
func (j *job) findOrigin(ctx context.Context) (Reason, bool) {
	if !j.resumes() || j.origin != nil {
		return "", true
	}
	start := time.Now()
	f := j.s.Origins.Find(ctx, j.route.Name, j.originKey())
	reason := Reason("")
	switch {
	case f.Status == sageorigin.Unknown || f.Status == sageorigin.Found && f.Origin.Version == "":
		reason, j.originMayFollow, j.originFollowsIn = OriginUnknown, f.MayFollow, f.FollowsIn
	case !j.leadsTo(f.Origin.Service):
		reason = OriginMoved
	default:
		j.origin, j.serviceName = &f.Origin, f.Origin.Service
	}
	if f.Status != sageorigin.Sole {
		j.s.Log.Limited(sagelog.KindExchange, "Caller takes up a stream.", "id", j.meta.ID, "resumes", j.meta.Resumes, "last_event", j.meta.LastEventID, "origin", f.Status.String(),
			"service", f.Origin.Service, "version", f.Origin.Version, "from", f.From, "record_age_ms", f.Age.Milliseconds(), "asked", f.Asked, "answered", f.Answered, "reason", string(reason), "took_ms", time.Since(start).Milliseconds())
	}
	return reason, reason == ""
}

// leadsTo reports whether the request's route leads to a service.
func (j *job) leadsTo(service string) bool {
	for _, w := range j.route.Services {
		if w.Service == service {
			return true
		}
	}
	return false
}

// missingReason returns why no upstream could be chosen.
func (j *job) missingReason() Reason {
	if j.origin != nil && !j.s.Fleet.Serves(*j.origin) {
		return VersionGone
	}
	return NoUpstream
}

// exchangeOrigin returns where the events of the exchange come from.
func (x *exchange) exchangeOrigin() sageorigin.Origin {
	switch {
	case x.helper != nil:
		return x.helperOrigin
	case x.j.s.Fleet.ChangedVersion(x.p.Upstream):
		return sageorigin.Origin{Service: x.p.Upstream.Service}
	}
	return sageorigin.Origin{Service: x.p.Upstream.Service, Version: x.p.Upstream.Version}
}

// fitsOrigin reports whether events of the exchange may be passed on after those that the caller has.
func (x *exchange) fitsOrigin() bool {
	return !x.j.tracksOrigin() || x.j.origin == nil || x.exchangeOrigin() == *x.j.origin
}

// recordOrigin records where the stream began, or that it goes on here, before its first event of this node is passed on.
func (x *exchange) recordOrigin() {
	j := x.j
	if j.begun || !j.tracksOrigin() {
		return
	}
	j.begun = true
	if j.origin == nil {
		o := x.exchangeOrigin()
		j.origin = &o
	}
	if j.relay.from != "" {
		return // the peer that has the caller records it
	}
	if !j.resumes() {
		j.s.Log.Limited(sagelog.KindServed, "Stream begins.", "id", j.meta.ID, "service", j.origin.Service, "version", j.origin.Version, "upstream", x.upstreamID())
	}
	until := j.deadline
	if d := j.meta.Deadline; !d.IsZero() {
		until = d
	}
	j.end = j.s.Origins.Begin(j.route.Name, j.originKey(), *j.origin, sageclock.Now().Add(time.Until(until)+returnGrace))
}

// endOrigin ends the stream at this node.
func (j *job) endOrigin() {
	if j.end != nil {
		j.end()
	}
}

// Headers between nodes that name the version of a stream: in a request the one at which it has to go on, in a response the
// one that its events come from.
const headerRelayUpstreamVersion = relayHeaderPrefix + "Upstream-Version"

// setOriginHeader names the version of a stream in the headers of a request or response between nodes.
func setOriginHeader(h http.Header, o *sageorigin.Origin) {
	if o != nil {
		h.Set(headerRelayUpstreamVersion, url.QueryEscape(o.Version))
	}
}

// parseOriginHeader returns the origin with the version that the headers name; nil if they name none.
func parseOriginHeader(h http.Header, service string) *sageorigin.Origin {
	values := h.Values(headerRelayUpstreamVersion)
	if len(values) != 1 {
		return nil
	}
	version, err := url.QueryUnescape(values[0])
	if err != nil {
		return &sageorigin.Origin{Service: service}
	}
	return &sageorigin.Origin{Service: service, Version: version}
}
