package sagerouter

import (
	"math"
	"strconv"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageshare"
)

// exportMetrics registers the node's own metrics.
func (n *Node) exportMetrics() {
	for kind, f := range n.copies {
		n.metrics.NewGauge(`sagestand_copy_age_seconds{kind="`+kind+`"}`, func() float64 { return ageSeconds(&f.Proof) })
		f.OnCall = n.countCalls(kind)
		f.OnIgnored = n.metrics.NewCounter(`sagestand_store_answers_ignored_total{kind="` + kind + `"}`).Inc
		n.metrics.NewGauge(`sagestand_store_era{kind="`+kind+`"}`, func() float64 { return float64(f.Point().Era) })
		n.metrics.NewGauge(`sagestand_store_kept_objects{kind="`+kind+`"}`, func() float64 { return float64(f.KeptObjects()) })
	}
	n.metrics.NewGauge("sagestand_config_version", func() float64 {
		if t := n.fleet.Table(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	n.metrics.NewGauge("sagestand_requests_in_flight", func() float64 { return float64(n.relay.InFlight()) })
	n.metrics.NewGauge("sagestand_fleet_size", func() float64 { return float64(n.fleetSize()) })
	n.metrics.NewGauge("sagestand_peers_live", func() float64 { return float64(len(n.mesh.Live())) })
	n.metrics.NewGauge(`sagestand_heartbeat_bytes_total{direction="out"}`, func() float64 { out, _ := n.mesh.Bytes(); return float64(out) })
	n.metrics.NewGauge(`sagestand_heartbeat_bytes_total{direction="in"}`, func() float64 { _, in := n.mesh.Bytes(); return float64(in) })
	n.metrics.NewGauge("sagestand_upstreams_known", func() float64 { return float64(n.view.upstreams.Load().Len()) })
	n.metrics.NewGauge("sagestand_upstreams_paused", func() float64 { return float64(n.fleet.pauses.Len(sageclock.Now())) })
	n.metrics.NewGauge("sagestand_upstreams_unanswered", func() float64 { return float64(n.fleet.reach.Unanswered(sageclock.Now())) })
	n.metrics.NewGauge("sagestand_brittle_services", func() float64 { return float64(n.fleet.brittle.limits.Len(sageclock.Now())) })
	n.metrics.NewGauge("sagestand_paths_lost", func() float64 { return float64(len(n.fleet.reach.Services(sagereach.Lost))) })
	n.metrics.NewGauge("sagestand_relayed_requests", func() float64 { return float64(n.relay.Relayed()) })
	n.metrics.NewGauge("sagestand_origin_records", func() float64 { return float64(n.origins.Held()) })
	n.metrics.NewGauge("sagestand_ready", func() float64 {
		if n.Ready() {
			return 1
		}
		return 0
	})
	n.exportQuarantineMetrics()
	n.fleet.gates.Export(n.metrics)
	if n.Dropped != nil {
		n.metrics.NewGauge("sagestand_log_lines_dropped_total", func() float64 { return float64(n.Dropped()) })
	}
	if n.UnreadableObjects != nil {
		n.metrics.NewGauge("sagestand_store_objects_unreadable_total", func() float64 { return float64(n.UnreadableObjects()) })
	}
}

// exportQuarantineMetrics registers the numbers of suspects and quarantines by kind.
func (n *Node) exportQuarantineMetrics() {
	for k, name := range map[sagequarantine.Kind]string{sagequarantine.Request: "requests", sagequarantine.Part: "parts", sagequarantine.SharedPart: "shared_parts"} {
		n.metrics.NewGauge("sagestand_suspect_"+name, func() float64 { suspects, _ := n.quarantine.CountsOf(k); return float64(suspects) })
		n.metrics.NewGauge("sagestand_quarantined_"+name, func() float64 { _, quarantined := n.quarantine.CountsOf(k); return float64(quarantined) })
	}
}

// exportRetries registers the gauges of a service's retries at this node.
func (f *fleet) exportRetries(service string) {
	if f.metrics == nil {
		return
	}
	usage := func() sageshare.RetryUsage {
		nodes := f.fleetSize()
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.retryLimiter.Usage(sageclock.Now(), service, nodes)
	}
	f.metrics.GetOrCreateGauge(`sagestand_retry_tokens{service="`+service+`"}`, func() float64 { return usage().Tokens })
	f.metrics.GetOrCreateGauge(`sagestand_retry_capacity{service="`+service+`"}`, func() float64 { return usage().Capacity })
}

// countCalls returns a function that counts the calls to the store for one kind of object.
func (n *Node) countCalls(kind string) func(ok bool) {
	return func(ok bool) {
		n.metrics.GetOrCreateCounter(`sagestand_store_calls_total{kind="` + kind + `",ok="` + strconv.FormatBool(ok) + `"}`).Inc()
	}
}

// ageSeconds returns the age of a freshness proof, or +Inf if there is none.
func ageSeconds(p *sagefresh.Proof) float64 {
	d := p.Age(sageclock.Now())
	if d == sagefresh.Unproven {
		return math.Inf(1)
	}
	return float64(d) / float64(time.Second)
}
