package sagerouter

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagerollout"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// plainDecoder reads objects that are the product's own types in JSON.
type plainDecoder struct{}

func (plainDecoder) Config(o sagefollow.Object) (*sageroute.Table, bool, error) {
	var t struct{ Version uint64 }
	if err := json.Unmarshal(o.Spec, &t); err != nil {
		return nil, false, err
	}
	tab, err := sageroute.New(t.Version, nil, nil, nil, sageroute.Limits{})
	return tab, true, err
}

func (plainDecoder) Upstream(o sagefollow.Object, _ sageclock.Instant) (sageupstream.Entry, error) {
	var e sageupstream.Entry
	if err := json.Unmarshal(o.Spec, &e); err != nil {
		return e, err
	}
	if e.Address == "" {
		return e, errors.New("no address")
	}
	e.ID = o.Name
	return e, nil
}

func (plainDecoder) Rollout(o sagefollow.Object, _ sageclock.Instant) (sagerollout.Order, error) {
	var r sagerollout.Order
	err := json.Unmarshal(o.Spec, &r)
	return r, err
}

func (plainDecoder) RolloutStatus(s sagerollout.State, _ string) (json.RawMessage, error) {
	return json.Marshal(s)
}

// newView returns a view that knows that all data centres are in service.
func newView() *view {
	v := &view{decoder: plainDecoder{}, placer: new(sagechain.Placer)}
	v.applyClosed(nil, false)
	return v
}

// A started node sends to a data centre that operators took out, as long as it has listed the
// upstreams and not yet the data centres.
func TestNoUpstreamIsKnownBeforeDataCentresAre(t *testing.T) {
	v := &view{decoder: plainDecoder{}, placer: new(sagechain.Placer)}
	v.applyUpstreams([]sagefollow.Change{put("e1", 5, `{"Service":"s","Address":"a:1","DataCentre":"north"}`)}, false)
	require.Nil(t, v.set.Load())
	v.applyClosed([]sagefollow.Change{put("north", 6, `{}`)}, false)
	require.NotNil(t, v.set.Load())
	require.Empty(t, v.set.Load().Available("s"))
}

func put(name string, revision uint64, spec string) sagefollow.Change {
	return sagefollow.Change{Object: sagefollow.Object{Name: name, Revision: revision, Spec: json.RawMessage(spec)}}
}

func gone(name string, revision uint64) sagefollow.Change {
	c := put(name, revision, "")
	c.Deleted = true
	return c
}

// A data centre's engines get work for two seconds after they left, for the rest of the day: a store
// outage was noticed, the first answer after it was about the configuration, and so nothing told the
// registry of upstreams that the outage was over.
func TestOutageEndsWithAnyAnswer(t *testing.T) {
	v := newView()
	v.applyUpstreams([]sagefollow.Change{put("e1", 1, `{"Service":"s","Address":"a:1"}`)}, false)
	v.settle(true)
	v.settle(false)
	// The while in which a deletion may be a lapse is over when that much time has passed.
	require.Eventually(t, func() bool {
		v.applyUpstreams([]sagefollow.Change{put("e1", 2, `{"Service":"s","Address":"a:1"}`), gone("e1", 3)}, false)
		return len(v.set.Load().Available("s")) == 0
	}, 10*time.Second, 50*time.Millisecond)
}

// A configuration goes back: an answer that was under way for seconds arrives after a newer one.
func TestVersionsOnlyRise(t *testing.T) {
	v := newView()
	v.applyConfig([]sagefollow.Change{put("main", 5, `{"Version":7}`)}, false)
	v.applyConfig([]sagefollow.Change{put("main", 6, `{"Version":4}`), put("main", 8, `{"Version":`)}, false)
	require.EqualValues(t, 7, v.table.Load().Version)
}

// A restarted engine's place in the cache order, its start and its address come from a late write of
// its earlier start, and requests go to an address that nobody serves.
func TestEarlierStartIsIgnored(t *testing.T) {
	v := newView()
	v.applyUpstreams([]sagefollow.Change{put("e1", 5, `{"Service":"s","Address":"new:1","Born":200}`)}, false)
	v.applyUpstreams([]sagefollow.Change{put("e1", 6, `{"Service":"s","Address":"old:1","Born":100}`)}, false)
	require.Equal(t, "new:1", v.set.Load().Get("e1").Address)
	v.applyUpstreams([]sagefollow.Change{put("e1", 7, `{"Service":"s"}`)}, false)
	require.Nil(t, v.set.Load().Get("e1"), "an entry that can't be read names no upstream")
}

func TestClosedDataCentres(t *testing.T) {
	v := newView()
	v.applyUpstreams([]sagefollow.Change{put("e1", 5, `{"Service":"s","Address":"a:1","DataCentre":"north"}`)}, false)
	v.applyClosed([]sagefollow.Change{put("north", 6, `{}`)}, false)
	require.Empty(t, v.set.Load().Available("s"))
	v.applyClosed([]sagefollow.Change{gone("north", 7)}, false)
	require.Len(t, v.set.Load().Available("s"), 1)
}

// A started node hears from its peers what engines hold before it has listed the engines. The first
// listing made it forget all of that, and the prompts were read again elsewhere.
func TestFirstListingKeepsWhatPeersTold(t *testing.T) {
	v := newView()
	now := sageclock.Now()
	v.placer.Merge(now, map[string][]uint64{"e1": {1, 2}})
	v.applyUpstreams([]sagefollow.Change{put("e1", 5, `{"Service":"s","Address":"a:1","Born":7}`)}, false)
	require.Len(t, v.placer.All(now)["e1"], 2)
	v.applyUpstreams([]sagefollow.Change{put("e1", 6, `{"Service":"s","Address":"a:1","Born":8}`)}, false)
	require.Empty(t, v.placer.All(now)["e1"], "a new start has an empty cache")
}

// An upstream's entry lapses while the store is away and comes back with the same start.
func TestLapsedAndRenewedEntryKeepsWhatItHolds(t *testing.T) {
	v := newView()
	now := sageclock.Now()
	v.applyUpstreams([]sagefollow.Change{put("e1", 5, `{"Service":"s","Address":"a:1","Born":7}`)}, false)
	v.placer.Merge(now, map[string][]uint64{"e1": {1, 2}})
	gone := put("e1", 6, `{}`)
	gone.Deleted = true
	v.applyUpstreams([]sagefollow.Change{gone}, false)
	v.applyUpstreams([]sagefollow.Change{put("e1", 7, `{"Service":"s","Address":"a:1","Born":7}`)}, false)
	require.Len(t, v.placer.All(now)["e1"], 2)
}
