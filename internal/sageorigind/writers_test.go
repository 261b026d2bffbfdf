package sageorigind

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageorigin"
)

// savedRecords are the records that a node was asked to write to the store.
type savedRecords struct {
	mu   sync.Mutex
	keys map[sageorigin.Key]int // times
}

func (r *savedRecords) save(records []sageorigin.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keys == nil {
		r.keys = make(map[sageorigin.Key]int)
	}
	for i := range records {
		r.keys[records[i].Key]++
	}
}

// count returns how many of the first n streams were saved.
func (r *savedRecords) count(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	saved := 0
	for i := range n {
		if r.keys[key(i)] > 0 {
			saved++
		}
	}
	return saved
}

// Prevents streams from being saved late, and calls of the store while a service has one version.
func TestStreamsAreSavedAsTheyBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, "v1")
		var saved savedRecords
		n := f.nodes[0]
		n.Writers, n.Save = func() []sageorigin.Holder { return f.holders()[:1] }, saved.save
		n.begin(5, v1)
		require.Empty(t, saved.keys)
		f.setVersions("v1", "v2")
		for i := range 2 {
			n.Begin("r", key(5+i), v2, virtualNow().Add(time.Minute))
			require.Equal(t, 6+i, saved.count(7), "with those that began before the second version")
		}
	})
}

// Prevents streams of large fleets from being lost with all nodes because each node writes the less often the more nodes there are, and
// the store from being called by each of them.
func TestFewNodesSaveStreamsOfAll(t *testing.T) {
	for _, nodes := range []int{10, 91, 133, 400} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const writers, streams = 10, 4
				f := newTestFleet(nodes, "v1", "v2")
				first := f.holders()[:writers]
				saved := make([]savedRecords, nodes)
				for i, n := range f.nodes {
					n.Writers, n.Save = func() []sageorigin.Holder { return first }, saved[i].save
				}
				for i, n := range f.nodes {
					for k := range streams {
						n.Begin("r", key(i*streams+k), v1, virtualNow().Add(time.Minute))
					}
				}
				time.Sleep(2 * oneWay)
				synctest.Wait()
				for i := range nodes {
					for k := range streams {
						times := 0
						for w := range nodes {
							times += saved[w].keys[key(i*streams+k)]
						}
						require.Equal(t, map[bool]int{true: 1, false: 2}[i < writers], times, "node %d", i)
					}
				}
				for w := writers; w < nodes; w++ {
					require.Empty(t, saved[w].keys)
				}
			})
		})
	}
}

// Prevents open streams from being lost with all nodes because the nodes that were to write their records were lost shortly before.
func TestStreamsAreSavedByOtherWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 40
		f := newTestFleet(9, "v1", "v2")
		var saved [9]savedRecords
		var lost atomic.Bool
		for i, n := range f.nodes {
			n.Writers = func() []sageorigin.Holder {
				if lost.Load() {
					return f.holders()[3:6]
				}
				return f.holders()[:3]
			}
			n.Save = saved[i].save
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = f.nodes[8].Run(ctx) }()
		for i := range streams {
			f.nodes[8].Begin("r", key(i), v1, virtualNow().Add(time.Minute))
		}
		time.Sleep(resendInterval / 2)
		for i := range 3 {
			require.Positive(t, saved[i].count(streams))
		}
		lost.Store(true)
		time.Sleep(ringTTL + refreshInterval + 2*oneWay)
		synctest.Wait()
		total := 0
		for i := 3; i < 6; i++ {
			total += saved[i].count(streams)
		}
		require.Equal(t, 2*streams, total)
	})
}
