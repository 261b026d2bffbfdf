package sagedispatch

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/internal/sagesse"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Errors that interrupt a stream. isFinal lists those after which it isn't resumed.
var (
	errSequenceGap   = errors.New("gap in the stream")
	errNoEventID     = errors.New("event without a position")
	errCallerGone    = errors.New("the caller stopped reading")
	errUpstreamError = errors.New("the upstream ended the stream with an error")
	errRestarted     = errors.New("the upstream was started anew")
	errNotResumed    = errors.New("the upstream can't resume the stream")
	errIDMismatch    = errors.New("the answer belongs to another request")
)

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// isDone reports whether e is the event that ends a stream.
func isDone(e *sagesse.Event) bool { return e.Type == "" && string(e.Data) == doneData }

// isFinal reports whether the stream can't be resumed after err.
func isFinal(err error) bool {
	for _, f := range []error{errCallerGone, errUpstreamError, errRestarted, errNotResumed, sagesse.ErrTooLarge, sagesse.ErrMalformed, errNoEventID} {
		if errors.Is(err, f) {
			return true
		}
	}
	return false
}

// forwardStream forwards events up to the done event and resumes a broken stream at the same upstream. It
// never continues at another upstream, which would generate a different text.
func (x *exchange) forwardStream(ctx context.Context, res *http.Response, tracker *sageconn.Tracker) {
	var last uint64
	emptyResumes := 0
	for {
		before := last
		err := x.forwardEvents(res, tracker, &last)
		if err == nil {
			tracker.Finish()
			x.result.Outcome = sagewire.Complete
			x.w.Header().Set(sagewire.HeaderOutcome, string(sagewire.Complete))
			return
		}
		tracker.Reset()
		_ = res.Body.Close()
		if last > before {
			emptyResumes = 0
		}
		for !isFinal(err) && ctx.Err() == nil && emptyResumes < intOrDefault(x.d.MaxResumes, DefaultMaxResumes) {
			sageclock.Sleep(ctx, resumeBackoff<<emptyResumes)
			emptyResumes++
			x.result.Resumes++
			tracker = new(sageconn.Tracker)
			var resumeErr error
			if res, resumeErr = x.resume(ctx, tracker, last); resumeErr == nil {
				err = nil
				break
			}
			err = resumeErr
		}
		if err != nil {
			x.endStream(ctx, err)
			return
		}
	}
}

// forwardEvents forwards the events of one connection. It returns nil once the done event has been forwarded.
func (x *exchange) forwardEvents(res *http.Response, tracker *sageconn.Tracker, last *uint64) error {
	r := &sagesse.Reader{R: bufio.NewReader(res.Body), MaxEventBytes: intOrDefault(x.d.MaxEventBytes, DefaultMaxEventBytes)}
	// A connection that is cut without FIN or RST produces no read error, so the timer closes it after the stall
	// timeout. The timer is stopped during writes: a slow caller must not count as a stalled upstream.
	stall := durationOrDefault(x.d.StallTimeout, DefaultStallTimeout)
	stallTimer := time.AfterFunc(stall, tracker.Reset)
	defer stallTimer.Stop()
	for {
		stallTimer.Reset(stall)
		e, err := r.Next()
		if err != nil {
			return fmt.Errorf("read event: %w", err)
		}
		stallTimer.Stop()
		forward, err := x.checkEvent(e, *last)
		if err != nil {
			return err
		}
		if !forward {
			continue
		}
		if err := x.forwardEvent(res, e); err != nil {
			return err
		}
		if e.ID > 0 {
			*last = e.ID
		}
		if isDone(e) {
			return nil
		}
	}
}

// checkEvent reports whether an event is to be forwarded after the event with id last. Events that were
// already forwarded are dropped, since a resumed stream may repeat some. A gap is an error: the caller would
// take a response with missing events for a complete one.
func (x *exchange) checkEvent(e *sagesse.Event, last uint64) (bool, error) {
	switch {
	case e.IsKeepAlive():
		return x.result.ResponseStarted, nil
	case e.Type == "error":
		return false, fmt.Errorf("%q: %w", e.Data, errUpstreamError)
	case e.ID == 0:
		return false, errNoEventID
	case e.ID <= last:
		x.result.Duplicates++
		return false, nil
	case e.ID > last+1:
		return false, fmt.Errorf("position %d after %d: %w", e.ID, last, errSequenceGap)
	}
	return true, nil
}

// forwardEvent writes one event to the caller, preceded by the response header if it is the first.
func (x *exchange) forwardEvent(res *http.Response, e *sagesse.Event) error {
	if !x.result.ResponseStarted {
		x.result.FirstByteAt = time.Now()
		x.result.ResponseStarted = true
		h := x.w.Header()
		sageheader.Copy(h, res.Header)
		h.Set("Trailer", sagewire.HeaderOutcome)
		x.setWriteDeadline()
		x.w.WriteHeader(res.StatusCode)
	}
	if err := x.write(e.Raw); err != nil {
		return fmt.Errorf("%v: %w", err, errCallerGone)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("flush: %v: %w", err, errCallerGone)
	}
	return nil
}

// resume requests the rest of the stream from the same upstream. It uses a new connection, since idle ones
// are likely to be broken too.
func (x *exchange) resume(ctx context.Context, tracker *sageconn.Tracker, last uint64) (*http.Response, error) {
	if !x.a.Engine {
		return nil, errNotResumed
	}
	path := streamPath(x.a.RequestID) + "?after=" + strconv.FormatUint(last, 10)
	req, err := newRequest(ctx, http.MethodGet, x.a.Address, path, nil, tracker)
	if err != nil {
		return nil, err
	}
	req.Header.Set(sagewire.HeaderRequestID, x.a.RequestID)
	res, err := tracker.RoundTrip(x.d.freshTransport, req)
	if err != nil {
		return nil, fmt.Errorf("resume: %w", err)
	}
	if err := x.checkResumed(res); err != nil {
		tracker.Reset()
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

func (x *exchange) checkResumed(res *http.Response) error {
	switch {
	case res.Header.Get(sagewire.HeaderRequestID) != x.a.RequestID:
		return errIDMismatch
	case res.Header.Get(sagewire.HeaderBootID) != x.result.BootID:
		return errRestarted
	case res.StatusCode == http.StatusNotFound, res.StatusCode == http.StatusGone:
		return errNotResumed
	case !sageheader.IsEventStream(res):
		return fmt.Errorf("resume: status %d", res.StatusCode)
	}
	return nil
}

// endStream sets the result of a stream that can't be completed and sends the caller an error event. Without
// it, the truncated response would look complete to a caller that doesn't check for the done event.
func (x *exchange) endStream(ctx context.Context, cause error) {
	reason := sagewire.ReasonAnswerLost
	if ctx.Err() != nil {
		reason = sagewire.ReasonDeadline
	}
	x.result.fail(sagewire.Unknown, reason, "the stream broke off: %v", cause)
	if errors.Is(cause, errCallerGone) {
		x.result.CallerGone, x.result.Abort = true, true
		return
	}
	if !x.result.ResponseStarted {
		return
	}
	b, err := json.Marshal(x.result.Refusal(x.a.RequestID))
	if err != nil {
		x.result.Abort = true
		return
	}
	x.w.Header().Set(sagewire.HeaderOutcome, string(sagewire.Unknown))
	if err := x.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", b)); err != nil {
		x.result.CallerGone, x.result.Abort = true, true
		return
	}
	_ = http.NewResponseController(x.w).Flush()
}
