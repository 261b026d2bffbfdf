package sagehealth

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// The figures of the model are those of a grown deployment: ninety nodes before sixty engines, 430
// requests a second, heartbeats each 0.9 s.
const (
	nodes   = 90
	engines = 60
	sick    = 27
	rate    = 430
	beat    = 900 * time.Millisecond
)

// model plays five seconds in which some engines reset every connection, and returns the share of
// requests that were sent to one of them. Which requests fail is up to fails.
func model(seed uint64, tell bool, fails func(node, engine int) bool) float64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	books := make([]Tracker, nodes)
	for i := range books {
		books[i].Self = fmt.Sprintf("vm%d", i)
	}
	tells := make([][]string, nodes)
	step := time.Second / rate
	failed, sent := 0, 0
	for at := time.Second; at < 6*time.Second; at += step {
		now := sageclock.Instant(at)
		for i := range books {
			due := time.Duration(i) * beat / nodes
			if tell && (at-due)/beat != (at-due-step)/beat {
				tells[i] = books[i].RecentlyBroken(now)
				said := make(map[string]int)
				for _, us := range tells {
					for _, u := range us {
						said[u]++
					}
				}
				for j := range books {
					for _, u := range tells[i] {
						books[j].RecordReports(now, "s", u, said[u]-count(tells[j], u), 0)
					}
				}
			}
		}
		node := rnd.IntN(nodes)
		e := rnd.IntN(engines)
		for range engines {
			if !books[node].Avoid(now, "s", fmt.Sprint(e)) {
				break
			}
			e = (e + 1) % engines
		}
		res := OK
		if fails(node, e) {
			res = Broken
			failed++
		}
		sent++
		books[node].Record(now, "s", fmt.Sprint(e), res)
	}
	return float64(failed) / float64(sent)
}

func count(list []string, s string) int {
	if slices.Contains(list, s) {
		return 1
	}
	return 0
}

// Callers get 502 for seconds: nearly half of the engines pass their health checks and reset every
// connection, and each of ninety nodes has to run into each of them itself.
func TestSickEnginesAreKnownToAll(t *testing.T) {
	for seed := range uint64(3) {
		fails := func(_, engine int) bool { return engine < sick }
		alone, told := model(seed, false, fails), model(seed, true, fails)
		t.Log(alone, told)
		require.Greater(t, alone, 0.3, "seed %d: the pattern is hard", seed)
		require.Less(t, told, alone/2, "seed %d", seed)
	}
}

// Engines fail the nodes of one data centre only. The others must not lose more than a trifle by what
// these say.
func TestEnginesThatFailOneDataCentre(t *testing.T) {
	for seed := range uint64(3) {
		fails := func(node, engine int) bool { return engine < sick && node%4 == 0 }
		alone, told := model(seed, false, fails), model(seed, true, fails)
		require.Less(t, told, alone, "seed %d", seed)
	}
}

// One node's link breaks, and all others leave good engines out on its word.
func TestOneNodesWordIsNotEnough(t *testing.T) {
	b := Tracker{Self: "a"}
	now := sageclock.Instant(time.Minute)
	for range 5 {
		require.False(t, b.RecordReports(now, "s", "e", 1, 0))
	}
	require.False(t, b.Avoid(now, "s", "e"))
	require.True(t, b.RecordReports(now, "s", "e", 2, 0))
	require.False(t, b.RecordReports(now, "s", "e", 2, 0), "it is avoided already")
	require.True(t, b.Avoid(now, "s", "e"))
	require.Empty(t, b.RecentlyBroken(now), "what others say is not told on")
	require.False(t, b.Avoid(now.Add(2*ejectFor), "s", "e"), "it is tried again")
	b.Record(now, "s", "e", OK)
	b.RecordReports(now, "s", "e", 3, 0)
	require.False(t, b.Avoid(now, "s", "e"), "its own answer counts more")
	b.RecordReports(now.Add(reportFor), "s", "e", 1, 0)
	require.False(t, b.Avoid(now.Add(reportFor), "s", "e"), "the others say so no more")
}
