package sageorigind

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

var (
	v1 = sageorigin.Origin{Service: "chat", Version: "v1"}
	v2 = sageorigin.Origin{Service: "chat", Version: "v2"}
)

// oneWay is the time that a message takes.
const oneWay = time.Millisecond

// testNode is a node of a testFleet.
type testNode struct {
	*Service
	history sageorigin.History
	stale   bool        // its copy of the upstreams is old
	down    atomic.Bool // gets and sends nothing
	// claims are what the store has; nil if it doesn't answer.
	claims map[string]sageorigin.Claim
	listed int
}

// testFleet is a set of nodes with a network between them.
type testFleet struct {
	nodes  []*testNode
	mu     sync.Mutex
	sent   int
	loseNo int // messages to lose
}

// newTestFleet returns nodes that have known for a long time that a service has the given versions.
func newTestFleet(n int, versions ...string) *testFleet {
	f := new(testFleet)
	for i := range n {
		node := f.newNode(i)
		f.nodes = append(f.nodes, node)
	}
	f.setVersions(versions...)
	for _, node := range f.nodes {
		node.history.SetComplete()
	}
	return f
}

// newNode returns a node that has just started.
func (f *testFleet) newNode(i int) *testNode {
	node := &testNode{claims: map[string]sageorigin.Claim{"chat": {Service: "chat", Sole: true, Version: "v1", Routes: []string{"r"}}}}
	node.Service = &Service{
		Self: address(i), History: &node.history, Nodes: f.holders, Fresh: func() bool { return !node.stale }, ProvenAt: node.provenAt, Metrics: metrics.NewSet(), Now: virtualNow,
		Send: func(to string, b []byte) error { return f.send(node, to, b) },
		ReadClaims: func(context.Context) (map[string]sageorigin.Claim, error) {
			node.listed++
			if node.claims == nil {
				return nil, errors.New("store doesn't answer")
			}
			return node.claims, nil
		},
	}
	node.history.SetRoutes(virtualNow(), map[string][]string{"r": {"chat"}})
	return node
}

// provenAt returns now, or 0 if the node's copy of the upstreams is old.
func (n *testNode) provenAt() sageclock.Instant {
	if n.stale {
		return 0
	}
	return virtualNow()
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7", i+1) }

func virtualNow() sageclock.Instant { return sageclock.Instant(time.Now().UnixNano()) }

func (f *testFleet) holders() []sageorigin.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []sageorigin.Holder
	for i := range f.nodes {
		out = append(out, sageorigin.Holder{Address: address(i), DataCentre: fmt.Sprint("dc", i%3)})
	}
	return out
}

// send delivers a message, unless an end of it is down or it is to be lost.
func (f *testFleet) send(from *testNode, to string, b []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sent++; f.loseNo > 0 {
		f.loseNo--
		return nil
	}
	b = append([]byte(nil), b...)
	time.AfterFunc(oneWay, func() {
		if n := f.nodeAt(to); n != nil && !n.down.Load() && !from.down.Load() {
			n.Handle(b, from.Self)
		}
	})
	return nil
}

// nodeAt returns the node with an address; nil if there is none.
func (f *testFleet) nodeAt(address string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.Self == address {
			return n
		}
	}
	return nil
}

// takeSent returns how many messages were sent since the last call.
func (f *testFleet) takeSent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.sent
	f.sent = 0
	return n
}

// setVersions sets the versions that all nodes know.
func (f *testFleet) setVersions(versions ...string) {
	for _, n := range f.nodes {
		n.setVersions(versions...)
	}
}

func (n *testNode) setVersions(versions ...string) {
	present := map[string]map[string]bool{"chat": {}}
	for _, v := range versions {
		present["chat"][v] = true
	}
	n.history.SetVersions(virtualNow(), present)
}

func key(i int) sageorigin.Key { return sageorigin.KeyOf("acc", fmt.Sprint("q", i)) }

// begin begins streams at a node, whose callers may return for ten seconds.
func (n *testNode) begin(count int, o sageorigin.Origin) (end func()) {
	var ends []func()
	for i := range count {
		ends = append(ends, n.Begin("r", key(i), o, virtualNow().Add(10*time.Second)))
	}
	return func() {
		for _, e := range ends {
			e()
		}
	}
}

