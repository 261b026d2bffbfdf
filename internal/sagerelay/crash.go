package sagerelay

import (
	"context"
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// fingerprint names what the request asks for, which attempts that come again have in common.
func (j *job) fingerprint() sagequarantine.Fingerprint {
	if j.print == nil {
		account := ""
		if j.account != nil {
			account = j.account.Name
		}
		f := sagequarantine.FingerprintOf(account, j.r.Method, j.r.Host+j.r.URL.RequestURI(), j.bytes)
		j.print = &f
	}
	return *j.print
}

// quarantined reports whether the request must not be sent, and notes until when.
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
		j.s.Log.Info("Trial of a quarantined request.", "id", j.call.ID, "fingerprint", j.fingerprint().String())
		return false
	}
	j.freeAt = until
	return true
}

// refuseQuarantined ends a quarantined request that is not under way at any upstream.
func (j *job) refuseQuarantined() {
	j.refuse(http.StatusServiceUnavailable, Quarantined, j.freeAt.Sub(sageclock.Now()).Round(time.Second))
}

// succeeded clears a request that was executed to its end.
func (j *job) succeeded() {
	if j.s.Quarantine.Active() {
		j.s.Quarantine.RecordSuccess(sageclock.Now(), j.fingerprint())
	}
}

// crashOf returns the crash that ends this start of an upstream.
func crashOf(u *sageupstream.Entry) sagequarantine.CrashID {
	return sagequarantine.CrashIDOf(u.ID, u.Born)
}

// checkCrash finds out whether the upstream crashed under the request, which takes a moment. One that was leaving has
// stopped as planned.
func (x *exchange) checkCrash() {
	j, u := x.j, x.p.Upstream
	if j.s.Fleet.Leaving(u) {
		return
	}
	f := j.fingerprint()
	go func() {
		if j.s.crashed(u) {
			j.s.noteCrash(u, f)
		}
	}()
}

// abandon notes that this side gave the request up, with which the upstream may go on.
func (x *exchange) abandon() {
	x.j.s.Quarantine.RecordAbandoned(sageclock.Now(), crashOf(x.p.Upstream), x.j.fingerprint())
}

// crashed probes whether an upstream has stopped. Calls at the same time share one probe.
func (s *Service) crashed(u *sageupstream.Entry) bool {
	stopped, _, _ := s.crashes.Do(u.ID, func() (any, error) {
		time.Sleep(crashProbeAfter)
		return s.upstreams.refuses(context.Background(), u.Address), nil
	})
	return stopped.(bool)
}

// noteCrash takes in that an upstream crashed with some requests of this node.
func (s *Service) noteCrash(u *sageupstream.Entry, requests ...sagequarantine.Fingerprint) {
	now := sageclock.Now()
	for _, f := range requests {
		s.Log.Limited(sagelog.KindStateChange, "Upstream crashed under a request.", "upstream", u.ID, "service", u.Service, "fingerprint", f.String())
	}
	for _, e := range s.Quarantine.RecordCrash(now, crashOf(u), requests...) {
		s.Log.Info("Request quarantined.", "fingerprint", e.Request.String(), "crashes", len(e.Crashes), "learned", "here", "upstream", u.ID)
	}
}
