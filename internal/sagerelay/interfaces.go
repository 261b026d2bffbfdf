package sagerelay

import (
	"context"
	"net/http"
	"time"

	"sagestand.example/sagestand/pkg/sagebrittle"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageshare"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// RequestMetadata is the information in the headers of a caller's request.
type RequestMetadata struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the API key; empty if the request has none.
	Key string
	// Deadline is the time by which the caller needs the response; zero if it doesn't say.
	Deadline time.Time
	// Model is the name of the model that the request is for; empty if it has none.
	Model string
	// Chain identifies the parts of the prompt.
	Chain sagechain.Chain
	// LastEventID is the ID of the event after which a stream is to be resumed.
	LastEventID string
	// Resumes is the ID of the caller's attempt that got the first event of the stream that this one resumes; empty if
	// the caller has no event.
	Resumes string
}

// ForwardMetadata is the information that this node adds to the headers of a forwarded request.
type ForwardMetadata struct {
	Upstream *sageupstream.Entry
	// Account is the client account; empty on public routes.
	Account  string
	Deadline time.Time
	Priority int
	// CacheSource is the address of an upstream that has more of the prompt in its cache; empty if
	// none has.
	CacheSource string
	// LastEventID is the ID of the event after which a stream is resumed; empty for a new stream.
	LastEventID string
}

// ResponseMetadata is the information in the headers of an upstream's response.
type ResponseMetadata struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// Sealed is set if the response bears the upstream's seal.
	Sealed bool
	// NotRun is set if the upstream did not execute the request and won't.
	NotRun bool
	// Misdirected is set if the address now belongs to another upstream.
	Misdirected bool
	// Leaving is set if the upstream is about to stop.
	Leaving bool
	// Brittle says that the upstreams of the service are brittle: one that declines more than MaxDeclines requests in a
	// second crashes.
	Brittle     bool
	MaxDeclines int
	// PauseUntil is the time before which the upstream wants no further requests of this node; zero if
	// it doesn't say.
	PauseUntil sageclock.Instant
}

// RelayMetadata is the information that a node adds to the headers of a request that it sends to a peer.
type RelayMetadata struct {
	Deadline time.Time
	// LastEventID is the ID of the event after which a stream is resumed; empty for a new stream.
	LastEventID string
}

// Dialect reads and writes the platform's headers.
type Dialect interface {
	// SetRelayHeader sets the headers of a request to a peer; h holds the caller's end-to-end headers.
	SetRelayHeader(h http.Header, m *RelayMetadata)
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(r *http.Request) (RequestMetadata, error)
	// SetForwardHeader sets the headers of a request to an upstream; h holds the caller's end-to-end
	// headers.
	SetForwardHeader(h http.Header, s *ForwardMetadata)
	// ParseResponse reads the headers of an upstream's response.
	ParseResponse(res *http.Response) ResponseMetadata
	// SetRefusalHeader sets the headers of a response that this node generates itself.
	SetRefusalHeader(h http.Header, id string, retryAfter time.Duration)
}

// Reason is the outcome of a request or the cause of its failure.
type Reason string

// The reasons, as they appear in responses, logs and metrics.
const (
	NoConfig     Reason = "no_config"
	NotFresh     Reason = "not_fresh"
	BadRequest   Reason = "bad_request"
	NoRoute      Reason = "no_route"
	Unauthorized Reason = "unauthorized"
	TooLarge     Reason = "too_large"
	NoMemory     Reason = "no_memory"
	NoUpstream   Reason = "no_upstream"
	UpstreamFull Reason = "upstream_full"
	// AccountLimited: the account uses its share of a service whose upstreams can't take more.
	AccountLimited Reason = "account_limited"
	// NoCapacity: the account asks for more than its share of a service that has no capacity, or the request could not be complete
	// before its deadline.
	NoCapacity Reason = "no_capacity"
	// NoPath: this node reaches no upstream of the service, and no peer takes the request.
	NoPath Reason = "no_path"
	// Leaving: this node stops, and might abort the request before its end.
	Leaving Reason = "leaving"
	// RelayBusy: this node relays as many requests of peers as it can, or is leaving.
	RelayBusy Reason = "relay_busy"
	// RelayOutdated: the peer that sent the request has a newer configuration.
	RelayOutdated Reason = "relay_outdated"
	// OriginUnknown: the caller takes up a stream, and it isn't known at which version it began.
	OriginUnknown Reason = "origin_unknown"
	// OriginMoved: the caller takes up a stream of a service to which the route no longer leads.
	OriginMoved Reason = "origin_moved"
	// VersionGone: the version at which the stream began has no upstream left.
	VersionGone Reason = "version_gone"
	// UpstreamsPaused: all upstreams of the service want no requests for some time.
	UpstreamsPaused Reason = "upstreams_paused"
	// UpstreamFailed: the caller gets an error response that an upstream returned.
	UpstreamFailed Reason = "upstream_failed"
	AnswerLost     Reason = "answer_lost"
	TimedOut       Reason = "timed_out"
	// Quarantined: upstreams crashed while they handled the request.
	Quarantined Reason = "quarantined"
	CallerLeft  Reason = "caller_left"
	Answered    Reason = "answered"
)

