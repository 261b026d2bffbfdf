package sagefollow

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagefresh"
)

// copyOf returns a copy of the store's content.
func (s *remoteStore) copyOf() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content
	c.objects, c.history = maps.Clone(c.objects), slices.Clone(c.history)
	return c
}

// restore replaces the content by a copy in a new era.
func (s *remoteStore) restore(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.content.era + 1
	s.content = c
	s.content.objects, s.content.history = maps.Clone(c.objects), slices.Clone(c.history)
	s.content.era = era
	for name, o := range s.content.objects {
		o.Era = era
		s.content.objects[name] = o
	}
}

// write stores a version of an object at the next revision.
func (s *remoteStore) write(name string, version int) {
	s.set(func(s *remoteStore) {
		at := Point{s.content.era, s.content.asOf + 1}
		created := at.Revision
		if known, ok := s.content.objects[name]; ok {
			created = known.Created
		}
		o := Object{Name: name, Era: at.Era, Revision: at.Revision, Created: created, Spec: json.RawMessage(strconv.Itoa(version))}
		s.content.apply(0, s.content.point(), Delta{AsOf: at.Revision, Era: at.Era, Changes: []Change{{Object: o}}})
	})
}

// delete deletes an object, if there is one.
func (s *remoteStore) delete(name string) {
	s.set(func(s *remoteStore) {
		o, ok := s.content.objects[name]
		if ok {
			s.content.apply(0, s.content.point(), Delta{AsOf: s.content.asOf + 1, Era: s.content.era, Changes: []Change{{Object: o.Object, Deleted: true}}})
		}
	})
}

// versionOf returns the version that a spec holds, 0 if there is none.
func versionOf(spec []byte) int {
	v, _ := strconv.Atoi(string(spec)) // "" stands for no object
	return v
}

// keepVersions keeps objects that the restored store lacks, and higher versions.
var keepVersions = RestorePolicy{
	Outlives: func(known, restored *Object) bool {
		return restored == nil || versionOf(known.Spec) > versionOf(restored.Spec)
	},
	HoldDeleted: time.Second,
}

func (x *remoteNode) versionOf(name string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return versionOf([]byte(x.specs[name]))
}

// allHave reports whether all nodes have a version of an object.
func (f *remoteFleet) allHave(name string, version int) bool {
	for _, x := range f.nodes {
		if x.versionOf(name) != version {
			return false
		}
	}
	return true
}

// Prevents a change after a restore from being followed late, by nodes that the store turns away or that announce changes
// and don't answer, whatever the nodes were doing when the store was restored.
func TestChangesArriveInTimeAfterRestore(t *testing.T) {
	for _, tt := range []struct {
		name         string
		away         time.Duration
		cutOff       []string
		unresponsive int
		latency      time.Duration
		restores     int
	}{
		{"at once", 0, nil, -1, storeLatency, 1},
		{"after a second", time.Second, nil, -1, storeLatency, 1},
		{"watcher and poller are cut off", 0, []string{"0", "1"}, -1, storeLatency, 1},
		{"others are cut off", 500 * time.Millisecond, []string{"2", "3", "4", "5", "6"}, -1, storeLatency, 1},
		{"watcher doesn't answer peers", 0, nil, 0, storeLatency, 1},
		{"slow store", 0, nil, -1, 40 * storeLatency, 1},
		{"three in a row", 100 * time.Millisecond, []string{"0", "4"}, 1, storeLatency, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for phase := range 9 {
				s := newRemoteStore()
				s.policy = keepVersions
				inVirtualTime(t, 7, s, func(t *testing.T, f *remoteFleet) {
					time.Sleep(6 * time.Second)
					c := s.copyOf()
					for v := 1; v <= 5; v++ {
						s.write("a", v)
						s.write("lost", v)
					}
					require.Less(t, timeUntil(5*time.Second, func() bool { return f.allHave("lost", 5) }), contentBound-handlingMargin)
					time.Sleep(time.Duration(phase) * 137 * time.Millisecond)
					f.unresponsive.Store(int64(tt.unresponsive))
					s.set(func(s *remoteStore) {
						s.latency, s.stalled = tt.latency, true
						for _, n := range tt.cutOff {
							s.cutOff[n] = true
						}
					})
					time.Sleep(tt.away)
					for range tt.restores {
						s.restore(c)
						time.Sleep(20 * time.Millisecond)
					}
					s.set(func(s *remoteStore) { s.stalled = false })
					s.write("b", 6)
					s.write("a", 7)
					require.Less(t, timeUntil(5*time.Second, func() bool { return f.allHave("a", 7) && f.allHave("b", 6) }), contentBound-handlingMargin, "phase %d", phase)
					require.True(t, f.allHave("lost", 5), "a confirmed change stays in force")
				})
			}
		})
	}
}

