package sageentry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagewire"
)

// maxTagBytes limits the headers that identify a chat, a context or an idempotency key.
const maxTagBytes = 256

// chatBody holds the fields of a chat completion request that this system reads. The upstream reads the
// rest.
type chatBody struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	Stream   bool              `json:"stream"`
}

// decodeCommon sets the fields that chats and service calls have in common. The body is read last.
func (s *Service) decodeCommon(w http.ResponseWriter, r *http.Request, req *Request) *sagewire.Refusal {
	h := r.Header
	req.ID = uuid.NewString()
	req.ArrivedAt = time.Now()
	req.Method, req.Path, req.Header = r.Method, r.URL.RequestURI(), forwardedHeader(h)
	req.IdempotencyKey, req.ChatID, req.Context = h.Get(sagewire.HeaderIdempotencyKey), h.Get(sagewire.HeaderChat), h.Get(sagewire.HeaderContext)
	req.PlacementToken = h.Get(sagewire.HeaderPlacement)
	for _, tag := range []string{req.IdempotencyKey, req.ChatID, req.Context} {
		if len(tag) > maxTagBytes {
			return sagewire.Refuse(sagewire.ReasonBadRequest, fmt.Sprintf("a header naming a key, chat or context has %d bytes, at most %d", len(tag), maxTagBytes), time.Time{})
		}
	}
	p, err := sagewire.ParsePriority(h.Get(sagewire.HeaderPriority))
	if err != nil {
		return sagewire.Refuse(sagewire.ReasonBadRequest, err.Error(), time.Time{})
	}
	req.Priority = p
	if ref := s.decodeDeadline(h.Get(sagewire.HeaderDeadline), req); ref != nil {
		return ref
	}
	return s.readBody(w, r, req)
}

// decodeDeadline sets the deadline from the caller's header. Without one, or with a later one, the
// latest allowed deadline applies.
func (s *Service) decodeDeadline(v string, req *Request) *sagewire.Refusal {
	latest := req.ArrivedAt.Add(millis(s.Limits.DeadlineMillis))
	req.Deadline = latest
	if v == "" {
		return nil
	}
	t, err := time.Parse(time.RFC3339Nano, v)
	if err != nil {
		return sagewire.Refuse(sagewire.ReasonBadRequest, fmt.Sprintf("%s %q: want an RFC 3339 instant", sagewire.HeaderDeadline, v), time.Time{})
	}
	if !t.After(req.ArrivedAt) {
		return sagewire.Refuse(sagewire.ReasonDeadline, "the deadline had passed on arrival", time.Time{})
	}
	if t.Before(latest) {
		req.Deadline = t
	}
	return nil
}

// readBody reads the whole body within the limits of size and time. Without them, callers that send
// slowly or without end would hold a connection and its memory indefinitely.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request, req *Request) *sagewire.Refusal {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(req.ArrivedAt.Add(millis(s.Limits.BodyMillis)))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.Limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return sagewire.Refuse(sagewire.ReasonTooLarge, fmt.Sprintf("body above %d bytes", tooLarge.Limit), time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		return sagewire.Refuse(sagewire.ReasonSlowCaller, "the body did not arrive in time", time.Time{})
	case err != nil:
		return sagewire.Refuse(sagewire.ReasonBadRequest, "the body broke off", time.Time{})
	}
	_ = rc.SetReadDeadline(time.Time{})
	req.Body, req.ReadAt = b, time.Now()
	return nil
}

// decodeChat reads a chat completion request.
func decodeChat(req *Request) *sagewire.Refusal {
	var c chatBody
	d := json.NewDecoder(bytes.NewReader(req.Body))
	if err := d.Decode(&c); err != nil {
		return sagewire.Refuse(sagewire.ReasonBadRequest, "the body is no chat completion request: "+err.Error(), time.Time{})
	}
	if c.Model == "" || len(c.Messages) == 0 {
		return sagewire.Refuse(sagewire.ReasonBadRequest, "a chat needs model and messages", time.Time{})
	}
	req.Route, req.Kind, req.Stream = c.Model, sageconfig.RouteChat, c.Stream
	req.Idempotent = req.IdempotencyKey == ""
	if req.Context == "" {
		req.Context = hashMessages(c.Messages[:1])
	}
	if req.ChatID == "" {
		// Every request of a chat starts with the same first messages.
		req.ChatID = hashMessages(c.Messages[:min(2, len(c.Messages))])
	}
	return nil
}

// hashMessages identifies a list of messages by its hash.
func hashMessages(messages []json.RawMessage) string {
	d := xxhash.New()
	for _, m := range messages {
		_, _ = d.Write(m)
	}
	return strconv.FormatUint(d.Sum64(), 36)
}

// internalHeaders are meant for this system and are not forwarded to upstreams.
var internalHeaders = map[string]bool{
	"Authorization":          true,
	sagewire.HeaderPlacement: true,
	sagewire.HeaderContext:   true,
}

// forwardedHeader returns the caller's headers that are forwarded to an upstream.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !internalHeaders[k] {
			out[k] = v
		}
	}
	return out
}

// bearer returns the caller's API key.
func bearer(h http.Header) string {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return key
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
