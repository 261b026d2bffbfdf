package sagerelay

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// Headers of testDialect.
const (
	testID       = "Test-Id"
	testKey      = "Test-Key"
	testDeadline = "Test-Deadline"
	testTokens   = "Test-Tokens"
	testLast     = "Last-Event-Id"
	testResumes  = "Test-Resumes"
	testSeal     = "Test-Seal"
	testNotRun   = "Test-Not-Run"
	testLeaving  = "Test-Leaving"
	testPause    = "Test-Pause"
	testBrittle  = "Test-Brittle"
)

type testDialect struct{}

func (testDialect) ParseRequest(r *http.Request) (RequestMetadata, error) {
	c := RequestMetadata{ID: r.Header.Get(testID), Key: r.Header.Get(testKey), LastEventID: r.Header.Get(testLast), Resumes: r.Header.Get(testResumes)}
	if c.ID == "" {
		return c, errors.New("no id")
	}
	if ms, err := strconv.Atoi(r.Header.Get(testDeadline)); err == nil {
		c.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if n, err := strconv.Atoi(r.Header.Get(testTokens)); err == nil {
		c.Chain = sagechain.Chain{{ID: 1, Tokens: n}, {ID: 2}}
	}
	return c, nil
}

func (testDialect) SetForwardHeader(h http.Header, s *ForwardMetadata) {
	h.Set("Test-Instance", s.Upstream.ID)
	h.Set("Test-Account", s.Account)
	h.Del(testKey)
	if s.LastEventID != "" {
		h.Set(testLast, s.LastEventID)
	}
}

func (testDialect) SetRelayHeader(h http.Header, m *RelayMetadata) {
	h.Set(testDeadline, strconv.FormatInt(time.Until(m.Deadline).Milliseconds(), 10))
	if m.LastEventID != "" {
		h.Set(testLast, m.LastEventID)
	}
}

func (testDialect) ParseResponse(res *http.Response) ResponseMetadata {
	return ResponseMetadata{
		ID: res.Header.Get(testID), Sealed: res.Header.Get(testSeal) != "",
		NotRun:      res.Header.Get(testNotRun) != "" || res.StatusCode == http.StatusMisdirectedRequest,
		Misdirected: res.StatusCode == http.StatusMisdirectedRequest,
		Leaving:     res.Header.Get(testLeaving) != "",
		PauseUntil:  pauseOf(res),
		Brittle:     res.Header.Get(testBrittle) != "",
	}
}

// pauseOf returns the end of the pause that a response asks for.
func pauseOf(res *http.Response) sageclock.Instant {
	d, err := time.ParseDuration(res.Header.Get(testPause))
	if err != nil {
		return 0
	}
	return sageclock.Now().Add(d)
}

func (testDialect) SetRefusalHeader(h http.Header, id string, retryAfter time.Duration) {
	if id != "" {
		h.Set(testID, id)
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
}
