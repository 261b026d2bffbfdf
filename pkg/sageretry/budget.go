package sageretry

// Budget is a token bucket that is filled by first attempts and emptied by retries. In any period,
// the number of retries is at most Ratio times the number of first attempts plus Burst.
type Budget struct {
	// Ratio is the number of tokens added by one first attempt; zero means [DefaultRatio].
	Ratio float64
	// Burst is the initial and maximum number of tokens; zero means [DefaultBurst].
	Burst float64

	used float64 // Burst minus the current number of tokens
}

// Defaults of [Budget].
const (
	DefaultRatio = 0.1
	DefaultBurst = 10
)

// Deposit adds the tokens of a first attempt.
func (b *Budget) Deposit() { b.used = max(0, b.used-b.ratio()) }

// CanWithdraw reports whether there is a token for a retry.
func (b *Budget) CanWithdraw() bool { return b.burst()-b.used >= 1 }

// Withdraw takes the token of a retry. It may be called only if [Budget.CanWithdraw] returned true.
func (b *Budget) Withdraw() { b.used++ }

func (b *Budget) ratio() float64 {
	if b.Ratio > 0 {
		return b.Ratio
	}
	return DefaultRatio
}

func (b *Budget) burst() float64 {
	if b.Burst > 0 {
		return b.Burst
	}
	return DefaultBurst
}
