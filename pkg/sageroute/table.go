package sageroute

import (
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Errors of [New].
var (
	ErrPrefix    = errors.New("path prefix does not begin and end with a slash")
	ErrKind      = errors.New("unknown kind of route")
	ErrNoService = errors.New("route without a service")
	ErrShare     = errors.New("not a finite number of at least 0")
)

// Kind defines how often a request of a route may be executed.
type Kind string

// The kinds of routes.
const (
	Idempotent Kind = "idempotent"
	Once       Kind = "once"
	Stream     Kind = "stream"
)

// WeightedService is one service of a route and its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps requests by host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services has at least one element. The weights are relative.
	Services []WeightedService
	// MaxAttempts is the maximum number of upstreams that may execute one request.
	MaxAttempts int
	// Timeout is the maximum time from the request to the final response.
	Timeout time.Duration
	// Objective is the time to the first byte that callers expect.
	Objective time.Duration
	// MaxEventGap is the longest gap between two events of a stream that callers expect.
	MaxEventGap time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Public is set if requests need no key.
	Public bool
	// Resumable is set if another upstream can continue a stream after an event's ID.
	Resumable bool
	// Cached is set if requests carry the IDs of their prompt parts, which are used to place them.
	Cached bool
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a random number from [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, w := range r.Services {
		total += w.Weight
	}
	rest := draw * total
	for _, w := range r.Services {
		if rest < w.Weight {
			return w.Service
		}
		rest -= w.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is a set of equivalent upstreams.
type Service struct {
	Name string
	// MaxConns is the number of connections that one upstream accepts from all callers together; 0 if unknown.
	MaxConns int
	// ColdPerSecond is the number of requests per second that a cold upstream can take; 0 means no
	// limit.
	ColdPerSecond float64
	// HealthPath is the path of the upstreams' health check; empty if they have none.
	HealthPath string
	// Engine is set if the upstreams are model engines with a prefix cache.
	Engine bool
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route; nil doesn't.
	Priority *int
	// Weight is the account's relative share of a service that has no capacity for all; 0 means 1.
	Weight float64
	// MaxPerSecond limits the requests of the account to a service that has no capacity for all; 0 means no limit.
	MaxPerSecond float64
}

// Limits are the maximum sizes of a caller's request.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits

	// byHost maps a host to its routes by prefix.
	byHost map[string]map[string]*Route
	byKey  map[string]*Account
	byName map[string]*Account
}

// New returns a table. It takes ownership of its arguments.
func New(version uint64, routes []Route, services []Service, accounts []Account, limits Limits) (*Table, error) {
	t := &Table{
		Version: version, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		byHost:   make(map[string]map[string]*Route),
	}
	t.Limits.bound()
	for i := range services {
		services[i].bound()
		t.Services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		if err := validate(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		boundWeights(r.Services)
		host := canonicalHost(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = make(map[string]*Route)
		}
		t.byHost[host][r.Prefix] = r
	}
	if accounts != nil {
		t.byKey = make(map[string]*Account, len(accounts))
		t.byName = make(map[string]*Account, len(accounts))
	}
	for i := range accounts {
		if err := accounts[i].validate(); err != nil {
			return nil, fmt.Errorf("account %q: %w", accounts[i].Name, err)
		}
		accounts[i].bound()
		t.byName[accounts[i].Name] = &accounts[i]
		for _, k := range accounts[i].Keys {
			t.byKey[k] = &accounts[i]
		}
	}
	return t, nil
}

// validate returns an error that names the first invalid field, or nil.
func (a *Account) validate() error {
	for _, f := range []struct {
		name  string
		value float64
	}{{"weight", a.Weight}, {"max_per_second", a.MaxPerSecond}} {
		if !(f.value >= 0) || math.IsInf(f.value, 1) {
			return fmt.Errorf("%s %v: %w", f.name, f.value, ErrShare)
		}
	}
	return nil
}

func validate(r *Route) error {
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

// canonicalHost returns the host in lower case without its port.
func canonicalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest prefix of path; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	routes := t.byHost[canonicalHost(host)]
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

// Each calls visit for each route, in no particular order.
func (t *Table) Each(visit func(r *Route)) {
	for _, routes := range t.byHost {
		for _, r := range routes {
			visit(r)
		}
	}
}

// RequiresKey reports whether requests need a key on routes that aren't public.
func (t *Table) RequiresKey() bool { return t.byKey != nil }

// Account returns the account with the key; nil if there is none.
func (t *Table) Account(key string) *Account { return t.byKey[key] }

// Share returns the weight and the limit in requests per second that the configuration sets for an account, 1 and 0 for
// accounts that it doesn't name.
func (t *Table) Share(account string) (weight, perSecond float64) {
	a := t.byName[account]
	if a == nil {
		return 1, 0
	}
	if a.Weight == 0 {
		return 1, a.MaxPerSecond
	}
	return a.Weight, a.MaxPerSecond
}
