package sagerouter

import (
	"time"

	"sagestand.example/sagestand/pkg/sagepace"
)

// Initial values and limits of the estimates.
const (
	// initialServiceTime is the duration of an exchange: a few hundred tokens at a few milliseconds each.
	initialServiceTime = time.Second
	// initialPrefillPerToken is the prefill time of the slowest known engines, 55 tokens per millisecond.
	initialPrefillPerToken = time.Second / 55000
	// typicalPromptTokens is the prompt length at which the initial prefill estimate is anchored.
	typicalPromptTokens = 10000
	// maxSampleTime limits one sample to the longest deadlines that callers set.
	maxSampleTime = 15 * time.Second
)

// serviceLatency holds the estimates for one service.
type serviceLatency struct {
	// serviceTime is the mean duration of complete exchanges.
	serviceTime sagepace.Mean
	// prefill is the time to the first event as a function of the prompt tokens that weren't cached.
	prefill sagepace.Line
}

// latencyEstimates holds the estimates of all services, each created on first use. The zero value is ready to use.
//
// Fixed values don't fit all engines: a service time of one second where exchanges take three makes the load bound
// too low, and on engines with slow prefill requests would be abandoned before the prompt is processed.
type latencyEstimates struct {
	services byService[serviceLatency]
}

func (l *latencyEstimates) of(service string) *serviceLatency {
	return l.services.get(service, func() *serviceLatency {
		return &serviceLatency{
			serviceTime: sagepace.Mean{Initial: initialServiceTime, Max: maxSampleTime},
			prefill:     sagepace.Line{InitialSlope: initialPrefillPerToken, TypicalSize: typicalPromptTokens, Max: maxSampleTime},
		}
	})
}
