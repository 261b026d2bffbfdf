package sagerouter

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sagepace"
)

// What is taken for granted before a service has been seen at work.
const (
	// startRun is how long a run takes: some hundred tokens at some milliseconds each.
	startRun = time.Second
	// startRead is how long an engine reads one token: the slowest known engines, 55 a millisecond.
	startRead = time.Second / 55000
	// usualPrompt is the length in tokens at which startRead is taken for known.
	usualPrompt = 10000
	// mostPace bounds one sample: the longest deadlines that callers give.
	mostPace = 15 * time.Second
)

// pace is how fast a service works.
type pace struct {
	// run is how long an exchange takes that is answered to the end.
	run sagepace.Mean
	// read is how long the first event takes by the tokens of the prompt that the upstream had to read.
	read sagepace.Line
}

// paces are those of all services, made at first sight. The zero value is ready.
//
// It guards against figures that fit some engines and not others: runs of three seconds, taken for one,
// make the load bound too low, and engines that read slowly are given up in the middle of a prompt that
// they would have read.
type paces struct {
	mu       sync.Mutex
	services map[string]*pace
}

func (p *paces) of(service string) *pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = make(map[string]*pace)
	}
	s := p.services[service]
	if s == nil {
		s = &pace{
			run:  sagepace.Mean{Initial: startRun, Max: mostPace},
			read: sagepace.Line{InitialSlope: startRead, TypicalSize: usualPrompt, Max: mostPace},
		}
		p.services[service] = s
	}
	return s
}
