package sagereach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// pathSim drives a Tracker through rounds of probes of one service.
type pathSim struct {
	Tracker
	now         sageclock.Instant
	upstreams   []string
	result      func(upstream string) ProbeResult
	transitions []Transition
}

func newPathSim(result ProbeResult, upstreams ...string) *pathSim {
	return &pathSim{now: 10_000 * ms, upstreams: upstreams, result: func(string) ProbeResult { return result }}
}

// fail records unanswered exchanges with the first n upstreams and suspects the path.
func (s *pathSim) fail(n int) bool {
	for _, u := range s.upstreams[:n] {
		s.RecordUnanswered(s.now, "chat", u)
	}
	return s.Suspect(s.now, "chat", len(s.upstreams))
}

// run runs the rounds of probes for a time.
func (s *pathSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now += 10 * ms {
		for _, u := range s.StartRound(s.now, "chat", s.upstreams) {
			if t := s.RecordProbe(s.now, "chat", u, s.result(u)); t != nil {
				s.transitions = append(s.transitions, *t)
			}
		}
	}
}

func TestPathStates(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	for _, tt := range []struct {
		name      string
		upstreams []string
		failed    int
		result    ProbeResult
		after     time.Duration
		want      PathState
	}{
		{"one of several upstreams failed", all, 1, ProbeTimedOut, 5 * time.Second, Open},
		{"probes are answered", all, 2, ProbeAnswered, 50 * time.Millisecond, Open},
		{"refused and reset probes decide early", all, 2, ProbeRefused, 400 * time.Millisecond, Lost},
		{"a second without a response is tolerated", all, 4, ProbeTimedOut, time.Second, Suspected},
		{"a longer time is not", all, 4, ProbeTimedOut, 1600 * time.Millisecond, Lost},
		{"connections that can't be opened", all, 2, ProbeUnreached, 1600 * time.Millisecond, Lost},
		{"the only upstream failed", all[:1], 1, ProbeRefused, 400 * time.Millisecond, Lost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newPathSim(tt.result, tt.upstreams...)
			s.fail(tt.failed)
			s.run(tt.after)
			require.Equal(t, tt.want, s.State("chat"))
		})
	}
}

// Prevents a path from staying lost after the heal, and a flapping one from being used at once.
func TestPathIsRegained(t *testing.T) {
	s := newPathSim(ProbeRefused, "a", "b", "c")
	require.True(t, s.fail(2))
	s.run(time.Second)
	require.Equal(t, []string{"chat"}, s.Services(Lost))
	require.True(t, s.LostBetween("chat", 10_000*ms))
	s.result = func(string) ProbeResult { return ProbeAnswered }
	s.run(time.Second)
	require.Equal(t, Open, s.State("chat"))
	require.Len(t, s.transitions, 2)
	require.False(t, s.transitions[1].Lost)
	require.True(t, s.LostBetween("chat", 10_000*ms), "evidence from before the heal stays suspect")
	require.False(t, s.LostBetween("chat", s.now))

	s.run(verifiedDuration)
	s.result = func(string) ProbeResult { return ProbeRefused }
	require.True(t, s.fail(2))
	s.run(time.Second)
	s.result = func(string) ProbeResult { return ProbeAnswered }
	s.run(regainRounds * probeInterval)
	require.Equal(t, Lost, s.State("chat"), "lost again within flappingPeriod")
	s.run(flappingRegainRounds * probeInterval)
	require.Equal(t, Open, s.State("chat"))
}

// Prevents a cut to some upstreams from being taken for the loss of the path to all.
func TestPathToSomeUpstreamsIsNotLost(t *testing.T) {
	s := newPathSim(ProbeRefused, "a", "b", "c", "d", "e", "f")
	s.result = func(u string) ProbeResult {
		if u == "f" {
			return ProbeAnswered
		}
		return ProbeRefused
	}
	s.RecordAnswer(s.now, "chat", "f", false)
	for range 20 {
		s.fail(5)
		s.run(time.Second)
		require.Equal(t, Open, s.State("chat"))
	}
	require.Empty(t, s.transitions)
}

