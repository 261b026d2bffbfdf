package sagemesh

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sagefresh"
)

// listSource is a store whose lists are set by the test.
type listSource struct {
	mu    sync.Mutex
	page  sagefollow.Page
	delta sagefollow.Delta
}

func (s *listSource) List(context.Context, string, string) (sagefollow.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.page, nil
}

func (s *listSource) Watch(ctx context.Context, _ string, since uint64, _ time.Duration) (sagefollow.Delta, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delta.AsOf <= since {
		return sagefollow.Delta{AsOf: since}, ctx.Err()
	}
	return s.delta, nil
}

func (s *listSource) ResetConnections() {}

// Prevents peers without content from getting an encoded copy of before a change.
func TestEncodedCopyFollowsContent(t *testing.T) {
	const objects = 50
	src := &listSource{page: sagefollow.Page{AsOf: 70}}
	for _, c := range delta(objects).Changes {
		src.page.Changes = append(src.page.Changes, sagefollow.Change{Object: c.Object})
	}
	f := &sagefollow.Follower{
		Kind: "k", Source: src, MaxStaleness: 100 * time.Millisecond, Rank: func(bool) int { return 0 }, Apply: func([]sagefollow.Change, bool) {},
		StoreProof: new(sagefresh.Proof),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = f.Run(ctx) })
	mux := http.NewServeMux()
	Copies{"k": f}.Handle(mux, 20)
	srv := httptest.NewServer(mux)
	defer srv.Close()
	fetch := func(since uint64) sagefollow.Delta {
		d, err := (&Fetcher{HTTP: srv.Client()}).Fetch(t.Context(), strings.TrimPrefix(srv.URL, "http://"), "k", sagefollow.Point{Revision: since})
		require.NoError(t, err)
		return d
	}
	require.Eventually(t, func() bool { return f.AsOf() == 70 }, 20*time.Second, time.Millisecond)
	for range 3 {
		require.Len(t, fetch(0).Changes, objects)
	}
	src.mu.Lock()
	src.delta = sagefollow.Delta{AsOf: 90, Changes: []sagefollow.Change{{Object: sagefollow.Object{Name: "new", Revision: 90}}}}
	src.mu.Unlock()
	require.Eventually(t, func() bool { return f.AsOf() == 90 }, 20*time.Second, time.Millisecond)
	got := fetch(0)
	require.True(t, got.Full)
	require.Len(t, got.Changes, objects+1)
	require.Equal(t, src.delta.Changes, fetch(70).Changes)
	require.GreaterOrEqual(t, f.Position().ContentRevision, uint64(90))
}

// Prevents a node with a slow link from sending many copies at a time, and one with a fast link from refusing most peers.
func TestConcurrentCopiesFollowTheLink(t *testing.T) {
	for _, tt := range []struct{ mbps, want int }{{0, 4}, {20, 4}, {100, 4}, {200, 8}, {1000, 40}} {
		require.Equal(t, tt.want, MaxConcurrentCopies(tt.mbps), fmt.Sprint(tt.mbps))
	}
}

// Prevents a fetch from a peer that has stalled from blocking the next one.
func TestStalledFetchFails(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"full":true,"changes":[`))
		w.(http.Flusher).Flush()
		<-release
	}))
	defer srv.Close()
	defer close(release)
	f := &Fetcher{HTTP: srv.Client(), StallTimeout: 20 * time.Millisecond}
	_, err := f.Fetch(t.Context(), strings.TrimPrefix(srv.URL, "http://"), "k", sagefollow.Point{})
	require.Error(t, err)
}
