package sagemeasure

import (
	"maps"
	"slices"
)

// registry holds every measure by the name under which sagebench runs it.
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

// Names returns the names of all measures in order.
func Names() []string { return slices.Sorted(maps.Keys(registry)) }

// Lookup returns the measure of that name.
func Lookup(name string) (Func, bool) {
	f, ok := registry[name]
	return f, ok
}
