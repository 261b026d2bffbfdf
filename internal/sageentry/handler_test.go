package sageentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sagesettings"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sagewire"
)

// fakeSteps implements every step behind the entry. Each attempt gets the next of results.
type fakeSteps struct {
	state          *sageconfig.State
	serving        *sagewire.Refusal
	results        []sagedispatch.Result
	claimRefusal   *sagewire.Refusal
	storedResponse *sagedispatch.BufferedResponse

	attempts     []*sagedispatch.Attempt
	finished     []sagewire.Outcome
	observations []Observation
	released     int
}

func (f *fakeSteps) State() *sageconfig.State                  { return f.state }
func (f *fakeSteps) Revision() uint64                          { return 1 }
func (f *fakeSteps) Serving(time.Time, bool) *sagewire.Refusal { return f.serving }
func (f *fakeSteps) RecordFirstAttempt(time.Time)              {}
func (f *fakeSteps) Allow(now time.Time, _ *Request, _ []string, _ bool) (time.Time, bool) {
	return now, true
}
func (f *fakeSteps) Record(o Observation) { f.observations = append(f.observations, o) }
func (f *fakeSteps) Locate(now time.Time, _ sagelocate.Query) (sagelocate.Answer, *sagewire.Refusal) {
	return sagelocate.Answer{ValidUntil: now}, nil
}

func (f *fakeSteps) Leave(now time.Time) time.Time { return now }
func (f *fakeSteps) Finish(_ context.Context, _ *Claim, r *sagedispatch.Result) {
	f.finished = append(f.finished, r.Outcome)
}

func (f *fakeSteps) Admit(context.Context, *Request) (func(), *sagewire.Refusal) {
	return func() {}, nil
}

func (f *fakeSteps) Claim(context.Context, *Request) (*Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	if f.claimRefusal != nil {
		return nil, f.storedResponse, f.claimRefusal
	}
	return &Claim{}, nil, nil
}

func (f *fakeSteps) Pick(_ context.Context, _ *Request, tried []string) (*Pick, *sagewire.Refusal) {
	if len(tried) >= len(f.results) {
		return nil, sagewire.Refuse(sagewire.ReasonNoUpstream, "none left", time.Now().Add(time.Second))
	}
	name := string(rune('a' + len(tried)))
	return &Pick{Upstream: name, Address: name, Release: func(*sagedispatch.Result) { f.released++ }}, nil
}

func (f *fakeSteps) Do(_ context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	res := f.results[len(f.attempts)]
	f.attempts = append(f.attempts, a)
	if res.Outcome == sagewire.Complete {
		w.Header().Set(sagewire.HeaderOutcome, string(sagewire.Complete))
		w.WriteHeader(http.StatusOK)
		res.ResponseStarted = true
	}
	return res
}

const testKey = "secret"

func testService(f *fakeSteps) *Service {
	sum := sha256.Sum256([]byte(testKey))
	f.state = sageconfig.NewState()
	add := func(kind sageconfig.Kind, name string, c sageconfig.Change) {
		c.Key = sageconfig.EntryKey{Kind: kind, Name: name}
		f.state.Apply(sageconfig.Entry{TicketNumber: 1, Change: c})
	}
	add(sageconfig.KindClientAccount, "haller", sageconfig.Change{ClientAccount: &sageconfig.ClientAccount{KeySHA256: hex.EncodeToString(sum[:]), Weight: 1}})
	add(sageconfig.KindRoute, "orders", sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteService, UpstreamSet: "apps"}})
	limits := sagesettings.Default().Limits
	limits.BodyBytes = 64
	return &Service{Config: f, Admission: f, Claims: f, Placement: f, Retries: f, Dispatch: f, Locator: f, Leaver: f, Recorder: f, Limits: limits}
}

func call(s *Service, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

const chatBodyText = `{"model":"assist","messages":[{"role":"user","content":"hi"}]}`

func TestInvalidRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		reason                   sagewire.Reason
	}{
		{"not JSON", "POST", "/v1/chat/completions", "{", nil, 400, sagewire.ReasonBadRequest},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, nil, 400, sagewire.ReasonBadRequest},
		{"too large", "POST", "/v1/chat/completions", strings.Repeat("x", 65), nil, 413, sagewire.ReasonTooLarge},
		{"wrong key", "POST", "/v1/chat/completions", chatBodyText, []string{"Authorization", "Bearer no"}, 401, sagewire.ReasonUnauthorized},
		{"invalid priority", "POST", "/v1/chat/completions", chatBodyText, []string{sagewire.HeaderPriority, "soon"}, 400, sagewire.ReasonBadRequest},
		{"invalid deadline", "POST", "/v1/chat/completions", chatBodyText, []string{sagewire.HeaderDeadline, "soon"}, 400, sagewire.ReasonBadRequest},
		{"deadline passed", "POST", "/v1/chat/completions", chatBodyText, []string{sagewire.HeaderDeadline, "2020-01-01T00:00:00Z"}, 504, sagewire.ReasonDeadline},
		{"long key", "POST", "/v1/services/orders/x", "", []string{sagewire.HeaderIdempotencyKey, strings.Repeat("k", 257)}, 400, sagewire.ReasonBadRequest},
		{"unknown route", "POST", "/v1/services/none/x", "", nil, 404, sagewire.ReasonNoRoute},
		{"unknown path", "GET", "/elsewhere", "", nil, 404, sagewire.ReasonNoRoute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := new(fakeSteps)
			w := call(testService(f), tt.method, tt.path, tt.body, tt.header...)
			assert.Equal(t, tt.status, w.Code)
			ref, err := sagewire.DecodeRefusal(w.Body.Bytes())
			require.NoError(t, err)
			assert.Equal(t, sagewire.NotRun, ref.Outcome)
			assert.Equal(t, tt.reason, ref.Reason)
			assert.Equal(t, string(sagewire.NotRun), w.Header().Get(sagewire.HeaderOutcome))
			assert.Empty(t, f.attempts)
		})
	}
}

