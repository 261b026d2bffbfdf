package sagelog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blocked is a reader of the log that has stopped reading.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Whoever reads the log stops reading, the pipe fills, and every request that logs hangs.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	b := blocked{make(chan struct{})}
	defer close(b.release)
	r := NewAsyncWriter(b)
	l := New(r, "vm1")
	for range 4 * ringLength {
		l.Info("line")
	}
	require.GreaterOrEqual(t, r.Dropped(), int64(2*ringLength))
}

// A storm of failures writes so much that logging costs more than serving.
func TestLimitedBoundsLineRate(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "vm1").Component("relay")
	for i := range 1000 {
		l.Limited(KindRefused, "refused", "n", i)
	}
	lines := strings.Count(out.String(), "\n")
	require.GreaterOrEqual(t, lines, perSecond)
	require.LessOrEqual(t, lines, 10*perSecond, "a few seconds at the most")
	start := time.Now()
	lim := &limiter{start: start}
	for range perSecond {
		_, ok := lim.allow(KindRefused, start)
		require.True(t, ok)
	}
	for range 7 {
		_, ok := lim.allow(KindRefused, start)
		require.False(t, ok)
	}
	_, ok := lim.allow(KindAbandoned, start)
	require.True(t, ok, "each kind has its own bound")
	left, ok := lim.allow(KindRefused, start.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 7, left)
}

func BenchmarkLimited(b *testing.B) {
	l := New(new(bytes.Buffer), "vm1")
	b.ReportAllocs()
	for b.Loop() {
		l.Limited(KindRefused, "refused")
	}
}
