package sagerelay

import (
	"maps"
	"slices"
	"sync"
	"time"

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

// maxUndelivered is how long the bytes of a request may be on their way to an upstream that may get no more requests, before
// its connection is reset. It leaves most of the time for which such an upstream may still get requests to the node's own
// delay in observing it.
const maxUndelivered = time.Second

// errUndelivered is the cause with which an exchange is cancelled whose request didn't arrive in time.
var errUndelivered = errors.New("the request hasn't arrived at an upstream that may get no more")

// CancelUndelivered cancels the exchanges whose requests have been held up on their way to an upstream that may get no more
// since: it leaves, or its data centre was closed. What has arrived isn't cancelled. It has to be called several times in
// maxUndelivered.
func (s *Service) CancelUndelivered() {
	now := sageclock.Now()
	for _, x := range s.sending.list() {
		switch {
		case x.begun.Load():
		case s.Fleet.Usable(x.p.Upstream):
			x.unusableSince = 0
		case x.unusableSince == 0:
			x.unusableSince = now
		case now.Sub(x.unusableSince) >= maxUndelivered && x.tracker.Undelivered():
			s.countConn(x.p.Upstream.Service, "undelivered")
			s.Log.Limited(sagelog.KindExchange, "Exchange cancelled: its request hasn't arrived at an upstream that may get no more.", "id", x.j.meta.ID, "upstream", x.p.Upstream.ID,
				"data_centre", x.p.Upstream.DataCentre, "unusable_ms", now.Sub(x.unusableSince).Milliseconds(), "age_ms", time.Since(x.start).Milliseconds())
			x.cancel(errUndelivered)
		}
	}
}

// errPeerLost is the cause with which a request is cancelled that a lost peer relayed.
var errPeerLost = errors.New("the node that relayed the request is lost")

// CancelRelayed cancels the streams that a peer relayed which is no longer in contact, since their callers take them up at another
// node, and the connection to a peer that is frozen or has no power may stay open. A peer that is only out of contact goes on at
// another node; requests that it can't send again are left alone.
func (s *Service) CancelRelayed(peer string) {
	for _, j := range s.jobs.list() {
		if j.relay.from != peer || !j.tracksOrigin() {
			continue
		}
		s.Log.Limited(sagelog.KindExchange, "Stream cancelled: the node that relayed it is lost.", "id", j.meta.ID, "from", peer, "route", j.route.Name,
			"age_ms", time.Since(j.start).Milliseconds())
		j.cancel(errPeerLost)
	}
}

// activeSet holds what is in progress. The zero value is ready to use. It is safe for concurrent use.
type activeSet[T comparable] struct {
	mu    sync.Mutex
	items map[T]struct{}
}

func (a *activeSet[T]) add(x T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.items == nil {
		a.items = make(map[T]struct{})
	}
	a.items[x] = struct{}{}
}

func (a *activeSet[T]) remove(x T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.items, x)
}

func (a *activeSet[T]) list() []T {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.items))
}

// failCancelled handles an exchange that this node cancelled for a reason that says nothing about the upstream.
func (x *exchange) failCancelled(cause error, unsent bool) verdict {
	x.j.cause = cause.Error()
	if unsent {
		return notSent
	}
	x.recordAbandoned()
	x.j.possibleRuns++
	return failed
}
