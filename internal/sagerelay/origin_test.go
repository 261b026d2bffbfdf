package sagerelay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sageroute"
)

// fiveEvents is the body of a stream of five events.
const fiveEvents = "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\nid: 3\ndata: w3\n\nid: 4\ndata: w4\n\nid: 5\ndata: w5\n\n"

// threeEvents is its beginning, lastTwoEvents the rest.
const (
	threeEvents   = "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\nid: 3\ndata: w3\n\n"
	lastTwoEvents = "id: 4\ndata: w4\n\nid: 5\ndata: w5\n\n"
)

// Prevents a node from resuming a broken stream at another version, and from binding one that has no event to any.
func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	for _, tt := range []struct {
		name     string
		ups      map[string]upstream
		versions map[string]string
		changed  []string
		body     string
		aborted  bool
		sentTo   []string
		origin   sageorigin.Origin
	}{
		{"another upstream of the version", map[string]upstream{"a": events(1, 3, false), "b": events(4, 5, true), "c": events(4, 5, true)},
			map[string]string{"a": "v1", "b": "v2", "c": "v1"}, nil, fiveEvents, false, []string{"a", "c"}, sageorigin.Origin{Service: "s", Version: "v1"}},
		{"only another version is left", map[string]upstream{"a": events(1, 3, false), "b": events(4, 5, true)},
			map[string]string{"a": "v1", "b": "v2"}, nil, threeEvents, true, []string{"a"}, sageorigin.Origin{Service: "s", Version: "v1"}},
		{"the first exchange brought no event", map[string]upstream{"a": crash, "b": events(1, 5, true)},
			map[string]string{"a": "v1", "b": "v2"}, nil, fiveEvents, false, []string{"a", "b"}, sageorigin.Origin{Service: "s", Version: "v2"}},
		{"the upstream's ID belongs to another version", map[string]upstream{"a": events(1, 3, false), "b": events(4, 5, true)},
			map[string]string{"a": "v1", "b": "v1"}, []string{"a"}, threeEvents, true, []string{"a"}, sageorigin.Origin{Service: "s"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Stream), tt.ups)
				f.versions, f.changedVersions = tt.versions, tt.changed
				out := f.call(t.Context(), nil, "")
				require.Equal(t, tt.aborted, out.aborted)
				require.Equal(t, tt.body, out.Body.String())
				var sentTo []string
				for _, r := range f.sent {
					sentTo = append(sentTo, r.Header.Get("Test-Instance"))
				}
				require.Equal(t, tt.sentTo, sentTo)
				require.Equal(t, []sageorigin.Record{{Key: sageorigin.KeyOf("acc", "id1"), Origin: tt.origin}}, f.begun)
				require.Equal(t, 1, f.ended)
				require.Empty(t, f.searched, "a new stream has no origin")
			})
		})
	}
}

// Prevents other nodes from getting to know the origin only after the caller has its first event, with which it may return
// at once.
func TestOriginIsRecordedBeforeFirstEventIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, testRoute(sageroute.Stream), map[string]upstream{"a": events(1, 5, true)})
		sent := false
		f.onBegin = func() { sent = true }
		s := f.service()
		w := &writeObserver{header: make(http.Header), onWrite: func() { require.True(t, sent) }}
		s.ServeHTTP(w, testRequest(t.Context(), nil, ""))
		require.Equal(t, 5, w.writes)
	})
}

// writeObserver is a caller that calls onWrite before each write.
type writeObserver struct {
	header  http.Header
	onWrite func()
	writes  int
}

func (w *writeObserver) Header() http.Header { return w.header }
func (w *writeObserver) WriteHeader(int)     { w.onWrite() }
func (w *writeObserver) Flush()              {}
func (w *writeObserver) Write(b []byte) (int, error) {
	w.onWrite()
	w.writes++
	return len(b), nil
}

