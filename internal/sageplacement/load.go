package sageplacement

import (
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// Load is the part of the service "load" that placement uses.
type Load interface {
	// View returns what this node knows about an upstream's load.
	View(upstream string) sageload.View
	// Acquire takes one unit of this node's in-flight allotment, which permits one request in flight, and reports
	// whether one was free.
	Acquire(upstream string, now time.Time) bool
	// Release returns a unit taken by Acquire.
	Release(upstream string, now time.Time, completed bool)
}

// Circuits holds the circuit breakers of upstreams.
type Circuits interface {
	// AllowSend reports whether a request with the given deadline may be sent to the upstream now.
	AllowSend(now time.Time, upstream string, deadline time.Time) bool
	// RecordResult records the result of a request that AllowSend admitted.
	RecordResult(now time.Time, upstream string, res *sagedispatch.Result)
}

// LocalLoad is a [Load] that counts only this node's own requests. It suits a single node: several nodes would
// each fill every upstream to its full capacity.
type LocalLoad struct {
	Config interface{ State() *sageconfig.State }

	mu       sync.Mutex
	inFlight map[string]int
}

// View implements [Load].
func (l *LocalLoad) View(name string) sageload.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view(name)
}

func (l *LocalLoad) view(name string) sageload.View {
	v := sageload.View{Upstream: name, InFlight: float64(l.inFlight[name]), Known: true}
	if u, ok := l.Config.State().Upstream(name); ok {
		v.Cap, v.Free = u.MaxInFlight, u.MaxInFlight-l.inFlight[name]
	}
	return v
}

// Acquire implements [Load].
func (l *LocalLoad) Acquire(name string, _ time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view(name).Free < 1 {
		return false
	}
	if l.inFlight == nil {
		l.inFlight = make(map[string]int)
	}
	l.inFlight[name]++
	return true
}

// Release implements [Load].
func (l *LocalLoad) Release(name string, _ time.Time, _ bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[name]--; l.inFlight[name] <= 0 {
		delete(l.inFlight, name)
	}
}
