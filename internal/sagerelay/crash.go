package sagerelay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageupstream"
)

const (
	// maxSuspectParts is the number of shared parts of a prompt that are considered.
	maxSuspectParts = 256
	// maxLabelText limits the texts of clients that describe a suspect.
	maxLabelText = 100
)

// fingerprint identifies the content of the request. Repeated attempts share it.
func (j *job) fingerprint() sagequarantine.Fingerprint {
	j.fpOnce.Do(func() {
		j.fp = sagequarantine.FingerprintOf(j.accountName(), j.r.Method, j.r.Host+j.r.URL.RequestURI(), j.body)
	})
	return j.fp
}

// parts returns the shared parts of the prompt as suspects.
func (j *job) parts() []sagequarantine.Suspect {
	j.partsOnce.Do(func() {
		shared := j.meta.Chain.Shared()
		for _, p := range shared[:min(len(shared), maxSuspectParts)] {
			j.suspectParts = append(j.suspectParts, sagequarantine.NewPart(j.accountName(), j.serviceName, j.meta.Model, p.ID))
		}
	})
	return j.suspectParts
}

// suspects returns what may crash an upstream: the request, and the shared parts of its prompt.
func (j *job) suspects() []sagequarantine.Suspect {
	return append([]sagequarantine.Suspect{sagequarantine.NewRequest(j.fingerprint())}, j.parts()...)
}

// quarantined reports whether the request must not be sent, and sets the end of its quarantine.
func (j *job) quarantined() bool {
	if !j.s.Quarantine.Quarantining() {
		return false
	}
	now := sageclock.Now()
	entries := j.s.Quarantine.Quarantined(now, j.suspects()...)
	if len(entries) == 0 {
		return false
	}
	if len(entries) == 1 && j.s.SendsTrials() && j.s.Quarantine.AllowTrial(now, entries[0].Suspect.Fingerprint) {
		j.s.Log.Info("Trial of a quarantined suspect.", "id", j.meta.ID, "suspect", entries[0].Suspect.Name())
		return false
	}
	for i := range entries {
		e := &entries[i]
		j.quarantineEnd = max(j.quarantineEnd, e.Until)
		j.s.Log.Limited(sagelog.KindRefused, "Request is quarantined.", "id", j.meta.ID, "suspect", e.Suspect.Name(), "part", j.partID(e.Suspect), "account", j.accountName(),
			"service", j.serviceName, "crashes", len(e.Crashes), "since_ms", now.Sub(e.Since).Milliseconds(), "sends", j.sends)
	}
	return true
}

// partID returns the ID of a part of the prompt for the log; empty if the suspect is none.
func (j *job) partID(s sagequarantine.Suspect) string {
	for i, p := range j.parts() {
		if p.Fingerprint == s.Fingerprint || p.Shared == s.Fingerprint {
			return j.meta.Chain[i : i+1].String()
		}
	}
	return ""
}

// refuseQuarantined refuses a quarantined request that no upstream may have executed.
func (j *job) refuseQuarantined() {
	j.refuse(http.StatusServiceUnavailable, Quarantined, j.quarantineEnd.Sub(sageclock.Now()).Round(time.Second))
}

// recordSuccess records that an upstream executed the request to completion, which speaks for the request and its parts.
func (x *exchange) recordSuccess(res *http.Response) {
	j := x.j
	switch {
	case x.helper != nil || res.StatusCode < http.StatusOK || res.StatusCode >= http.StatusMultipleChoices:
	case j.s.Quarantine.Active():
		j.s.Quarantine.RecordSuccess(sageclock.Now(), j.suspects()...)
	default:
		j.s.Quarantine.RecordSuccess(sageclock.Now(), j.parts()...)
	}
}

// errUpstreamEnded reports a response that ended with its connection, and whose upstream has ended as well.
var errUpstreamEnded = errors.New("upstream ended at the end of a response without length and chunks")

