package sageorders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagelease"
)

// Limits of the service.
const (
	// callTimeout bounds one order; it is far below the longest delay that successors wait out.
	callTimeout = 2 * time.Second
	repeatAfter = time.Minute
	atOnce      = 16
)

// Errors of an order.
var (
	errFenced  = errors.New("engine knows a higher fencing number")
	errRefused = errors.New("engine refused the order")
)

// Config is the configuration in force on this node.
type Config interface {
	// State is nil until there is one.
	State() *sageconfig.State
}

// Service applies orders. Its exported fields are set before Run.
type Service struct {
	Config Config
	Lease  *sagelease.Elector
	// Candidate reports whether this node may take the lease; a few of all nodes suffice, and each
	// candidate costs the store a read a step. Nil means yes.
	IsCandidate func() bool
	HTTP        *http.Client
	Log         sagelog.Logger

	applied map[string]applied
}

// applied is the newest order that an engine confirmed to this holder.
type applied struct {
	number  uint64
	fencing uint64
	at      time.Time
}

// wanted is the order in force for one engine.
type wanted struct {
	upstream string
	number   uint64
	address  string
	checks   bool
	order    *sageconfig.Order
}

// body is an order as engines take it.
type body struct {
	Fencing uint64   `json:"fencing"`
	Models  []string `json:"models,omitempty"`
	Role    string   `json:"role,omitempty"`
	Drain   bool     `json:"drain,omitempty"`
}

// Run keeps the lease and applies orders until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.needed() {
			if err := s.Lease.AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
				s.Log.Warn("Can't step the lease.", "err", err)
			}
			s.Apply(ctx, time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.Lease.RenewInterval()):
		}
	}
	return nil
}

// needed reports whether there are orders for this node to care for.
func (s *Service) needed() bool {
	state := s.Config.State()
	return state != nil && len(orders(state)) > 0 && (s.IsCandidate == nil || s.IsCandidate())
}

// Apply sends every order that its engine hasn't confirmed lately, if this node holds the lease.
func (s *Service) Apply(ctx context.Context, now time.Time) {
	state := s.Config.State()
	if state == nil {
		return
	}
	if s.applied == nil {
		s.applied = make(map[string]applied)
	}
	var g errgroup.Group
	g.SetLimit(atOnce)
	for _, w := range orders(state) {
		p, err := s.Lease.Permit(now, w.checks)
		if err != nil {
			continue
		}
		if a := s.applied[w.upstream]; a.number == w.number && a.fencing == p.Fencing && now.Before(a.at.Add(repeatAfter)) {
			continue
		}
		s.applied[w.upstream] = applied{number: w.number, fencing: p.Fencing, at: now}
		g.Go(func() error {
			if err := s.send(ctx, &w); err != nil {
				s.Log.Warn("Can't apply an order.", "upstream", w.upstream, "ticket", w.number, "err", err)
				return fmt.Errorf("%s: %w", w.upstream, err)
			}
			s.Log.Info("Applied an order.", "upstream", w.upstream, "ticket", w.number, "fencing", p.Fencing)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		// Which order failed doesn't matter: all are sent again at the next step.
		s.applied = nil
	}
	if ctx.Err() != nil {
		s.Lease.Relinquish()
	}
}

// orders returns the newest order for each engine.
func orders(state *sageconfig.State) []wanted {
	newest := make(map[string]wanted)
	var names []string
	for _, name := range state.Names(sageconfig.KindOrder) {
		o, ok := state.Order(name)
		if !ok {
			continue
		}
		u, ok := state.Upstream(o.Upstream)
		if !ok || u.Kind != sageconfig.Engine {
			continue
		}
		number := state.TicketNumber(sageconfig.EntryKey{Kind: sageconfig.KindOrder, Name: name})
		old, had := newest[o.Upstream]
		if !had {
			names = append(names, o.Upstream)
		}
		if !had || number > old.number {
			newest[o.Upstream] = wanted{upstream: o.Upstream, number: number, address: u.Address, checks: u.ChecksFencing, order: o}
		}
	}
	out := make([]wanted, 0, len(names))
	for _, n := range names {
		out = append(out, newest[n])
	}
	return out
}

// send sends one order.
//
// It guards against an order that goes out after the lease: the process may have been paused since
// the permit was given. So the lease is looked at again, and the call ends with it.
func (s *Service) send(ctx context.Context, w *wanted) error {
	now := time.Now()
	p, err := s.Lease.Permit(now, w.checks)
	if err != nil {
		return fmt.Errorf("permit: %w", err)
	}
	by := now.Add(callTimeout)
	if p.Until.Before(by) {
		by = p.Until
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	b, err := json.Marshal(&body{Fencing: p.Fencing, Models: w.order.Models, Role: w.order.Role, Drain: w.order.Drain})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.address+"/v1/orders", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("make order: %w", err)
	}
	// A silent repeat on a broken connection would be sent after the lease was looked at.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	res, err := s.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	switch {
	case res.StatusCode == http.StatusConflict:
		s.Lease.Relinquish()
		return errFenced
	case res.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("status %d: %w", res.StatusCode, errRefused)
	}
	return nil
}
