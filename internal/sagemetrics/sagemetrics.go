// Package sagemetrics counts what passes a node, for /metrics in the Prometheus text format.
//
// # Usage
//
//	m := &sagemetrics.RequestMetrics{Set: metrics.NewSet()}
//	m.Record(observation)
package sagemetrics

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sageentry"
)

// RequestMetrics counts requests by outcome and priority, with their time to the first byte.
type RequestMetrics struct {
	Set *metrics.Set
}

// Record implements [sageentry.Recorder].
func (m *RequestMetrics) Record(o sageentry.Observation) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`sagestand_requests_total{outcome=%q,reason=%q,priority=%q}`, o.Outcome, o.Reason, o.Priority)).Inc()
	if o.Attempts > 1 {
		m.Set.GetOrCreateCounter("sagestand_retries_total").Add(o.Attempts - 1)
	}
	m.Set.GetOrCreateCounter("sagestand_prompt_tokens_total").Add(o.PromptTokens)
	m.Set.GetOrCreateCounter("sagestand_cached_tokens_total").Add(o.CachedTokens)
	if !o.FirstByteAt.IsZero() {
		m.Set.GetOrCreateHistogram(fmt.Sprintf(`sagestand_first_byte_seconds{priority=%q}`, o.Priority)).Update(o.FirstByteAt.Sub(o.ArrivedAt).Seconds())
	}
}

// MultiRecorder passes each observation to several recorders.
type MultiRecorder []sageentry.Recorder

// Record implements [sageentry.Recorder].
func (f MultiRecorder) Record(o sageentry.Observation) {
	for _, r := range f {
		r.Record(o)
	}
}
