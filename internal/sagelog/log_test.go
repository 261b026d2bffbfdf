package sagelog

import (
	"bytes"
	standard "log"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stalledReader is a log reader that has stopped reading.
type stalledReader struct{ release chan struct{} }

func (b stalledReader) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// The reader of the log stalls and the pipe fills up. Requests that log must not hang.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	b := stalledReader{make(chan struct{})}
	defer close(b.release)
	r := NewAsyncWriter(b)
	l := New(r, "vm1")
	for range 4 * maxQueuedLines {
		l.Info("line")
	}
	require.GreaterOrEqual(t, r.Dropped(), int64(2*maxQueuedLines))
}

// Without a rate limit, logging a storm of failures costs more than serving requests.
func TestLimitedBoundsLineRate(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "vm1").Component("relay")
	for i := range 1000 {
		l.Limited(KindRefused, "refused", "n", i)
	}
	lines := strings.Count(out.String(), "\n")
	require.GreaterOrEqual(t, lines, linesPerSecond)
	require.LessOrEqual(t, lines, 10*linesPerSecond, "the loop takes a few seconds at most")
	start := time.Now()
	lim := &limiter{start: start}
	for range linesPerSecond {
		_, ok := lim.allow(KindRefused, start)
		require.True(t, ok)
	}
	for range 7 {
		_, ok := lim.allow(KindRefused, start)
		require.False(t, ok)
	}
	_, ok := lim.allow(KindAbandoned, start)
	require.True(t, ok, "each kind has its own limit")
	suppressed, ok := lim.allow(KindRefused, start.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 7, suppressed)
}

// Prevents servers that send bytes unasked from filling the log through net/http.
func TestStandardLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	defer standard.SetOutput(standard.Writer())
	defer standard.SetFlags(standard.Flags())
	CaptureStandard(New(&out, "vm1").Component("library"))
	for range 1000 {
		standard.Printf("Unsolicited response %q", strings.Repeat("x", 4096))
	}
	lines := strings.Count(out.String(), "\n")
	require.LessOrEqual(t, lines, 10*linesPerSecond, "the loop takes a few seconds at most")
	require.LessOrEqual(t, out.Len(), lines*2*maxStandardText)
	require.Contains(t, out.String(), "library: Library message.")
}

func BenchmarkLimited(b *testing.B) {
	l := New(new(bytes.Buffer), "vm1")
	b.ReportAllocs()
	for b.Loop() {
		l.Limited(KindRefused, "refused")
	}
}
