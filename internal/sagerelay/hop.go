package sagerelay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Headers between nodes. They are removed from what callers and upstreams send and get.
const (
	relayHeaderPrefix = "Sagestand-Relay-"
	// headerRelayFrom is the name of the node that relays a request to a peer.
	headerRelayFrom = relayHeaderPrefix + "From"
	// headerRelayService is the service that was chosen for the request.
	headerRelayService = relayHeaderPrefix + "Service"
	// headerRelayVersion is the version of the configuration that the request was matched against.
	headerRelayVersion = relayHeaderPrefix + "Version"
	// headerRelayRuns is the number of upstreams that may have executed the request so far.
	headerRelayRuns = relayHeaderPrefix + "Runs"
	// headerRelayUpstream is the ID of the upstream whose response a peer passes on, headerRelayBorn its start.
	headerRelayUpstream = relayHeaderPrefix + "Upstream"
	headerRelayBorn     = relayHeaderPrefix + "Born"
	// headerRelayRefusal is the reason for which the peer refused a request that no upstream has executed.
	headerRelayRefusal = relayHeaderPrefix + "Refusal"
)

// Limits of requests over peers.
const (
	// maxHelpers is the maximum number of peers that one request is sent to.
	maxHelpers = 3
	// maxUnreached is how many upstreams in a row can't be reached before a request is sent to a peer although the
	// path is only suspected.
	maxUnreached = 2
	// helperStallFactor multiplies the first-byte timeout of an exchange with a peer, which may itself try a second
	// upstream.
	helperStallFactor = 2
)

// relayState is the part of a request's state that concerns peers.
type relayState struct {
	// from is the node that relayed the request to this one; empty if it came from a caller.
	from string
	// service is the service that node chose, and version its configuration's version.
	service string
	version uint64
	// earlierRuns is the number of upstreams that may have executed the request before it was relayed.
	earlierRuns int
	// origin is where the stream that the peer relayed has begun; nil if it hasn't.
	origin *sageorigin.Origin
	// tried are the peers that this node sent the request to.
	tried []string
	// refusal is the reason of the last peer that refused the request, and pauseUntil the end of the pause that it
	// asked for.
	refusal    Reason
	pauseUntil sageclock.Instant
}

// retriableRefusals are the reasons that concern only the peer that refused a request.
var retriableRefusals = map[Reason]bool{
	VersionGone: true, NoPath: true, RelayBusy: true, RelayOutdated: true, NoConfig: true, NotFresh: true, NoRoute: true, Unauthorized: true, NoMemory: true, BadRequest: true,
}

// needsHelper reports whether the request has to be sent to a peer. A request that came from a peer is never sent to
// another one.
func (j *job) needsHelper() bool { return j.relay.from == "" && j.unreachable() }

// unreachable reports whether this node can't expect to reach an upstream of the service.
func (j *job) unreachable() bool {
	switch j.s.Fleet.PathState(j.serviceName) {
	case sagereach.Lost:
		return true
	case sagereach.Suspected:
		if !j.s.Fleet.Answered(j.serviceName) && (len(j.unreached) >= maxUnreached || j.possibleRuns > 0) {
			return true
		}
	}
	return len(j.unreached) >= maxUnreached && j.s.Fleet.ReachedByOthers(j.unreached)
}

