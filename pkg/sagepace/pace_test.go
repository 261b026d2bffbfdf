package sagepace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ExampleMean() {
	m := &Mean{Initial: time.Second, Max: time.Minute}
	fmt.Println(m.Value())
	for range 500 {
		m.Add(250 * time.Millisecond)
	}
	fmt.Println(m.Value().Round(10 * time.Millisecond))
	// Output:
	// 1s
	// 250ms
}

func requireNear(t *testing.T, want, got time.Duration, tolerance float64) {
	t.Helper()
	require.InDelta(t, float64(want), float64(got), tolerance*float64(want))
}

func TestMeanFollowsChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	m := &Mean{Initial: time.Second, Max: time.Minute}
	for _, mean := range []time.Duration{3 * time.Second, 200 * time.Millisecond} {
		for range 500 {
			m.Add(time.Duration(rng.ExpFloat64() * float64(mean)))
		}
		requireNear(t, mean, m.Value(), 0.3)
	}
}

// Outliers: an exchange that hangs for an hour, and a clock that goes back.
func TestOutliersMoveMeanLittle(t *testing.T) {
	m := &Mean{Initial: time.Second, Max: 10 * time.Second}
	for range 300 {
		m.Add(time.Second)
	}
	m.Add(time.Hour)
	m.Add(-time.Hour)
	requireNear(t, time.Second, m.Value(), 0.1)
}

// sample returns a prompt's size in tokens and its time to the first event: a fixed time, a random queueing time,
// and perToken for each token.
func sample(rng *rand.Rand, perToken time.Duration) (float64, time.Duration) {
	tokens := float64(rng.IntN(12000))
	wait := time.Duration(rng.ExpFloat64() * float64(40*time.Millisecond))
	return tokens, 60*time.Millisecond + wait + time.Duration(tokens)*perToken
}

func TestLineEstimatesSlopeAndFollowsChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	l := &Line{InitialSlope: 18 * time.Microsecond, TypicalSize: 10000, Max: 10 * time.Second}
	requireNear(t, 18*time.Microsecond, l.Slope(), 0.01)
	for _, perToken := range []time.Duration{11 * time.Microsecond, 100 * time.Microsecond, 20 * time.Microsecond} {
		for range 600 {
			l.Add(sample(rng, perToken))
		}
		requireNear(t, perToken, l.Slope(), 0.2)
	}
}

// With prompts of a single length, the time per token can't be separated from the queueing time.
func TestLineWithoutSpreadStaysNearInitialSlope(t *testing.T) {
	l := &Line{InitialSlope: 18 * time.Microsecond, TypicalSize: 10000, Max: 10 * time.Second}
	for range 5000 {
		l.Add(500, 30*time.Second)
	}
	require.LessOrEqual(t, l.Slope(), lineMaxRatio*l.InitialSlope)
	require.GreaterOrEqual(t, l.Slope(), l.InitialSlope/lineMaxRatio)
}

func TestOutliersMoveLineLittle(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	l := &Line{InitialSlope: 18 * time.Microsecond, TypicalSize: 10000, Max: time.Second}
	for range 600 {
		l.Add(sample(rng, 20*time.Microsecond))
	}
	l.Add(-5, time.Second)
	l.Add(100, -time.Second)
	l.Add(9000, time.Hour)
	requireNear(t, 20*time.Microsecond, l.Slope(), 0.4)
}

func BenchmarkLine(b *testing.B) {
	l := &Line{InitialSlope: 18 * time.Microsecond, TypicalSize: 10000, Max: time.Second}
	for i := 0; b.Loop(); i++ {
		l.Add(float64(i%10000), time.Millisecond)
		l.Slope()
	}
}
