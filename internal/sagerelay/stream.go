package sagerelay

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagesse"
	"sagestand.example/sagestand/pkg/sagehealth"
)

// Limits of streams.
const (
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 256 << 10
	// streamBufferBytes is the size of a stream's read buffer, enough for dozens of typical events.
	streamBufferBytes = 2 << 10
	// stallGapFactor is the stall timeout of a resumable stream as a multiple of the longest gap
	// between events that callers expect. One gap is already late for the caller, but a preempted
	// execution may take two.
	stallGapFactor = 1.6
)

var (
	errCallerGone = errors.New("the caller stopped reading")
	errRepeating  = errors.New("upstream repeats events without end")
	errNoEvent    = errors.New("stream without length and chunks ended before its first event")
)

// forwardStream forwards the events of one exchange.
//
// It forwards complete events only, and only those after the last one forwarded: an execution that
// was resumed at another upstream may repeat events, and a missing event would join two different
// responses.
func (x *exchange) forwardStream(ctx context.Context, res *http.Response, stallTimer *time.Timer) verdict {
	j := x.j
	stop := context.AfterFunc(ctx, x.tracker.Reset) // also while a write to the caller blocks
	defer stop()
	buffer := &reservation{budget: &j.s.buffers} // of a large event
	defer buffer.release()
	r := &sagesse.Reader{R: bufio.NewReaderSize(res.Body, streamBufferBytes), MaxEventBytes: maxEventBytes}
	r.Reserve = func(n int) error { return x.reserveBuffer(ctx, buffer, int64(n), stallTimer) }
	flush := http.NewResponseController(j.w)
	stall := x.stallTimeout()
	var times eventTimes
	repeated := uint64(0) // events that were forwarded before
	for {
		buffer.release()
		e, err := r.Next()
		if err != nil && r.CleanEOF() {
			if stallTimer != nil {
				stallTimer.Stop()
			}
			if x.events == 0 && endsWithConn(res) {
				return x.failStream(ctx, errNoEvent)
			}
			if x.endedWithUpstream(res) {
				return x.failStream(ctx, errUpstreamEnded)
			}
			x.recordResponse(times.result(x.start))
			return x.finishStream(res)
		}
		if errors.Is(err, errNoBuffer) {
			return x.cutStream(x.failWithoutBuffer(err))
		}
		if err != nil {
			return x.failStream(ctx, err)
		}
		if x.holdsForeign(e.Raw) {
			x.countForeign("rejected", 1)
			return x.failStream(ctx, errForeignInside)
		}
		if x.events++; x.events == 1 {
			x.firstEvent = time.Now()
			x.begun.Store(true)
		}
		if times.add(time.Now()); times.count == 1 && x.helper == nil {
			j.s.Fleet.RecordFirstEvent(x.p, times.first.Sub(x.start))
		}
		if stallTimer != nil {
			stallTimer.Stop() // the upstream waits while the caller doesn't read
		}
		if e.ID > 0 && e.ID <= j.lastEventNumber {
			if repeated++; repeated > j.lastEventNumber {
				return x.failStream(ctx, errRepeating)
			}
			resetTimer(stallTimer, stall)
			continue
		}
		if e.ID > 0 && j.lastEventNumber > 0 && e.ID != j.lastEventNumber+1 {
			return x.failStream(ctx, fmt.Errorf("missing events: event %d follows event %d", e.ID, j.lastEventNumber))
		}
		x.recordOrigin()
		x.writeHeaderOnce(res)
		writing := time.Now()
		if err := j.forwardEvent(e, flush); err != nil {
			j.cause = err.Error()
			x.tracker.Reset()
			x.recordAbandoned()
			return callerGone
		}
		times.lastWrite = time.Since(writing)
		resetTimer(stallTimer, stall)
	}
}

// resetTimer resets a timer unless it is nil.
func resetTimer(t *time.Timer, d time.Duration) {
	if t != nil {
		t.Reset(d)
	}
}

// eventTimes holds the arrival times of the events of an exchange.
type eventTimes struct {
	count       int
	first, last time.Time
	// writing is the time for which events were written to the caller between first and last, lastWrite that since last.
	// The upstream may have waited meanwhile.
	writing, lastWrite time.Duration
}

func (t *eventTimes) add(at time.Time) {
	if t.count == 0 {
		t.first = at
	}
	t.count, t.last = t.count+1, at
	t.writing, t.lastWrite = t.writing+t.lastWrite, 0
}

// result returns the timing of a complete stream whose exchange began at start.
func (t *eventTimes) result(start time.Time) ResponseResult {
	var a ResponseResult
	if t.count > 0 {
		a.TimeToFirstEvent = t.first.Sub(start)
	}
	if t.count > 1 {
		a.MeanEventGap = max(0, t.last.Sub(t.first)-t.writing) / time.Duration(t.count-1)
	}
	return a
}

// stallTimeout is the maximum gap between events before the stream is resumed at another upstream.
func (x *exchange) stallTimeout() time.Duration {
	return max(minStallTimeout, time.Duration(stallGapFactor*float64(x.j.route.MaxEventGap)))
}

// writeHeaderOnce writes the response header to the caller unless an earlier exchange has done so.
func (x *exchange) writeHeaderOnce(res *http.Response) {
	j := x.j
	if j.headerSent {
		return
	}
	j.headerSent = true
	if j.meta.Resumes != "" {
		j.s.Log.Limited(sagelog.KindExchange, "Stream resumed for its caller.", "id", j.meta.ID, "resumes", j.meta.Resumes, "last_event", j.meta.LastEventID, "service", j.serviceName,
			"upstream", x.upstreamID(), "version", x.exchangeOrigin().Version)
	}
	copyHeader(j.w.Header(), sageheader.EndToEnd(res.Header))
	if j.relay.from != "" {
		setOriginHeader(j.w.Header(), j.origin)
	}
	j.w.WriteHeader(res.StatusCode)
}

func (j *job) forwardEvent(e *sagesse.Event, flush *http.ResponseController) error {
	if _, err := j.w.Write(e.Raw); err != nil {
		return fmt.Errorf("%v: %w", err, errCallerGone)
	}
	if err := flush.Flush(); err != nil {
		return fmt.Errorf("flush: %v: %w", err, errCallerGone)
	}
	if e.ID > 0 {
		j.lastEventNumber = e.ID
		j.lastEventID = fmt.Sprint(e.ID)
	}
	return nil
}

// finishStream handles a stream that the upstream ended properly.
func (x *exchange) finishStream(res *http.Response) verdict {
	x.writeHeaderOnce(res)
	x.recordExchange(sagehealth.OK)
	x.recordSuccess(res)
	return answered
}

// failStream handles a stream that broke off.
func (x *exchange) failStream(ctx context.Context, err error) verdict {
	return x.cutStream(x.failExchange(ctx, err))
}

// cutStream returns the verdict of an exchange that failed in the middle of a stream.
func (x *exchange) cutStream(v verdict) verdict {
	if v == failed && x.j.headerSent {
		return streamTruncated
	}
	return v
}

// upstreamID returns the ID of the exchange's upstream, or the name of the peer that the request was sent to.
func (x *exchange) upstreamID() string {
	if x.helper != nil {
		return x.helper.Node
	}
	return x.p.Upstream.ID
}
