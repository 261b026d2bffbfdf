package sagestandin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"sagestand.example/sagestand/pkg/sagewire"
)

// maxBody bounds what a stand-in reads of a request.
const maxBody = 4 << 20

// Execution counts how often the application ran the request of a key.
type Execution struct {
	Key        string   `json:"key"`
	Count      int      `json:"count"`
	RequestIDs []string `json:"request_ids"`
}

// ServiceResponse is the application's answer to any call.
type ServiceResponse struct {
	Application string `json:"application"`
	Key         string `json:"key,omitempty"`
	Echo        string `json:"echo"`
	Path        string `json:"path"`
}

// Application is a stand-in for an application service: it counts executions per idempotency key
// and echoes each request, so that a crossed answer shows.
type Application struct {
	Name string

	faults Faults

	mu   sync.Mutex
	runs map[string]*Execution
}

// Handler returns the application's HTTP interface.
func (a *Application) Handler() http.Handler {
	a.runs = make(map[string]*Execution)
	mux := http.NewServeMux()
	mux.Handle("POST /standin/faults", &a.faults)
	mux.HandleFunc("GET /standin/executions", a.executions)
	mux.HandleFunc("GET /v1/load", a.load)
	mux.HandleFunc("/", a.serve)
	return mux
}

// Executions returns a copy of the counts by key.
func (a *Application) Executions() map[string]Execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := make(map[string]Execution, len(a.runs))
	for k, e := range a.runs {
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

// run counts one execution.
func (a *Application) run(key, id string) {
	if key == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.runs[key]
	if e == nil {
		e = &Execution{Key: key}
		a.runs[key] = e
	}
	e.Count++
	e.RequestIDs = append(e.RequestIDs, id)
}

func (a *Application) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(sagewire.HeaderRequestID)
	key := r.Header.Get(sagewire.HeaderIdempotencyKey)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	hit := a.faults.Select("serve")
	if !before(w, r, hit) {
		return
	}
	if _, ok := find(hit, FaultNotRun); ok {
		refuseNotRun(w, id)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		a.run(key, id)
	}
	after(hit)
	if _, ok := find(hit, FaultWrongRequestID); ok {
		id = "someone-else"
	}
	w.Header().Set(sagewire.HeaderRequestID, id)
	w.Header().Set(sagewire.HeaderBootID, a.Name)
	if _, ok := find(hit, FaultTruncatedBody); ok {
		w.Header().Set("Content-Length", strconv.Itoa(1000))
		_, _ = io.WriteString(w, "{")
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, ServiceResponse{Application: a.Name, Key: key, Echo: string(body), Path: r.URL.Path})
}

// refuseNotRun answers in the only form that a router takes for "not run".
func refuseNotRun(w http.ResponseWriter, id string) {
	w.Header().Set(sagewire.HeaderRequestID, id)
	w.Header().Set(sagewire.HeaderNotRun, "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, fmt.Sprintf("not run: %s", id), http.StatusServiceUnavailable)
}