// Without an idempotency key, repeating a booking after an unknown outcome may run it twice. The
// refusal must say so.
func TestUnknownWithoutKeyWarnsOfRepeat(t *testing.T) {
	for _, key := range []string{"", "k"} {
		f := &fakeSteps{results: []sagedispatch.Result{{Outcome: sagewire.Unknown, Reason: sagewire.ReasonAnswerLost}}}
		w := call(testService(f), "POST", "/v1/services/orders/x", "", sagewire.HeaderIdempotencyKey, key)
		ref, err := sagewire.DecodeRefusal(w.Body.Bytes())
		require.NoError(t, err)
		assert.Equal(t, key == "", strings.Contains(ref.Detail, "may run it twice"))
	}
}

func TestAttempts(t *testing.T) {
	notRun := sagedispatch.Result{Outcome: sagewire.NotRun, Reason: sagewire.ReasonUpstreamRefused}
	unknown := sagedispatch.Result{Outcome: sagewire.Unknown, Reason: sagewire.ReasonAnswerLost}
	partial := sagedispatch.Result{Outcome: sagewire.Unknown, Reason: sagewire.ReasonAnswerLost, ResponseStarted: true}
	complete := sagedispatch.Result{Outcome: sagewire.Complete}
	type results = []sagedispatch.Result
	tests := []struct {
		name     string
		path     string
		key      string
		results  results
		attempts int
		outcome  sagewire.Outcome
		status   int
	}{
		{"chat retries after unknown", "/v1/chat/completions", "", results{unknown, complete}, 2, sagewire.Complete, 200},
		{"chat stops after a started answer", "/v1/chat/completions", "", results{partial, complete}, 1, sagewire.Unknown, 200},
		{"chat with key stops after unknown", "/v1/chat/completions", "k", results{unknown, complete}, 1, sagewire.Unknown, 502},
		{"booking retries after not run", "/v1/services/orders/x", "k", results{notRun, complete}, 2, sagewire.Complete, 200},
		{"booking stops after unknown", "/v1/services/orders/x", "k", results{unknown, complete}, 1, sagewire.Unknown, 502},
		{"booking without key stops after unknown", "/v1/services/orders/x", "", results{unknown, complete}, 1, sagewire.Unknown, 502},
		{"no upstream left after not run", "/v1/services/orders/x", "k", results{notRun, notRun}, 2, sagewire.NotRun, 503},
		// An earlier attempt may have run, so the final outcome must not be "not run".
		{"no upstream left after unknown", "/v1/chat/completions", "", results{unknown}, 1, sagewire.Unknown, 502},
		{"not run after unknown", "/v1/chat/completions", "", results{unknown, notRun}, 2, sagewire.Unknown, 502},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeSteps{results: tt.results}
			w := call(testService(f), "POST", tt.path, chatBodyText, sagewire.HeaderIdempotencyKey, tt.key)
			assert.Len(t, f.attempts, tt.attempts)
			assert.Equal(t, tt.attempts, f.released, "each allotment unit is released")
			require.Len(t, f.observations, 1)
			assert.Equal(t, tt.outcome, f.observations[0].Outcome)
			assert.Equal(t, tt.status, w.Code)
			if tt.key != "" {
				assert.Equal(t, []sagewire.Outcome{tt.outcome}, f.finished)
			}
			ids := map[string]bool{}
			for _, a := range f.attempts {
				ids[a.RequestID] = true
			}
			assert.Len(t, ids, tt.attempts, "each attempt has its own request id")
		})
	}
}

func TestRepeatGetsStoredAnswer(t *testing.T) {
	f := &fakeSteps{
		claimRefusal:   &sagewire.Refusal{Outcome: sagewire.AlreadyRun, Reason: sagewire.ReasonKeyInUse},
		storedResponse: &sagedispatch.BufferedResponse{Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("box 7")},
	}
	w := call(testService(f), "POST", "/v1/services/orders/x", "", sagewire.HeaderIdempotencyKey, "k")
	assert.Equal(t, 201, w.Code)
	assert.Equal(t, "box 7", w.Body.String())
	assert.Equal(t, string(sagewire.AlreadyRun), w.Header().Get(sagewire.HeaderOutcome))
	assert.Empty(t, f.attempts)
}

func TestRefusalSetsRetryAfter(t *testing.T) {
	f := &fakeSteps{serving: sagewire.Refuse(sagewire.ReasonStale, "cut off", time.Now().Add(1500*time.Millisecond))}
	w := call(testService(f), "POST", "/v1/chat/completions", chatBodyText)
	assert.Equal(t, 503, w.Code)
	assert.Equal(t, "2", w.Header().Get("Retry-After"))
	var ref sagewire.Refusal
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &ref))
	assert.Equal(t, f.serving.RetryAt.UTC().Round(0), ref.RetryAt.UTC())
}
