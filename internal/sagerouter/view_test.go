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

// plainDecoder decodes objects that are the router's own types in JSON.
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

// newView returns a view in which all data centres are in service.
func newView() *view {
	v := &view{decoder: plainDecoder{}, placer: new(sagechain.Placer)}
	v.applyClosed(nil, false)
	return v
}

// A started node that had listed the upstreams but not yet the closed data centres sent requests to a closed one.
func TestNoUpstreamsBeforeClosedDataCentresAreListed(t *testing.T) {
	v := &view{decoder: plainDecoder{}, placer: new(sagechain.Placer)}
	v.applyUpstreams([]sagefollow.Change{put("e1", 5, `{"Service":"s","Address":"a:1","DataCentre":"north"}`)}, false)
	require.Nil(t, v.upstreams.Load())
	v.applyClosed([]sagefollow.Change{put("north", 6, `{}`)}, false)
	require.NotNil(t, v.upstreams.Load())
	require.Empty(t, v.upstreams.Load().Available("s"))
}

func put(name string, revision uint64, spec string) sagefollow.Change {
	return sagefollow.Change{Object: sagefollow.Object{Name: name, Revision: revision, Spec: json.RawMessage(spec)}}
}

func deletion(name string, revision uint64) sagefollow.Change {
	c := put(name, revision, "")
	c.Deleted = true
	return c
}

// The first answer after a store outage concerned the configuration, and the registry of upstreams was not notified
// of the end of the outage. From then on, deleted upstreams received requests for two more seconds.
func TestAnyStoreAnswerEndsOutage(t *testing.T) {
	v := newView()
	v.applyUpstreams([]sagefollow.Change{put("e1", 1, `{"Service":"s","Address":"a:1"}`)}, false)
	v.expireLapsed(true)
	v.expireLapsed(false)
	// For some time after the outage, a deletion still counts as a lapse.
	require.Eventually(t, func() bool {
		v.applyUpstreams([]sagefollow.Change{put("e1", 2, `{"Service":"s","Address":"a:1"}`), deletion("e1", 3)}, false)
		return len(v.upstreams.Load().Available("s")) == 0
	}, 10*time.Second, 50*time.Millisecond)
}

// An answer that was delayed for seconds arrives after a newer one, and must not restore the older configuration.
func TestConfigVersionNeverDecreases(t *testing.T) {
	v := newView()
	v.applyConfig([]sagefollow.Change{put("main", 5, `{"Version":7}`)}, false)
	v.applyConfig([]sagefollow.Change{put("main", 6, `{"Version":4}`), put("main", 8, `{"Version":`)}, false)
	require.EqualValues(t, 7, v.table.Load().Version)
}

// A late write of an engine's earlier start replaced the entry of the present one, and requests were sent to an
// address that was no longer served.
func TestEntryOfEarlierStartIsIgnored(t *testing.T) {
	v := newView()
	v.applyUpstreams([]sagefollow.Change{put("e1", 5, `{"Service":"s","Address":"new:1","Born":200}`)}, false)
	v.applyUpstreams([]sagefollow.Change{put("e1", 6, `{"Service":"s","Address":"old:1","Born":100}`)}, false)
	require.Equal(t, "new:1", v.upstreams.Load().Get("e1").Address)
	v.applyUpstreams([]sagefollow.Change{put("e1", 7, `{"Service":"s"}`)}, false)
	require.Nil(t, v.upstreams.Load().Get("e1"), "an entry that can't be decoded removes the upstream")
}

func TestClosedDataCentres(t *testing.T) {
	v := newView()
	v.applyUpstreams([]sagefollow.Change{put("e1", 5, `{"Service":"s","Address":"a:1","DataCentre":"north"}`)}, false)
	v.applyClosed([]sagefollow.Change{put("north", 6, `{}`)}, false)
	require.Empty(t, v.upstreams.Load().Available("s"))
	v.applyClosed([]sagefollow.Change{deletion("north", 7)}, false)
	require.Len(t, v.upstreams.Load().Available("s"), 1)
}

// A started node receives reports of cached parts from its peers before it has listed the engines. The first
// listing dropped these reports, and the prompts were processed again elsewhere.
func TestFirstListingKeepsReportedParts(t *testing.T) {
	v := newView()
	now := sageclock.Now()
	v.placer.Merge(now, map[string][]uint64{"e1": {1, 2}})
	v.applyUpstreams([]sagefollow.Change{put("e1", 5, `{"Service":"s","Address":"a:1","Born":7}`)}, false)
	require.Len(t, v.placer.All(now)["e1"], 2)
	v.applyUpstreams([]sagefollow.Change{put("e1", 6, `{"Service":"s","Address":"a:1","Born":8}`)}, false)
	require.Empty(t, v.placer.All(now)["e1"], "a new start has an empty cache")
}

// An upstream's entry lapses during a store outage and is renewed by the same start: its cache is unchanged.
func TestRenewedEntryKeepsCachedParts(t *testing.T) {
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
