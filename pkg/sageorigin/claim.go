package sageorigin

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// Claim is what the platform's store says of the origins of a service's streams. A claim of a sole version is true whenever it is
// found: another version begins a stream only after the store has confirmed it in Admitted, with which the claim ends.
type Claim struct {
	Service string `json:"service"`
	// Era is the store's era in which the claim was written. A restored store may have an earlier claim, which is void.
	Era uint64 `json:"era,omitempty"`
	// Sole says that all streams of the service within [Window] began at Version, and those of Routes at no other service.
	Sole    bool     `json:"sole,omitempty"`
	Version string   `json:"version,omitempty"`
	Routes  []string `json:"routes,omitempty"`
	// Admitted are the versions that may begin streams, with the store's revision at which they were added.
	Admitted map[string]uint64 `json:"admitted,omitempty"`
	// AsOf is the store's revision at which Version was claimed.
	AsOf uint64 `json:"as_of,omitempty"`
}

// ErrClaim reports an invalid claim.
var ErrClaim = errors.New("invalid claim")

// Check returns an error if the claim can't be believed.
func (c *Claim) Check() error {
	switch {
	case c.Service == "":
		return fmt.Errorf("no service: %w", ErrClaim)
	case !c.Sole && (c.Version != "" || len(c.Routes) > 0):
		return fmt.Errorf("several versions, and one named: %w", ErrClaim)
	case c.Sole && len(c.Admitted) > 0:
		return fmt.Errorf("sole version, and others admitted: %w", ErrClaim)
	}
	return nil
}

// Admits reports whether a version that arrived at a revision of the store may begin streams.
func (c *Claim) Admits(version string, arrived uint64) bool {
	if c.Sole {
		return c.Version == version
	}
	at, ok := c.Admitted[version]
	return ok && at >= arrived
}

// Admit returns the claim with a version that is admitted at a revision of the store.
func (c *Claim) Admit(version string, era, asOf uint64) Claim {
	out := Claim{Service: c.Service, Era: era, Admitted: map[string]uint64{version: asOf}}
	if c.Sole {
		out.Admitted[c.Version] = c.AsOf
	}
	for v, at := range c.Admitted {
		out.Admitted[v] = max(at, out.Admitted[v])
	}
	return out
}

// covers reports whether the claim says that all streams of a route began at an origin.
func (c *Claim) covers(o Origin, route string) bool {
	return c.Sole && c.Service == o.Service && c.Version == o.Version && slices.Contains(c.Routes, route)
}
