package sagesoak

import (
	"cmp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/platform/standin"
)

// Prevents a stopping node that leaves a short request unanswered until its deadline from passing the play of stops.
func TestEndAtDeadlineIsLeftOutForLongRunsOnly(t *testing.T) {
	const deadline = 4500 * time.Millisecond
	for _, tt := range []struct {
		deadline, run time.Duration
		lost          int
	}{
		{0, 200 * time.Millisecond, 1},
		{0, stopDeadline, 1},
		{deadline, 200 * time.Millisecond, 1},
		{deadline, 3800 * time.Millisecond, 0},
	} {
		for _, outcome := range []string{"no answer in time", "closed late", "cut", "lost"} {
			s := &Stops{sys: new(standin.System)}
			s.Deadline = tt.deadline
			e := stopEnd{sent: 3100 * time.Millisecond, run: tt.run}
			e.end = e.sent + cmp.Or(tt.deadline, stopDeadline)
			e.Outcome, e.Reached = outcome, true
			s.ends = append(s.ends, e)
			require.Equal(t, tt.lost, s.result().Lost, "%s after %v with a deadline of %v", outcome, tt.run, tt.deadline)
		}
	}
}
