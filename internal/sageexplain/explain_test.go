package sageexplain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logVM1 = `at=2026-01-01T00:00:02Z node=vm1 level=info msg="relay: Request given up." id=q7 reason=answer_lost sends=1
garbage "
at=2026-01-01T00:00:01Z node=vm1 level=info msg="relay: Exchange failed." id=q7 upstream=e1 verdict=failed cause="connection reset"
at=2026-01-01T00:00:01Z node=vm1 level=info msg="relay: Exchange failed." id=q77 upstream=e1
`

const logVM2 = `at=2026-01-01T00:00:00Z node=vm2 level=info msg="relay: Request refused." id=q7 reason=not_fresh status=503
`

func TestTimelineMergesNodesInOrder(t *testing.T) {
	timeline, err := Read("q7", Log{"one", strings.NewReader(logVM1)}, Log{"two", strings.NewReader(logVM2)})
	require.NoError(t, err)
	require.Len(t, timeline.Lines, 3)
	require.Equal(t, "vm2", timeline.Lines[0].Node)
	require.Contains(t, timeline.Lines[1].Pairs, "cause=connection reset")
	require.True(t, strings.HasPrefix(timeline.Cause, "answer_lost: "))
	var out strings.Builder
	require.NoError(t, timeline.Write(&out))
	require.Contains(t, out.String(), "\ncause: answer_lost")
}

func TestUnknownRequest(t *testing.T) {
	_, err := Read("q8", Log{"one", strings.NewReader(logVM1)})
	require.ErrorIs(t, err, ErrRequestNotFound)
}

// Prevents the story of a stream from ending where its caller returned at another node.
func TestAttemptsOfOneStreamAreJoined(t *testing.T) {
	const one = `at=2026-01-01T00:00:01Z node=vm1 level=info msg="relay: Exchange failed." id=q1 upstream=e1 version=v1 verdict=cut
at=2026-01-01T00:00:09Z node=vm1 level=info msg="relay: Request refused." id=q9 reason=no_upstream
`
	const two = `at=2026-01-01T00:00:02Z node=vm2 level=info msg="relay: Caller takes up a stream." id=q2 resumes=q1 origin=found version=v1
at=2026-01-01T00:00:03Z node=vm2 level=info msg="relay: Request given up." id=q2 reason=version_gone
at=2026-01-01T00:00:05Z node=vm2 level=info msg="relay: Caller takes up a stream." id=q3 resumes=q1 origin=found version=v1
`
	for _, id := range []string{"q1", "q2", "q3"} {
		timeline, err := Read(id, Log{"one", strings.NewReader(one)}, Log{"two", strings.NewReader(two)})
		require.NoError(t, err)
		var got []string
		for _, l := range timeline.Lines {
			got = append(got, l.ID)
		}
		require.Equal(t, []string{"q1", "q2", "q2", "q3"}, got, id)
	}
}

// Prevents a refusal from being explained without the crashes that led to it, which happened under other requests.
func TestCrashesThatLedToRefusalAreJoined(t *testing.T) {
	const one = `at=2026-01-01T00:00:01Z node=vm1 level=info msg="relay: Upstream crashed under a request." id=q1 upstream=e1 suspects=00000000000000aa,part-00000000000000bb account=acc parts=7
at=2026-01-01T00:00:02Z node=vm1 level=info msg="relay: Upstream crashed under a request." id=q2 upstream=e2 suspects=00000000000000cc,part-00000000000000dd account=acc parts=8
at=2026-01-01T00:00:03Z node=vm1 level=info msg="relay: Quarantined." suspect=part-00000000000000bb crashes=3 learned=here upstream=e1
at=2026-01-01T00:00:03Z node=vm1 level=info msg="relay: Request is quarantined." id=q3 suspect=part-00000000000000bb part=7 account=acc
`
	const two = `at=2026-01-01T00:00:04Z node=vm2 level=info msg="relay: Request is quarantined." id=q9 suspect=part-00000000000000bb part=7 account=acc
at=2026-01-01T00:00:05Z node=vm2 level=info msg="relay: Request refused." id=q9 status=503 reason=quarantined
`
	timeline, err := Read("q9", Log{"one", strings.NewReader(one)}, Log{"two", strings.NewReader(two)})
	require.NoError(t, err)
	var got []string
	for _, l := range timeline.Lines {
		got = append(got, l.ID+" "+l.Msg)
	}
	require.Equal(t, []string{"q1 relay: Upstream crashed under a request.", " relay: Quarantined.", "q9 relay: Request is quarantined.", "q9 relay: Request refused."}, got)
	require.True(t, strings.HasPrefix(timeline.Cause, "quarantined: "))
}

// Prevents a refusal for want of a retry from being explained by the failure of the first upstream alone.
func TestDeniedRetryIsExplained(t *testing.T) {
	const denied = `at=2026-01-01T00:00:01Z node=vm1 level=info msg="relay: Retry denied." id=q1 service=s denied=retry_budget sends=1 tokens=0.2 capacity=4.6 nodes=7 since_start_ms=300
`
	for _, tt := range []struct{ name, last, want string }{
		{"refused", `at=2026-01-01T00:00:02Z node=vm1 level=info msg="relay: Request given up." id=q1 reason=upstream_full sends=1`, "no token for a retry (retry_budget)"},
		{"answered by the first upstream after all", `at=2026-01-01T00:00:02Z node=vm1 level=info msg="relay: Request answered." id=q1 sends=1`, "relay: Request answered."},
	} {
		t.Run(tt.name, func(t *testing.T) {
			timeline, err := Read("q1", Log{"one", strings.NewReader(denied + tt.last)})
			require.NoError(t, err)
			require.Contains(t, timeline.Cause, tt.want)
			require.Equal(t, tt.name == "refused", strings.Contains(timeline.Cause, "retry"))
		})
	}
}