// found returns how many of the streams a node finds at an origin.
func (n *testNode) found(t *testing.T, count int, o sageorigin.Origin) int {
	t.Helper()
	out := 0
	for i := range count {
		if f := n.Find(t.Context(), "r", key(i)); f.Status == sageorigin.Found {
			require.Equal(t, o, f.Origin)
			out++
		}
	}
	return out
}

// Prevents callers from being refused, or continued at another version, because the node that carried their stream is gone.
func TestOriginIsFoundWithoutFirstNode(t *testing.T) {
	const streams = 30
	for _, tt := range []struct {
		nodes, down int
		want        int // of the streams
	}{{2, 1, streams}, {6, 1, streams}, {6, 2, streams}, {9, 3, streams}, {30, 3, streams}, {1, 0, streams}} {
		t.Run(fmt.Sprintf("%d of %d nodes down", tt.down, tt.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(tt.nodes, "v1", "v2")
				f.nodes[0].begin(streams, v2)
				time.Sleep(2 * oneWay)
				for _, n := range f.nodes[:tt.down] {
					n.down.Store(true)
				}
				require.Equal(t, tt.want, f.nodes[tt.nodes-1].found(t, streams, v2))
			})
		})
	}
}

// Prevents messages and delays while a service has one version.
func TestSoleVersionCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, "v1")
		f.nodes[0].begin(5, v1)
		start := time.Now()
		got := f.nodes[1].Find(t.Context(), "r", key(0))
		require.Equal(t, sageorigin.Finding{Status: sageorigin.Sole, Origin: v1}, got)
		require.Zero(t, time.Since(start))
		require.Zero(t, f.takeSent())
		require.Zero(t, f.nodes[1].listed)
	})
}

// Prevents streams that begin after a loss of all nodes from being refused after the next one, as the store has no claim of a sole
// version so soon.
func TestStreamsAreRecordedWhileNothingVouches(t *testing.T) {
	for _, tc := range []struct {
		name    string
		claimed bool
		want    int
	}{{"no claim", false, 20}, {"claimed", true, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := new(testFleet)
				for i := range 3 {
					f.nodes = append(f.nodes, f.newNode(i))
				}
				f.setVersions("v1")
				n := f.nodes[0]
				var saved savedRecords
				n.Writers, n.Save = func() []sageorigin.Holder { return f.holders()[:1] }, saved.save
				if !tc.claimed {
					n.claims = map[string]sageorigin.Claim{}
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = n.Run(ctx) }()
				n.begin(20, v1)
				time.Sleep(2 * refreshInterval)
				synctest.Wait()
				require.Equal(t, 1, n.listed)
				require.Equal(t, 20, saved.count(20), "as the claims weren't known yet")
				saved.keys = nil
				n.begin(20, v1)
				time.Sleep(2 * resendInterval)
				synctest.Wait()
				require.Equal(t, tc.want, saved.count(20))
				require.Equal(t, 1, n.listed)
			})
		})
	}
}

// Prevents streams that began while a service had one version from being lost when a second one appears.
func TestOpenStreamsAreRecordedWhenVersionAppears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, "v1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = f.nodes[0].Run(ctx) }()
		f.nodes[0].begin(20, v1)
		time.Sleep(time.Second)
		require.Zero(t, f.takeSent())
		f.setVersions("v1", "v2")
		time.Sleep(2 * refreshInterval)
		require.LessOrEqual(t, f.takeSent(), 3*6, "records to one node share a message")
		f.nodes[0].down.Store(true)
		require.Equal(t, 20, f.nodes[3].found(t, 20, v1))
	})
}

// Prevents a caller from being continued at any version if every copy is lost.
func TestReturnIsUnknownIfAllCopiesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, "v1", "v2")
		start := time.Now()
		got := f.nodes[0].Find(t.Context(), "r", key(1))
		require.Equal(t, sageorigin.Finding{Asked: 5, Answered: 5}, got)
		require.Less(t, time.Since(start), 10*oneWay, "a return that can't go on is refused at once")
		for _, n := range f.nodes[1:] {
			n.down.Store(true)
		}
		start = time.Now()
		require.Equal(t, sageorigin.Unknown, f.nodes[0].Find(t.Context(), "r", key(1)).Status)
		require.Equal(t, answerTimeout, time.Since(start))
	})
}