// endsWithConn reports whether the end of a response is that of its connection.
func endsWithConn(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// endedWithUpstream reports whether a response ended with its connection because the upstream crashed or stopped. Nothing in the
// response shows that it isn't complete. A stop that was announced cuts responses off as well.
func (x *exchange) endedWithUpstream(res *http.Response) bool {
	if x.helper != nil || !endsWithConn(res) {
		return false
	}
	return x.j.s.probeStopped(x.p.Upstream)
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
	r, b := x.running(), x.conn.breakNow()
	go func() {
		if j.s.probeStopped(u) {
			j.s.Fleet.WhenPathVerified(u, true, func() { j.s.recordCrash(u, r) })
			return
		}
		j.s.recordBreak(u, b)
	}()
}

// runningRequest describes a request that an upstream was executing.
type runningRequest struct {
	suspects    []sagequarantine.Suspect
	id, account string
	parts       sagechain.Chain // shared parts of the prompt
	events      int             // received before the exchange broke
	brokeAt     sageclock.Instant
}

// running describes the request of an exchange that has just broken.
func (x *exchange) running() runningRequest {
	j := x.j
	suspects := slices.Clone(x.suspects())
	for i := range suspects {
		suspects[i].Label = j.label(suspects[i])
	}
	return runningRequest{suspects, j.meta.ID, j.accountName(), j.meta.Chain.Shared(), x.events, sageclock.Now()}
}

// label describes a suspect of the request for operators.
func (j *job) label(s sagequarantine.Suspect) string {
	if s.Kind == sagequarantine.Request {
		return fmt.Sprintf("request of account %q: %s %s", j.accountName(), j.r.Method, truncate(j.r.Host+j.r.URL.Path))
	}
	return fmt.Sprintf("part %s in prompts of account %q to model %q of service %q", j.partID(s), j.accountName(), truncate(j.meta.Model), j.serviceName)
}

// truncate returns the first maxLabelText bytes of a text that a client wrote.
func truncate(s string) string { return s[:min(len(s), maxLabelText)] }

// suspects returns what may have crashed the upstream if it crashes now. The parts of the prompt are suspect only while the
// answer begins.
func (x *exchange) suspects() []sagequarantine.Suspect {
	if x.events > 0 && time.Since(x.firstEvent) >= sagequarantine.BeginningDuration {
		return []sagequarantine.Suspect{sagequarantine.NewRequest(x.j.fingerprint())}
	}
	return x.j.suspects()
}

// recordAbandoned records that this node cancelled the request. The upstream may still be executing
// it.
func (x *exchange) recordAbandoned() {
	if x.helper != nil {
		return
	}
	x.j.s.Quarantine.RecordAbandoned(sageclock.Now(), crashIDOf(x.p.Upstream), x.suspects()...)
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
	c := sagequarantine.Crash{ID: crashIDOf(u), At: now}
	var suspects []sagequarantine.Suspect
	for i := range requests {
		r := &requests[i]
		c.At = r.brokeAt
		suspects = append(suspects, r.suspects...)
		s.Metrics.GetOrCreateCounter(`sagestand_crashed_exchanges_total{service="` + u.Service + `"}`).Inc()
		s.Log.Limited(sagelog.KindCrash, "Upstream crashed under a request.", "id", r.id, "upstream", u.ID, "born", u.Born, "service", u.Service, "suspects", names(r.suspects),
			"account", r.account, "parts", r.parts.String(), "events", r.events, "crash_age_ms", now.Sub(r.brokeAt).Milliseconds())
	}
	entries := s.Quarantine.RecordCrash(now, c, suspects...)
	for i := range entries {
		s.LogQuarantined(&entries[i], "learned", "here", "upstream", u.ID)
	}
	s.CancelQuarantined(len(entries))
}

func names(suspects []sagequarantine.Suspect) string {
	return strings.Join(sagequarantine.Names(suspects), ",")
}

// LogQuarantined logs the start of a quarantine, with further fields.
func (s *Service) LogQuarantined(e *sagequarantine.Entry, kv ...any) {
	s.Log.Info("Quarantined.", append([]any{"suspect", e.Suspect.Name(), "is", e.Suspect.Label, "with", names(e.Companions), "crashes", len(e.Crashes)}, kv...)...)
}
