package sagerelay

import (
	"context"
	"net/http"
	"time"

	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// RequestMetadata is what a caller's headers say.
type RequestMetadata struct {
	// ID names this attempt of the caller.
	ID string
	// Key is the caller's key; empty if it gave none.
	Key string
	// Deadline is when the caller stops waiting; zero if it doesn't say.
	Deadline time.Time
	// Chain are the parts of the prompt.
	Chain sagechain.Chain
	// LastEvent is the id of the event after which the caller wants a stream to go on.
	LastEventID string
}

// ForwardMetadata is what the headers to an upstream say beside the caller's own.
type ForwardMetadata struct {
	Upstream *sageupstream.Entry
	// Account is the client account; empty on public routes.
	Account  string
	Deadline time.Time
	Priority int
	// From is the address of an upstream that holds more of the prompt; empty if none does.
	CacheSource string
	// LastEvent is the id of the event after which a stream goes on; empty from its start.
	LastEventID string
}

// ResponseMetadata is what the headers of an upstream's answer say.
type ResponseMetadata struct {
	// ID is the request that the answer belongs to.
	ID string
	// Sealed says that the answer bears the upstream's seal.
	Sealed bool
	// NotRun says that the upstream did not execute the request and won't.
	NotRun bool
	// OtherUpstream says that the address belongs to another upstream by now.
	Misdirected bool
	// Leaving says that the upstream is about to stop.
	Leaving bool
}

// Dialect reads and writes the headers of callers and upstreams.
type Dialect interface {
	// RequestMetadata decodes a caller's request.
	ParseRequest(r *http.Request) (RequestMetadata, error)
	// ForwardMetadata sets the headers of a request to an upstream; h holds the caller's end-to-end headers.
	SetForwardHeader(h http.Header, s *ForwardMetadata)
	// ResponseMetadata decodes the headers of an upstream's answer.
	ParseResponse(res *http.Response) ResponseMetadata
	// Refuse sets the headers of an answer that this node gives itself.
	SetRefusalHeader(h http.Header, id string, retryAfter time.Duration)
}

// Reason is how or why a request ended.
type Reason string

// The reasons.
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
	// UpstreamFailed: the upstream's own failure is the answer.
	UpstreamFailed Reason = "upstream_failed"
	AnswerLost     Reason = "answer_lost"
	TimedOut       Reason = "timed_out"
	// Quarantined: upstreams crashed under the request.
	Quarantined Reason = "quarantined"
	CallerLeft  Reason = "caller_left"
	Answered    Reason = "answered"
)

// Pick is a chosen upstream. Done must be called when the exchange is over.
type Pick struct {
	Upstream *sageupstream.Entry
	// From is the address of an upstream that holds more of the prompt.
	CacheSource string
	// Why is what decided, for the log.
	Rule string
	Load int
	// Unread are the tokens of the prompt that the upstream has to read.
	UncachedTokens int
	Done           func()
}

// Query is a request for an upstream.
type Query struct {
	Service string
	// Route is the name of the request's route.
	Route string
	Chain sagechain.Chain
	// Tried are the IDs of upstreams that had the request already.
	Tried []string
}

// ResponseResult is how an upstream answered; zero is a time that isn't known.
type ResponseResult struct {
	// Failed says that it answered with a failure, or not in time.
	Failed bool
	// First is the time to the first event of a stream, Pause the mean time between two of them.
	TimeToFirstEvent, MeanEventGap time.Duration
	// Whole is the time to the whole of an answer that is no stream.
	Duration time.Duration
}

// Fleet is what the node knows of configuration and upstreams.
type Fleet interface {
	// Table is the configuration in force; nil before the first one.
	Table() *sageroute.Table
	// Fresh reports whether the configuration is fresh enough to trust a key.
	Fresh() bool
	// ProofAge is the age of the configuration's proof, for the log.
	ProofAge() time.Duration
	// Await waits a moment for knowledge of who holds a chain, on a node that has just started.
	AwaitCacheSync(ctx context.Context, service string, c sagechain.Chain)
	// Pick chooses an upstream, or nil if none may be used.
	Pick(q *Query) *Pick
	// Usable reports whether a picked upstream may still be sent to.
	Usable(u *sageupstream.Entry) bool
	// Leaving reports whether an upstream is about to stop, or has left.
	Leaving(u *sageupstream.Entry) bool
	// First notes the first send of a request to a service, Again asks for one more.
	RecordFirstSend(service string)
	AllowRetry(service string) bool
	// Began notes how long the first event of a stream took.
	RecordFirstEvent(p *Pick, took time.Duration)
	// Ran notes how long an exchange took that was answered to the end.
	RecordServiceTime(service string, took time.Duration)
	// Reads is how long engines of a service read that many tokens when nothing else waits.
	PrefillTime(service string, tokens int) time.Duration
	// Ended notes how an exchange with an upstream ended.
	RecordExchange(u *sageupstream.Entry, res sagehealth.Result)
	// Answered notes how an upstream answered a request of a route.
	RecordResponse(p *Pick, route string, a ResponseResult)
	// Read notes that an upstream reads a chain.
	RecordPrompt(u *sageupstream.Entry, c sagechain.Chain)
	// Gone notes that another upstream has the address by now.
	RecordMisdirected(u *sageupstream.Entry)
}
