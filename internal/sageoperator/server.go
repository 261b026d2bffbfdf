package sageoperator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/pkg/sageconfig"
)

// Limits of the operators' listener.
const (
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	writeTimeout   = time.Minute
	stopTimeout    = 2 * time.Second
)

// Server serves the operators' interface. Its fields must be set, and other handlers added, before Run.
type Server struct {
	Listener net.Listener
	Key      string
	TLS      *tls.Config
	Tickets  Tickets
	// Ready returns nil if this node is ready, and otherwise the reason why it isn't.
	Ready func() error
	// Status returns the response of GET /v1/status, which is encoded as JSON.
	Status  func() any
	State   func() *sageconfig.State
	Metrics *metrics.Set
	Log     sagelog.Logger

	protected http.ServeMux
}

// Handle registers a handler that requires the operators' key. The pattern must be below /v1/ and has the syntax of
// [http.ServeMux].
func (s *Server) Handle(pattern string, h http.Handler) { s.protected.Handle(pattern, h) }

// handler returns the handler for all paths.
func (s *Server) handler() http.Handler {
	s.protected.HandleFunc("POST /v1/tickets", s.submit)
	s.protected.HandleFunc("GET /v1/tickets", s.history)
	s.protected.HandleFunc("GET /v1/tickets/{number}", s.ticketStatus)
	s.protected.HandleFunc("GET /v1/things/{kind}/{name}", s.entry)
	s.protected.HandleFunc("GET /v1/debug/profile", pprof.Profile)
	s.protected.HandleFunc("GET /v1/debug/heap", pprof.Handler("heap").ServeHTTP)
	s.protected.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, s.Status()) })
	mux := http.NewServeMux()
	mux.Handle("/v1/", sagepeer.RequireKey(s.Key, &s.protected))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return http.MaxBytesHandler(mux, sageconfig.MaxTicketBytes+1)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// Problem is the body of error responses.
type Problem struct {
	Problem string `json:"problem"`
	// Outcome is the outcome of a submitted ticket. It is empty in responses to other requests.
	Outcome Outcome `json:"outcome,omitempty"`
}

// WriteJSON writes a response with the status code and v encoded as JSON.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) entry(w http.ResponseWriter, r *http.Request) {
	key := sageconfig.EntryKey{Kind: sageconfig.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if err := key.Check(); err != nil {
		WriteJSON(w, http.StatusBadRequest, Problem{Problem: err.Error()})
		return
	}
	st := s.State()
	if st == nil {
		WriteJSON(w, http.StatusServiceUnavailable, Problem{Problem: "this node holds no configuration yet"})
		return
	}
	e, ok := st.Get(key)
	if !ok {
		WriteJSON(w, http.StatusNotFound, Problem{Problem: "no ticket has touched " + key.String()})
		return
	}
	WriteJSON(w, http.StatusOK, e)
}

// Run serves requests until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	l := s.Listener
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
		return fmt.Errorf("serve operators: %w", err)
	}
	<-done
	return nil
}
