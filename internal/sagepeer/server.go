package sagepeer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagelog"
)

// Limits of a node's listener for calls of other nodes.
const (
	maxCallBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	stopTimeout    = 2 * time.Second
)

// Mountable is a twirp server: a handler that knows its path.
type Mountable interface {
	http.Handler
	PathPrefix() string
}

// Server answers the calls of other nodes. Its fields are set, and its services mounted, before Run.
type Server struct {
	Listener net.Listener
	Key      string
	TLS      *tls.Config
	Log      sagelog.Logger

	mux   http.ServeMux
	bytes atomic.Int64
	// requests counts the connections of services mounted apart.
	requests atomic.Int64
	parts    map[string]*part
}

// part counts the calls of one service and the bytes of their bodies.
type part struct {
	calls, bytes atomic.Int64
}

// MountApart adds a service whose traffic belongs to callers' requests, not to coordination: it
// counts to [Server.RequestBytes]. With TLS it counts to [Server.Bytes] like any other.
func (s *Server) MountRequestService(m Mountable) { s.mount(m, countedApart(m, &s.requests)) }

// Mount adds a service.
func (s *Server) Mount(m Mountable) { s.mount(m, m) }

func (s *Server) mount(m Mountable, h http.Handler) {
	if s.parts == nil {
		s.parts = make(map[string]*part)
	}
	p := new(part)
	s.parts[m.PathPrefix()] = p
	s.mux.Handle(m.PathPrefix(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil // nobody reads it, and it is longer than many answers
		p.calls.Add(1)
		p.bytes.Add(max(0, r.ContentLength))
		h.ServeHTTP(&countedWriter{ResponseWriter: w, bytes: &p.bytes}, r)
	}))
}

// Export adds the calls and body bytes of each service to the metrics of the node.
func (s *Server) Export(set *metrics.Set) {
	for prefix, p := range s.parts {
		set.NewGauge(fmt.Sprintf("sagestand_peer_calls_total{service=%q}", prefix), func() float64 { return float64(p.calls.Load()) })
		set.NewGauge(fmt.Sprintf("sagestand_peer_body_bytes_total{service=%q}", prefix), func() float64 { return float64(p.bytes.Load()) })
	}
}

// countedWriter counts the bytes of an answer's body.
type countedWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

// Write implements [http.ResponseWriter].
func (w *countedWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.bytes.Add(int64(n))
	return n, err
}

// Bytes returns how many bytes the listener has read and written, but for [Server.RequestBytes].
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// RequestBytes returns how many bytes the connections of services mounted apart have carried.
func (s *Server) RequestBytes() int64 { return s.requests.Load() }

// Run serves until ctx ends, then finishes the calls in hand.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           http.MaxBytesHandler(RequireKey(s.Key, &s.mux), maxCallBytes),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
	}
	var l net.Listener = &countedListener{Listener: s.Listener, bytes: &s.bytes}
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if err := srv.Shutdown(stop); err != nil {
			_ = srv.Close()
		}
	}()
	s.Log.Info("Listening.", "address", s.Listener.Addr())
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return fmt.Errorf("serve peers: %w", err)
	}
	<-done
	return nil
}

// RequireKey passes on only requests that carry the key as a bearer token.
func RequireKey(key string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(got))
		if !ok || subtle.ConstantTimeCompare(sum[:], want[:]) != 1 {
			http.Error(w, `{"outcome":"not_run","reason":"unauthorized"}`, http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
