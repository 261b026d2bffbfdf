package sageretry

// Budget is a token bucket that first attempts fill and retries empty. Over any span, retries are
// at most Ratio times the first attempts plus Burst.
type Budget struct {
	// Ratio is the tokens that one first attempt adds; zero means [DefaultRatio].
	Ratio float64
	// Burst is the greatest number of tokens, and the number at the start; zero means
	// [DefaultBurst].
	Burst float64

	spent float64 // tokens below Burst
}

// Defaults of a [Budget].
const (
	DefaultRatio = 0.1
	DefaultBurst = 10
)

// Deposit counts a first attempt.
func (b *Budget) Deposit() { b.spent = max(0, b.spent-b.ratio()) }

// Has reports whether a retry is covered.
func (b *Budget) CanWithdraw() bool { return b.burst()-b.spent >= 1 }

// Withdraw counts a retry, which [Budget.CanWithdraw] said is covered.
func (b *Budget) Withdraw() { b.spent++ }

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
