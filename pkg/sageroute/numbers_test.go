package sageroute

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Prevents an odd weight of one service of a route from taking the requests of the others, or from sending all to the last one.
func TestOddWeightsOfServices(t *testing.T) {
	inf, nan := math.Inf(1), math.NaN()
	for _, tt := range []struct {
		name    string
		weights []float64
		want    []int // parts of 1000 draws
	}{
		{"usual", []float64{3, 1}, []int{750, 250}},
		{"negative", []float64{-5, 3, 1}, []int{0, 750, 250}},
		{"negative last", []float64{3, 1, -3}, []int{750, 250, 0}},
		{"huge", []float64{1e308, 1e308, 1e308, 1e308}, []int{250, 250, 250, 250}},
		{"huge and usual", []float64{1e300, 1}, []int{1000, 0}},
		{"infinite", []float64{inf, 1}, []int{1000, 0}},
		{"no number", []float64{nan, 1, 1}, []int{0, 500, 500}},
		{"tiny", []float64{5e-324, 5e-324}, []int{500, 500}},
		{"all zero", []float64{0, 0}, []int{0, 1000}},
	} {
		r := route("r", "/")
		r.Services = nil
		for i, w := range tt.weights {
			r.Services = append(r.Services, WeightedService{Service: string(rune('a' + i)), Weight: w})
		}
		tab, err := New(1, []Route{r}, nil, nil, Limits{})
		require.NoError(t, err, tt.name)
		got := make([]int, len(tt.weights))
		for i := range 1000 {
			got[tab.Match("chat.example", "/x").PickService((float64(i) + 0.5) / 1000)[0]-'a']++
		}
		require.Equal(t, tt.want, got, tt.name)
	}
}

// Prevents an account with an odd weight or limit from making the sums over all accounts infinite.
func TestOddSharesOfAccountsAreBounded(t *testing.T) {
	tab, err := New(1, nil, nil, []Account{{Name: "huge", Weight: 1e308, MaxPerSecond: 1e308}, {Name: "tiny", Weight: 1e-308, MaxPerSecond: 1e-308}}, Limits{})
	require.NoError(t, err)
	w, n := tab.Share("huge")
	require.Equal(t, []float64{maxShare, maxShare}, []float64{w, n})
	w, n = tab.Share("tiny")
	require.Equal(t, []float64{minShare, minShare}, []float64{w, n})
}

// Prevents limits that can't be represented from overflowing in what is summed from them.
func TestOddLimitsAreBounded(t *testing.T) {
	for _, tt := range []struct {
		conns     int
		body      int64
		wantConns int
		wantBody  int64
	}{{-1, -1, 0, 0}, {math.MinInt, math.MinInt64, 0, 0}, {0, 0, 0, 0}, {10, 1 << 30, 10, 1 << 30}, {math.MaxInt, math.MaxInt64, maxConns, maxBodyBytes}} {
		tab, err := New(1, nil, []Service{{Name: "s", MaxConns: tt.conns}}, nil, Limits{BodyBytes: tt.body})
		require.NoError(t, err)
		require.Equal(t, tt.wantConns, tab.Services["s"].MaxConns)
		require.Equal(t, tt.wantBody, tab.Limits.BodyBytes)
	}
}
