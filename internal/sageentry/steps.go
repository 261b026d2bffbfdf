package sageentry

import (
	"context"
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Request is one decoded request of a caller.
type Request struct {
	ID      string
	Account string
	Route   string
	Kind    sageconfig.RouteKind
	// Idempotent reports whether the request may be sent to an upstream more than once.
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key; empty if it sent none.
	IdempotencyKey string
	// ChatID identifies the returning chat, Context the context that it shares with other chats.
	ChatID  string
	Context string
	// PlacementToken is the placement token that the caller sent.
	PlacementToken string
	Priority       sagewire.Priority
	Deadline       time.Time
	Method         string
	Path           string
	Header         http.Header
	Body           []byte
	Stream         bool
	// ArrivedAt is when the headers had been read.
	ArrivedAt time.Time
	// ReadAt is when the body had been read.
	ReadAt time.Time
}

// Config is the configuration in force on this node.
type Config interface {
	// State is never nil once Serving allows requests. A change replaces the whole state.
	State() *sageconfig.State
	Revision() uint64
	// Serving returns why this node may not serve such a request now, or nil.
	Serving(now time.Time, idempotent bool) *sagewire.Refusal
}

// Admission decides which requests may proceed, and when.
type Admission interface {
	// Admit returns a refusal, or waits until the request may proceed and returns the function to call
	// at its end.
	Admit(ctx context.Context, r *Request) (release func(), ref *sagewire.Refusal)
}

// Claim is the right to run the request of an idempotency key.
type Claim struct {
	ID             string
	IdempotencyKey string
	// Token is opaque data of the claim service.
	Token any
}

// Claims ensures that a request with an idempotency key runs at most once.
type Claims interface {
	// Claim returns the claim, or why the request may not run. A refusal with outcome already_run may
	// come with the stored response.
	Claim(ctx context.Context, r *Request) (*Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal)
	// Finish records the result of a claimed request.
	Finish(ctx context.Context, c *Claim, res *sagedispatch.Result)
}

// Pick is the upstream chosen for one attempt.
type Pick struct {
	Upstream string
	Address  string
	Engine   bool
	// PlacementToken is the placement token that the caller should send with its next request; may be
	// empty.
	PlacementToken string
	// Release returns the unit of the in-flight allotment.
	Release func(res *sagedispatch.Result)
}

// Placement chooses upstreams.
type Placement interface {
	// Pick chooses an upstream that is not in tried and takes one unit of its in-flight allotment.
	Pick(ctx context.Context, r *Request, tried []string) (*Pick, *sagewire.Refusal)
}

// Retries limits the attempts beyond the first.
type Retries interface {
	// RecordFirstAttempt counts the first attempt of a request.
	RecordFirstAttempt(now time.Time)
	// Allow reports whether another attempt may be made after those at the upstreams in tried, and the
	// earliest instant for it. An allowed attempt is counted. notRun means that the last attempt did
	// not execute.
	Allow(now time.Time, r *Request, tried []string, notRun bool) (retryAt time.Time, ok bool)
}

// Dispatch performs one exchange with one upstream.
type Dispatch interface {
	Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result
}

// Locator returns the addresses to which a caller should connect.
type Locator interface {
	Locate(now time.Time, q sagelocate.Query) (sagelocate.Answer, *sagewire.Refusal)
}

// Leaver announces that this node is stopping.
type Leaver interface {
	// Leave returns the instant until which locate responses given earlier may still send callers to
	// this node.
	Leave(now time.Time) (serveUntil time.Time)
}

// Observation describes a finished request for the burn reports.
type Observation struct {
	Account     string
	Route       string
	Priority    sagewire.Priority
	Outcome     sagewire.Outcome
	Reason      sagewire.Reason
	ArrivedAt   time.Time
	FirstByteAt time.Time
	EndedAt     time.Time
	Deadline    time.Time
	Attempts    int
	Upstream    string

	PromptTokens int
	CachedTokens int
}

// Recorder records every finished request.
type Recorder interface {
	Record(o Observation)
}
