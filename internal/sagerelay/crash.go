package sagerelay

import (
	"context"
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// fingerprint identifies the content of the request. Repeated attempts share it.
func (j *job) fingerprint() sagequarantine.Fingerprint {
	if j.fp == nil {
		f := sagequarantine.FingerprintOf(j.accountName(), j.r.Method, j.r.Host+j.r.URL.RequestURI(), j.body)
		j.fp = &f
	}
	return *j.fp
}

// quarantined reports whether the request must not be sent, and sets the end of its quarantine.
func (j *job) quarantined() bool {
	if !j.s.Quarantine.Active() {
		return false
	}
	now := sageclock.Now()
	until, ok := j.s.Quarantine.QuarantinedUntil(now, j.fingerprint())
	if !ok {
		return false
	}
	if j.s.SendsTrials() && j.s.Quarantine.AllowTrial(now, j.fingerprint()) {
		j.s.Log.Info("Trial of a quarantined request.", "id", j.meta.ID, "fingerprint", j.fingerprint().String())
		return false
	}
	j.quarantineEnd = until
	return true
}

// refuseQuarantined refuses a quarantined request that no upstream may have executed.
func (j *job) refuseQuarantined() {
	j.refuse(http.StatusServiceUnavailable, Quarantined, j.quarantineEnd.Sub(sageclock.Now()).Round(time.Second))
}

// recordSuccess records that the request was executed to completion, which clears it of suspicion.
func (j *job) recordSuccess() {
	if j.s.Quarantine.Active() {
		j.s.Quarantine.RecordSuccess(sageclock.Now(), j.fingerprint())
	}
}

// crashIDOf returns the ID of the crash that ends this start of an upstream.
func crashIDOf(u *sageupstream.Entry) sagequarantine.CrashID {
	return sagequarantine.CrashIDOf(u.ID, u.Born)
}

// checkCrash probes in the background whether the upstream crashed while it handled the request. An
// upstream that was leaving has stopped as planned.
func (x *exchange) checkCrash() {
	if x.helper != nil {
		return
	}
	j, u := x.j, x.p.Upstream
	if j.s.Fleet.Leaving(u) {
		return
	}
	r := x.running()
	go func() {
		if j.s.probeStopped(u) {
			j.s.Fleet.WhenPathVerified(u, true, func() { j.s.recordCrash(u, r) })
		}
	}()
}

// runningRequest describes a request that an upstream was executing.
type runningRequest struct {
	fingerprint sagequarantine.Fingerprint
	id, account string
	parts       sagechain.Chain // shared parts of the prompt
	events      int             // received before the exchange broke
	brokeAt     sageclock.Instant
}

// running describes the request of an exchange that has just broken.
func (x *exchange) running() runningRequest {
	j := x.j
	return runningRequest{j.fingerprint(), j.meta.ID, j.accountName(), j.meta.Chain.Shared(), x.events, sageclock.Now()}
}

// recordAbandoned records that this node cancelled the request. The upstream may still be executing
// it.
func (x *exchange) recordAbandoned() {
	if x.helper != nil {
		return
	}
	x.j.s.Quarantine.RecordAbandoned(sageclock.Now(), crashIDOf(x.p.Upstream), x.j.fingerprint())
}

// probeStopped probes whether an upstream has stopped. Concurrent calls share one probe.
func (s *Service) probeStopped(u *sageupstream.Entry) bool {
	stopped, _, _ := s.crashProbes.Do(u.ID, func() (any, error) {
		time.Sleep(crashProbeDelay)
		return s.toUpstreams().refusesConnections(context.Background(), u.Address), nil
	})
	return stopped.(bool)
}

// recordCrash records that an upstream crashed while it handled requests of this node.
func (s *Service) recordCrash(u *sageupstream.Entry, requests ...runningRequest) {
	now := sageclock.Now()
	fingerprints := make([]sagequarantine.Fingerprint, len(requests))
	for i := range requests {
		r := &requests[i]
		fingerprints[i] = r.fingerprint
		s.Log.Limited(sagelog.KindCrash, "Upstream crashed under a request.", "id", r.id, "upstream", u.ID, "born", u.Born, "service", u.Service, "fingerprint", r.fingerprint.String(),
			"account", r.account, "parts", r.parts.String(), "events", r.events, "crash_age_ms", now.Sub(r.brokeAt).Milliseconds())
	}
	for _, e := range s.Quarantine.RecordCrash(now, crashIDOf(u), fingerprints...) {
		s.Log.Info("Request quarantined.", "fingerprint", e.Request.String(), "crashes", len(e.Crashes), "learned", "here", "upstream", u.ID)
	}
}