// Pick is a chosen upstream. Done must be called when the exchange is over.
type Pick struct {
	Upstream *sageupstream.Entry
	// CacheSource is the address of an upstream that has more of the prompt in its cache.
	CacheSource string
	// Rule names the placement rule that decided, for the log.
	Rule string
	Load int
	// UncachedTokens is the number of prompt tokens that the upstream doesn't have in its cache.
	UncachedTokens int
	// Place is the request's place at a brittle upstream.
	Place sagebrittle.Place[sageupstream.Start]
	Done  func()
}

// Helper is a peer that sends a request to an upstream for this node. Done must be called when the exchange is over.
type Helper struct {
	Node string
	// Address is the peer's address for other nodes.
	Address string
	// Done ends the exchange. refused says that the peer could not take the request.
	Done func(refused bool)
}

// Query describes a request that needs an upstream.
type Query struct {
	Service string
	// Route is the name of the request's route.
	Route string
	Chain sagechain.Chain
	// Tried lists the IDs of upstreams that were already chosen for the request.
	Tried []string
	// Origin is where the request's stream began; nil if it hasn't begun. Other upstreams must not be chosen.
	Origin *sageorigin.Origin
}

// AdmitQuery describes a caller's request that is to be sent to a service.
type AdmitQuery struct {
	Service, Account string
	// Urgency is 0 for the most urgent requests.
	Urgency int
	// Objective is the instant by which the response should begin, Deadline that by which it has to be complete.
	Objective, Deadline sageclock.Instant
	// Waited is how long the caller has waited before, after a refusal or a failure; 0 if the request is its first.
	Waited time.Duration
}

// Admission is the decision on an [AdmitQuery].
type Admission struct {
	OK bool
	// RetryAt is the instant at which there is capacity for a caller that isn't admitted.
	RetryAt sageclock.Instant
	// Rate is the number of requests per second that the account may start at this node, Queued the number of its requests
	// that waited, for the log.
	Rate   float64
	Queued int
}

// RetryDenial is the reason for which a request may not be sent once more.
type RetryDenial string

// The reasons.
const (
	// RetryBudgetSpent: this node has spent its share of the retries of all nodes.
	RetryBudgetSpent RetryDenial = "retry_budget"
	// RetryNoCapacity: a second execution would take the place of another request.
	RetryNoCapacity RetryDenial = "no_capacity"
)

// RetryDecision is the decision on a further send of a request.
type RetryDecision struct {
	// Denied is empty if the request may be sent.
	Denied RetryDenial
	// Usage is what this node may send before the decision, Nodes the number of nodes that share the slack, 0 if it isn't
	// known, and SinceStart the time since this node's start. They are for the log.
	Usage      sageshare.RetryUsage
	Nodes      int
	SinceStart time.Duration
}

// ResponseResult is the result and timing of an upstream's response. A time is zero if it isn't
// known.
type ResponseResult struct {
	// Failed is set if the response was an error or late.
	Failed bool
	// TimeToFirstEvent and MeanEventGap are the timing of a stream.
	TimeToFirstEvent, MeanEventGap time.Duration
	// Duration is the time until a response that isn't a stream was complete.
	Duration time.Duration
}

// Origins knows where streams began.
type Origins interface {
	// Begin records where a stream of a route began, whose caller may return until the given time, before its first
	// event is passed on. end is called when this node no longer carries the stream.
	Begin(route string, k sageorigin.Key, o sageorigin.Origin, until sageclock.Instant) (end func())
	// Find returns where the stream began whose caller has returned on a route.
	Find(ctx context.Context, route string, k sageorigin.Key) sageorigin.Finding
}

