package sageclaims

import (
	"container/list"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagedispatch"
)

// maxCachedAnswerBytes is the maximum body size of an answer that is cached for repeated requests.
const maxCachedAnswerBytes = 64 << 10

// ErrInvalidAnswer reports a cached answer that can't be decoded.
var ErrInvalidAnswer = errors.New("malformed cached answer")

// cachedAnswer is the encoding of an answer in the cache and between nodes.
type cachedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Check returns an error if the status is not one of a final response.
func (a *cachedAnswer) Check() error {
	if a.Status < 200 || a.Status > 599 {
		return fmt.Errorf("status %d: %w", a.Status, ErrInvalidAnswer)
	}
	return nil
}

func encodeAnswer(a *sagedispatch.BufferedResponse) []byte {
	if a == nil || len(a.Body) > maxCachedAnswerBytes {
		return nil
	}
	b, err := json.Marshal(&cachedAnswer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body})
	if err != nil {
		return nil
	}
	return b
}

func decodeAnswer(b []byte) (*sagedispatch.BufferedResponse, error) {
	var a cachedAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("decode answer: %v: %w", err, ErrInvalidAnswer)
	}
	if err := a.Check(); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	h := make(http.Header, 1)
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	return &sagedispatch.BufferedResponse{Status: a.Status, Header: h, Body: a.Body}, nil
}

// decodeCachedAnswer decodes the cached answer for a repeated request. It returns nil if there is none or if it
// can't be decoded.
func (s *Service) decodeCachedAnswer(b []byte) *sagedispatch.BufferedResponse {
	if len(b) == 0 {
		return nil
	}
	a, err := decodeAnswer(b)
	if err != nil {
		s.Log.Warn("Can't decode a cached answer.", "err", err)
		return nil
	}
	return a
}

// answerCache holds encoded answers by claim id; beyond maxBytes it evicts the oldest.
type answerCache struct {
	maxBytes int

	mu        sync.Mutex
	usedBytes int
	list      list.List
	byID      map[string]*list.Element
}

type answerItem struct {
	id     string
	answer []byte
}

// answerOverheadBytes is the memory that a cache entry takes beyond its answer.
const answerOverheadBytes = 200

func (h *answerCache) put(id string, answer []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID == nil {
		h.byID = make(map[string]*list.Element)
	}
	if _, ok := h.byID[id]; ok {
		return
	}
	h.byID[id] = h.list.PushFront(&answerItem{id: id, answer: answer})
	h.usedBytes += len(answer) + answerOverheadBytes
	for h.usedBytes > h.maxBytes && h.list.Len() > 0 {
		last := h.list.Back()
		old, _ := h.list.Remove(last).(*answerItem)
		delete(h.byID, old.id)
		h.usedBytes -= len(old.answer) + answerOverheadBytes
	}
}

func (h *answerCache) get(id string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.byID[id]
	if !ok {
		return nil
	}
	item, _ := e.Value.(*answerItem)
	return item.answer
}

func (h *answerCache) bytes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usedBytes
}
