package sagematrix

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Shape of a cell.
const (
	patience   = 8 * time.Second  // a sending's deadline
	goneAfter  = 10 * time.Second // when the caller gives a sending up
	freezeFor  = 15 * time.Second
	outageFor  = 3 * time.Second
	sendings   = 5
	pauseAfter = time.Second
	mendFor    = 2 * time.Minute
	// duplicateAhead is how long a duplicate has before the first sending goes on; it is enough for
	// the second router to give up on the first one and claim by itself.
	duplicateAhead = 700 * time.Millisecond
)

const bookingBody = `{"box":"barfi"}`

// answerBody is the whole answer to the booking of a key; it is long enough to be cut.
func answerBody(key string) string { return strings.Repeat("booked "+key+"; ", 400) }

// mutant switches a guard off; the zero value has all of them.
type mutant struct {
	store    func(sageobject.Store) sageobject.Store
	claims   func(sageentry.Claims) sageentry.Claims
	dispatch func(sageentry.Dispatch) sageentry.Dispatch
}

// world is one cell under way.
type world struct {
	t       *testing.T
	m       mutant
	store   *sageobject.Memory
	routers [2]*router
	app     *app
	key     string

	mu      sync.Mutex
	pending map[step][]fault
	outage  bool
	lose    bool
	told    []told
	wg      sync.WaitGroup
}

// told is what the caller heard of one sending.
type told struct {
	outcome   sagewire.Outcome // empty: nothing
	reason    sagewire.Reason
	requestID string
	wrong     string
}

// at is called when something passes a step for router r; faults strike at the first router only.
func (w *world) at(s step, r *router) {
	if r != w.routers[0] {
		return
	}
	w.mu.Lock()
	faults := w.pending[s]
	w.pending[s] = nil
	w.mu.Unlock()
	for _, f := range faults {
		f.strike(w)
	}
}

// app is the application: it counts executions by key and request.
type app struct {
	w         *world
	pipes     *pipes
	mu        sync.Mutex
	executed  []string // request ids
	crash     string   // "before" or "after": the next request breaks there
	crossed   bool     // the next answer is another request's
	answerLag time.Duration
}

func (a *app) take() (crash string, crossed bool, lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	crash, crossed, lag = a.crash, a.crossed, a.answerLag
	a.crash, a.crossed, a.answerLag = "", false, 0
	return crash, crossed, lag
}

func (a *app) set(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get(sagewire.HeaderRequestID), r.Header.Get(sagewire.HeaderIdempotencyKey)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	from := a.w.router(r.Header.Get("X-Router"))
	a.w.at(stepHeaders, from)
	if crash, _, _ := a.peek(); crash == "before" {
		a.take()
		panic(http.ErrAbortHandler)
	}
	a.set(func() { a.executed = append(a.executed, id) })
	a.w.at(stepFirstByte, from)
	crash, crossed, lag := a.take()
	if crash != "" {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(lag)
	body := answerBody(key)
	if crossed {
		id, body = "other-1", answerBody("other")
	}
	w.Header().Set(sagewire.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	a.w.at(stepMidStream, from)
	if crash, _, _ := a.take(); crash != "" {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body[len(body)/2:])
}

func (a *app) peek() (string, bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crash, a.crossed, a.answerLag
}

func (w *world) router(name string) *router {
	if name == "n1" {
		return w.routers[1]
	}
	return w.routers[0]
}

// send sends the booking once through router i and notes what the caller is told.
func (w *world) send(i int) told {
	r := w.routers[i]
	ctx, cancel := context.WithTimeout(context.Background(), goneAfter)
	defer cancel()
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return r.callers.dial(ctx)
	}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://router/v1/services/orders/bookings", strings.NewReader(bookingBody))
	require.NoError(w.t, err)
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set(sagewire.HeaderIdempotencyKey, w.key)
	req.Header.Set(sagewire.HeaderDeadline, time.Now().Add(patience).Format(time.RFC3339Nano))
	res, err := tr.RoundTrip(req)
	if err != nil {
		return told{}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return told{}
	}
	return judgeAnswer(res, string(body), w.key)
}

func judgeAnswer(res *http.Response, body, key string) told {
	out := told{outcome: sagewire.Outcome(res.Header.Get(sagewire.HeaderOutcome)), requestID: res.Header.Get(sagewire.HeaderRequestID)}
	whole := body == answerBody(key)
	if out.outcome == sagewire.Complete || (out.outcome == sagewire.AlreadyRun && res.StatusCode == http.StatusOK) {
		if !whole {
			out.wrong = fmt.Sprintf("%s with %d bytes of another answer", out.outcome, len(body))
		}
		return out
	}
	ref, err := sagewire.DecodeRefusal([]byte(body))
	if err != nil || ref.Outcome != out.outcome {
		out.wrong = fmt.Sprintf("refusal %q: %v", body, err)
		return out
	}
	out.reason = ref.Reason
	return out
}

// book sends the booking until its outcome is known, the first time through the first router.
func (w *world) book() {
	w.at(stepLocate, w.routers[0])
	for n := range sendings {
		out := w.send(min(n, 1))
		w.mu.Lock()
		w.told = append(w.told, out)
		w.mu.Unlock()
		if out.outcome == sagewire.Complete || out.outcome == sagewire.AlreadyRun {
			return
		}
		time.Sleep(pauseAfter)
	}
}
