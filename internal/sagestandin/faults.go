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

// ErrInvalidFault reports a fault that stand-ins can't inject.
var ErrInvalidFault = errors.New("malformed fault")

// FaultKind is the way in which an operation fails.
type FaultKind string

// The kinds of fault.
const (
	// FaultOutage responds with status 503 before any effect.
	FaultOutage FaultKind = "outage"
	// FaultNotRun refuses the request in the form that means "not run".
	FaultNotRun FaultKind = "not_run"
	// FaultDrop closes the connection before any effect.
	FaultDrop FaultKind = "drop"
	// FaultLostAnswer closes the connection after the effect.
	FaultLostAnswer FaultKind = "lost_answer"
	// FaultDelay waits DelayMillis before the operation.
	FaultDelay FaultKind = "delay"
	// FaultWrongRequestID responds with the ID of another request.
	FaultWrongRequestID FaultKind = "crossed"
	// FaultTruncatedStream closes the connection after AfterEvents events of a stream.
	FaultTruncatedStream FaultKind = "cut"
	// FaultTruncatedBody closes the connection before Content-Length bytes of an unstreamed response were sent.
	FaultTruncatedBody FaultKind = "short"
	// FaultRestart discards all state in memory, as a crash does.
	FaultRestart FaultKind = "restart"
)

// Fault is a fault that a stand-in injects into its operations.
type Fault struct {
	// Op is the operation that fails. The empty string means all operations.
	Op   string    `json:"op,omitempty"`
	Kind FaultKind `json:"kind"`
	// Rate is the probability that an operation fails. 0 means 1.
	Rate float64 `json:"rate,omitempty"`
	// Count is the maximum number of operations that fail. 0 means no limit.
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

// FaultPlan is the body of POST /standin/faults. It replaces the active faults.
type FaultPlan struct {
	Seed   int64   `json:"seed"`
	Faults []Fault `json:"faults"`
}

// Faults is the set of active faults. The zero value is an empty set.
type Faults struct {
	mu        sync.Mutex
	rng       *rand.Rand
	plan      []Fault
	remaining []int
}

// Set replaces the active faults.
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
	f.remaining = make([]int, len(p.Faults))
	for i := range p.Faults {
		f.remaining[i] = p.Faults[i].Count
	}
	return nil
}

// Select draws the faults to inject into one call of an operation.
func (f *Faults) Select(op string) []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var selected []Fault
	for i, p := range f.plan {
		if p.Op != "" && p.Op != op {
			continue
		}
		if p.Count > 0 && f.remaining[i] == 0 {
			continue
		}
		if p.Rate > 0 && f.rng.Float64() >= p.Rate {
			continue
		}
		if p.Count > 0 {
			f.remaining[i]--
		}
		selected = append(selected, p)
	}
	return selected
}

// findFault returns the first fault of the given kind.
func findFault(faults []Fault, kind FaultKind) (Fault, bool) {
	for _, f := range faults {
		if f.Kind == kind {
			return f, true
		}
	}
	return Fault{}, false
}

// faultsBefore injects the faults that precede the effect of an operation. It returns false if the operation
// must not continue, after a response was sent or the client left. For a dropped connection it panics with
// [http.ErrAbortHandler].
func faultsBefore(w http.ResponseWriter, r *http.Request, faults []Fault) bool {
	if delay, ok := findFault(faults, FaultDelay); ok {
		select {
		case <-time.After(time.Duration(delay.DelayMillis) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	if _, ok := findFault(faults, FaultDrop); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := findFault(faults, FaultOutage); ok {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// faultsAfter closes the connection after the effect of an operation, if a fault says so.
func faultsAfter(faults []Fault) {
	if _, ok := findFault(faults, FaultLostAnswer); ok {
		panic(http.ErrAbortHandler)
	}
}

// ServeHTTP replaces the active faults with the plan in the request body.
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

// writeJSON sends v. It ignores write errors because the client sees the failed connection itself.
func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
