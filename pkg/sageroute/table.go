package sageroute

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Errors of a configuration.
var (
	ErrPrefix    = errors.New("path prefix does not begin and end with a slash")
	ErrKind      = errors.New("unknown kind of route")
	ErrNoService = errors.New("route without a service")
)

// Kind says how often a request of a route may be executed.
type Kind string

// The kinds of routes.
const (
	Idempotent Kind = "idempotent"
	Once       Kind = "once"
	Stream     Kind = "stream"
)

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route leads requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services has at least one entry; weights are relative.
	Services []WeightedService
	// Attempts is the greatest number of upstreams that may execute one request.
	MaxAttempts int
	// Timeout is the longest time from request to final answer.
	Timeout time.Duration
	// Objective is the time to the first byte that callers expect.
	Objective time.Duration
	// Gap is the longest pause between two events that callers expect of a stream.
	MaxEventGap time.Duration
	// Priority is the urgency, 0 the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another upstream after an event's id.
	Resumable bool
	// Cached routes carry the parts of their prompts, by which they are placed.
	Cached bool
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a draw from [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, w := range r.Services {
		total += w.Weight
	}
	at := draw * total
	for _, w := range r.Services {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is a set of equal upstreams.
type Service struct {
	Name string
	// MaxConns is how many connections one upstream takes from all callers together.
	MaxConns int
	// ColdPerSecond is how many requests a second a cold upstream bears; 0 means no bound.
	ColdPerSecond float64
	// Engine says that the upstreams are model engines with a prefix cache.
	Engine bool
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority is the account's urgency, 0 the highest; nil leaves it to the route.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits

	// byHost leads from a host to its routes by prefix.
	byHost map[string]map[string]*Route
	byKey  map[string]*Account
}

// New makes a table. It takes the ownership of its arguments.
func New(version uint64, routes []Route, services []Service, accounts []Account, limits Limits) (*Table, error) {
	t := &Table{
		Version: version, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		byHost:   make(map[string]map[string]*Route),
	}
	for i := range services {
		t.Services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		if err := check(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		host := canonical(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = make(map[string]*Route)
		}
		t.byHost[host][r.Prefix] = r
	}
	if accounts != nil {
		t.byKey = make(map[string]*Account, len(accounts))
	}
	for i := range accounts {
		for _, k := range accounts[i].Keys {
			t.byKey[k] = &accounts[i]
		}
	}
	return t, nil
}

func check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("%q: %w", r.Prefix, ErrPrefix)
	}
	if r.Kind != Idempotent && r.Kind != Once && r.Kind != Stream {
		return fmt.Errorf("%q: %w", r.Kind, ErrKind)
	}
	if len(r.Services) == 0 {
		return ErrNoService
	}
	return nil
}

// canonical returns a host without its port, in lower case.
func canonical(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Match returns the route with the longest prefix that begins path, or nil.
func (t *Table) Match(host, path string) *Route {
	routes := t.byHost[canonical(host)]
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := routes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Keyed reports whether requests need a key, unless their route is public.
func (t *Table) RequiresKey() bool { return t.byKey != nil }

// Account returns the account that holds the key, or nil.
func (t *Table) Account(key string) *Account { return t.byKey[key] }
