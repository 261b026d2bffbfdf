package sageconfig

import (
	"fmt"
	"net"
)

// RouteKind says what a route leads to.
type RouteKind string

// The route kinds.
const (
	RouteChat    RouteKind = "chat"
	RouteService RouteKind = "service"
)

// Route leads callers to model engines or to an application service. The name of a chat route is
// the model name that callers ask for; the name of a service route is the path element after
// /v1/services/.
type Route struct {
	Kind        RouteKind `json:"kind"`
	UpstreamSet string    `json:"upstream_set"`
	// ModelSet names the model versions a chat route may use; empty for services.
	ModelSet string `json:"model_set,omitempty"`
	// Idempotent says that requests other than GET and HEAD may be sent again too.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Check reports a route that can't serve, wrapped around [ErrInvalidState].
func (r *Route) Check() error {
	if r.Kind != RouteChat && r.Kind != RouteService {
		return fmt.Errorf("route kind %q (want chat or service): %w", r.Kind, ErrInvalidState)
	}
	if r.UpstreamSet == "" {
		return fmt.Errorf("route without upstream_set: %w", ErrInvalidState)
	}
	return nil
}

// DataCentre is in service or out of it.
type DataCentre struct {
	InService bool   `json:"in_service"`
	Region    string `json:"region,omitempty"`
}

// Check always succeeds: both states are allowed.
func (d *DataCentre) Check() error { return nil }

// UpstreamKind tells model engines from application services.
type UpstreamKind string

// The upstream kinds.
const (
	Engine      UpstreamKind = "engine"
	Application UpstreamKind = "application"
)

// Upstream is one model engine or application runner.
type Upstream struct {
	Kind       UpstreamKind `json:"kind"`
	Address    string       `json:"address"`
	DataCentre string       `json:"data_centre"`
	// Models lists the model versions an engine serves, each as "model@version".
	Models []string `json:"models,omitempty"`
	// MaxInFlight is the greatest number of requests it bears at once when warm.
	MaxInFlight int `json:"max_in_flight"`
	// ChecksFencing says that it refuses orders bearing an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving says that it must receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Check reports a missing or malformed field, wrapped around [ErrInvalidState].
func (u *Upstream) Check() error {
	if u.Kind != Engine && u.Kind != Application {
		return fmt.Errorf("upstream kind %q (want engine or application): %w", u.Kind, ErrInvalidState)
	}
	if _, _, err := net.SplitHostPort(u.Address); err != nil {
		return fmt.Errorf("address %q (want host:port): %w", u.Address, ErrInvalidState)
	}
	if u.DataCentre == "" {
		return fmt.Errorf("upstream without data_centre: %w", ErrInvalidState)
	}
	if u.MaxInFlight < 1 {
		return fmt.Errorf("max_in_flight %d (want at least 1): %w", u.MaxInFlight, ErrInvalidState)
	}
	return nil
}

// UpstreamSet lists upstreams by name.
type UpstreamSet struct {
	Upstreams []string `json:"upstreams"`
}

// Check reports an empty or repeated entry, wrapped around [ErrInvalidState].
func (s *UpstreamSet) Check() error {
	seen := make(map[string]bool, len(s.Upstreams))
	for _, n := range s.Upstreams {
		if err := checkName(n); err != nil {
			return fmt.Errorf("upstream_set: %w", err)
		}
		if seen[n] {
			return fmt.Errorf("upstream %q stands twice: %w", n, ErrInvalidState)
		}
		seen[n] = true
	}
	return nil
}

// ClientAccount is one firm's or department's right to call.
type ClientAccount struct {
	// KeySHA256 is the SHA-256 of the bearer key, in hexadecimal.
	KeySHA256 string `json:"key_sha256"`
	// Weight is its part of shared capacity relative to other accounts; above 0.
	Weight float64 `json:"weight"`
	// UpstreamSet, when set, takes the place of the route's own set for chats.
	UpstreamSet string `json:"upstream_set,omitempty"`
}

// Check reports a malformed key hash or weight, wrapped around [ErrInvalidState].
func (a *ClientAccount) Check() error {
	if len(a.KeySHA256) != 64 {
		return fmt.Errorf("key_sha256 has %d characters (want 64): %w", len(a.KeySHA256), ErrInvalidState)
	}
	if !(a.Weight > 0) {
		return fmt.Errorf("weight %v (want above 0): %w", a.Weight, ErrInvalidState)
	}
	return nil
}

// ModelSet lists the model versions that may carry a chat route, each as "model@version".
type ModelSet struct {
	Versions []string `json:"versions"`
}

// Check reports an empty set, wrapped around [ErrInvalidState].
func (m *ModelSet) Check() error {
	if len(m.Versions) == 0 {
		return fmt.Errorf("model_set without versions: %w", ErrInvalidState)
	}
	return nil
}

// Order is the wanted state of an engine: absolute, so that applying it twice changes nothing more.
type Order struct {
	Upstream string   `json:"upstream"`
	Models   []string `json:"models,omitempty"`
	Role     string   `json:"role,omitempty"`
	Drain    bool     `json:"drain,omitempty"`
}

// Check reports an order without an upstream, wrapped around [ErrInvalidState].
func (o *Order) Check() error {
	if o.Upstream == "" {
		return fmt.Errorf("order without upstream: %w", ErrInvalidState)
	}
	return nil
}
