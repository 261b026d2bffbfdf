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

// maxTag bounds headers that name a chat, a context or a key.
const maxTag = 256

// chatBody is what the system reads of a chat completion request; the upstream reads the rest.
type chatBody struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	Stream   bool              `json:"stream"`
}

// decodeCommon fills what chats and service calls share. The body is read last.
func (s *Service) decodeCommon(w http.ResponseWriter, r *http.Request, req *Request) *sagewire.Refusal {
	h := r.Header
	req.ID = uuid.NewString()
	req.ArrivedAt = time.Now()
	req.Method, req.Path, req.Header = r.Method, r.URL.RequestURI(), passedHeader(h)
	req.IdempotencyKey, req.ChatID, req.Context = h.Get(sagewire.HeaderIdempotencyKey), h.Get(sagewire.HeaderChat), h.Get(sagewire.HeaderContext)
	req.PlacementToken = h.Get(sagewire.HeaderPlacement)
	for _, tag := range []string{req.IdempotencyKey, req.ChatID, req.Context} {
		if len(tag) > maxTag {
			return sagewire.Refuse(sagewire.ReasonBadRequest, fmt.Sprintf("a header naming a key, chat or context has %d bytes, at most %d", len(tag), maxTag), time.Time{})
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

// decodeDeadline reads the caller's deadline; none or a later one means the latest allowed.
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

// readBody reads the whole body within its limits of size and time.
//
// It guards against callers that send slowly or without end: they would hold a connection and its
// memory for as long as they like. The read deadline ends the wait, and the limit the size.
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
	req.Body = b
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
		req.Context = tag(c.Messages[:1])
	}
	if req.ChatID == "" {
		// The first messages of a chat come again with each of its requests.
		req.ChatID = tag(c.Messages[:min(2, len(c.Messages))])
	}
	return nil
}

// tag names a list of messages by its hash.
func tag(messages []json.RawMessage) string {
	d := xxhash.New()
	for _, m := range messages {
		_, _ = d.Write(m)
	}
	return strconv.FormatUint(d.Sum64(), 36)
}

// ownHeaders are meant for this system and not passed on.
var ownHeaders = map[string]bool{
	"Authorization":          true,
	sagewire.HeaderPlacement: true,
	sagewire.HeaderContext:   true,
}

// passedHeader returns what an upstream gets of the caller's headers.
func passedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !ownHeaders[k] {
			out[k] = v
		}
	}
	return out
}

// bearer returns the caller's key.
func bearer(h http.Header) string {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return key
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
