package sagereach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

const ms = sageclock.Instant(time.Millisecond)

func TestSpread(t *testing.T) {
	var tr Tracker
	tr.RecordAnswer(1000*ms, "chat", "a", false)
	tr.RecordAnswer(1000*ms, "chat", "b", false)
	require.Equal(t, Spread{}, tr.Spread(1000*ms, "chat"))
	require.Equal(t, Spread{Unanswered: 1, Since: 1100 * ms}, tr.RecordUnanswered(1100*ms, "chat", "a"))
	require.Equal(t, Spread{Unanswered: 1, Since: 1100 * ms}, tr.RecordUnanswered(1200*ms, "chat", "a"))
	require.Equal(t, Spread{Unanswered: 2, Since: 1100 * ms}, tr.RecordUnanswered(1300*ms, "chat", "b"))
	tr.RecordAnswer(1400*ms, "chat", "c", false)
	tr.RecordAnswer(1400*ms, "chat", "a", false)
	require.Equal(t, Spread{Unanswered: 1, Since: 1300 * ms, Answered: 2}, tr.Spread(1500*ms, "chat"))
	require.Equal(t, Spread{}, tr.Spread(1300*ms+sageclock.Instant(spreadWindow), "chat"), "only recent exchanges count")
	tr.RecordUnanswered(9000*ms, "chat", "a")
	tr.Retain(func(u string) bool { return u != "a" })
	require.Equal(t, Spread{}, tr.Spread(9000*ms, "chat"))
}

func TestReportsAreContradictedByLaterAnswersOnly(t *testing.T) {
	var tr Tracker
	tr.RecordAnswer(1000*ms, "chat", "a", false)
	tr.RecordReports(1100*ms, []string{"a", "b"})
	require.Empty(t, tr.Contradicted(1150*ms), "the answer is older than the report")
	tr.RecordAnswer(1200*ms, "chat", "a", false)
	require.Equal(t, []string{"a"}, tr.Contradicted(1250*ms))
	tr.RecordReports(1300*ms, []string{"a"})
	require.Equal(t, []string{"a"}, tr.Contradicted(1350*ms), "a repeated report is still contradicted")
	tr.RecordUnanswered(1400*ms, "chat", "a")
	require.Empty(t, tr.Contradicted(1450*ms), "this node gets no answers any more")
	tr.RecordAnswer(1500*ms, "chat", "a", false)
	require.Empty(t, tr.Contradicted(1300*ms+sageclock.Instant(reportRetention)), "the report is over")
}
