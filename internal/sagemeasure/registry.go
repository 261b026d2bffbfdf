package sagemeasure

import (
	"maps"
	"slices"
)

// registry holds the measurements by the names under which sagebench runs them.
var registry = map[string]Func{
	"churn":      Churn,
	"claims":     Claims,
	"cold":       ColdStart,
	"contact":    QuorumContact,
	"exit":       DataCentreExit,
	"inforce":    InForce,
	"isolated":   Isolation,
	"membership": Membership,
	"retry":      Retry,
	"skew":       Skew,
	"slope":      Scaling,
	"surge":      Surge,
	"weigh":      PlacementAlternatives,
}

// Names returns the names of all measurements in alphabetical order.
func Names() []string { return slices.Sorted(maps.Keys(registry)) }

// Lookup returns the measurement with the given name.
func Lookup(name string) (Func, bool) {
	f, ok := registry[name]
	return f, ok
}