// Prevents old connections that still work from hiding that new ones are refused.
func TestOnlyFreshAnswersVerifyThePath(t *testing.T) {
	var tr Tracker
	tr.RecordAnswer(2*ms, "chat", "a", false)
	require.False(t, tr.AnsweredSince("chat", "b", 1*ms))
	tr.RecordAnswer(3*ms, "chat", "a", true)
	require.True(t, tr.AnsweredSince("chat", "b", 1*ms))
	require.False(t, tr.AnsweredSince("chat", "a", 1*ms), "an upstream's own answer doesn't count")
}

// Prevents overload from being taken for a lost path: full upstreams reset connections and let health checks wait.
func TestFullUpstreamsAreNoEvidenceOfALostPath(t *testing.T) {
	for res, want := range map[ProbeResult]ProbeResult{
		ProbeAnswered: ProbeAnswered, ProbeRefused: ProbeAnswered, ProbeTimedOut: ProbeAnswered, ProbeUnreached: ProbeUnreached,
	} {
		require.Equal(t, want, res.IfFull())
	}
}

func TestHelpers(t *testing.T) {
	candidates := []Candidate{{Node: "far1"}, {Node: "near1", Local: true}, {Node: "near2", Local: true}}
	var h Helpers
	count := make(map[string]int)
	for range 10 {
		c, ok := h.Start(0, candidates, nil)
		require.True(t, ok)
		count[c.Node]++
	}
	require.Equal(t, map[string]int{"near1": 5, "near2": 5}, count, "near ones share the requests evenly")
	h.End(0, "near1", true)
	h.End(0, "near1", true)
	c, _ := h.Start(1, candidates, nil)
	require.Equal(t, "near2", c.Node, "a peer that refused is avoided")
	c, _ = h.Start(1, candidates, []string{"near2"})
	require.Equal(t, "far1", c.Node)
	_, ok := h.Start(1, candidates, []string{"near2", "far1"})
	require.False(t, ok)
	c, _ = h.Start(sageclock.Instant(minHelperBackoff), candidates, []string{"near2"})
	require.Equal(t, "near1", c.Node, "the back-off is over, and the refusal under way didn't extend it")
	_, ok = h.Start(0, nil, nil)
	require.False(t, ok)
	for range 10 {
		h.End(0, "near1", false)
	}
	h.Retain(func(string) bool { return false })
	require.NotContains(t, h.peers, "near1")
	require.Contains(t, h.peers, "near2", "still in use")
}

// Prevents the failure of one upstream a while ago from shortening how long all may give no response.
func TestToleranceBeginsWithTheSuspicion(t *testing.T) {
	s := newPathSim(ProbeTimedOut, "a", "b", "c")
	s.fail(1)
	s.run(1900 * time.Millisecond)
	s.fail(2)
	s.run(time.Second)
	require.Equal(t, Suspected, s.State("chat"))
}

// Prevents a wave of crashes from being taken for a lost path: half of the upstreams refuse connections, some of which
// answered last, and the others answer.
func TestCrashesOfHalfOfUpstreamsAreNoLostPath(t *testing.T) {
	var upstreams []string
	for i := range 14 {
		upstreams = append(upstreams, string(rune('a'+i)))
	}
	for range 300 {
		s := newPathSim(ProbeAnswered, upstreams...)
		for i, u := range upstreams {
			s.RecordAnswer(s.now-sageclock.Instant(i)*ms, "chat", u, true)
		}
		s.result = func(u string) ProbeResult {
			if u < "h" {
				return ProbeRefused
			}
			return ProbeAnswered
		}
		require.True(t, s.fail(4))
		s.run(2 * time.Second)
		require.Empty(t, s.transitions)
		require.Equal(t, Open, s.State("chat"))
	}
}
