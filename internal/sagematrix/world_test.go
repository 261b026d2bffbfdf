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

// Parameters of a cell.
const (
	requestTimeout = 8 * time.Second  // until the deadline of a request
	callerTimeout  = 10 * time.Second // until the caller abandons a send
	freezeDuration = 15 * time.Second
	outageDuration = 3 * time.Second
	maxSends       = 5
	resendInterval = time.Second
	recoveryTime   = 2 * time.Minute
	// duplicateLead is the time between the start of a duplicate and the continuation of the first send. It is
	// long enough for the second router to stop waiting for the first one and claim the key on its own.
	duplicateLead = 700 * time.Millisecond
)

const bookingBody = `{"box":"barfi"}`

// bookingResponse returns the complete response to a booking. It is long enough to be truncated.
func bookingResponse(key string) string { return strings.Repeat("booked "+key+"; ", 400) }

// mutant replaces parts of the system in order to disable a guard. The zero value disables none.
type mutant struct {
	store    func(sageobject.Store) sageobject.Store
	claims   func(sageentry.Claims) sageentry.Claims
	dispatch func(sageentry.Dispatch) sageentry.Dispatch
}

// world is the environment of one cell while it runs.
type world struct {
	t       *testing.T
	mutant  mutant
	store   *sageobject.Memory
	routers [2]*router
	app     *app
	key     string

	mu          sync.Mutex
	pending     map[step][]fault
	storeOutage bool
	loseNext    bool
	responses   []response
	wg          sync.WaitGroup
}

// response is what the caller received for one send.
type response struct {
	outcome   sagewire.Outcome // empty if no response arrived
	reason    sagewire.Reason
	requestID string
	mismatch  string
}

// reachStep is called when router r reaches step s. At the first router it injects the faults of that step.
func (w *world) reachStep(s step, r *router) {
	if r != w.routers[0] {
		return
	}
	w.mu.Lock()
	faults := w.pending[s]
	w.pending[s] = nil
	w.mu.Unlock()
	for _, f := range faults {
		f.inject(w)
	}
}

// app is the application. It records the request ID of each execution.
type app struct {
	world          *world
	listener       *pipeListener
	mu             sync.Mutex
	executed       []string // request IDs
	crash          string   // "before" or "after": the next request crashes before or after its effect
	wrongRequestID bool     // the next response belongs to another request
	responseDelay  time.Duration
}

// takeFaults returns the pending faults and resets them.
func (a *app) takeFaults() (crash string, wrongRequestID bool, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	crash, wrongRequestID, delay = a.crash, a.wrongRequestID, a.responseDelay
	a.crash, a.wrongRequestID, a.responseDelay = "", false, 0
	return crash, wrongRequestID, delay
}

func (a *app) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get(sagewire.HeaderRequestID), r.Header.Get(sagewire.HeaderIdempotencyKey)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	via := a.world.router(r.Header.Get("X-Router"))
	a.world.reachStep(stepHeaders, via)
	if crash, _, _ := a.peekFaults(); crash == "before" {
		a.takeFaults()
		panic(http.ErrAbortHandler)
	}
	a.update(func() { a.executed = append(a.executed, id) })
	a.world.reachStep(stepFirstByte, via)
	crash, wrongRequestID, delay := a.takeFaults()
	if crash != "" {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(delay)
	body := bookingResponse(key)
	if wrongRequestID {
		id, body = "other-1", bookingResponse("other")
	}
	w.Header().Set(sagewire.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	a.world.reachStep(stepMidStream, via)
	if crash, _, _ := a.takeFaults(); crash != "" {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body[len(body)/2:])
}

func (a *app) peekFaults() (string, bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crash, a.wrongRequestID, a.responseDelay
}

func (w *world) router(name string) *router {
	if name == "n1" {
		return w.routers[1]
	}
	return w.routers[0]
}

// send sends the booking once through router i and returns what the caller receives.
func (w *world) send(i int) response {
	r := w.routers[i]
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return r.callerListener.dial(ctx)
	}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://router/v1/services/orders/bookings", strings.NewReader(bookingBody))
	require.NoError(w.t, err)
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set(sagewire.HeaderIdempotencyKey, w.key)
	req.Header.Set(sagewire.HeaderDeadline, time.Now().Add(requestTimeout).Format(time.RFC3339Nano))
	res, err := tr.RoundTrip(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return response{}
	}
	return checkResponse(res, string(body), w.key)
}

// checkResponse compares a response with the expected body, or decodes its refusal.
func checkResponse(res *http.Response, body, key string) response {
	out := response{outcome: sagewire.Outcome(res.Header.Get(sagewire.HeaderOutcome)), requestID: res.Header.Get(sagewire.HeaderRequestID)}
	complete := body == bookingResponse(key)
	if out.outcome == sagewire.Complete || (out.outcome == sagewire.AlreadyRun && res.StatusCode == http.StatusOK) {
		if !complete {
			out.mismatch = fmt.Sprintf("%s with %d bytes that differ from the expected body", out.outcome, len(body))
		}
		return out
	}
	refusal, err := sagewire.DecodeRefusal([]byte(body))
	if err != nil || refusal.Outcome != out.outcome {
		out.mismatch = fmt.Sprintf("refusal %q: %v", body, err)
		return out
	}
	out.reason = refusal.Reason
	return out
}

// sendUntilKnown sends the booking until its outcome is known, first through the first router and then through
// the second.
func (w *world) sendUntilKnown() {
	w.reachStep(stepLocate, w.routers[0])
	for n := range maxSends {
		out := w.send(min(n, 1))
		w.mu.Lock()
		w.responses = append(w.responses, out)
		w.mu.Unlock()
		if out.outcome == sagewire.Complete || out.outcome == sagewire.AlreadyRun {
			return
		}
		time.Sleep(resendInterval)
	}
}
