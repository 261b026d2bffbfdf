package sageconfig

import (
	"fmt"
	"net"
)

// RouteKind is the kind of service behind a route.
type RouteKind string

// The route kinds.
const (
	RouteChat    RouteKind = "chat"
	RouteService RouteKind = "service"
)

// Route maps requests to model engines or to an application service. The name of a chat route is the
// model name in the request; the name of a service route is the path element after /v1/services/.
type Route struct {
	Kind        RouteKind `json:"kind"`
	UpstreamSet string    `json:"upstream_set"`
	// ModelSet names the model versions that a chat route may use; empty for services.
	ModelSet string `json:"model_set,omitempty"`
	// Idempotent allows retries of requests other than GET and HEAD.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Check reports an unknown kind or a missing upstream set, wrapped around [ErrInvalidState].
func (r *Route) Check() error {
	if r.Kind != RouteChat && r.Kind != RouteService {
		return fmt.Errorf("route kind %q (want chat or service): %w", r.Kind, ErrInvalidState)
	}
	if r.UpstreamSet == "" {
		return fmt.Errorf("route without upstream_set: %w", ErrInvalidState)
	}
	return nil
}

// DataCentre is a data centre, in service or out of service.
type DataCentre struct {
	InService bool   `json:"in_service"`
	Region    string `json:"region,omitempty"`
}

// Check always returns nil: every value is valid.
func (d *DataCentre) Check() error { return nil }

// UpstreamKind distinguishes model engines from application services.
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
	// Models lists the model versions that an engine serves, each as "model@version".
	Models []string `json:"models,omitempty"`
	// MaxInFlight is the greatest number of concurrent requests after warm-up.
	MaxInFlight int `json:"max_in_flight"`
	// ChecksFencing reports whether the upstream rejects orders with an outdated fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving excludes the upstream from new work.
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

// UpstreamSet is a list of upstream names.
type UpstreamSet struct {
	Upstreams []string `json:"upstreams"`
}

// Check reports an invalid or repeated name, wrapped around [ErrInvalidEntryKey] or [ErrInvalidState].
func (s *UpstreamSet) Check() error {
	seen := make(map[string]bool, len(s.Upstreams))
	for _, n := range s.Upstreams {
		if err := checkName(n); err != nil {
			return fmt.Errorf("upstream_set: %w", err)
		}
		if seen[n] {
			return fmt.Errorf("upstream %q is listed twice: %w", n, ErrInvalidState)
		}
		seen[n] = true
	}
	return nil
}

// ClientAccount identifies a firm or department and sets its share of capacity.
type ClientAccount struct {
	// KeySHA256 is the SHA-256 of the bearer key in hexadecimal.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the account's share of capacity relative to other accounts; greater than 0.
	Weight float64 `json:"weight"`
	// UpstreamSet, if not empty, replaces the upstream set of the route for chat requests.
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

// ModelSet lists the model versions that may serve a chat route, each as "model@version".
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

// Order is the target state of an engine. It is absolute, so applying it again has no further effect.
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
