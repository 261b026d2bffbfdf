package sagedemand

import (
	"math"

	"sagestand.example/sagestand/pkg/sagefair"
)

const (
	// shortFraction is the fraction of the capacity above which a service is short of capacity.
	shortFraction = 0.9
	// minPartFraction is the fraction of an even part that a node gets of each account, so that the first requests of an
	// account at a node are admitted. Of accounts that ask for more than their share it gets minHeldFraction: if they ask for
	// little at each of many nodes, larger parts would add up to more than the share.
	minPartFraction, minHeldFraction = 0.5, 0.1
)

// Params are the parameters of [Split].
type Params struct {
	// Capacity is the number of requests per second that the upstreams can take; 0 if unknown.
	Capacity float64
	// Nodes is the number of nodes of the fleet.
	Nodes int
	// Weight returns the weight and the cap of an account, see [sagefair.Demand]; nil means the same weight for all.
	Weight func(account string) (weight, limit float64)
}

// Split returns this node's parts of a service's capacity. While the capacity isn't known everything is admitted.
func Split(s Service, p Params) sagefair.Shares {
	if !(p.Capacity > 0) || math.IsInf(p.Capacity, 1) {
		return sagefair.Shares{}
	}
	d := newDivision(&s, &p)
	rates := sagefair.Headroom(d.capacity, d.demands)
	out := sagefair.Shares{Short: s.Fleet > shortFraction*d.capacity, Rates: make(map[string]float64, len(s.Accounts)), Excess: make(map[string]float64)}
	for i, a := range s.Accounts {
		out.Rates[a.Name] = d.part(rates[i], a.Own, a.Fleet)
		if rates[i] > 0 {
			out.Excess[a.Name] = a.Fleet / rates[i]
		}
	}
	newcomer := rates[d.newcomer()]
	out.OtherTotal = max(d.part(rates[d.unlisted()], d.unlistedOwn, d.demands[d.unlisted()].Rate), newcomer/d.nodes)
	out.Other = min(newcomer, out.OtherTotal)
	return out
}

// division is the division of a service's capacity among its accounts.
type division struct {
	// capacity is the capacity for the requests of the counted nodes, spare what isn't asked for.
	capacity, spare float64
	// nodes is the number of counted nodes.
	nodes float64
	// demands are those of the listed accounts, of all unlisted ones together, and of an account that asks for nothing yet.
	demands []sagefair.Demand
	// unlistedOwn is what the unlisted accounts ask for at this node.
	unlistedOwn float64
}

func newDivision(s *Service, p *Params) *division {
	all := max(1, p.Nodes)
	counted := min(max(1, s.Nodes), all)
	d := &division{capacity: p.Capacity * float64(counted) / float64(all), nodes: float64(counted), unlistedOwn: s.Own}
	d.spare = max(0, d.capacity-s.Fleet)
	unlisted, smallest := s.Fleet, s.Fleet
	for _, a := range s.Accounts {
		demand := sagefair.Demand{Account: a.Name, Rate: a.Fleet}
		if p.Weight != nil {
			demand.Weight, demand.Cap = p.Weight(a.Name)
		}
		d.demands = append(d.demands, demand)
		unlisted -= a.Fleet
		d.unlistedOwn -= a.Own
		smallest = min(smallest, a.Fleet)
	}
	unlisted, d.unlistedOwn = max(0, unlisted), max(0, d.unlistedOwn)
	together := sagefair.Demand{Rate: unlisted}
	if smallest > 0 {
		together.Weight = unlisted / smallest // none of them asks for more than a listed account
	}
	if len(s.Accounts) < maxListedAccounts {
		// There is a place for each account in the lists, so these are listed accounts at nodes that don't list any yet.
		together.Weight = min(together.Weight, float64(len(s.Accounts)))
	}
	together.Weight = max(1, together.Weight)
	d.demands = append(d.demands, together, sagefair.Demand{})
	return d
}

// unlisted returns the index of the demand of all unlisted accounts together.
func (d *division) unlisted() int { return len(d.demands) - 2 }

// newcomer returns the index of the demand of an account that asks for nothing yet.
func (d *division) newcomer() int { return len(d.demands) - 1 }

// part returns this node's part of a rate, given what is asked here and over the fleet. It isn't below an even part of the
// spare capacity, so that requests may come to other nodes than before.
func (d *division) part(rate, own, fleet float64) float64 {
	fraction := 0.0
	if fleet > 0 {
		fraction = own / fleet
	}
	least := minPartFraction
	if fleet > rate {
		least = minHeldFraction
	}
	return max(rate*fraction, least*rate/d.nodes, d.spare/d.nodes)
}
