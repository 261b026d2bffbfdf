package sageclaims

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/pkg/sagewire"
)

// registerMetrics registers the service's metrics.
func (s *Service) registerMetrics() {
	s.outcomes = make(map[string]*metrics.Counter)
	for _, name := range []string{"granted", string(sagewire.NotRun), string(sagewire.AlreadyRun)} {
		s.outcomes[name] = s.Metrics.NewCounter(fmt.Sprintf(`sagestand_claims_total{outcome=%q}`, name))
	}
	gauge := func(name string, f func() float64) { s.Metrics.NewGauge(name, f) }
	gauge("sagestand_claims_held_answer_bytes", func() float64 { return float64(s.answers.bytes()) })
	gauge("sagestand_claims_backlog", func() float64 { return float64(s.backlog.len()) })
	gauge("sagestand_claims_store_puts_total", func() float64 { return float64(s.Committer.Stats().Puts) })
	gauge("sagestand_claims_store_gets_total", func() float64 { return float64(s.Committer.Stats().Gets) })
	gauge("sagestand_claims_lost_answers_total", func() float64 { return float64(s.Committer.Stats().LostResponses) })
}

func (s *Service) countRefusal(ref *sagewire.Refusal) *sagewire.Refusal {
	s.outcomes[string(ref.Outcome)].Inc()
	return ref
}
