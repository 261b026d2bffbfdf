package sagerelay

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/internal/sagesse"
	"sagestand.example/sagestand/pkg/sagehealth"
)

// Bounds on streams.
const (
	// maxEvent is the greatest event.
	maxEvent = 256 << 10
	// readAhead is the buffer of one stream, some dozens of usual events.
	readAhead = 2 << 10
	// stallGaps is after how many of the longest pauses that callers expect a resumable stream is
	// taken up elsewhere. One is already late for the caller; a preempted run may need two.
	stallGaps = 1.6
)

var errCallerGone = errors.New("the caller stopped reading")

// stream passes on the events of one exchange.
//
// Events count only when whole, and only those beyond the last one passed on: a run that goes on
// elsewhere may repeat some, and an event that is missing would join two answers.
func (x *exchange) stream(ctx context.Context, res *http.Response, silent *time.Timer) verdict {
	j := x.j
	r := &sagesse.Reader{R: bufio.NewReaderSize(res.Body, readAhead), MaxEventBytes: maxEvent}
	flush := http.NewResponseController(j.w)
	stall := x.stallAfter()
	var seen eventTimes
	for {
		e, err := r.Next()
		if err != nil && r.CleanEOF() {
			x.answered(seen.answer(x.began))
			return x.ended(res)
		}
		if err != nil {
			return x.cutOff(ctx, err)
		}
		if seen.add(time.Now()); seen.n == 1 {
			j.s.Fleet.RecordFirstEvent(x.p, seen.first.Sub(x.began))
		}
		if silent != nil {
			silent.Reset(stall)
		}
		if e.ID > 0 && e.ID <= j.lastPosition {
			continue
		}
		if e.ID > 0 && j.lastPosition > 0 && e.ID != j.lastPosition+1 {
			return x.cutOff(ctx, fmt.Errorf("event %d follows %d", e.ID, j.lastPosition))
		}
		x.begin(res)
		if err := j.passEvent(e, flush); err != nil {
			j.cause = err.Error()
			x.sent.Close()
			x.abandon()
			return callerGone
		}
	}
}

// eventTimes are when the events of an exchange came.
type eventTimes struct {
	n           int
	first, last time.Time
}

func (t *eventTimes) add(at time.Time) {
	if t.n == 0 {
		t.first = at
	}
	t.n, t.last = t.n+1, at
}

// answer returns the times of a whole stream that was sent for at an instant.
func (t *eventTimes) answer(began time.Time) ResponseResult {
	var a ResponseResult
	if t.n > 0 {
		a.TimeToFirstEvent = t.first.Sub(began)
	}
	if t.n > 1 {
		a.MeanEventGap = t.last.Sub(t.first) / time.Duration(t.n-1)
	}
	return a
}

// stallAfter is how long a stream may pause before it is taken up elsewhere.
func (x *exchange) stallAfter() time.Duration {
	return max(silentLeast, time.Duration(stallGaps*float64(x.j.route.MaxEventGap)))
}

// begin passes the header on, once for all exchanges of a request.
func (x *exchange) begin(res *http.Response) {
	j := x.j
	if j.started {
		return
	}
	j.started = true
	copyInto(j.w.Header(), sageheader.EndToEnd(res.Header))
	j.w.WriteHeader(res.StatusCode)
}

func (j *job) passEvent(e *sagesse.Event, flush *http.ResponseController) error {
	if _, err := j.w.Write(e.Raw); err != nil {
		return fmt.Errorf("%v: %w", err, errCallerGone)
	}
	if err := flush.Flush(); err != nil {
		return fmt.Errorf("flush: %v: %w", err, errCallerGone)
	}
	if e.ID > 0 {
		j.lastPosition = e.ID
		j.lastEvent = fmt.Sprint(e.ID)
	}
	return nil
}

// ended settles a stream that its upstream ended regularly.
func (x *exchange) ended(res *http.Response) verdict {
	x.begin(res)
	x.j.ended(x.p, sagehealth.OK)
	return answered
}

// cutOff settles a stream that broke.
func (x *exchange) cutOff(ctx context.Context, err error) verdict {
	v := x.broken(ctx, err)
	if v == failed && x.j.started {
		return cut
	}
	return v
}