// Prevents a series of restores, cut-offs, unresponsive peers and late answers from undoing a change that was in force, and from
// leaving a node behind for good.
func TestRestoresInSeries(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			s := newRemoteStore()
			s.policy = keepVersions
			inVirtualTime(t, 6, s, func(t *testing.T, f *remoteFleet) {
				for i, x := range f.nodes {
					x.mu.Lock()
					x.onSpec = func(name, spec string) {
						if old, v := x.specs[name], versionOf([]byte(spec)); versionOf([]byte(old)) > v {
							t.Errorf("node %d went back from version %s of %s to %d", i, old, name, v)
						}
					}
					x.mu.Unlock()
				}
				time.Sleep(3 * time.Second)
				names, written := []string{"a", "b", "c"}, make(map[string]int)
				version := 1
				for range 25 {
					c := s.copyOf()
					for range rnd.IntN(4) {
						name := names[rnd.IntN(len(names))]
						version++
						written[name] = version
						s.write(name, version)
						time.Sleep(time.Duration(rnd.IntN(800)) * time.Millisecond)
					}
					switch rnd.IntN(5) {
					case 0, 1:
						s.set(func(s *remoteStore) { s.stalled = rnd.IntN(2) == 0 })
						time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
						s.restore(c)
						s.set(func(s *remoteStore) { s.stalled = false })
					case 2:
						s.set(func(s *remoteStore) {
							s.cutOff = map[string]bool{fmt.Sprint(rnd.IntN(6)): true, fmt.Sprint(rnd.IntN(6)): true}
						})
					case 3:
						f.unresponsive.Store(int64(rnd.IntN(7) - 1))
					case 4:
						s.set(func(s *remoteStore) { s.latency = []time.Duration{storeLatency, 400 * time.Millisecond}[rnd.IntN(2)] })
					}
				}
				s.set(func(s *remoteStore) { s.cutOff, s.latency = make(map[string]bool), storeLatency })
				f.unresponsive.Store(-1)
				for name, v := range written {
					s.write(name, v)
				}
				for _, name := range names {
					require.Less(t, timeUntil(10*time.Second, func() bool { return f.allHave(name, written[name]) }), contentBound, name)
				}
				require.Less(t, timeUntil(10*time.Second, f.allFresh), time.Second)
				var last Point
				s.set(func(s *remoteStore) { last = s.content.point() })
				followed := func() bool {
					return !slices.ContainsFunc(f.nodes, func(x *remoteNode) bool { return x.Point() != last })
				}
				require.Less(t, timeUntil(10*time.Second, followed), contentBound)
				for i, x := range f.nodes {
					require.Zero(t, x.KeptObjects(), "node %d: all was written again", i)
				}
			})
		})
	}
}

// Prevents a deletion from being undone by a restored store, and a kept object from staying for ever.
func TestDeletionsAndKeptObjectsAfterRestore(t *testing.T) {
	s := newRemoteStore()
	s.policy = keepVersions
	inVirtualTime(t, 5, s, func(t *testing.T, f *remoteFleet) {
		s.write("gone", 1)
		s.write("used", 1)
		time.Sleep(3 * time.Second)
		c := s.copyOf()
		s.delete("gone")
		s.write("lost", 1)
		time.Sleep(3 * time.Second)
		s.restore(c)
		require.Less(t, timeUntil(5*time.Second, func() bool { return f.nodes[4].Point().Era == 1 }), time.Second)
		for range 9 {
			require.True(t, f.allHave("gone", 0) && f.allHave("lost", 1) && f.allHave("used", 1))
			time.Sleep(100 * time.Millisecond)
		}
		require.Less(t, timeUntil(5*time.Second, func() bool { return f.allHave("gone", 1) }), 2*time.Second, "whoever deleted it doesn't want it deleted any more")
		require.True(t, f.allHave("lost", 1))
		require.Less(t, timeUntil(2*maxKeepTime, func() bool { return f.allHave("lost", 0) }), maxKeepTime+time.Second)
		require.True(t, f.allHave("used", 1))
	})
}

