package sagedemand

import (
	"slices"
)

const (
	// maxCount is the largest count that is used.
	maxCount = 100_000_000
	// minRunCoverage is the fraction of a service's runs that has to be counted by upstream. Nodes that complete runs of too
	// many upstreams report only the total.
	minRunCoverage = 0.5
)

// isCount reports whether n makes sense as a count.
func isCount(n int) bool { return n > 0 && n <= maxCount }

// Account is what an account asks of a service, in requests per second.
type Account struct {
	Name string
	// Own are this node's, Fleet those of all nodes.
	Own, Fleet float64
}

// Service is what is asked of a service, in requests per second.
type Service struct {
	// Own are this node's requests, Fleet those of all nodes.
	Own, Fleet float64
	// Nodes is the number of nodes that Fleet includes.
	Nodes int
	// Accounts are the accounts that are counted by themselves, by descending Fleet.
	Accounts []Account
	// Runs are the runs per second that the upstreams completed for all nodes, by upstream; nil if unknown.
	Runs map[string]float64
	// AllRuns are the runs per second of all upstreams together; 0 if unknown.
	AllRuns float64
}

// Of returns what the counts of this node and the sums of all nodes say of a service. Keys and counts that make no sense
// are ignored. Own counts have to be as old as those of this node in the sums. Without sums the own counts are used instead.
func Of(service string, own, fleet map[string]int) Service {
	if !isCount(fleet[Key{Kind: Nodes}.String()]) {
		fleet = own
	}
	d := Service{Nodes: 1}
	for s, n := range fleet {
		k, err := ParseKey(s)
		if err != nil || !isCount(n) || k.Service != service && k.Kind != Nodes {
			continue
		}
		d.add(k, n)
	}
	for s, n := range own {
		k, err := ParseKey(s)
		if err != nil || !isCount(n) || k.Service != service || k.Kind != Requests {
			continue
		}
		d.addOwn(k, n)
	}
	d.reconcile()
	return d
}

// add adds a count of all nodes.
func (d *Service) add(k Key, n int) {
	switch {
	case k.Kind == Nodes:
		d.Nodes = n
	case k.Kind == Requests && k.Name == "":
		d.Fleet = float64(n)
	case k.Kind == Requests:
		d.Accounts = append(d.Accounts, Account{Name: k.Name, Fleet: float64(n)})
	case k.Name == "":
		d.AllRuns = float64(n)
	default:
		if d.Runs == nil {
			d.Runs = make(map[string]float64)
		}
		d.Runs[k.Name] = float64(n)
	}
}

// addOwn adds a count of this node. Accounts that the sums don't list are left to the total.
func (d *Service) addOwn(k Key, n int) {
	if k.Name == "" {
		d.Own = float64(n)
		return
	}
	if i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Name == k.Name }); i >= 0 {
		d.Accounts[i].Own = float64(n)
	}
}

// reconcile makes counts of different age consistent and orders the accounts.
func (d *Service) reconcile() {
	own, fleet := 0.0, 0.0
	for i := range d.Accounts {
		a := &d.Accounts[i]
		a.Fleet = max(a.Fleet, a.Own)
		own, fleet = own+a.Own, fleet+a.Fleet
	}
	d.Own = max(d.Own, own)
	d.Fleet = max(d.Fleet, fleet, d.Own)
	slices.SortFunc(d.Accounts, func(a, b Account) int {
		return compareCounts(named{a.Name, int(a.Fleet)}, named{b.Name, int(b.Fleet)})
	})
	d.reconcileRuns()
}

// reconcileRuns adds the runs that only the total includes to the upstreams in proportion, or drops the upstreams' runs.
func (d *Service) reconcileRuns() {
	listed := 0.0
	for _, n := range d.Runs {
		listed += n
	}
	if listed < minRunCoverage*d.AllRuns {
		d.Runs = nil
		return
	}
	for u, n := range d.Runs {
		d.Runs[u] = n * max(1, d.AllRuns/listed)
	}
}