// Prevents a stream that its caller takes up from going on at another version, or being begun anew.
func TestReturnGoesOnAtOriginOrIsRefused(t *testing.T) {
	v2 := sageorigin.Origin{Service: "s", Version: "v2"}
	found := func(o sageorigin.Origin) sageorigin.Finding {
		return sageorigin.Finding{Status: sageorigin.Found, Origin: o}
	}
	for _, tt := range []struct {
		name       string
		finding    sageorigin.Finding
		ups        map[string]upstream
		status     int
		body       string
		retryAfter string
	}{
		{"found", found(v2), map[string]upstream{"a": crash, "b": events(4, 5, true)}, 200, lastTwoEvents, ""},
		{"the only version", sageorigin.Finding{Status: sageorigin.Sole, Origin: v2}, map[string]upstream{"a": crash, "b": events(4, 5, true)}, 200, lastTwoEvents, ""},
		{"not found", sageorigin.Finding{}, map[string]upstream{"a": crash, "b": crash}, 503, `{"reason":"origin_unknown"}`, "4"},
		{"not found yet", sageorigin.Finding{MayFollow: true}, map[string]upstream{"a": crash, "b": crash}, 503, `{"reason":"origin_unknown"}`, "0.3"},
		{"not found before some time", sageorigin.Finding{MayFollow: true, FollowsIn: 1500 * time.Millisecond}, map[string]upstream{"a": crash, "b": crash}, 503, `{"reason":"origin_unknown"}`, "1.5"},
		{"not found before the deadline", sageorigin.Finding{MayFollow: true, FollowsIn: time.Minute}, map[string]upstream{"a": crash, "b": crash}, 503, `{"reason":"origin_unknown"}`, "4"},
		{"found without version", found(sageorigin.Origin{Service: "s"}), map[string]upstream{"a": crash, "b": crash}, 503, `{"reason":"origin_unknown"}`, "4"},
		{"another service", found(sageorigin.Origin{Service: "t", Version: "v2"}), map[string]upstream{"a": crash, "b": crash}, 503, `{"reason":"origin_moved"}`, ""},
		{"no upstream of the version", found(v2), map[string]upstream{"a": crash}, 503, `{"reason":"version_gone"}`, "2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Stream), tt.ups)
				f.versions, f.finding = map[string]string{"a": "v1", "b": "v2"}, tt.finding
				out := f.call(t.Context(), map[string]string{testResumes: "id0", testLast: "3"}, "")
				require.Equal(t, tt.status, out.Code)
				require.Equal(t, tt.body, out.Body.String())
				require.Equal(t, tt.retryAfter, out.Header().Get("Retry-After"))
				require.Equal(t, []sageorigin.Key{sageorigin.KeyOf("acc", "id0")}, f.searched)
				if tt.status != 200 {
					require.Empty(t, f.sent, "a refusal says that the request has not been executed")
					require.Empty(t, f.begun)
					return
				}
				require.Len(t, f.sent, 1)
				require.Equal(t, "3", f.sent[0].Header.Get(testLast))
				require.Equal(t, []sageorigin.Record{{Key: sageorigin.KeyOf("acc", "id0"), Origin: v2}}, f.begun, "the key stays that of the first event's attempt")
			})
		})
	}
}

// Prevents a stream over peers from changing its version when the first peer breaks off and another one goes on.
func TestStreamOverPeersStaysAtItsVersion(t *testing.T) {
	const noVersion = "-" // the peer doesn't name the version, as earlier programs
	for _, tt := range []struct {
		name      string
		header    map[string]string
		versions2 map[string]string // of the second peer's upstreams
		ups2      map[string]upstream
		second    string // what the second peer names instead
		aborted   bool
		status    int
		body      string
	}{
		{"the second peer has the version", nil, map[string]string{"b": "v2", "c": "v1"}, map[string]upstream{"b": events(4, 5, true), "c": events(4, 5, true)}, "", false, 200, fiveEvents},
		{"the second peer has another version", nil, map[string]string{"b": "v2"}, map[string]upstream{"b": events(4, 5, true)}, "", true, 200, threeEvents},
		{"the second peer doesn't read the version", nil, map[string]string{"b": "v2"}, map[string]upstream{"b": events(4, 5, true)}, noVersion, true, 200, threeEvents},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newHopEnv(t, sageroute.Stream, map[string]upstream{"a": events(1, 3, false)}, tt.ups2)
				env.peers["p1"].versions, env.peers["p2"].versions = map[string]string{"a": "v1"}, tt.versions2
				env.peers["p1"].retryBudget = 0
				if tt.second == noVersion {
					env.node.upstreams["p2"] = events(4, 5, true)
				}
				out := env.node.call(t.Context(), tt.header, "")
				require.Equal(t, tt.aborted, out.aborted)
				require.Equal(t, tt.status, out.Code)
				require.Equal(t, tt.body, out.Body.String())
				require.Empty(t, out.Header().Get(headerRelayUpstreamVersion))
				require.Equal(t, []sageorigin.Record{{Key: sageorigin.KeyOf("acc", "id1"), Origin: sageorigin.Origin{Service: "s", Version: "v1"}}}, env.node.begun, "the node with the caller records the origin")
				require.Empty(t, env.peers["p1"].begun)
				require.Empty(t, env.peers["p2"].searched, "the version came with the request")
			})
		})
	}
}

// Prevents a return over a peer from going on at another version than the node has found.
func TestReturnOverPeerGoesOnAtOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newHopEnv(t, sageroute.Stream, map[string]upstream{"a": events(4, 5, true)}, map[string]upstream{"b": events(4, 5, true), "c": events(4, 5, true)})
		env.node.finding = sageorigin.Finding{Status: sageorigin.Found, Origin: sageorigin.Origin{Service: "s", Version: "v 2/x"}}
		env.peers["p1"].versions, env.peers["p2"].versions = map[string]string{"a": "v1"}, map[string]string{"b": "v1", "c": "v 2/x"}
		out := env.node.call(t.Context(), map[string]string{testResumes: "id0", testLast: "3"}, "")
		require.Equal(t, 200, out.Code)
		require.Equal(t, lastTwoEvents, out.Body.String())
		require.Empty(t, env.peers["p1"].sent, "the first peer has no upstream of the version")
		require.Equal(t, []string{"p1"}, env.node.refusedBy)
		require.Equal(t, "c", env.peers["p2"].sent[0].Header.Get("Test-Instance"))
	})
}

// Prevents streams that can't be resumed from being bound to a version, which no caller may take up.
func TestOriginOfStreamThatIsNotResumable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := testRoute(sageroute.Stream)
		route.Resumable = false
		f := newFakeFleet(t, route, map[string]upstream{"a": events(1, 5, true)})
		out := f.call(t.Context(), map[string]string{testResumes: "id0"}, "")
		require.Equal(t, fiveEvents, out.Body.String())
		require.Empty(t, f.searched)
		require.Empty(t, f.begun)
	})
}