// Prevents a node that starts after a restore, and lists the store itself, from serving what a confirmed change has replaced.
func TestStartedNodeAdoptsWhatOthersKeep(t *testing.T) {
	keeper, started := &content{policy: keepVersions}, &content{policy: keepVersions}
	full := func(era, asOf uint64, base Point, changes ...Change) Delta {
		for i := range changes {
			changes[i].Object.Era = era
		}
		return Delta{Full: true, Era: era, AsOf: asOf, Base: base, Changes: changes}
	}
	keeper.apply(0, Point{}, full(1, 10, Point{}, obj("a", 3), obj("z", 4)))
	keeper.apply(0, keeper.point(), Delta{Era: 1, AsOf: 12, Changes: []Change{{Object: Object{Name: "a", Era: 1, Revision: 12, Spec: json.RawMessage("12")}}}})
	keeper.apply(0, keeper.point(), Delta{Era: 1, AsOf: 13, Changes: []Change{{Object: Object{Name: "z", Era: 1, Revision: 4}, Deleted: true}}})
	restored := full(2, 10, Point{}, obj("a", 3), obj("z", 4))
	keeper.apply(0, Point{}, restored)
	started.apply(0, Point{}, full(2, 11, Point{}, obj("a", 3), obj("z", 4)))
	position := Position{Era: 2, AsOf: 10, Base: keeper.base}
	since, complete := started.compare(&position)
	require.Nil(t, since, "the peer's copy is older than this one")
	require.False(t, complete)
	keeper.apply(0, keeper.point(), Delta{Era: 2, AsOf: 11})
	position.AsOf = 11
	since, _ = started.compare(&position)
	require.Equal(t, &Point{}, since)
	started.apply(0, Point{}, keeper.deltaSince(*since))
	require.Equal(t, map[string]uint64{"a": 12}, revisions(started))
	require.Equal(t, Point{1, 13}, started.base)
	_, complete = started.compare(&position)
	require.True(t, complete)
	started.apply(0, started.point(), Delta{Era: 2, AsOf: 12, Changes: []Change{{Object: Object{Name: "a", Era: 2, Revision: 12, Spec: json.RawMessage("12")}}}})
	require.Equal(t, uint64(2), started.objects["a"].Era, "written again with the same revision")
	old := Position{Era: 1, AsOf: 100, ContentRevision: 100}
	since, complete = started.compare(&old)
	require.Nil(t, since, "from before the restore")
	require.False(t, complete)
}

// Prevents a listing from mixing pages of before and after a restore.
func TestListingAcrossRestoreStartsAgain(t *testing.T) {
	src := &restoredPages{}
	f := &Follower{Source: src, Kind: "k"}
	_, _, err := f.list(t.Context())
	require.ErrorIs(t, err, errRestored)
	require.False(t, f.hasPendingListing(f.now()))
	d, _, err := f.list(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(2), d.Era)
	for _, ch := range d.Changes {
		require.Equal(t, uint64(2), ch.Object.Era)
	}
}

// restoredPages lists two pages; the store is restored after the first one was read.
type restoredPages struct {
	pagedSource
	calls int
}

func (p *restoredPages) List(context.Context, string, string) (Page, error) {
	p.calls++
	page := Page{Era: min(2, uint64(p.calls)), AsOf: 10, Changes: []Change{obj(fmt.Sprint("n", p.calls%2), uint64(p.calls))}}
	if p.calls%2 == 1 {
		page.Next = "n1"
	}
	return page, nil
}

// Prevents answers that were on their way while the store was restored from taking effect, or from proving freshness.
func TestAnswersOfEarlierErasProveNothing(t *testing.T) {
	f := &Follower{Kind: "k", StoreProof: new(sagefresh.Proof), Apply: func([]Change, bool) {}}
	require.NoError(t, f.applyAnswer(Point{}, Delta{Full: true, Era: 2, AsOf: 5, Changes: []Change{obj("a", 5)}}, false))
	for _, d := range []Delta{
		{Full: true, Era: 1, AsOf: 90, Changes: []Change{obj("a", 80)}},
		{Era: 1, AsOf: 90},
		{Era: 2, AsOf: 4},
	} {
		require.ErrorIs(t, f.applyAnswer(f.Point(), d, false), ErrOutdated)
		require.Equal(t, Point{2, 5}, f.Point())
	}
	require.NoError(t, f.applyAnswer(f.Point(), Delta{Full: true, Era: 2, AsOf: 4}, true), "a listing that an earlier call began")
	require.Equal(t, Point{2, 5}, f.Point())
}
