package sageadmission

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/pkg/sagefair"
	"sagestand.example/sagestand/pkg/sagewire"
)

// gateMetrics are the metrics of one service.
type gateMetrics struct {
	started, accountLimit, deadline *metrics.Counter
	wait                            *metrics.Histogram
}

// Names of the metrics of a gate.
const (
	waitingMetric  = `sagestand_gate_waiting{service=%q}`
	startedMetric  = `sagestand_gate_started_total{service=%q}`
	refusedMetric  = `sagestand_gate_refused_total{service=%q,reason=%q}`
	waitTimeMetric = `sagestand_gate_wait_seconds{service=%q}`
)

// Export adds the metrics of all services to a set, also of those that get their shares later.
func (s *Gates) Export(set *metrics.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = set
	for service, g := range s.gates {
		g.export(set, service)
	}
}

func (g *gate) export(set *metrics.Set, service string) {
	set.GetOrCreateGauge(fmt.Sprintf(waitingMetric, service), func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.fair.Waiting())
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.metrics = &gateMetrics{
		started:      set.GetOrCreateCounter(fmt.Sprintf(startedMetric, service)),
		accountLimit: set.GetOrCreateCounter(fmt.Sprintf(refusedMetric, service, sagewire.ReasonAccountLimit)),
		deadline:     set.GetOrCreateCounter(fmt.Sprintf(refusedMetric, service, sagewire.ReasonDeadline)),
		wait:         set.GetOrCreateHistogram(fmt.Sprintf(waitTimeMetric, service)),
	}
}

// unexport removes the metrics of a service.
func unexport(set *metrics.Set, service string) {
	set.UnregisterMetric(fmt.Sprintf(waitingMetric, service))
	set.UnregisterMetric(fmt.Sprintf(startedMetric, service))
	set.UnregisterMetric(fmt.Sprintf(refusedMetric, service, sagewire.ReasonAccountLimit))
	set.UnregisterMetric(fmt.Sprintf(refusedMetric, service, sagewire.ReasonDeadline))
	set.UnregisterMetric(fmt.Sprintf(waitTimeMetric, service))
}

// record counts a decision. Only requests that waited are in the histogram.
func (m *gateMetrics) record(e *sagefair.Entry, waited time.Duration) {
	if m == nil {
		return
	}
	switch {
	case e.State == sagefair.Running:
		m.started.Inc()
	case e.Reason == sagewire.ReasonDeadline:
		m.deadline.Inc()
	default:
		m.accountLimit.Inc()
	}
	if waited > 0 {
		m.wait.Update(waited.Seconds())
	}
}
