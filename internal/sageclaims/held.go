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

// maxHeldAnswer is the greatest answer in bytes that is held for repeats.
const maxHeldAnswer = 64 << 10

// ErrInvalidAnswer reports a held answer that can't be told.
var ErrInvalidAnswer = errors.New("malformed held answer")

// heldAnswer is an answer as it travels between nodes.
type heldAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Check reports a status that no answer has.
func (a *heldAnswer) Check() error {
	if a.Status < 200 || a.Status > 599 {
		return fmt.Errorf("status %d: %w", a.Status, ErrInvalidAnswer)
	}
	return nil
}

func encodeAnswer(a *sagedispatch.BufferedResponse) []byte {
	if a == nil || len(a.Body) > maxHeldAnswer {
		return nil
	}
	b, err := json.Marshal(&heldAnswer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body})
	if err != nil {
		return nil
	}
	return b
}

func decodeAnswer(b []byte) (*sagedispatch.BufferedResponse, error) {
	var a heldAnswer
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

// heldAnswer decodes the held answer of a repeat; one that can't be read counts as not held.
func (s *Service) heldAnswer(b []byte) *sagedispatch.BufferedResponse {
	if len(b) == 0 {
		return nil
	}
	a, err := decodeAnswer(b)
	if err != nil {
		s.Log.Warn("Can't read a held answer.", "err", err)
		return nil
	}
	return a
}

// held keeps encoded answers by claim id, the newest up to a limit in bytes.
type held struct {
	limit int

	mu   sync.Mutex
	used int
	list list.List
	byID map[string]*list.Element
}

type heldItem struct {
	id     string
	answer []byte
}

// heldOverhead is what an entry costs beside its answer.
const heldOverhead = 200

func (h *held) put(id string, answer []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID == nil {
		h.byID = make(map[string]*list.Element)
	}
	if _, ok := h.byID[id]; ok {
		return
	}
	h.byID[id] = h.list.PushFront(&heldItem{id: id, answer: answer})
	h.used += len(answer) + heldOverhead
	for h.used > h.limit && h.list.Len() > 0 {
		last := h.list.Back()
		old, _ := h.list.Remove(last).(*heldItem)
		delete(h.byID, old.id)
		h.used -= len(old.answer) + heldOverhead
	}
}

func (h *held) get(id string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.byID[id]
	if !ok {
		return nil
	}
	item, _ := e.Value.(*heldItem)
	return item.answer
}

func (h *held) bytes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used
}
