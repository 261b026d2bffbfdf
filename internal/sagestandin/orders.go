package sagestandin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Order is the wanted state of an engine with the fencing number of who asks for it.
type Order struct {
	Fencing int64    `json:"fencing"`
	Models  []string `json:"models,omitempty"`
	Role    string   `json:"role,omitempty"`
	Drain   bool     `json:"drain,omitempty"`
}

// orders keeps the newest order and every fencing number seen, for tests to look at.
type orders struct {
	mu      sync.Mutex
	current Order
	log     []int64
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	if !before(w, r, e.faults.Select("order")) {
		return
	}
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, "decode order: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	if e.ChecksFencing && o.Fencing < e.orders.current.Fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.orders.current = o
	e.orders.log = append(e.orders.log, o.Fencing)
	writeJSON(w, http.StatusOK, o)
}

// CurrentOrder returns the order in force and the fencing numbers in the order of their arrival.
func (e *Engine) CurrentOrder() (Order, []int64) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return e.orders.current, append([]int64(nil), e.orders.log...)
}
