package sagecapacity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLoadCheck(t *testing.T) {
	for _, tt := range []struct {
		name string
		load Load
		ok   bool
	}{
		{"idle", Load{Slots: 6, Slowness: 100}, true},
		{"full", Load{Running: 6, Waiting: 24, Slots: 6, Slowness: 400}, true},
		{"fast", Load{Running: 1, Slots: 6, Slowness: 80}, true},
		{"absent", Load{}, false},
		{"no slots", Load{Running: 1, Waiting: 1, Slowness: 100}, false},
		{"more running than slots", Load{Running: 7, Slots: 6, Slowness: 100}, false},
		{"negative running", Load{Running: -1, Slots: 6, Slowness: 100}, false},
		{"negative waiting", Load{Waiting: -1, Slots: 6, Slowness: 100}, false},
		{"negative slots", Load{Slots: -6, Slowness: 100}, false},
		{"negative slowness", Load{Slots: 6, Slowness: -100}, false},
		{"no slowness", Load{Slots: 6}, false},
		{"huge waiting", Load{Waiting: math.MaxInt, Slots: 6, Slowness: 100}, false},
		{"huge slots", Load{Slots: math.MaxInt, Slowness: 100}, false},
		{"huge slowness", Load{Slots: 6, Slowness: math.MaxInt}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.ok {
				require.NoError(t, tt.load.Check())
				return
			}
			require.ErrorIs(t, tt.load.Check(), ErrLoad)
		})
	}
}

// Prevents that figures from before an upstream turned unresponsive, or damaged ones, are used.
func TestLoadIsUsedOnlyWhileFresh(t *testing.T) {
	tr := &Tracker{}
	full := Load{Running: 6, Waiting: 23, Slots: 6, Slowness: 100}
	up := Upstream{"a", 6, 3, 200}
	run := float64(15 * time.Millisecond)
	updateFor(tr, 0, 4*time.Second, up)
	require.NoError(t, tr.RecordLoad(at(4*time.Second), "app", "a", full))
	require.InEpsilon(t, maxLoadWait*run, float64(tr.Update(at(4*time.Second), "app", []Upstream{up}).Wait), 0.1, "no more than that")
	require.Zero(t, tr.Update(at(4*time.Second+maxLoadAge), "app", []Upstream{up}).Wait, "stale")
	require.Zero(t, tr.Update(at(4*time.Second-time.Millisecond), "app", []Upstream{up}).Wait, "from the future")
	require.NoError(t, tr.RecordLoad(at(5*time.Second), "app", "a", full))
	require.ErrorIs(t, tr.RecordLoad(at(5*time.Second), "app", "a", Load{Running: -3}), ErrLoad)
	require.Zero(t, tr.Update(at(5*time.Second), "app", []Upstream{up}).Wait, "damaged")
}

// Prevents that an upstream which claims to be full makes the capacity look short.
func TestFalseLoadDoesNotForbidSecondSends(t *testing.T) {
	tr := &Tracker{}
	updateFor(tr, 0, 4*time.Second, Upstream{"a", 6, 3, 200})
	require.NoError(t, tr.RecordLoad(at(4*time.Second), "app", "a", Load{Running: 6, Waiting: maxLoadCount, Slots: 6, Slowness: maxSlowness}))
	tr.Update(at(4*time.Second), "app", []Upstream{{"a", 6, 3, 200}})
	require.True(t, tr.AllowSecondSend(at(4*time.Second), "app"))
}

// Prevents that an upstream which claims to be idle hides its queue.
func TestFalseLoadDoesNotHideAQueue(t *testing.T) {
	tr := &Tracker{}
	updateFor(tr, 0, 4*time.Second, Upstream{"a", 6, 30, 400})
	require.NoError(t, tr.RecordLoad(at(4*time.Second), "app", "a", Load{Slots: 6, Slowness: 100}))
	e := tr.Update(at(4*time.Second), "app", []Upstream{{"a", 6, 30, 400}})
	require.Greater(t, e.Wait, 2*e.Run)
	require.False(t, tr.AllowSecondSend(at(4*time.Second), "app"))
}

func TestHugeWaitIsLimited(t *testing.T) {
	tr := &Tracker{}
	tr.RecordRun(at(0), "app", "a", time.Hour)
	require.NoError(t, tr.RecordLoad(at(0), "app", "a", Load{Running: 1, Waiting: maxLoadCount, Slots: 1, Slowness: maxSlowness}))
	require.Equal(t, time.Hour, tr.Update(at(0), "app", []Upstream{{"a", 1, 1000, -1}}).Wait)
}
