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
	"sagestand.example/sagestand/pkg/sagedrain"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sagewire"
)

// idleTimeout is how long an idle connection of a caller is kept open.
const idleTimeout = 2 * time.Minute

// Service serves callers. Its exported fields must be set before Run.
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

	accounts  accounts
	inFlight  atomic.Int64
	closing   atomic.Pointer[sagedrain.Closing] // set while the node is leaving
	durations sagedrain.Durations
	sent      sentRequests
	progress  sagedrain.Progress
}

// InFlight returns the number of requests being served.
func (s *Service) InFlight() int64 { return s.inFlight.Load() }

// Handler returns the HTTP interface for callers.
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

// locate responds with the entry addresses that a caller should use.
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

// Run serves until ctx ends, then stops gracefully: it announces that the node is leaving, keeps
// serving while locate responses that callers have kept may still name the node, and lets running
// requests finish until the stop deadline.
func (s *Service) Run(ctx context.Context) error {
	baseCtx, cancelRequests := context.WithCancel(context.Background())
	defer cancelRequests()
	srv := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: millis(s.Limits.HeaderMillis),
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return baseCtx },
	}
	go s.recordProgress(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		s.stop(srv, cancelRequests)
	}()
	s.Log.Info("Listening.", "address", s.Listener.Addr())
	if err := srv.Serve(s.Listener); err != http.ErrServerClosed {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-stopped
	return nil
}

// recordProgress records that the process runs until ctx ends.
func (s *Service) recordProgress(ctx context.Context) {
	t := time.NewTicker(sagedrain.ProgressInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.progress.Record(time.Now())
		}
	}
}

// stop performs the graceful stop. It aborts the requests that still run at the deadline and logs their
// number.
func (s *Service) stop(srv *http.Server, cancelRequests context.CancelFunc) {
	now := time.Now()
	stopBy := now.Add(millis(s.Stop.WithinMillis))
	serveUntil := s.Leaver.Leave(now)
	// The process may be killed as long after the signal as its stop may take, also if it has handled the signal late.
	s.setClosing(serveUntil, s.progress.EarliestSignal(now).Add(millis(s.Stop.WithinMillis)))
	s.Log.Info("Leaving.", "serve_until", serveUntil, "stop_by", stopBy, "in_flight", s.InFlight())
	time.Sleep(time.Until(serveUntil))
	ctx, cancel := context.WithDeadline(context.Background(), stopBy)
	defer cancel()
	err := srv.Shutdown(ctx)
	if err == nil {
		s.Log.Info("All requests finished.")
		return
	}
	s.Log.Warn("Cutting requests at the stop deadline.", "in_flight", s.InFlight(), "stop_by", stopBy)
	cancelRequests()
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), time.Second)
	defer cancelFinal()
	if err := srv.Shutdown(finalCtx); err != nil {
		_ = srv.Close()
	}
}
