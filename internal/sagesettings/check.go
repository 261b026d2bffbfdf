package sagesettings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
)

// Check returns every fault of the values. The shapes are those of the types.
func (s *Settings) Validate() FieldErrors {
	var f FieldErrors
	s.checkNode(&f)
	s.checkFiles(&f)
	s.checkLimits(&f)
	s.checkRules(&f)
	for i, o := range s.Objectives {
		path := fmt.Sprintf("objectives[%d].", i)
		f.filled(path+"account", o.Account)
		f.positive(path+"latency_millis", int64(o.LatencyMillis))
		if o.Target <= 0 || o.Target >= 1 {
			f.add(path+"target", "have %v, want above 0 and below 1", o.Target)
		}
	}
	return f
}

func (s *Settings) checkNode(f *FieldErrors) {
	f.filled("node.name", s.Node.Name)
	f.filled("node.data_centre", s.Node.DataCentre)
	f.address("listen.entry", s.Listen.Entry)
	f.address("listen.peer", s.Listen.Peer)
	f.address("listen.operator", s.Listen.Operator)
	u, err := url.Parse(s.Platform.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f.add("platform.url", "have %q, want http://host:port or https://host:port", s.Platform.URL)
	}
	for i, seed := range s.Seeds {
		f.address(fmt.Sprintf("seeds[%d].peer", i), seed.Peer)
		f.filled(fmt.Sprintf("seeds[%d].data_centre", i), seed.DataCentre)
	}
}

func (s *Settings) checkFiles(f *FieldErrors) {
	f.filled("keys.peer_file", s.Keys.PeerFile)
	f.filled("keys.operator_file", s.Keys.OperatorFile)
	n := 0
	for _, p := range []string{s.TLS.CertFile, s.TLS.KeyFile, s.TLS.CAFile} {
		if p != "" {
			n++
		}
	}
	if n != 0 && n != 3 {
		f.add("tls", "want all of cert_file, key_file and ca_file, or none")
	}
}

func (s *Settings) checkLimits(f *FieldErrors) {
	l := s.Limits
	f.positive("limits.body_bytes", l.BodyBytes)
	f.positive("limits.header_bytes", int64(l.HeaderBytes))
	f.positive("limits.header_millis", int64(l.HeaderMillis))
	f.positive("limits.body_millis", int64(l.BodyMillis))
	f.positive("limits.deadline_millis", int64(l.DeadlineMillis))
	f.positive("limits.in_flight", int64(l.InFlight))
	f.positive("limits.queued", int64(l.Queued))
	f.positive("limits.held_answers_bytes", int64(l.HeldAnswersBytes))
	f.positive("locate.valid_millis", int64(s.Locate.ValidMillis))
	f.positive("locate.addresses", int64(s.Locate.Addresses))
	f.positive("stop.within_millis", int64(s.Stop.WithinMillis))
	if s.Stop.WithinMillis <= s.Locate.ValidMillis {
		f.add("stop.within_millis", "have %d, want more than locate.valid_millis (%d), since kept answers must be honoured", s.Stop.WithinMillis, s.Locate.ValidMillis)
	}
}

func (s *Settings) checkRules(f *FieldErrors) {
	switch s.Isolated.Rule {
	case IsolatedFence, IsolatedIdempotent, IsolatedServe, IsolatedQuorum:
	default:
		f.add("isolated.rule", "have %q, want quorum, fence, idempotent_only or serve", s.Isolated.Rule)
	}
	f.positive("isolated.after_millis", int64(s.Isolated.AfterMillis))
	if s.Placement.LoadBound <= 1 {
		f.add("placement.load_bound", "have %v, want above 1", s.Placement.LoadBound)
	}
	f.positive("placement.token_valid_millis", int64(s.Placement.TokenValidMillis))
	f.positive("load.grant_millis", int64(s.Load.GrantMillis))
	f.positive("load.promise_millis", int64(s.Load.PromiseMillis))
	f.positive("load.ramp_completions", int64(s.Load.RampCompletions))
	if l := s.Load.ReportLagMillis; l < 0 || l >= s.Load.GrantMillis {
		f.add("load.report_lag_millis", "have %d, want at least 0 and less than load.grant_millis (%d)", l, s.Load.GrantMillis)
	}
	if s.Load.Floor < 0 {
		f.add("load.floor", "have %d, want at least 0", s.Load.Floor)
	}
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		f.add("retry.ratio", "have %v, want 0 to 1", s.Retry.Ratio)
	}
	f.positive("retry.attempts", int64(s.Retry.Attempts))
	f.positive("claims.retention_millis", int64(s.Claims.RetentionMillis))
	f.positive("claims.collect_millis", int64(s.Claims.CollectMillis))
}

func (f *FieldErrors) filled(path, s string) {
	if s == "" {
		f.add(path, "missing")
	}
}

func (f *FieldErrors) positive(path string, n int64) {
	if n < 1 {
		f.add(path, "have %d, want at least 1", n)
	}
}

func (f *FieldErrors) address(path, s string) {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		f.add(path, "have %q, want IP:port", s)
		return
	}
	if net.ParseIP(host) == nil {
		f.add(path, "have host %q, want an IP number", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		f.add(path, "have port %q, want 1 to 65535", port)
	}
}
