package sageentry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagesettings"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sagewire"
)

// idleTimeout is how long an idle connection of a caller is kept.
const idleTimeout = 2 * time.Minute

// Service serves callers. Its exported fields are set before Run.
type Service struct {
	Listener  net.Listener
	Config    Config
	Admission Admission
	Claims    Claims
	Placement Placement
	Retries   Retries
	Dispatch  Dispatch
	Locator   Locator
	Leaver    Leaver
	Recorder  Recorder
	Limits    sagesettings.Limits
	Stop      sagesettings.Stop
	Log       sagelog.Logger

	accounts accounts
	inFlight atomic.Int64
}

// InFlight returns how many requests are being served.
func (s *Service) InFlight() int64 { return s.inFlight.Load() }

// Handler returns the callers' HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	mux.HandleFunc("/v1/services/{route}/{rest...}", s.service)
	mux.HandleFunc("GET /v1/locate", s.locate)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, uuid.NewString(), sagewire.Refuse(sagewire.ReasonNoRoute, "nothing at "+r.Method+" "+r.URL.Path, time.Time{}))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		mux.ServeHTTP(w, r)
	})
}

// locate tells a caller which entry addresses to use.
func (s *Service) locate(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	now := time.Now()
	if ref := s.Config.Serving(now, true); ref != nil {
		writeRefusal(w, id, ref)
		return
	}
	account, ok := s.accounts.find(s.Config.State(), bearer(r.Header))
	if !ok {
		writeRefusal(w, id, sagewire.Refuse(sagewire.ReasonUnauthorized, "no client account has this key", time.Time{}))
		return
	}
	q := r.URL.Query()
	a, ref := s.Locator.Locate(now, sagelocate.Query{Account: account, Chat: q.Get("chat"), DataCentre: q.Get("data_centre")})
	if ref != nil {
		writeRefusal(w, id, ref)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(&a)
}

// Run serves until ctx ends, then stops gracefully: it announces that the node leaves, serves on
// while kept locate answers may still name it, and lets running requests finish until the deadline.
func (s *Service) Run(ctx context.Context) error {
	base, cut := context.WithCancel(context.Background())
	defer cut()
	srv := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: millis(s.Limits.HeaderMillis),
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		s.stop(srv, cut)
	}()
	s.Log.Info("Listening.", "address", s.Listener.Addr())
	if err := srv.Serve(s.Listener); err != http.ErrServerClosed {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-stopped
	return nil
}

// stop is the graceful stop. Requests that still run at its deadline are cut, and the log says so.
func (s *Service) stop(srv *http.Server, cut context.CancelFunc) {
	now := time.Now()
	by := now.Add(millis(s.Stop.WithinMillis))
	until := s.Leaver.Leave(now)
	s.Log.Info("Leaving.", "serve_until", until, "stop_by", by, "in_flight", s.InFlight())
	time.Sleep(time.Until(until))
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	err := srv.Shutdown(ctx)
	if err == nil {
		s.Log.Info("All requests finished.")
		return
	}
	s.Log.Warn("Cutting requests at the stop deadline.", "in_flight", s.InFlight(), "stop_by", by)
	cut()
	last, cancelLast := context.WithTimeout(context.Background(), time.Second)
	defer cancelLast()
	if err := srv.Shutdown(last); err != nil {
		_ = srv.Close()
	}
}
