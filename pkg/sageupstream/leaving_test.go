package sageupstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An upstream announced in a response that it leaves while the store showed it as ready. What the store says of the same
// start later must not put it back, and another start must not be left out.
func TestLeaveAnnouncementEndsWithTheStart(t *testing.T) {
	leaving := entry("a")
	leaving.Born = 5
	for _, tt := range []struct {
		name   string
		then   func(r *Registry)
		usable bool
	}{
		{"nothing", func(*Registry) {}, false},
		{"listed again as ready", func(r *Registry) { r.Put(leaving) }, false},
		{"deleted and listed again", func(r *Registry) { r.Delete(at(1), "a"); r.Put(leaving) }, false},
		{"store out for an hour", func(r *Registry) {
			r.StoreUnreachable()
			r.ExpireLapsed(at(1).Add(time.Hour))
			r.StoreReachable(at(1).Add(time.Hour))
			r.Put(leaving)
		}, false},
		{"deleted before the store is out for an hour", func(r *Registry) {
			r.Delete(at(1), "a")
			r.ExpireLapsed(at(100))
			r.StoreUnreachable()
			r.ExpireLapsed(at(1).Add(time.Hour))
			r.Put(leaving)
		}, false},
		{"listed for an hour", func(r *Registry) {
			for i := range 60 {
				r.ExpireLapsed(at(1).Add(time.Duration(i) * time.Minute))
			}
			r.Put(leaving)
		}, false},
		{"announced once more by a late response, after its deletion", func(r *Registry) {
			r.Delete(at(1), "a")
			r.AnnounceLeaving(at(1).Add(time.Minute), &leaving)
			r.Put(leaving)
		}, false},
		{"earlier start listed after its deletion", func(r *Registry) {
			r.Delete(at(1), "a")
			e := leaving
			e.Born = 4
			r.Put(e)
		}, false},
		{"new start", func(r *Registry) { e := leaving; e.Born = 6; r.Put(e) }, true},
		{"another upstream at the address", func(r *Registry) {
			r.Delete(at(1), "a")
			e := leaving
			e.ID = "b"
			r.Put(e)
		}, true},
		{"new address", func(r *Registry) { e := leaving; e.Address = "b:80"; r.Put(e) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := new(Registry)
			r.Put(leaving)
			before := r.Snapshot()
			require.True(t, r.AnnounceLeaving(at(0), &leaving))
			require.False(t, r.AnnounceLeaving(at(0), &leaving), "known already")
			require.Equal(t, []string{"a"}, ids(before), "snapshots don't change")
			require.False(t, r.Snapshot().Usable(&leaving))
			require.True(t, r.Snapshot().LeaveAnnounced(&leaving))
			tt.then(r)
			want := 0
			if tt.usable {
				want = 1
			}
			require.Len(t, ids(r.Snapshot()), want)
		})
	}
}

// An entry that lapsed during an outage announces a leave within its grace period. The entry must still end with it.
func TestLeaveAnnouncedByLapsedEntry(t *testing.T) {
	r := new(Registry)
	e := entry("a")
	r.Put(e)
	r.StoreUnreachable()
	r.Delete(at(0), "a")
	require.True(t, r.AnnounceLeaving(at(10), &e))
	r.StoreReachable(at(1000))
	require.True(t, r.ExpireLapsed(at(1000).Add(LapseGrace)))
	require.Zero(t, r.Snapshot().Len())
}

// Without a time of birth, a new start at the same address can't be distinguished from the one that left. It must not be
// left out for good.
func TestUpstreamWithoutBirthReturnsAfterItsDeletion(t *testing.T) {
	r := new(Registry)
	e := entry("a")
	r.Put(e)
	require.True(t, r.AnnounceLeaving(at(0), &e))
	r.Put(e)
	require.Empty(t, ids(r.Snapshot()))
	r.Delete(at(1), "a")
	r.Put(e)
	require.Equal(t, []string{"a"}, ids(r.Snapshot()))
}

// Upstreams come and go for years. Their announcements must not fill the memory.
func TestLeaveAnnouncementsAreBounded(t *testing.T) {
	r := new(Registry)
	for i := range maxUnlistedLeaving + 10 {
		e := entry(fmt.Sprint(i))
		e.Born = 1
		r.AnnounceLeaving(at(i), &e)
	}
	listed := entry("0")
	listed.Born = 1
	r.Put(listed)
	r.ExpireLapsed(at(maxUnlistedLeaving + 10))
	require.Len(t, r.leaving.starts, maxUnlistedLeaving+1)
	require.Empty(t, ids(r.Snapshot()), "the listed one is kept")
	r.ExpireLapsed(at(maxUnlistedLeaving + 10).Add(leavingRetention))
	require.Len(t, r.leaving.starts, 1)
}
