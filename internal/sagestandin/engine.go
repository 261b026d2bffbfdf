package sagestandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"sagestand.example/sagestand/pkg/sagewire"
)

// Load is an engine's load report. AsOf is the time at which it was taken.
type Load struct {
	BootID          string    `json:"boot_id"`
	InFlight        int       `json:"in_flight"`
	Slots           int       `json:"slots"`
	Capacity        int       `json:"bears"`
	CacheGeneration int64     `json:"cache_generation"`
	Completed       int64     `json:"completed"`
	AsOf            time.Time `json:"as_of"`
}

// Engine is a stand-in for a model engine. Its exported fields must be set before Handler is called.
type Engine struct {
	Name string
	// Slots is the number of requests that a warm engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int
	// TokenMicros is the time between two tokens, in microseconds.
	TokenMicros int
	// PromptMicros is the time to process one uncached prompt token, in microseconds.
	PromptMicros int
	// ColdCompletions is the number of completed requests after which a cold engine can take one more request
	// in flight. 0 means that the engine starts warm.
	ColdCompletions int
	// ReportLagMillis is the age of the engine's load reports.
	ReportLagMillis int
	// EventLag is the number of newest cache events that aren't reported yet.
	EventLag int
	// ChecksFencing makes the engine refuse orders with an outdated fencing number.
	ChecksFencing bool

	faults  Faults
	streams streams
	orders  orders
	chats   chatBlocks

	mu        sync.Mutex
	bootID    string
	cache     *prefixCache
	cacheGen  int64
	inFlight  int
	completed int64
	waiting   waitList
	reports   []Load
	peak      int
	overloads int64
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	e.restart()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	mux.HandleFunc("GET /v1/kv/{chat}", e.exportKV)
	mux.HandleFunc("PUT /v1/kv/{chat}", e.importKV)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /standin/engine", e.serveState)
	mux.Handle("POST /standin/faults", &e.faults)
	return mux
}

// restart discards all state in memory, as a crash does.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootID = uuid.NewString()
	e.cache = newPrefixCache(e.CacheTokens)
	e.cacheGen++
	e.inFlight, e.completed, e.reports = 0, 0, nil
	e.waiting.rejectAll()
	e.streams.cancelAll()
}

// capacity returns how many requests in flight the engine can take now. The caller must hold mu.
func (e *Engine) capacity() int {
	if e.ColdCompletions <= 0 {
		return e.Slots
	}
	return min(e.Slots, 1+int(e.completed)/e.ColdCompletions)
}

// acquireSlot counts a request as in flight. A cold engine that is loaded beyond its capacity crashes;
// acquireSlot then restarts it and returns false.
func (e *Engine) acquireSlot() (ok bool) {
	e.mu.Lock()
	e.inFlight++
	e.peak = max(e.peak, e.inFlight)
	cold := e.capacity() < e.Slots
	overloaded := cold && e.inFlight > e.capacity()
	if overloaded {
		e.overloads++
	}
	e.mu.Unlock()
	if overloaded {
		e.restart()
	}
	return !overloaded
}

// releaseSlot releases the slot of a request, unless the engine has restarted since the request began.
func (e *Engine) releaseSlot(boot string, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.bootID {
		return
	}
	e.inFlight--
	if completed {
		e.completed++
	}
	e.waiting.wakeNext()
}