// serveByHelper sends the request to peers until one responds or no further one may be tried. It reports whether the caller got the
// complete response of an upstream.
func (j *job) serveByHelper(ctx context.Context) bool {
	reason := NoPath
	for len(j.relay.tried) < maxHelpers {
		if j.possibleRuns == 0 && !j.headerSent && !j.fitsBeforeExit() {
			reason = j.leavingReason()
			break
		}
		h := j.s.Fleet.PickHelper(j.serviceName, j.relay.tried)
		if h == nil {
			break
		}
		v := j.sendToHelper(ctx, h)
		j.countHop(h, v)
		if v == answered {
			j.s.countEnd(Answered)
			j.s.observeDuration(j)
			j.s.Log.Limited(sagelog.KindServed, "Request answered by a peer.", "id", j.meta.ID, "route", j.route.Name, "peer", h.Node, "hops", len(j.relay.tried),
				"sends", j.sends, "resumes", j.meta.Resumes, "config_version", j.version, "age_ms", time.Since(j.start).Milliseconds())
			return true
		}
		j.s.Log.Limited(sagelog.KindExchange, "Exchange with a peer failed.", "id", j.meta.ID, "peer", h.Node, "verdict", v.String(), "refusal", string(j.relay.refusal),
			"cause", j.cause, "hop", len(j.relay.tried), "age_ms", time.Since(j.start).Milliseconds())
		if v == callerGone {
			j.abandon()
		}
		var ok bool
		if reason, ok = j.mayTryNextHelper(ctx, v); !ok {
			break
		}
	}
	j.finish(ctx, reason)
	return false
}

// mayTryNextHelper reports whether the request may be sent to another peer, and otherwise why not.
func (j *job) mayTryNextHelper(ctx context.Context, v verdict) (Reason, bool) {
	switch {
	case ctx.Err() != nil || time.Until(j.deadline) < minRemaining:
		return TimedOut, false
	case v == notSent:
		return NoPath, true
	case v == notRun && retriableRefusals[j.relay.refusal]:
		return NoPath, true
	case v == notRun:
		return j.relay.refusal, false
	case !j.route.Repeatable() || j.possibleRuns >= j.route.MaxAttempts:
		return AnswerLost, false
	case !j.retryGranted.Swap(false) && !j.allowRetry(j.possibleRuns > 0, j.sends, j.cause):
		return AnswerLost, false
	}
	return AnswerLost, true
}

// sendToHelper sends the request to a peer and forwards the response.
func (j *job) sendToHelper(ctx context.Context, h *Helper) (v verdict) {
	j.relay.tried = append(j.relay.tried, h.Node)
	j.relay.refusal, j.relay.pauseUntil = "", 0
	if j.keyChecked && !j.s.Fleet.Fresh() {
		h.Done(false)
		j.cause = "configuration no longer fresh"
		return notSent
	}
	if !j.beginSend() {
		h.Done(false)
		j.cause = errLeaving.Error()
		return notSent
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{j: j, helper: h, start: time.Now(), cancel: cancel}
	j.recordResend(h.Node)
	defer func() { x.recordEnd(h.Node, v) }()
	stallTimer := x.startStallTimer(ctx)
	if stallTimer != nil {
		defer stallTimer.Stop()
	}
	res, err := x.send(ctx)
	if err != nil {
		v = x.failExchange(ctx, err)
		h.Done(v == notSent)
		return v
	}
	defer func() { _ = res.Body.Close() }()
	v = x.handleResponse(ctx, res, stallTimer)
	h.Done(v == notRun && retriableRefusals[j.relay.refusal])
	return v
}

// handleHelperResponse checks the response of a peer and forwards it.
func (x *exchange) handleHelperResponse(ctx context.Context, res *http.Response, meta *ResponseMetadata, stallTimer *time.Timer) verdict {
	j := x.j
	refusal, runs := Reason(res.Header.Get(headerRelayRefusal)), res.Header.Get(headerRelayRuns)
	born, _ := strconv.ParseInt(res.Header.Get(headerRelayBorn), 10, 64) // 0 if unknown
	if u := j.s.Fleet.Upstream(res.Header.Get(headerRelayUpstream), born); u != nil {
		j.observeAnnouncements(u, res.StatusCode, meta)
	}
	x.helperOrigin = x.originOfResponse(res.Header, born)
	removeRelayHeader(res.Header)
	if refusal != "" {
		x.tracker.Finish()
		j.relay.refusal, j.relay.pauseUntil = refusal, meta.PauseUntil
		j.quarantineEnd = meta.PauseUntil // used only if the request is quarantined
		j.cause = "peer refused: " + string(refusal)
		return notRun
	}
	if meta.ID == "" || !meta.Sealed {
		n, _ := strconv.Atoi(runs) // without the header, the peer may have sent the request once
		j.possibleRuns += max(0, n-1)
		return x.rejectResponse("peer's response has no seal: status " + strconv.Itoa(res.StatusCode))
	}
	return x.forwardResponse(ctx, res, stallTimer)
}

// setRelayHeader sets the headers of a request to a peer.
func (j *job) setRelayHeader(h http.Header) {
	j.s.Dialect.SetRelayHeader(h, &RelayMetadata{Deadline: j.deadline, LastEventID: j.lastEventID})
	h.Set(headerRelayFrom, j.s.Node)
	h.Set(headerRelayService, j.serviceName)
	h.Set(headerRelayVersion, strconv.FormatUint(j.version, 10))
	h.Set(headerRelayRuns, strconv.Itoa(j.possibleRuns))
	setOriginHeader(h, j.origin)
}

// originOfResponse returns where the events of a peer's response come from. Peers of an earlier version of this program
// name the upstream only.
func (x *exchange) originOfResponse(h http.Header, born int64) sageorigin.Origin {
	if o := parseOriginHeader(h, x.j.serviceName); o != nil {
		return *o
	}
	if u := x.j.s.Fleet.Upstream(h.Get(headerRelayUpstream), born); u != nil && u.Service == x.j.serviceName {
		return sageorigin.Origin{Service: u.Service, Version: u.Version}
	}
	return sageorigin.Origin{Service: x.j.serviceName}
}

func removeRelayHeader(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, relayHeaderPrefix) {
			delete(h, name)
		}
	}
}

