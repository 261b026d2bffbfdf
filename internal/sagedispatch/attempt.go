package sagedispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrInvalidAttempt is returned for an attempt with a missing or malformed field.
var ErrInvalidAttempt = errors.New("malformed attempt")

// Attempt is one attempt to send a request to one upstream.
type Attempt struct {
	// RequestID is unique among all attempts of all requests.
	RequestID string
	Address   string
	Method    string
	// Path includes the query string.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is the time after which the caller no longer waits for the response.
	Deadline time.Time
	Priority sagewire.Priority
	// IdempotencyKey is forwarded to the upstream in a header unless it is empty.
	IdempotencyKey string
	// AtMostOnce marks a request that must not be sent a second time. It is sent on a new connection, and it is
	// not canceled when its caller disconnects, so that its outcome can be recorded.
	AtMostOnce bool
	// Stream reports whether the response is expected as server-sent events.
	Stream bool
	// BootID is the upstream boot that the attempt may be sent to. Empty means any.
	BootID string
	// Engine reports whether the upstream is an engine, which can resume and cancel a stream by its request id.
	Engine bool
}

// Check returns an error that wraps [ErrInvalidAttempt] if a field is missing or malformed.
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

// BufferedResponse is a complete response that was buffered in memory.
type BufferedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result describes how an attempt ended.
type Result struct {
	Outcome sagewire.Outcome
	// Reason and Detail are set unless Outcome is Complete.
	Reason sagewire.Reason
	Detail string
	// RetryAt is computed from the upstream's Retry-After header. It is zero if there was none.
	RetryAt time.Time
	// Status is the upstream's status code, or 0 if no response was received.
	Status int
	// Connected reports whether a connection to the upstream was established.
	Connected bool
	// ResponseStarted reports whether part of a response was written to the caller. No other attempt may follow.
	ResponseStarted bool
	// Abort reports whether the handler must panic with [http.ErrAbortHandler]. Closing the connection is then
	// the only way to show the caller that the response is incomplete.
	Abort bool
	// CallerGone reports whether the caller disconnected or stopped reading.
	CallerGone bool
	BytesSent  int64
	// Resumes is the number of attempts to resume a broken stream.
	Resumes int
	// Duplicates is the number of repeated events that were dropped.
	Duplicates   int
	CachedTokens int
	PromptTokens int
	BootID       string
	// FirstByteAt is when the first part of the response body arrived. It is zero if none did.
	FirstByteAt time.Time
	// Response is set for an AtMostOnce attempt whose response is complete and no larger than
	// Dispatcher.MaxBufferedBytes.
	Response *BufferedResponse
}

// Refusal returns the refusal for a caller to which nothing has been written yet.
func (r *Result) Refusal(requestID string) *sagewire.Refusal {
	return &sagewire.Refusal{
		Outcome: r.Outcome, Reason: r.Reason, Detail: r.Detail, RequestID: requestID, RetryAt: r.RetryAt,
	}
}

func (r *Result) fail(o sagewire.Outcome, reason sagewire.Reason, format string, args ...any) {
	r.Outcome, r.Reason, r.Detail = o, reason, fmt.Sprintf(format, args...)
}
