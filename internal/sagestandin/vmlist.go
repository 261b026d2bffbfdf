package sagestandin

import (
	"encoding/json"
	"net/http"
	"time"
)

// SetVMs replaces the VM list; readers see the change after the list's lag.
func (p *Platform) SetVMs(vms []VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !now.Before(p.shownAt()) {
		p.oldVMs = p.vms
	}
	p.vms, p.seenAt = vms, now
}

// shownAt returns when the latest change becomes visible; mu is held.
func (p *Platform) shownAt() time.Time {
	return p.seenAt.Add(time.Duration(p.ListLagMillis) * time.Millisecond)
}

func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&vms); err != nil {
		http.Error(w, "decode VM list: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	vms := p.vms
	if time.Now().Before(p.shownAt()) {
		vms = p.oldVMs
	}
	p.mu.Unlock()
	if vms == nil {
		vms = []VM{}
	}
	writeJSON(w, http.StatusOK, vms)
}
