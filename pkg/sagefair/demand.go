package sagefair

// Demand is what an account asks of a service.
type Demand struct {
	Account string
	// Rate is in requests per second.
	Rate float64
	// Weight is the relative share of the account; 0 or less counts as 1.
	Weight float64
	// Cap limits what the account gets, in requests per second; 0 means no limit.
	Cap float64
}

// Shares are one node's parts of a service's capacity. The zero value admits everything.
type Shares struct {
	// Short says that the accounts together ask for more than there is capacity for.
	Short bool
	// Rates are the requests per second that this node may start for an account. They apply also while Short is not set:
	// an account can't exceed them before the next shares are known.
	Rates map[string]float64
	// Other is the rate of each account that isn't listed.
	Other float64
	// Excess is what an account asks for over all nodes, divided by the most that it could get, see [Headroom]. If it is
	// above 1, as a mean over some seconds, the account's burst is limited to what keeps its share in use.
	Excess map[string]float64
	// Wait is how long a request that starts now waits at the upstreams, Run how long it runs there.
	Wait, Run float64 // seconds
	// OtherTotal is the rate of all accounts together that aren't listed; 0 means no limit.
	OtherTotal float64
}

// unset reports whether the shares are the zero value.
func (s *Shares) unset() bool { return !s.Short && s.Rates == nil && s.Other == 0 }

// rate returns the rate of an account.
func (s *Shares) rate(account string) float64 {
	if s.unset() {
		return maxRate
	}
	r, ok := s.Rates[account]
	if !ok {
		r = s.Other
	}
	if !(r > 0) { // also NaN
		return 0
	}
	return min(r, maxRate)
}

// othersRate returns the rate of all accounts together that aren't listed; 0 means no limit.
func (s *Shares) othersRate() float64 {
	if !(s.OtherTotal > 0) { // also NaN
		return 0
	}
	return min(s.OtherTotal, maxRate)
}

// maxRate bounds rates, in requests per second, and maxExcess bounds the excess, so that what is computed from them stays
// finite.
const (
	maxRate   = 1e9
	maxExcess = 1e3
)
