package sagerelay

import (
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
)

// errQuarantined is the cause with which an exchange of a quarantined request is cancelled.
var errQuarantined = errors.New("the request is quarantined")

// CancelQuarantined cancels the exchanges that are quarantined and whose answers have not begun: each would crash another
// upstream. started is the number of quarantines that have just started; if it is 0, nothing is done.
func (s *Service) CancelQuarantined(started int) {
	if started == 0 {
		return
	}
	now := sageclock.Now()
	for _, x := range s.sending.list() {
		if x.begun.Load() || len(s.Quarantine.Quarantined(now, x.j.suspects()...)) == 0 {
			continue
		}
		s.Log.Limited(sagelog.KindExchange, "Exchange cancelled: its request is quarantined.", "id", x.j.meta.ID, "upstream", x.p.Upstream.ID)
		x.cancel(errQuarantined)
	}
}

// exchangeSet holds the exchanges with upstreams that are in progress.
type exchangeSet struct {
	mu        sync.Mutex
	exchanges map[*exchange]struct{}
}

func (e *exchangeSet) add(x *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.exchanges == nil {
		e.exchanges = make(map[*exchange]struct{})
	}
	e.exchanges[x] = struct{}{}
}

func (e *exchangeSet) remove(x *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exchanges, x)
}

func (e *exchangeSet) list() []*exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.exchanges))
}

// failCancelled handles an exchange that this node cancelled since its request is quarantined, which says nothing about the
// upstream.
func (x *exchange) failCancelled(unsent bool) verdict {
	x.j.cause = errQuarantined.Error()
	if unsent {
		return notSent
	}
	x.recordAbandoned()
	x.j.possibleRuns++
	return failed
}
