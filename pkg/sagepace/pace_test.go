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

func near(t *testing.T, want, got time.Duration, part float64) {
	t.Helper()
	require.InDelta(t, float64(want), float64(got), part*float64(want))
}

func TestMeanFollowsAChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	m := &Mean{Initial: time.Second, Max: time.Minute}
	for _, usual := range []time.Duration{3 * time.Second, 200 * time.Millisecond} {
		for range 500 {
			m.Add(time.Duration(rng.ExpFloat64() * float64(usual)))
		}
		near(t, usual, m.Value(), 0.3)
	}
}

// One exchange hangs for an hour, and a clock goes back.
func TestBrokenSamplesMoveAMeanLittle(t *testing.T) {
	m := &Mean{Initial: time.Second, Max: 10 * time.Second}
	for range 300 {
		m.Add(time.Second)
	}
	m.Add(time.Hour)
	m.Add(-time.Hour)
	near(t, time.Second, m.Value(), 0.1)
}

// sample returns how long an engine needs for a prompt that it reads at a rate, behind what others wait for.
func sample(rng *rand.Rand, perToken time.Duration) (float64, time.Duration) {
	tokens := float64(rng.IntN(12000))
	wait := time.Duration(rng.ExpFloat64() * float64(40*time.Millisecond))
	return tokens, 60*time.Millisecond + wait + time.Duration(tokens)*perToken
}

func TestLineFindsTheRateAndFollowsAChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	l := &Line{InitialSlope: 18 * time.Microsecond, TypicalSize: 10000, Max: 10 * time.Second}
	near(t, 18*time.Microsecond, l.Slope(), 0.01)
	for _, perToken := range []time.Duration{11 * time.Microsecond, 100 * time.Microsecond, 20 * time.Microsecond} {
		for range 600 {
			l.Add(sample(rng, perToken))
		}
		near(t, perToken, l.Slope(), 0.2)
	}
}

// All prompts have the same length, so that nothing tells a rate from a wait.
func TestLineWithoutSpreadStaysNearItsStart(t *testing.T) {
	l := &Line{InitialSlope: 18 * time.Microsecond, TypicalSize: 10000, Max: 10 * time.Second}
	for range 5000 {
		l.Add(500, 30*time.Second)
	}
	require.LessOrEqual(t, l.Slope(), lineRange*l.InitialSlope)
	require.GreaterOrEqual(t, l.Slope(), l.InitialSlope/lineRange)
}

func TestBrokenSamplesMoveALineLittle(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	l := &Line{InitialSlope: 18 * time.Microsecond, TypicalSize: 10000, Max: time.Second}
	for range 600 {
		l.Add(sample(rng, 20*time.Microsecond))
	}
	l.Add(-5, time.Second)
	l.Add(100, -time.Second)
	l.Add(9000, time.Hour)
	near(t, 20*time.Microsecond, l.Slope(), 0.4)
}

func BenchmarkLine(b *testing.B) {
	l := &Line{InitialSlope: 18 * time.Microsecond, TypicalSize: 10000, Max: time.Second}
	for i := 0; b.Loop(); i++ {
		l.Add(float64(i%10000), time.Millisecond)
		l.Slope()
	}
}
