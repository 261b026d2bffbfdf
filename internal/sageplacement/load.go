package sageplacement

import (
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// Load is what placement needs of the service "load".
type Load interface {
	// View returns what this node knows of an upstream's load.
	View(upstream string) sageload.View
	// Acquire takes one unit of this node's in-flight allotment.
	Acquire(upstream string, now time.Time) bool
	// Release gives it back.
	Release(upstream string, now time.Time, completed bool)
}

// Circuits keeps requests from upstreams that fail.
type Circuits interface {
	// Lets reports whether the upstream may get a request with that deadline now.
	AllowSend(now time.Time, upstream string, deadline time.Time) bool
	// Ended takes the end of a request that was let through.
	RecordResult(now time.Time, upstream string, res *sagedispatch.Result)
}

// LocalLoad is a [Load] that knows only this node's own requests. It serves a node that is alone; with
// several, each would fill every upstream to its whole capacity.
type LocalLoad struct {
	Config interface{ State() *sageconfig.State }

	mu  sync.Mutex
	own map[string]int
}

// View implements [Load].
func (l *LocalLoad) View(name string) sageload.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view(name)
}

func (l *LocalLoad) view(name string) sageload.View {
	v := sageload.View{Upstream: name, InFlight: float64(l.own[name]), Known: true}
	if u, ok := l.Config.State().Upstream(name); ok {
		v.Cap, v.Free = u.MaxInFlight, u.MaxInFlight-l.own[name]
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
	if l.own == nil {
		l.own = make(map[string]int)
	}
	l.own[name]++
	return true
}

// Release implements [Load].
func (l *LocalLoad) Release(name string, _ time.Time, _ bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own[name]--; l.own[name] <= 0 {
		delete(l.own, name)
	}
}
