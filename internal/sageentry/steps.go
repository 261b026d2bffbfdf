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
	// Idempotent says that the request may be sent to an upstream more than once.
	Idempotent bool
	// Key is the caller's idempotency key; empty if it gave none.
	IdempotencyKey string
	// ChatID and Context name the returning chat and the context it shares with others.
	ChatID  string
	Context string
	// Token is the placement token that the caller brought.
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
}

// Config is the configuration in force on this node.
type Config interface {
	// State is never nil once Serving allows requests; it is replaced as a whole.
	State() *sageconfig.State
	Revision() uint64
	// Serving says why this node may not serve such a request now, or nil.
	Serving(now time.Time, idempotent bool) *sagewire.Refusal
}

// Admission decides which requests go on, and when.
type Admission interface {
	// Admit returns with a refusal at once, or when the request may go on.
	Admit(ctx context.Context, r *Request) (release func(), ref *sagewire.Refusal)
}

// Claim is the right to run the request of an idempotency key.
type Claim struct {
	ID             string
	IdempotencyKey string
	// Token is the claim service's own.
	Token any
}

// Claims makes requests with an idempotency key run at most once.
type Claims interface {
	// Claim returns the claim, or why the request may not run. A refusal with outcome already_run
	// may come with the stored answer.
	Claim(ctx context.Context, r *Request) (*Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal)
	// Finish records the end of a claimed request.
	Finish(ctx context.Context, c *Claim, res *sagedispatch.Result)
}

// Pick is the upstream chosen for one attempt.
type Pick struct {
	Upstream string
	Address  string
	Engine   bool
	// Token is the placement token for the caller to bring along next time; may be empty.
	PlacementToken string
	// Done gives the allotment back.
	Release func(res *sagedispatch.Result)
}

// Placement chooses upstreams.
type Placement interface {
	// Pick chooses an upstream outside tried and takes one unit of its in-flight allotment.
	Pick(ctx context.Context, r *Request, tried []string) (*Pick, *sagewire.Refusal)
}

// Retries bounds the attempts beyond the first.
type Retries interface {
	// First notes the first attempt of a request.
	RecordFirstAttempt(now time.Time)
	// Allow reports whether one more attempt may be made after those at the upstreams tried, and
	// from which instant on, and counts it. NotRun says that the last attempt did not execute.
	Allow(now time.Time, r *Request, tried []string, notRun bool) (at time.Time, ok bool)
}

// Dispatch is one exchange with one upstream.
type Dispatch interface {
	Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result
}

// Locator answers where a caller should connect.
type Locator interface {
	Locate(now time.Time, q sagelocate.Query) (sagelocate.Answer, *sagewire.Refusal)
}

// Leaver announces that this node stops.
type Leaver interface {
	// Leave returns the instant until which callers may still come by answers given earlier.
	Leave(now time.Time) (serveUntil time.Time)
}

// Observation is the end of one request, for the reports.
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

// Recorder takes the end of every request.
type Recorder interface {
	Record(o Observation)
}