// setRelayRefusal states in the response to a peer that the request has not been executed, or how often it may have been.
func (j *job) setRelayRefusal(h http.Header, status int, reason Reason) {
	if j.relay.from == "" {
		return
	}
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		h.Set(headerRelayRuns, strconv.Itoa(j.possibleRuns))
		return
	}
	h.Set(headerRelayRefusal, string(reason))
}

// setRelayUpstream names, in the response to a peer, the upstream that it comes from.
func (j *job) setRelayUpstream(h http.Header, u *sageupstream.Entry) {
	if j.relay.from != "" {
		h.Set(headerRelayUpstream, u.ID)
		h.Set(headerRelayBorn, strconv.FormatInt(u.Born, 10))
	}
}

func (j *job) countHop(h *Helper, v verdict) {
	j.s.Metrics.GetOrCreateCounter(`sagestand_hops_total{peer="` + h.Node + `",verdict="` + v.String() + `"}`).Inc()
}

// RelayedByPeer reports whether a request comes from a peer.
func RelayedByPeer(r *http.Request) bool { return r.Header.Get(headerRelayFrom) != "" }

// ServeRelayed serves a request that a peer received and can't send to an upstream itself. It never relays it further.
func (s *Service) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	j := &job{s: s, w: w, r: r, start: time.Now(), relay: parseRelayState(r.Header)}
	j.origin = j.relay.origin
	defer s.relayed.Add(-1)
	if n := s.relayed.Add(1); s.MaxRelayed > 0 && n > s.MaxRelayed || s.Fleet.RelaySaturated() {
		j.refuseUnparsed(RelayBusy)
		return
	}
	if s.Fleet.PathState(j.relay.service) == sagereach.Lost {
		j.refuseUnparsed(NoPath)
		return
	}
	s.serveJob(j)
}

// refuseUnparsed refuses a request before it is accepted. Its ID shows the peer that the refusal belongs to it.
func (j *job) refuseUnparsed(reason Reason) {
	j.meta, _ = j.s.Dialect.ParseRequest(j.r) // without an ID, the refusal has none
	j.refuse(http.StatusServiceUnavailable, reason, shortRetryAfter)
}

func parseRelayState(h http.Header) relayState {
	out := relayState{from: h.Get(headerRelayFrom), service: h.Get(headerRelayService)}
	out.origin = parseOriginHeader(h, out.service)
	out.version, _ = strconv.ParseUint(h.Get(headerRelayVersion), 10, 64) // 0: any version will do
	out.earlierRuns, _ = strconv.Atoi(h.Get(headerRelayRuns))             // 0 if missing
	return out
}
