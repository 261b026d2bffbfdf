package sagedrain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sagestand.example/sagestand/pkg/sagedrain"
)

var start = time.Unix(1_800_000_000, 0)

func machine() *sagedrain.Machine {
	return &sagedrain.Machine{AnswerTTL: 30 * time.Second, PropagationDelay: 10 * time.Second, DrainTimeout: 5 * time.Minute}
}

// A VM is taken out while callers hold answers that name it and a stream of four minutes runs. The
// callers are refused, or the stream is cut. Cause: it stopped when it was told to.
func TestStopWaitsForAnswersAndStreams(t *testing.T) {
	m := machine()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	require.Equal(t, sagedrain.Serving, m.Step(start, 0))
	m.Leave(start)
	m.Leave(at(35))
	require.Equal(t, at(40), m.AcceptsUntil(), "the deadline is stated once")
	require.Equal(t, at(340), m.DrainDeadline())
	require.Equal(t, sagedrain.Announced, m.Step(at(39), 0), "idle, but answers name it")
	require.True(t, m.Accepts(at(39)))
	require.False(t, m.Accepts(at(40)))
	require.Equal(t, at(40), m.NextDeadline())
	require.Equal(t, sagedrain.Draining, m.Step(at(40), 1))
	require.Equal(t, at(340), m.NextDeadline())
	require.Equal(t, sagedrain.Draining, m.Step(at(280), 1))
	require.Equal(t, sagedrain.Done, m.Step(at(281), 0))
	require.Equal(t, sagedrain.Done, m.Step(at(900), 0))
}

// A stream never ends. The VM is never replaced, or the stream is cut with no word in the log.
func TestStopDeadline(t *testing.T) {
	m := machine()
	m.Leave(start)
	require.Equal(t, sagedrain.Aborting, m.Step(m.DrainDeadline(), 2))
	require.Equal(t, sagedrain.Done, m.Step(m.DrainDeadline(), 0))
	require.ErrorIs(t, (&sagedrain.Machine{DrainTimeout: -1}).Check(), sagedrain.ErrInvalidPeriods)
	require.Equal(t, "cutting", sagedrain.Aborting.String())
}

// Whatever the order of steps: the phase never goes back, nothing is accepted after the honoured
// answers have expired, and nothing is cut before the deadline.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now, last := machine(), start, sagedrain.Serving
		for range 40 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				m.Leave(now)
			}
			p := m.Step(now, rapid.IntRange(0, 2).Draw(t, "in flight"))
			if p < last {
				t.Fatalf("went back from %v to %v", last, p)
			}
			last = p
			if p == sagedrain.Aborting && now.Before(m.DrainDeadline()) {
				t.Fatalf("cut at %v, before %v", now, m.DrainDeadline())
			}
			if p >= sagedrain.Draining && m.Accepts(now) {
				t.Fatalf("accepts in %v", p)
			}
			if p > sagedrain.Announced && now.Before(m.AcceptsUntil()) {
				t.Fatalf("%v before answers have expired", p)
			}
		}
	})
}

func ExampleMachine() {
	m := &sagedrain.Machine{AnswerTTL: 30 * time.Second, DrainTimeout: time.Minute}
	m.Leave(start)
	fmt.Println(m.Step(start, 3), m.Step(start.Add(30*time.Second), 3), m.Step(start.Add(40*time.Second), 0))
	// Output: honouring draining done
}
