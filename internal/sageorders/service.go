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
	// callTimeout limits the sending of one order. It is far below the Elector's MaxDeliveryDelay, which a new
	// holder waits out.
	callTimeout    = 2 * time.Second
	resendInterval = time.Minute
	maxConcurrent  = 16
)

// Errors returned by send.
var (
	errFenced  = errors.New("engine has seen a higher fencing number")
	errRefused = errors.New("engine refused the order")
)

// Config is the configuration in force on this node.
type Config interface {
	// State is nil until there is one.
	State() *sageconfig.State
}

// Service sends orders to engines. Its exported fields must be set before Run.
type Service struct {
	Config Config
	Lease  *sagelease.Elector
	// IsCandidate reports whether this node may acquire the lease. Nil means that it may. A few candidates in the
	// fleet suffice, and each of them reads the lease from the store in every renewal interval.
	IsCandidate func() bool
	HTTP        *http.Client
	Log         sagelog.Logger

	sent map[string]sentOrder
}

// sentOrder identifies the order last sent to an engine, and the time at which it was sent.
type sentOrder struct {
	number  uint64
	fencing uint64
	at      time.Time
}

// desiredOrder is the order in force for an engine.
type desiredOrder struct {
	upstream      string
	number        uint64
	address       string
	checksFencing bool
	order         *sageconfig.Order
}

// orderBody is the request body of an order.
type orderBody struct {
	Fencing uint64   `json:"fencing"`
	Models  []string `json:"models,omitempty"`
	Role    string   `json:"role,omitempty"`
	Drain   bool     `json:"drain,omitempty"`
}

// Run acquires or renews the lease and sends orders until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.hasWork() {
			if err := s.Lease.AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
				s.Log.Warn("Can't acquire or renew the lease.", "err", err)
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

// hasWork reports whether there are orders and this node is a candidate for sending them.
func (s *Service) hasWork() bool {
	state := s.Config.State()
	return state != nil && len(newestOrders(state)) > 0 && (s.IsCandidate == nil || s.IsCandidate())
}

// Apply sends each order that is new, or was last sent more than resendInterval ago or under another fencing number,
// if this node holds the lease.
func (s *Service) Apply(ctx context.Context, now time.Time) {
	state := s.Config.State()
	if state == nil {
		return
	}
	if s.sent == nil {
		s.sent = make(map[string]sentOrder)
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for _, w := range newestOrders(state) {
		p, err := s.Lease.Permit(now, w.checksFencing)
		if err != nil {
			continue
		}
		if a := s.sent[w.upstream]; a.number == w.number && a.fencing == p.Fencing && now.Before(a.at.Add(resendInterval)) {
			continue
		}
		s.sent[w.upstream] = sentOrder{number: w.number, fencing: p.Fencing, at: now}
		g.Go(func() error {
			if err := s.send(ctx, &w); err != nil {
				s.Log.Warn("Can't send an order.", "upstream", w.upstream, "ticket", w.number, "err", err)
				return fmt.Errorf("%s: %w", w.upstream, err)
			}
			s.Log.Info("Order sent.", "upstream", w.upstream, "ticket", w.number, "fencing", p.Fencing)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		// Resend all orders in the next renewal interval, whichever of them failed.
		s.sent = nil
	}
	if ctx.Err() != nil {
		s.Lease.Relinquish()
	}
}

// newestOrders returns the order with the highest ticket number for each engine.
func newestOrders(state *sageconfig.State) []desiredOrder {
	newest := make(map[string]desiredOrder)
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
		previous, had := newest[o.Upstream]
		if !had {
			names = append(names, o.Upstream)
		}
		if !had || number > previous.number {
			newest[o.Upstream] = desiredOrder{upstream: o.Upstream, number: number, address: u.Address, checksFencing: u.ChecksFencing, order: o}
		}
	}
	out := make([]desiredOrder, 0, len(names))
	for _, n := range names {
		out = append(out, newest[n])
	}
	return out
}

// send sends one order.
//
// The process may have been paused since Apply checked the lease. To prevent sending an order after the lease has
// expired, send checks the lease again and limits the call to the time that remains.
func (s *Service) send(ctx context.Context, w *desiredOrder) error {
	now := time.Now()
	p, err := s.Lease.Permit(now, w.checksFencing)
	if err != nil {
		return fmt.Errorf("permit: %w", err)
	}
	deadline := now.Add(callTimeout)
	if p.Until.Before(deadline) {
		deadline = p.Until
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	b, err := json.Marshal(&orderBody{Fencing: p.Fencing, Models: w.order.Models, Role: w.order.Role, Drain: w.order.Drain})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.address+"/v1/orders", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	// Disable the automatic retry of net/http on a broken connection, which would bypass the lease check.
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
