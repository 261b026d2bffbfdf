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

// Load is an engine's report of its load, as it was at AsOf.
type Load struct {
	BootID          string    `json:"boot_id"`
	InFlight        int       `json:"in_flight"`
	Slots           int       `json:"slots"`
	Capacity        int       `json:"bears"`
	CacheGeneration int64     `json:"cache_generation"`
	Completed       int64     `json:"completed"`
	AsOf            time.Time `json:"as_of"`
}

// Engine is a stand-in for a model engine. Its exported fields are set before Handler is called.
type Engine struct {
	Name string
	// Slots is how many requests it batches at once when warm.
	Slots int
	// CacheTokens is the memory of its prefix cache, in tokens.
	CacheTokens int
	// TokenMicros is the time between two tokens, in microseconds.
	TokenMicros int
	// PromptMicros is the time that one uncached prompt token costs, in microseconds.
	PromptMicros int
	// ColdCompletions is how many completed requests it takes to bear one more request in flight
	// after a start; 0 means that it starts warm.
	ColdCompletions int
	// ReportLagMillis is how old its load reports are.
	ReportLagMillis int
	// EventLag is how many of the newest cache events it holds back.
	EventLag int
	// ChecksFencing says that it refuses orders with an old fencing number.
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

// Handler returns the engine's HTTP interface.
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
	mux.HandleFunc("GET /standin/engine", e.show)
	mux.Handle("POST /standin/faults", &e.faults)
	return mux
}

// restart loses all memory, as a crash does.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootID = uuid.NewString()
	e.cache = newPrefixCache(e.CacheTokens)
	e.cacheGen++
	e.inFlight, e.completed, e.reports = 0, 0, nil
	e.waiting.refuseAll()
	e.streams.dropAll()
}

// bears returns how many requests in flight it can bear now; mu is held.
func (e *Engine) bears() int {
	if e.ColdCompletions <= 0 {
		return e.Slots
	}
	return min(e.Slots, 1+int(e.completed)/e.ColdCompletions)
}

// start takes a slot for a request that has one. An engine pushed above what it bears while it is
// cold falls over.
func (e *Engine) start() (ok bool) {
	e.mu.Lock()
	e.inFlight++
	e.peak = max(e.peak, e.inFlight)
	cold := e.bears() < e.Slots
	fall := cold && e.inFlight > e.bears()
	if fall {
		e.overloads++
	}
	e.mu.Unlock()
	if fall {
		e.restart()
	}
	return !fall
}

// finish gives a slot back unless the engine restarted since.
func (e *Engine) finish(boot string, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.bootID {
		return
	}
	e.inFlight--
	if done {
		e.completed++
	}
	e.waiting.next()
}

// enter waits for a slot by priority; false means refused without running.
func (e *Engine) enter(r *http.Request, p sagewire.Priority) (boot string, ok bool) {
	e.mu.Lock()
	boot = e.bootID
	if e.inFlight < e.Slots {
		e.mu.Unlock()
		return boot, e.start()
	}
	turn := e.waiting.add(p)
	e.mu.Unlock()
	if turn == nil {
		return boot, false
	}
	select {
	case ok := <-turn:
		return boot, ok && e.start()
	case <-r.Context().Done():
		return boot, false
	}
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(sagewire.HeaderRequestID)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	c := new(ChatRequest)
	if err := json.Unmarshal(body, c); err != nil {
		http.Error(w, "decode chat: "+err.Error(), http.StatusBadRequest)
		return
	}
	p, err := sagewire.ParsePriority(r.Header.Get(sagewire.HeaderPriority))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	hit := e.faults.Select("chat")
	if _, ok := find(hit, FaultRestart); ok {
		e.restart()
		panic(http.ErrAbortHandler)
	}
	if !before(w, r, hit) {
		return
	}
	if _, ok := find(hit, FaultNotRun); ok {
		refuseNotRun(w, id)
		return
	}
	boot, ok := e.enter(r, p)
	if !ok {
		refuseNotRun(w, id)
		return
	}
	e.mu.Lock()
	cache := e.cache
	e.mu.Unlock()
	bs := blocks(c.Messages)
	cached, prompt := cache.admit(bs)
	if chat := r.Header.Get(sagewire.HeaderChat); chat != "" {
		e.chats.set(chat, bs)
	}
	s := &stream{id: id, boot: boot, model: c.Model, tokens: ResponseTokens(c), usage: Usage{PromptTokens: prompt, CachedTokens: cached}}
	e.streams.add(s)
	go e.generate(s)
	after(hit)
	h := w.Header()
	if _, ok := find(hit, FaultWrongRequestID); ok {
		id = "someone-else"
	}
	h.Set(sagewire.HeaderRequestID, id)
	h.Set(sagewire.HeaderBootID, boot)
	h.Set(sagewire.HeaderPromptTokens, strconv.Itoa(prompt))
	h.Set(sagewire.HeaderCachedTokens, strconv.Itoa(cached))
	if c.Stream {
		cut, isCut := find(hit, FaultTruncatedStream)
		if !isCut {
			cut.AfterEvents = -1
		}
		e.serveStream(w, r, s, 0, cut.AfterEvents)
		return
	}
	e.serveWhole(w, r, s, hit)
}

// generate produces the tokens of a stream at the engine's pace, whether or not anybody reads.
func (e *Engine) generate(s *stream) {
	wait := time.Duration((s.usage.PromptTokens-s.usage.CachedTokens)*e.PromptMicros) * time.Microsecond
	time.Sleep(wait)
	for range s.tokens {
		time.Sleep(time.Duration(e.TokenMicros) * time.Microsecond)
		if !s.advance() {
			break
		}
	}
	e.finish(s.boot, s.done())
	time.AfterFunc(streamHold, func() { e.streams.remove(s) })
}

func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, s *stream, hit []Fault) {
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
	if _, ok := find(hit, FaultTruncatedBody); ok {
		_, _ = w.Write(b[:len(b)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
}

// load answers with the newest report that is old enough.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	if !before(w, r, e.faults.Select("load")) {
		return
	}
	now := time.Now()
	e.mu.Lock()
	rep := Load{BootID: e.bootID, InFlight: e.inFlight, Slots: e.Slots, Capacity: e.bears(), CacheGeneration: e.cacheGen, Completed: e.completed, AsOf: now}
	e.reports = append(e.reports, rep)
	oldest := now.Add(-time.Duration(e.ReportLagMillis) * time.Millisecond)
	for len(e.reports) > 1 && !e.reports[1].AsOf.After(oldest) {
		e.reports = e.reports[1:]
	}
	out := e.reports[0]
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		n = 0
	}
	e.mu.Lock()
	c := e.cache
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, c.since(n, e.EventLag))
}

// EngineState is what GET /standin/engine shows, without lag.
type EngineState struct {
	Name      string `json:"name"`
	BootID    string `json:"boot_id"`
	InFlight  int    `json:"in_flight"`
	Peak      int    `json:"peak"`
	Capacity  int    `json:"bears"`
	Completed int64  `json:"completed"`
	Overloads int64  `json:"overloads"`
}

// State returns the engine's true state.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{Name: e.Name, BootID: e.bootID, InFlight: e.inFlight, Peak: e.peak, Capacity: e.bears(), Completed: e.completed, Overloads: e.overloads}
}

func (e *Engine) show(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

func eventID(n int) string { return fmt.Sprintf("id: %d\n", n) }