// waitForSlot waits for a slot, in order of priority. It returns false if the request can't run.
func (e *Engine) waitForSlot(r *http.Request, p sagewire.Priority) (boot string, ok bool) {
	e.mu.Lock()
	boot = e.bootID
	if e.inFlight < e.Slots {
		e.mu.Unlock()
		return boot, e.acquireSlot()
	}
	granted := e.waiting.add(p)
	e.mu.Unlock()
	if granted == nil {
		return boot, false
	}
	select {
	case ok := <-granted:
		return boot, ok && e.acquireSlot()
	case <-r.Context().Done():
		return boot, false
	}
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(sagewire.HeaderRequestID)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	req := new(ChatRequest)
	if err := json.Unmarshal(body, req); err != nil {
		http.Error(w, "decode chat: "+err.Error(), http.StatusBadRequest)
		return
	}
	p, err := sagewire.ParsePriority(r.Header.Get(sagewire.HeaderPriority))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := e.faults.Select("chat")
	if _, ok := findFault(faults, FaultRestart); ok {
		e.restart()
		panic(http.ErrAbortHandler)
	}
	if !faultsBefore(w, r, faults) {
		return
	}
	if _, ok := findFault(faults, FaultNotRun); ok {
		refuseNotRun(w, id)
		return
	}
	boot, ok := e.waitForSlot(r, p)
	if !ok {
		refuseNotRun(w, id)
		return
	}
	e.mu.Lock()
	cache := e.cache
	e.mu.Unlock()
	conversation := blocks(req.Messages)
	cached, prompt := cache.admit(conversation)
	if chat := r.Header.Get(sagewire.HeaderChat); chat != "" {
		e.chats.set(chat, conversation)
	}
	s := &stream{id: id, boot: boot, model: req.Model, tokens: ResponseTokens(req), usage: Usage{PromptTokens: prompt, CachedTokens: cached}}
	e.streams.add(s)
	go e.generate(s)
	faultsAfter(faults)
	h := w.Header()
	if _, ok := findFault(faults, FaultWrongRequestID); ok {
		id = "someone-else"
	}
	h.Set(sagewire.HeaderRequestID, id)
	h.Set(sagewire.HeaderBootID, boot)
	h.Set(sagewire.HeaderPromptTokens, strconv.Itoa(prompt))
	h.Set(sagewire.HeaderCachedTokens, strconv.Itoa(cached))
	if req.Stream {
		truncation, truncated := findFault(faults, FaultTruncatedStream)
		if !truncated {
			truncation.AfterEvents = -1
		}
		e.serveStream(w, r, s, 0, truncation.AfterEvents)
		return
	}
	e.serveComplete(w, r, s, faults)
}

// generate produces the tokens of a stream at the engine's speed, whether or not a client reads them.
func (e *Engine) generate(s *stream) {
	prefill := time.Duration((s.usage.PromptTokens-s.usage.CachedTokens)*e.PromptMicros) * time.Microsecond
	time.Sleep(prefill)
	for range s.tokens {
		time.Sleep(time.Duration(e.TokenMicros) * time.Microsecond)
		if !s.advance() {
			break
		}
	}
	e.releaseSlot(s.boot, s.done())
	time.AfterFunc(streamRetention, func() { e.streams.remove(s) })
}

func (e *Engine) serveComplete(w http.ResponseWriter, r *http.Request, s *stream, faults []Fault) {
	if !s.wait(r.Context(), len(s.tokens)) {
		panic(http.ErrAbortHandler)
	}
	text := ""
	for _, t := range s.tokens {
		text += t
	}
	s.usage.CompletionTokens = len(s.tokens)
	b, err := json.Marshal(ChatResponse{
		ID: s.id, Object: "chat.completion", Model: s.model,
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: text}, FinishReason: "stop"}},
		Usage:   s.usage,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if _, ok := findFault(faults, FaultTruncatedBody); ok {
		_, _ = w.Write(b[:len(b)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
}

// load responds with the newest report that is at least ReportLagMillis old, or with the oldest one retained.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	if !faultsBefore(w, r, e.faults.Select("load")) {
		return
	}
	now := time.Now()
	e.mu.Lock()
	report := Load{BootID: e.bootID, InFlight: e.inFlight, Slots: e.Slots, Capacity: e.capacity(), CacheGeneration: e.cacheGen, Completed: e.completed, AsOf: now}
	e.reports = append(e.reports, report)
	oldest := now.Add(-time.Duration(e.ReportLagMillis) * time.Millisecond)
	for len(e.reports) > 1 && !e.reports[1].AsOf.After(oldest) {
		e.reports = e.reports[1:]
	}
	out := e.reports[0]
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	c := e.cache
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, c.since(after, e.EventLag))
}

// EngineState is the response to GET /standin/engine. Unlike load reports, it is always current.
type EngineState struct {
	Name      string `json:"name"`
	BootID    string `json:"boot_id"`
	InFlight  int    `json:"in_flight"`
	Peak      int    `json:"peak"`
	Capacity  int    `json:"bears"`
	Completed int64  `json:"completed"`
	Overloads int64  `json:"overloads"`
}

// State returns the engine's current state.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{Name: e.Name, BootID: e.bootID, InFlight: e.inFlight, Peak: e.peak, Capacity: e.capacity(), Completed: e.completed, Overloads: e.overloads}
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

func eventID(n int) string { return fmt.Sprintf("id: %d\n", n) }
