package sagestandin

import (
	"encoding/json"
	"net/http"
	"time"
)

// SetVMs replaces the VM list. Readers see the change after ListLagMillis.
func (p *Platform) SetVMs(vms []VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !now.Before(p.visibleAt()) {
		p.oldVMs = p.vms
	}
	p.vms, p.changedAt = vms, now
}

// visibleAt returns the time at which the latest change becomes visible. The caller must hold mu.
func (p *Platform) visibleAt() time.Time {
	return p.changedAt.Add(time.Duration(p.ListLagMillis) * time.Millisecond)
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
	if time.Now().Before(p.visibleAt()) {
		vms = p.oldVMs
	}
	p.mu.Unlock()
	if vms == nil {
		vms = []VM{}
	}
	writeJSON(w, http.StatusOK, vms)
}
