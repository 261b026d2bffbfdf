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
	"sagestand.example/sagestand/pkg/sagewire"
)

// Errors that end a stream.
var (
	errGap         = errors.New("gap in the stream")
	errNoPosition  = errors.New("event without a position")
	errCallerGone  = errors.New("the caller stopped reading")
	errUpstreamEnd = errors.New("the upstream ended the stream with an error")
	errRestarted   = errors.New("the upstream was started anew")
	errNotResumed  = errors.New("the upstream can't resume the stream")
	errForeign     = errors.New("the answer belongs to another request")
)

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// done reports the event that ends a stream.
func done(e *sagesse.Event) bool { return e.Type == "" && string(e.Data) == doneData }

// final reports an error after which resuming is of no use.
func final(err error) bool {
	for _, f := range []error{errCallerGone, errUpstreamEnd, errRestarted, errNotResumed, sagesse.ErrTooLarge, sagesse.ErrMalformed, errNoPosition} {
		if errors.Is(err, f) {
			return true
		}
	}
	return false
}

// stream passes on events up to the end mark, taking a broken stream up again at the same upstream.
// It never restarts the answer elsewhere: another upstream would continue with other words.
func (x *exchange) stream(ctx context.Context, res *http.Response, sent *sageconn.Tracker) {
	var last uint64
	fruitless := 0
	for {
		before := last
		err := x.events(res, sent, &last)
		if err == nil {
			x.res.Outcome = sagewire.Complete
			x.w.Header().Set(sagewire.HeaderOutcome, string(sagewire.Complete))
			return
		}
		sent.Close()
		_ = res.Body.Close()
		if last > before {
			fruitless = 0
		}
		for !final(err) && ctx.Err() == nil && fruitless < orInt(x.d.MaxResumes, DefaultMaxResumes) {
			pause(ctx, resumePause<<fruitless)
			fruitless++
			x.res.Resumes++
			sent = new(sageconn.Tracker)
			var rerr error
			if res, rerr = x.resume(ctx, sent, last); rerr == nil {
				err = nil
				break
			}
			err = rerr
		}
		if err != nil {
			x.endStream(ctx, err)
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// events passes on the events of one connection; nil means that the end mark was passed on.
func (x *exchange) events(res *http.Response, sent *sageconn.Tracker, last *uint64) error {
	r := &sagesse.Reader{R: bufio.NewReader(res.Body), MaxEventBytes: orInt(x.d.MaxEventBytes, DefaultMaxEventBytes)}
	// A connection that is cut without a word brings no error. The timer closes it, and the read
	// then fails; it is stopped while the caller is written to, whose slowness isn't the upstream's.
	stall := orDuration(x.d.StallTimeout, DefaultStallTimeout)
	watch := time.AfterFunc(stall, sent.Close)
	defer watch.Stop()
	for {
		watch.Reset(stall)
		e, err := r.Next()
		if err != nil {
			return fmt.Errorf("read event: %w", err)
		}
		watch.Stop()
		pass, err := x.judge(e, *last)
		if err != nil {
			return err
		}
		if !pass {
			continue
		}
		if err := x.pass(res, e); err != nil {
			return err
		}
		if e.ID > 0 {
			*last = e.ID
		}
		if done(e) {
			return nil
		}
	}
}

// judge decides whether an event is the one that follows position last. An event that came before
// is dropped: a resumed stream may repeat some. A gap is never passed: the caller would take an
// answer with missing words for a whole one.
func (x *exchange) judge(e *sagesse.Event, last uint64) (bool, error) {
	switch {
	case e.IsKeepAlive():
		return x.res.ResponseStarted, nil
	case e.Type == "error":
		return false, fmt.Errorf("%q: %w", e.Data, errUpstreamEnd)
	case e.ID == 0:
		return false, errNoPosition
	case e.ID <= last:
		x.res.Duplicates++
		return false, nil
	case e.ID > last+1:
		return false, fmt.Errorf("position %d after %d: %w", e.ID, last, errGap)
	}
	return true, nil
}

// pass writes one event to the caller; the first one is preceded by the header.
func (x *exchange) pass(res *http.Response, e *sagesse.Event) error {
	if !x.res.ResponseStarted {
		x.res.FirstByteAt = time.Now()
		x.res.ResponseStarted = true
		h := x.w.Header()
		sageheader.Copy(h, res.Header)
		h.Set("Trailer", sagewire.HeaderOutcome)
		x.deadline()
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

// resume asks the same upstream for the rest of the stream, on a fresh connection: after a break the
// idle ones are likely broken too.
func (x *exchange) resume(ctx context.Context, sent *sageconn.Tracker, last uint64) (*http.Response, error) {
	if !x.a.Engine {
		return nil, errNotResumed
	}
	path := streamPath(x.a.RequestID) + "?after=" + strconv.FormatUint(last, 10)
	req, err := newRequest(ctx, http.MethodGet, x.a.Address, path, nil, sent)
	if err != nil {
		return nil, err
	}
	req.Header.Set(sagewire.HeaderRequestID, x.a.RequestID)
	res, err := x.d.fresh.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("resume: %w", err)
	}
	if err := x.checkResumed(res); err != nil {
		sent.Close()
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

func (x *exchange) checkResumed(res *http.Response) error {
	switch {
	case res.Header.Get(sagewire.HeaderRequestID) != x.a.RequestID:
		return errForeign
	case res.Header.Get(sagewire.HeaderBootID) != x.res.BootID:
		return errRestarted
	case res.StatusCode == http.StatusNotFound, res.StatusCode == http.StatusGone:
		return errNotResumed
	case !sageheader.IsEventStream(res):
		return fmt.Errorf("resume: status %d", res.StatusCode)
	}
	return nil
}

// endStream settles a stream that can't be completed. The caller is told so by an event: without it
// an answer that was cut short would look finished to one that ignores the end mark.
func (x *exchange) endStream(ctx context.Context, cause error) {
	reason := sagewire.ReasonAnswerLost
	if ctx.Err() != nil {
		reason = sagewire.ReasonDeadline
	}
	x.res.fail(sagewire.Unknown, reason, "the stream broke off: %v", cause)
	if errors.Is(cause, errCallerGone) {
		x.res.CallerGone, x.res.Abort = true, true
		return
	}
	if !x.res.ResponseStarted {
		return
	}
	b, err := json.Marshal(x.res.Refusal(x.a.RequestID))
	if err != nil {
		x.res.Abort = true
		return
	}
	x.w.Header().Set(sagewire.HeaderOutcome, string(sagewire.Unknown))
	if err := x.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", b)); err != nil {
		x.res.CallerGone, x.res.Abort = true, true
		return
	}
	_ = http.NewResponseController(x.w).Flush()
}
