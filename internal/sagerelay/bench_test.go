package sagerelay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"sagestand.example/sagestand/internal/sagesse"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageroute"
)

func BenchmarkForwardEvent(b *testing.B) {
	w := httptest.NewRecorder()
	j := &job{w: w}
	flush := http.NewResponseController(w)
	event := "id: 1\ndata: " + strings.Repeat("x", 52) + "\n\n"
	b.ReportAllocs()
	for b.Loop() {
		r := &sagesse.Reader{R: bufio.NewReaderSize(strings.NewReader(event), streamBufferBytes), MaxEventBytes: maxEventBytes}
		e, err := r.Next()
		if err != nil {
			b.Fatal(err)
		}
		if err := j.forwardEvent(e, flush); err != nil {
			b.Fatal(err)
		}
		w.Body.Reset()
	}
}

func BenchmarkHoldsForeign(b *testing.B) {
	x := &exchange{j: &job{s: &Service{Dialect: testDialect{}}, meta: RequestMetadata{ID: "id2"}}, conn: connUse{reused: true}}
	for _, c := range []struct{ name, body string }{
		{"event", "id: 1\ndata: " + strings.Repeat("x", 52) + "\n\n"},
		{"body", strings.Repeat("x", maxPlainResponseBytes)},
		{"heads", strings.Repeat("HTTP/1.1 200 OK\r\n\r\n", maxPlainResponseBytes/19)},
	} {
		body := []byte(c.body)
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				x.holdsForeign(body)
			}
		})
	}
}

// BenchmarkExchange measures a small request over real connections: directly, and over a peer. Both nodes and the upstream
// run in this process, so that the difference is what a hop costs both nodes together.
func BenchmarkExchange(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testID, r.Header.Get(testID))
		w.Header().Set(testSeal, "s")
		_, _ = w.Write(make([]byte, 800)) // fails only if the node has disconnected
	}))
	defer up.Close()
	for _, path := range []sagereach.PathState{sagereach.Open, sagereach.Lost} {
		b.Run(map[sagereach.PathState]string{sagereach.Open: "direct", sagereach.Lost: "over_a_peer"}[path], func(b *testing.B) {
			helper, node := benchFleet(b, up.Listener.Addr().String()), benchFleet(b, up.Listener.Addr().String())
			h := helper.service()
			h.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) { return helper.realDial(ctx) }
			peers := httptest.NewServer(http.HandlerFunc(h.ServeRelayed))
			defer peers.Close()
			node.path, node.helpers = path, []string{"peer"}
			s := node.service()
			s.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) { return node.realDial(ctx) }
			s.peers.once = sync.Once{}
			s.peers.once.Do(func() {
				s.peers.init(func(ctx context.Context, network, _ string) (net.Conn, error) {
					return new(net.Dialer).DialContext(ctx, network, peers.Listener.Addr().String())
				})
			})
			entry := httptest.NewServer(s)
			defer entry.Close()
			for b.Loop() {
				req, err := http.NewRequest(http.MethodGet, entry.URL, nil)
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "h.example"
				req.Header.Set(testID, "id1")
				req.Header.Set(testKey, "good")
				res, err := http.DefaultClient.Do(req)
				if err != nil || res.StatusCode != http.StatusOK {
					b.Fatal(res, err)
				}
				_, _ = io.Copy(io.Discard, res.Body) // checked by its status
				_ = res.Body.Close()
			}
		})
	}
}

// benchFleet returns a fleet with one upstream at a real address.
func benchFleet(b *testing.B, address string) *fakeFleet {
	b.Helper()
	t, err := sageroute.New(1, []sageroute.Route{testRoute(sageroute.Idempotent)}, nil, []sageroute.Account{{Name: "acc", Keys: []string{"good"}}}, sageroute.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	return &fakeFleet{table: t, names: []string{"u"}, retryBudget: 10, realDial: func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}}
}
