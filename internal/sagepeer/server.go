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

// Limits of the server.
const (
	maxCallBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	stopTimeout    = 2 * time.Second
)

// Mountable is a handler with a path prefix, such as a generated twirp server.
type Mountable interface {
	http.Handler
	PathPrefix() string
}

// Server serves the calls of other nodes. Its fields must be set, and its services mounted, before Run.
type Server struct {
	Listener net.Listener
	Key      string
	TLS      *tls.Config
	Log      sagelog.Logger

	mux   http.ServeMux
	bytes atomic.Int64
	// requestBytes counts the bytes on connections to services mounted with MountRequestService.
	requestBytes atomic.Int64
	services     map[string]*serviceCounters
}

// serviceCounters counts the calls of one service and the bytes of their request and response bodies.
type serviceCounters struct {
	calls, bytes atomic.Int64
}

// MountRequestService registers a service whose calls are part of handling callers' requests. Its traffic is counted
// in [Server.RequestBytes] and not in [Server.Bytes]. With TLS it is counted in [Server.Bytes], because the counting
// connection is then hidden by the TLS connection.
func (s *Server) MountRequestService(m Mountable) { s.mount(m, countAsRequests(m, &s.requestBytes)) }

// Mount registers a service.
func (s *Server) Mount(m Mountable) { s.mount(m, m) }

func (s *Server) mount(m Mountable, h http.Handler) {
	if s.services == nil {
		s.services = make(map[string]*serviceCounters)
	}
	p := new(serviceCounters)
	s.services[m.PathPrefix()] = p
	s.mux.Handle(m.PathPrefix(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil // unused, and longer than many responses
		p.calls.Add(1)
		p.bytes.Add(max(0, r.ContentLength))
		h.ServeHTTP(&countingWriter{ResponseWriter: w, bytes: &p.bytes}, r)
	}))
}

// Export registers gauges for the calls and body bytes of each service.
func (s *Server) Export(set *metrics.Set) {
	for prefix, p := range s.services {
		set.NewGauge(fmt.Sprintf("sagestand_peer_calls_total{service=%q}", prefix), func() float64 { return float64(p.calls.Load()) })
		set.NewGauge(fmt.Sprintf("sagestand_peer_body_bytes_total{service=%q}", prefix), func() float64 { return float64(p.bytes.Load()) })
	}
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

// Write implements [http.ResponseWriter].
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.bytes.Add(int64(n))
	return n, err
}

// Bytes returns the number of bytes read and written by the server, excluding [Server.RequestBytes].
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// RequestBytes returns the number of bytes read and written on connections to services mounted with
// MountRequestService.
func (s *Server) RequestBytes() int64 { return s.requestBytes.Load() }

// Run serves calls until ctx ends, and then waits up to stopTimeout for calls in progress.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           http.MaxBytesHandler(RequireKey(s.Key, &s.mux), maxCallBytes),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
	}
	var l net.Listener = &countingListener{Listener: s.Listener, bytes: &s.bytes}
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

// RequireKey returns a handler that rejects requests without the key as a bearer token.
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
