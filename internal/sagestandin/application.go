package sagestandin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"sagestand.example/sagestand/pkg/sagewire"
)

// maxBodyBytes is the number of bytes of a request body that a stand-in reads.
const maxBodyBytes = 4 << 20

// Execution counts how often the application executed a request with a given idempotency key.
type Execution struct {
	Key        string   `json:"key"`
	Count      int      `json:"count"`
	RequestIDs []string `json:"request_ids"`
}

// ServiceResponse is the application's response to any call.
type ServiceResponse struct {
	Application string `json:"application"`
	Key         string `json:"key,omitempty"`
	Echo        string `json:"echo"`
	Path        string `json:"path"`
}

// Application is a stand-in for an application service. It counts executions per idempotency key, and echoes
// the body of each request so that callers can detect a response that belongs to another request.
type Application struct {
	Name string

	faults Faults

	mu    sync.Mutex
	byKey map[string]*Execution
}

// Handler returns the application's HTTP handler.
func (a *Application) Handler() http.Handler {
	a.byKey = make(map[string]*Execution)
	mux := http.NewServeMux()
	mux.Handle("POST /standin/faults", &a.faults)
	mux.HandleFunc("GET /standin/executions", a.executions)
	mux.HandleFunc("GET /v1/load", a.load)
	mux.HandleFunc("/", a.serve)
	return mux
}

// Executions returns a copy of the executions, by idempotency key.
func (a *Application) Executions() map[string]Execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := make(map[string]Execution, len(a.byKey))
	for k, e := range a.byKey {
		m[k] = *e
	}
	return m
}

func (a *Application) executions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.Executions())
}

func (a *Application) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Load{BootID: a.Name, Slots: 64, Capacity: 64})
}

// recordExecution counts one execution. Requests without an idempotency key aren't counted.
func (a *Application) recordExecution(key, id string) {
	if key == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.byKey[key]
	if e == nil {
		e = &Execution{Key: key}
		a.byKey[key] = e
	}
	e.Count++
	e.RequestIDs = append(e.RequestIDs, id)
}

func (a *Application) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(sagewire.HeaderRequestID)
	key := r.Header.Get(sagewire.HeaderIdempotencyKey)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	faults := a.faults.Select("serve")
	if !faultsBefore(w, r, faults) {
		return
	}
	if _, ok := findFault(faults, FaultNotRun); ok {
		refuseNotRun(w, id)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		a.recordExecution(key, id)
	}
	faultsAfter(faults)
	if _, ok := findFault(faults, FaultWrongRequestID); ok {
		id = "someone-else"
	}
	w.Header().Set(sagewire.HeaderRequestID, id)
	w.Header().Set(sagewire.HeaderBootID, a.Name)
	if _, ok := findFault(faults, FaultTruncatedBody); ok {
		w.Header().Set("Content-Length", strconv.Itoa(1000))
		_, _ = io.WriteString(w, "{")
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, ServiceResponse{Application: a.Name, Key: key, Echo: string(body), Path: r.URL.Path})
}

// refuseNotRun sends the only form of refusal that a router accepts as "not run".
func refuseNotRun(w http.ResponseWriter, id string) {
	w.Header().Set(sagewire.HeaderRequestID, id)
	w.Header().Set(sagewire.HeaderNotRun, "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, fmt.Sprintf("not run: %s", id), http.StatusServiceUnavailable)
}