// Prevents nodes that don't know what was before their start from believing in a sole version.
func TestStartedNodeLearnsWhatWasBefore(t *testing.T) {
	for _, tt := range []struct {
		name      string
		change    func(f *testFleet, n *testNode)
		want      sageorigin.Status
		storeRead int
	}{
		{"the others know one version", func(*testFleet, *testNode) {}, sageorigin.Sole, 0},
		{"the others knew a second version", func(f *testFleet, _ *testNode) {
			for _, o := range f.nodes[1:] {
				o.setVersions("v1", "v2")
				o.setVersions("v1")
			}
		}, sageorigin.Unknown, 0},
		{"all have just started, and the store has a claim of the version", func(f *testFleet, _ *testNode) { f.restart(1, 2, 3, 4, 5) }, sageorigin.Sole, 1},
		{"all have just started, and the store has a claim of another version", func(f *testFleet, n *testNode) {
			f.restart(1, 2, 3, 4, 5)
			n.claims["chat"] = sageorigin.Claim{Service: "chat", Sole: true, Version: "v2", Routes: []string{"r"}}
		}, sageorigin.Unknown, 1},
		{"all have just started, and the store has a claim for another route", func(f *testFleet, n *testNode) {
			f.restart(1, 2, 3, 4, 5)
			n.claims["chat"] = sageorigin.Claim{Service: "chat", Sole: true, Version: "v1", Routes: []string{"other"}}
		}, sageorigin.Unknown, 1},
		{"all have just started, and a second version was admitted", func(f *testFleet, n *testNode) {
			f.restart(1, 2, 3, 4, 5)
			n.claims["chat"] = sageorigin.Claim{Service: "chat", Admitted: map[string]uint64{"v1": 1, "v2": 2}}
		}, sageorigin.Unknown, 1},
		{"all have just started, and the store has no claim", func(f *testFleet, n *testNode) {
			f.restart(1, 2, 3, 4, 5)
			n.claims = map[string]sageorigin.Claim{}
		}, sageorigin.Unknown, 1},
		{"all have just started, and the store doesn't answer", func(f *testFleet, n *testNode) {
			f.restart(1, 2, 3, 4, 5)
			n.claims = nil
		}, sageorigin.Unknown, 1},
		{"the others know nothing yet", func(f *testFleet, _ *testNode) {
			for i := 1; i < 6; i++ {
				f.replace(i, f.newNode(i))
			}
		}, sageorigin.Sole, 1},
		{"nobody answers", func(f *testFleet, _ *testNode) {
			for _, o := range f.nodes[1:] {
				o.down.Store(true)
			}
		}, sageorigin.Unknown, 0},
		{"it is alone", func(f *testFleet, _ *testNode) { f.nodes = f.nodes[:1] }, sageorigin.Sole, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(6, "v1")
				f.restart(0)
				n := f.nodes[0]
				tt.change(f, n)
				require.Equal(t, tt.want, n.Find(t.Context(), "r", key(1)).Status)
				require.Equal(t, tt.storeRead, n.listed)
				_ = n.Find(t.Context(), "r", key(2))
				require.Equal(t, tt.storeRead, n.listed, "the store isn't read for each caller")
			})
		})
	}
}

// restart replaces nodes by ones that have just started.
func (f *testFleet) restart(nodes ...int) {
	for _, i := range nodes {
		n := f.newNode(i)
		n.setVersions("v1")
		f.replace(i, n)
	}
}

func (f *testFleet) replace(i int, n *testNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = n
}

