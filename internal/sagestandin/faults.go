package sagestandin

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidFault reports a fault that no stand-in can act out.
var ErrInvalidFault = errors.New("malformed fault")

// FaultKind says how an operation breaks.
type FaultKind string

// The kinds of fault.
const (
	// FaultOutage refuses with status 503 before any effect.
	FaultOutage FaultKind = "outage"
	// FaultNotRun refuses in the form that says "not run".
	FaultNotRun FaultKind = "not_run"
	// FaultDrop cuts the connection before any effect.
	FaultDrop FaultKind = "drop"
	// FaultLostAnswer cuts the connection after the effect.
	FaultLostAnswer FaultKind = "lost_answer"
	// FaultDelay waits DelayMillis before the operation.
	FaultDelay FaultKind = "delay"
	// FaultWrongRequestID answers with another request's id.
	FaultWrongRequestID FaultKind = "crossed"
	// FaultTruncatedStream cuts a stream after After events.
	FaultTruncatedStream FaultKind = "cut"
	// FaultTruncatedBody ends a plain answer before its announced length.
	FaultTruncatedBody FaultKind = "short"
	// FaultRestart loses all memory and starts anew, as after a crash.
	FaultRestart FaultKind = "restart"
)

// Fault is one way in which a stand-in breaks.
type Fault struct {
	// Op names the operation that breaks, "" all of them.
	Op   string    `json:"op,omitempty"`
	Kind FaultKind `json:"kind"`
	// Rate is the probability for each operation, 0 meaning 1.
	Rate float64 `json:"rate,omitempty"`
	// Count bounds how often the fault strikes, 0 meaning always.
	Count       int `json:"count,omitempty"`
	AfterEvents int `json:"after,omitempty"`
	DelayMillis int `json:"delay_millis,omitempty"`
}

// Check reports an unknown kind or a rate outside [0, 1].
func (f *Fault) Check() error {
	switch f.Kind {
	case FaultOutage, FaultNotRun, FaultDrop, FaultLostAnswer, FaultDelay, FaultWrongRequestID, FaultTruncatedStream, FaultTruncatedBody, FaultRestart:
	default:
		return fmt.Errorf("kind %q: %w", f.Kind, ErrInvalidFault)
	}
	if f.Rate < 0 || f.Rate > 1 {
		return fmt.Errorf("rate %v (want 0 to 1): %w", f.Rate, ErrInvalidFault)
	}
	return nil
}

// FaultPlan is the body of POST /standin/faults: it replaces the faults in force.
type FaultPlan struct {
	Seed   int64   `json:"seed"`
	Faults []Fault `json:"faults"`
}

// Faults is the set of faults in force. The zero value has none.
type Faults struct {
	mu   sync.Mutex
	rng  *rand.Rand
	plan []Fault
	left []int
}

// Set replaces the faults in force.
func (f *Faults) Set(p FaultPlan) error {
	for i := range p.Faults {
		if err := p.Faults[i].Check(); err != nil {
			return fmt.Errorf("faults[%d]: %w", i, err)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rng = rand.New(rand.NewSource(p.Seed))
	f.plan = p.Faults
	f.left = make([]int, len(p.Faults))
	for i := range p.Faults {
		f.left[i] = p.Faults[i].Count
	}
	return nil
}

// Strike returns the faults that hit this one operation.
func (f *Faults) Select(op string) []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hit []Fault
	for i, p := range f.plan {
		if p.Op != "" && p.Op != op {
			continue
		}
		if p.Count > 0 && f.left[i] == 0 {
			continue
		}
		if p.Rate > 0 && f.rng.Float64() >= p.Rate {
			continue
		}
		if p.Count > 0 {
			f.left[i]--
		}
		hit = append(hit, p)
	}
	return hit
}

// find returns the fault of that kind among hit.
func find(hit []Fault, kind FaultKind) (Fault, bool) {
	for _, f := range hit {
		if f.Kind == kind {
			return f, true
		}
	}
	return Fault{}, false
}

// before acts out the faults that strike ahead of the effect. It reports whether the operation
// goes on; if not, the answer is written or the connection is to be cut by its panic.
func before(w http.ResponseWriter, r *http.Request, hit []Fault) bool {
	if d, ok := find(hit, FaultDelay); ok {
		select {
		case <-time.After(time.Duration(d.DelayMillis) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	if _, ok := find(hit, FaultDrop); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := find(hit, FaultOutage); ok {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// after acts out a lost answer.
func after(hit []Fault) {
	if _, ok := find(hit, FaultLostAnswer); ok {
		panic(http.ErrAbortHandler)
	}
}

// ServeHTTP replaces the faults in force by the posted plan.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var p FaultPlan
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		http.Error(w, "decode faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.Set(p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeJSON answers with v; a failing connection is the caller's to notice.
func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
