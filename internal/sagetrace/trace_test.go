package sagetrace

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Each trace in testdata tells its own story; all must end as they state.
func TestReplayAll(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".json"), func(t *testing.T) {
			tr, err := Load(f)
			require.NoError(t, err)
			res, err := Replay(context.Background(), tr)
			require.NoError(t, err)
			assert.Empty(t, res.Mismatches)
			assert.NotZero(t, res.Requests)
		})
	}
}

// The comparison itself must fail on each kind of wrong end, or a replay would prove nothing.
func TestMismatchesAreReported(t *testing.T) {
	tr := &Trace{
		Version: Version, Name: "t", Layout: Layout{Routers: 1, Engines: 1, DataCentres: []string{"derby"}},
		Events: []Event{{AtMillis: 10, Request: &Request{ID: "a", Kind: Booking, Key: "k", Outcomes: []sagewire.Outcome{sagewire.Complete}}}},
	}
	require.NoError(t, tr.Check())
	start := time.Now()
	good := sagecaller.Result{Outcome: sagewire.Complete, Upstream: "application1", EndedAt: start.Add(15 * time.Millisecond)}
	tests := []struct {
		name   string
		end    sagecaller.Result
		runs   int
		expect Expect
		want   int
	}{
		{"as stated", good, 1, Expect{Executions: map[string][]int{"k": {1}}}, 0},
		{"other outcome", sagecaller.Result{Outcome: sagewire.Unknown}, 1, Expect{}, 1},
		{"foreign answer", sagecaller.Result{Outcome: sagewire.Complete, Mismatch: "foreign"}, 1, Expect{}, 1},
		{"no outcome", sagecaller.Result{Err: ErrInvalidTrace}, 1, Expect{}, 1},
		{"ran twice", good, 2, Expect{}, 1},
		{"never ran", good, 0, Expect{Executions: map[string][]int{"k": {1}}}, 1},
		{"served where it must not", good, 1, Expect{OutOfService: []OutOfServiceSpan{{DataCentre: "derby", FromMillis: 0, ToMillis: 20}}}, 1},
		{"served after the span", good, 1, Expect{OutOfService: []OutOfServiceSpan{{DataCentre: "derby", FromMillis: 0, ToMillis: 12}}}, 0},
		{"little reuse", good, 1, Expect{MinCacheReuse: 0.5}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr.Expect = tt.expect
			p := newPlayer(tr, sagefleet.NewLayout(1, 1, tr.Layout.DataCentres), nil)
			p.start = start
			p.end(tr.Events[0].Request, start.Add(10*time.Millisecond), tt.end)
			res := p.result(map[string]int{p.key("k"): tt.runs})
			assert.Len(t, res.Mismatches, tt.want, "%v", res.Mismatches)
		})
	}
}

func TestDecodeRejectsInvalidTraces(t *testing.T) {
	for name, s := range map[string]string{
		"version":       `{"version":2,"name":"a","layout":{"routers":1,"engines":1,"data_centres":["d"]}}`,
		"unknown field": `{"version":1,"name":"a","speed":1}`,
		"no layout":     `{"version":1,"name":"a"}`,
		"two at once":   `{"version":1,"name":"a","layout":{"routers":1,"engines":1,"data_centres":["d"]},"events":[{"at_millis":0,"service":{"data_centre":"d","in_service":true},"fault":{"target":"platform","plan":{"seed":1,"faults":[]}}}]}`,
		"backwards":     `{"version":1,"name":"a","layout":{"routers":1,"engines":1,"data_centres":["d"]},"events":[{"at_millis":5,"service":{"data_centre":"d","in_service":true}},{"at_millis":4,"service":{"data_centre":"d","in_service":true}}]}`,
		"no outcome":    `{"version":1,"name":"a","layout":{"routers":1,"engines":1,"data_centres":["d"]},"events":[{"at_millis":0,"request":{"id":"a","kind":"chat","priority":"normal","outcomes":[]}}]}`,
	} {
		_, err := Decode([]byte(s))
		require.ErrorIs(t, err, ErrInvalidTrace, name)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":1,"name":"a","layout":{"routers":1,"engines":1,"data_centres":["d"]},"events":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		tr, err := Decode(b)
		if err == nil {
			require.NoError(t, tr.Check())
		}
	})
}
