package sagedispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrInvalidAttempt reports an attempt that can't be sent.
var ErrInvalidAttempt = errors.New("malformed attempt")

// Attempt is one try of one request at one upstream.
type Attempt struct {
	// RequestID names this attempt; no other attempt of any request bears it.
	RequestID string
	Address   string
	Method    string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is the instant after which the caller no longer waits.
	Deadline time.Time
	Priority sagewire.Priority
	// Key is the idempotency key; it is passed on to the upstream.
	IdempotencyKey string
	// Once says that the request may not be sent again. It goes out on a fresh connection, and is
	// not given up when its caller leaves, so that its outcome can be recorded.
	AtMostOnce bool
	// Stream says that the answer is expected as server-sent events.
	Stream bool
	// BootID is the boot of the upstream that the attempt is for; empty means any.
	BootID string
	// Engine says that the upstream resumes and cancels by request id.
	Engine bool
}

// Check reports a missing field, wrapped around [ErrInvalidAttempt].
func (a *Attempt) Check() error {
	switch {
	case a.RequestID == "":
		return fmt.Errorf("attempt without a request id: %w", ErrInvalidAttempt)
	case a.Address == "":
		return fmt.Errorf("attempt without an address: %w", ErrInvalidAttempt)
	case a.Method == "" || len(a.Path) == 0 || a.Path[0] != '/':
		return fmt.Errorf("attempt %q %q: %w", a.Method, a.Path, ErrInvalidAttempt)
	case a.Deadline.IsZero():
		return fmt.Errorf("attempt without a deadline: %w", ErrInvalidAttempt)
	}
	return nil
}

// BufferedResponse is a whole answer that was held in memory.
type BufferedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the end of an attempt.
type Result struct {
	Outcome sagewire.Outcome
	// Reason and Detail are set unless Outcome is Complete.
	Reason sagewire.Reason
	Detail string
	// RetryAt is the upstream's own Retry-After.
	RetryAt time.Time
	// Status is the upstream's status code; 0 if no answer came.
	Status int
	// Connected says that a connection to the upstream was had.
	Connected bool
	// Started says that the caller was sent a part of an answer: no other attempt may follow.
	ResponseStarted bool
	// Abort says that the caller's connection must be broken off, since nothing else can tell it
	// that the answer is not whole: the handler panics with [http.ErrAbortHandler].
	Abort bool
	// CallerGone says that the caller left or stopped reading.
	CallerGone bool
	BytesSent  int64
	// Resumes counts how often a broken stream was taken up again.
	Resumes int
	// Duplicates counts events that came a second time and were dropped.
	Duplicates   int
	CachedTokens int
	PromptTokens int
	BootID       string
	// FirstByteAt is when the first part of the answer's body came; zero if none did.
	FirstByteAt time.Time
	// BufferedResponse is set for a whole answer of an attempt that may run only once and was small enough.
	Response *BufferedResponse
}

// Refusal returns what to tell a caller that was sent nothing yet.
func (r *Result) Refusal(requestID string) *sagewire.Refusal {
	return &sagewire.Refusal{
		Outcome: r.Outcome, Reason: r.Reason, Detail: r.Detail, RequestID: requestID, RetryAt: r.RetryAt,
	}
}

func (r *Result) fail(o sagewire.Outcome, reason sagewire.Reason, format string, args ...any) {
	r.Outcome, r.Reason, r.Detail = o, reason, fmt.Sprintf(format, args...)
}
