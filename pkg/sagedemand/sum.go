package sagedemand

import "slices"

// maxSummedAccounts limits the accounts of a service in the sum of several nodes.
const maxSummedAccounts = 64

// Truncate returns the part of a sum of several nodes that is sent on: all totals, the accounts with the largest counts, and
// the upstreams of services that have few. Keys that make no sense are dropped.
func Truncate(sum map[string]int) map[string]int {
	out := make(map[string]int, len(sum))
	accounts, upstreams := make(map[string][]named), make(map[string][]named)
	for s, n := range sum {
		k, err := ParseKey(s)
		switch {
		case err != nil || !isCount(n):
		case k.Name == "":
			out[s] = n
		case k.Kind == Requests:
			accounts[k.Service] = append(accounts[k.Service], named{s, n})
		default:
			upstreams[k.Service] = append(upstreams[k.Service], named{s, n})
		}
	}
	for _, list := range accounts {
		slices.SortFunc(list, compareCounts)
		for _, a := range list[:min(maxSummedAccounts, len(list))] {
			out[a.name] = a.count
		}
	}
	for _, list := range upstreams {
		if len(list) > maxListedUpstreams {
			continue
		}
		for _, u := range list {
			out[u.name] = u.count
		}
	}
	return out
}