// Prevents a node whose copy of the upstreams is old from believing in a sole version, while another one serves already.
func TestNodeWithOldCopyAsksOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, "v1")
		f.nodes[0].stale = true
		got := f.nodes[0].Find(t.Context(), "r", key(1))
		require.Equal(t, sageorigin.Sole, got.Status, "the others know no second version either")
		require.Equal(t, 5, got.Answered)
		for _, n := range f.nodes[1:] {
			n.setVersions("v1", "v2")
		}
		f.nodes[1].begin(3, v2)
		time.Sleep(2 * oneWay)
		require.Equal(t, 3, f.nodes[0].found(t, 3, v2))
		require.Equal(t, sageorigin.Unknown, f.nodes[0].Find(t.Context(), "r", key(9)).Status)
		for _, n := range f.nodes[1:] {
			n.down.Store(true)
		}
		require.Equal(t, sageorigin.Unknown, f.nodes[0].Find(t.Context(), "r", key(8)).Status, "it is cut from the others")
	})
}

// Prevents streams of a service whose upstreams register no version from being refused, and those of an unknown version from
// going on at a known one.
func TestStreamsWithoutVersion(t *testing.T) {
	noVersion := sageorigin.Origin{Service: "chat"}
	for _, tt := range []struct {
		name     string
		versions []string
		want     sageorigin.Status
	}{{"no upstream has one", []string{""}, sageorigin.Sole}, {"some upstreams have one", []string{"", "v1"}, sageorigin.Unknown}, {"all upstreams have one", []string{"v1"}, sageorigin.Unknown}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(3, tt.versions...)
				f.nodes[0].begin(1, noVersion)
				time.Sleep(2 * oneWay)
				require.Equal(t, tt.want, f.nodes[0].Find(t.Context(), "r", key(0)).Status)
			})
		})
	}
}

// Prevents the loss of a message from losing a stream.
func TestQueriesAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, "v1", "v2")
		f.nodes[0].begin(1, v1)
		time.Sleep(2 * oneWay)
		f.nodes[0].down.Store(true)
		f.loseNo = 5
		start := time.Now()
		require.Equal(t, 1, f.nodes[5].found(t, 1, v1))
		require.LessOrEqual(t, time.Since(start), repeatAfter+3*oneWay)
	})
}

// Prevents records of streams that still run from being lost when their holders are replaced one after the other, or stop.
func TestRecordsOutliveTheirHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, "v1", "v2")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = f.nodes[0].Run(ctx) }()
		end := f.nodes[0].begin(20, v2)
		for i := 1; i < 6; i++ {
			f.restart(i)
			f.nodes[i].setVersions("v1", "v2")
			time.Sleep(time.Second)
		}
		time.Sleep(resendInterval + refreshInterval)
		end()
		require.Equal(t, 20, f.nodes[4].found(t, 20, v2))
	})
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, "v1", "v2")
		ctx, cancel := context.WithCancel(t.Context())
		f.nodes[0].begin(20, v2)
		time.Sleep(2 * oneWay)
		done := make(chan error)
		go func() { done <- f.nodes[1].Run(ctx) }()
		f.restart(0, 2, 3, 4, 5)
		for _, n := range f.nodes {
			n.setVersions("v1", "v2")
		}
		held := f.nodes[1].Held()
		cancel()
		require.NoError(t, <-done)
		time.Sleep(2 * oneWay)
		f.nodes[1].down.Store(true)
		require.Positive(t, held)
		require.Equal(t, held, f.nodes[0].found(t, 20, v2), "a node that stops hands over what it holds")
	})
}

// Prevents a flood of made-up IDs from using up memory, and answers of other nodes from deciding.
func TestSearchesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(3, "v1", "v2")
		n := f.nodes[0]
		f.nodes[1].down.Store(true)
		f.nodes[2].down.Store(true)
		var wg sync.WaitGroup
		for i := range maxAsks {
			wg.Go(func() { _ = n.Find(t.Context(), "r", key(i)) })
		}
		synctest.Wait()
		start := time.Now()
		require.Equal(t, sageorigin.Finding{}, n.Find(t.Context(), "r", key(1)))
		require.Zero(t, time.Since(start))
		for i := range maxAsks {
			m := sageorigin.Message{Answer: &sageorigin.Answer{Number: uint64(i + 1), Status: sageorigin.Found, Origin: v1}}
			n.Handle(m.Encode(virtualNow()), "10.9.9.9:7")
		}
		n.Handle([]byte("hello"), address(1))
		wg.Wait()
		require.Empty(t, n.asks)
		require.Zero(t, n.Held())
	})
}