// Fleet is the node's view of the configuration and the upstreams.
type Fleet interface {
	// Table returns the configuration in force; nil before the first one.
	Table() *sageroute.Table
	// Fresh reports whether the configuration is fresh enough to trust API keys.
	Fresh() bool
	// ProofAge returns the age of the configuration's freshness proof, for the log.
	ProofAge() time.Duration
	// AwaitCacheSync waits briefly on a node that has just started until it knows which engines hold
	// the chain.
	AwaitCacheSync(ctx context.Context, service string, c sagechain.Chain)
	// Pick chooses an upstream; nil if none may be used.
	Pick(q *Query) *Pick
	// HasAnother reports whether an upstream that hasn't been tried may be chosen.
	HasAnother(q *Query) bool
	// Upstream returns the upstream with an ID if its start is known; nil otherwise.
	Upstream(id string, born int64) *sageupstream.Entry
	// Serves reports whether a version of a service has an upstream that doesn't leave, and may get requests.
	Serves(o sageorigin.Origin) bool
	// ChangedVersion reports whether the ID of an upstream belongs to another version by now.
	ChangedVersion(u *sageupstream.Entry) bool
	// Usable reports whether a chosen upstream may still get requests.
	Usable(u *sageupstream.Entry) bool
	// Leaving reports whether an upstream is about to stop or has left.
	Leaving(u *sageupstream.Entry) bool
	// RecordFirstSend records the first send of a request to a service.
	RecordFirstSend(service string)
	// AllowRetry decides whether the request may be sent to the service once more, and counts that send. mayRun says that
	// an upstream may have executed the request or still execute it.
	AllowRetry(service string, mayRun bool) RetryDecision
	// Admit waits until a caller's request may be sent to its service, within its objective, and reports whether it may.
	Admit(ctx context.Context, q *AdmitQuery) Admission
	// RecordRemaining records the time that a request's deadline leaves it at its arrival, and returns by how much that is
	// less than what new requests of the account and route have: the time for which its caller has waited before.
	RecordRemaining(account, route string, left time.Duration) (waited time.Duration)
	// QueueTime returns how long a request that is sent to the service now waits at its upstreams.
	QueueTime(service string) time.Duration
	// RecordRun records a complete response of an upstream, whatever it says.
	RecordRun(u *sageupstream.Entry, took time.Duration)
	// RecordFirstEvent records the time to the first event of a stream.
	RecordFirstEvent(p *Pick, took time.Duration)
	// RecordServiceTime records the duration of an exchange that brought the final response.
	RecordServiceTime(service string, took time.Duration)
	// PrefillTime returns the time in which an idle engine of the service prefills that many tokens.
	PrefillTime(service string, tokens int) time.Duration
	// RecordAnswer records that an upstream answered a request, whatever the answer was.
	// fresh says that the connection was new.
	RecordAnswer(u *sageupstream.Entry, fresh bool)
	// RecordUnanswered records an exchange that broke or stalled before its answer was complete.
	RecordUnanswered(u *sageupstream.Entry)
	// PathState returns the state of the path between this node and the upstreams of a service.
	PathState(service string) sagereach.PathState
	// Answered reports whether an upstream of a service has just answered this node over a new connection, so that others
	// that don't answer have failed themselves.
	Answered(service string) bool
	// ReachedByOthers reports whether any of the upstreams, which this node doesn't reach, answers other nodes.
	ReachedByOthers(upstreams []string) bool
	// PathReturn returns after which time the path to the upstreams of a service, which is lost, may be open again.
	PathReturn(service string) time.Duration
	// PickHelper chooses a peer that has a path to the upstreams of the service; nil if there is none. tried are the
	// names of peers that were already chosen for the request.
	PickHelper(service string, tried []string) *Helper
	// RelaySaturated reports whether this node has no processor time left for requests of peers.
	RelaySaturated() bool
	// WhenPathVerified calls commit once it is known that an unanswered exchange with an upstream wasn't caused by
	// this node's path, and never if the path was lost. refused says that a connection was refused, which is known
	// sooner than a timeout.
	WhenPathVerified(u *sageupstream.Entry, refused bool, commit func())
	// RecordExchange records the result of an exchange with an upstream.
	RecordExchange(u *sageupstream.Entry, res sagehealth.Result)
	// RecordResponse records the result of an upstream's response to a request of a route.
	RecordResponse(p *Pick, route string, a ResponseResult)
	// RecordPrompt records that an upstream is sent a chain, which will then be in its cache.
	RecordPrompt(u *sageupstream.Entry, c sagechain.Chain)
	// RecordLeaving records that this start of an upstream announced that it leaves, and reports whether that is
	// new. It gets no further requests.
	RecordLeaving(u *sageupstream.Entry) bool
	// RecordDecline records that an upstream declined a request because of its load. paused says that it asked for a
	// pause.
	RecordDecline(p *Pick, paused bool)
	// RecordAccept records that an upstream accepted a request.
	RecordAccept(p *Pick)
	// RecordBrittle records that an upstream announced that the upstreams of its service are brittle, and reports
	// whether that is new.
	RecordBrittle(u *sageupstream.Entry, maxDeclines int) bool
	// AwaitPlace waits shortly until a brittle service may have a place for another request; false if it has none.
	AwaitPlace(ctx context.Context, service string, objective time.Duration) bool
	// AdmitAccount reports whether a request of an account may be sent to a service, and counts it until leave is
	// called. It refuses accounts that use more than their share of a brittle service.
	AdmitAccount(service, account string) (leave func(), ok bool)
	// RecordPause records that this start of an upstream wants no requests of this node before a time, and reports
	// whether that extends its pause.
	RecordPause(u *sageupstream.Entry, until sageclock.Instant) bool
	// PausedUntil returns the end of the first pause if all upstreams of the service that could get requests are
	// paused, otherwise zero.
	PausedUntil(service string) sageclock.Instant
	// RecordMisdirected records that the upstream's address now belongs to another one.
	RecordMisdirected(u *sageupstream.Entry)
}
