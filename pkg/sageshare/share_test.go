package sageshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func at(ms int) sageclock.Instant { return sageclock.Instant(time.Duration(ms) * time.Millisecond) }

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm%d", i)
	}
	return out
}

// Engines that have just restarted are overloaded if every node sends them as much as one node may:
// the sum is many times the limit. Here every node calls Allow each millisecond.
func TestColdUpstreamRateOfAllNodesIsLimited(t *testing.T) {
	const perSecond, bound = 10, 10*1.5 + 5
	for _, n := range []int{1, 2, 8, 9, 91} {
		all := names(n)
		var sent []int
		for _, name := range all {
			c := &ColdLimiter{Self: name}
			for ms := range 4000 {
				if c.Allow(at(ms+1), all, "engine", perSecond) {
					sent = append(sent, ms)
				}
			}
		}
		for from := 0; from < 3000; from += 50 {
			k := 0
			for _, ms := range sent {
				if ms >= from && ms < from+1000 {
					k++
				}
			}
			require.LessOrEqual(t, float64(k), bound, "%d nodes, second from %d ms", n, from)
		}
		require.Greater(t, len(sent), 3*perSecond, "%d nodes: the rate is used", n)
	}
}

func TestZeroRateMeansNoLimit(t *testing.T) {
	c := &ColdLimiter{Self: "a", Start: at(-10_000)}
	require.True(t, c.Allow(at(1), nil, "u", 0))
	require.True(t, c.Allow(at(1), nil, "u", 0))
	require.True(t, c.Allow(at(1), nil, "u", 1))
	require.False(t, c.Allow(at(2), nil, "u", 1))
	c.Retain(nil)
	require.True(t, c.Allow(at(3), nil, "u", 1))
}

// A third of the engines fails all requests. If each request were sent again to the others, these
// would fail as well. In every sliding window the retries of all nodes together must stay within the
// fleet's limit.
func TestRetriesOfAllNodesAreLimited(t *testing.T) {
	const ratio, slack, window, n = 0.2, 56.0, 10_000, 8
	type send struct {
		ms    int
		retry bool
	}
	var sent []send
	rnd := rand.New(rand.NewPCG(1, 2))
	for range n {
		r := &RetryLimiter{Ratio: ratio, Slack: slack, Window: window * time.Millisecond}
		for ms := 0; ms < 40_000; ms++ {
			if rnd.IntN(100) > 0 {
				continue
			}
			r.RecordFirstSend(at(ms), "s", n)
			sent = append(sent, send{ms, false})
			if r.Allow(at(ms), "s", n) {
				sent = append(sent, send{ms, true})
			}
		}
	}
	for from := 0; from < 30_000; from += 100 {
		first, retries := 0, 0
		for _, s := range sent {
			if s.ms < from || s.ms >= from+window {
				continue
			}
			if s.retry {
				retries++
			} else {
				first++
			}
		}
		require.LessOrEqual(t, float64(retries), ratio*float64(first)+slack, "window from %d ms", from)
		require.Greater(t, float64(retries), 0.7*ratio*float64(first))
	}
}

func BenchmarkRetryLimiter(b *testing.B) {
	r := &RetryLimiter{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.RecordFirstSend(at(i), "s", 8)
		r.Allow(at(i), "s", 8)
	}
}

func ExampleColdLimiter() {
	c := &ColdLimiter{Self: "vm1"}
	fmt.Println(c.Allow(at(1000), []string{"vm1"}, "engine", 2), c.Allow(at(1100), []string{"vm1"}, "engine", 2))
	// Output: true false
}
