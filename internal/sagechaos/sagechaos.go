// Package sagechaos runs a fleet of real processes under mixed load while routers are killed,
// frozen and replaced at their address and the platform fails, and judges what callers were told.
//
// A request in flight through a killed router breaks off; its caller sees that. What must not happen:
// an answer that looks whole and is not, a foreign answer, a booking run twice, a "not run" for a
// booking that ran, a "complete" for one that did not.
//
// # Usage
//
//	c := &sagechaos.Run{Sagestand: "bin/sagestand", Sagebench: "bin/sagebench", Until: until}
//	sum, err := c.Do(ctx)
package sagechaos

import (
	"context"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/internal/sageworkload"
)

// ErrGuaranteeViolated reports that a promise was broken.
var ErrGuaranteeViolated = errors.New("a promise was broken")

// Shape of the run.
const (
	engines  = 6
	chats    = 16
	bookers  = 8
	gap      = 700 * time.Millisecond
	downtime = 300 * time.Millisecond
	frozen   = 1500 * time.Millisecond
	outage   = time.Second
)

var dataCentres = []string{"derby", "leicester", "nottingham"}

// Summary is the result of a run.
type Summary struct {
	sageworkload.Tally
	sageworkload.Audit
	Kills   int `json:"kills"`
	Freezes int `json:"freezes"`
	Outages int `json:"outages"`
}

// Run is one run. Its fields are set before Do.
type Run struct {
	Sagestand string
	Sagebench string
	// Routers is the number of routers, at least 2.
	Routers int
	Until   time.Time
	Seed    int64
	// Progress takes a line for each fault; nil for none.
	Progress io.Writer

	fleet *sagefleet.Fleet
	sum   Summary
}

func (r *Run) say(format string, args ...any) {
	if r.Progress != nil {
		_, _ = fmt.Fprintf(r.Progress, "chaos: "+format+"\n", args...)
	}
}

// Do runs the load and the faults. It returns [ErrGuaranteeViolated], with the summary, if a promise was broken.
func (r *Run) Do(ctx context.Context) (Summary, error) {
	dir, err := os.MkdirTemp("", "sagestand-chaos")
	if err != nil {
		return r.sum, fmt.Errorf("chaos: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l := sagefleet.NewLayout(r.Routers, engines, dataCentres)
	r.fleet = &sagefleet.Fleet{Layout: l, Sagestand: r.Sagestand, Sagebench: r.Sagebench, Dir: dir}
	defer r.fleet.Stop()
	if err := r.fleet.Start(ctx); err != nil {
		return r.sum, fmt.Errorf("chaos: %w", err)
	}
	load := &sageworkload.Load{
		Entries: l.Entries(), Key: sagefleet.AccountKey, Model: sagefleet.Model, Service: sagefleet.ServiceRoute,
		ChatCallers: chats, BookingCallers: bookers, Seed: r.Seed, Until: r.Until,
	}
	faults := make(chan error, 1)
	go func() { faults <- r.faults(ctx) }()
	r.sum.Tally = load.Run(ctx)
	if err := <-faults; err != nil {
		return r.sum, fmt.Errorf("chaos: %w", err)
	}
	n, err := r.fleet.Executions(ctx)
	if err != nil {
		return r.sum, fmt.Errorf("chaos: %w", err)
	}
	r.sum.Audit = load.Audit(n)
	return r.sum, r.sum.check()
}

// check returns [ErrGuaranteeViolated] if a promise was broken. Lost requests are those that broke off in
// sight of their callers.
func (s *Summary) check() error {
	if bad := s.WrongAnswers + s.ExecutedTwice + s.FalseNotRun + s.FalseComplete; bad == 0 && s.Complete > 0 {
		return nil
	}
	return fmt.Errorf("complete %d, wrong %d, executed twice %d, false not run %d, false complete %d: %w", s.Complete, s.WrongAnswers, s.ExecutedTwice, s.FalseNotRun, s.FalseComplete, ErrGuaranteeViolated)
}

// faults breaks one thing after another while the load goes on, and mends each.
func (r *Run) faults(ctx context.Context) error {
	for n := 0; ; n++ {
		if !r.wait(ctx, gap) {
			return nil
		}
		node := n % len(r.fleet.Nodes)
		var err error
		switch n % 3 {
		case 0:
			err = r.kill(ctx, node)
		case 1:
			err = r.freeze(ctx, node)
		case 2:
			err = r.storeOutage(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// wait reports false when the run is over.
func (r *Run) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return time.Now().Before(r.Until)
	}
}

// kill ends a router without notice and starts another one at its address.
func (r *Run) kill(ctx context.Context, node int) error {
	p := r.fleet.Nodes[node]
	r.say("killing %s", p.Name)
	if err := p.Kill(); err != nil {
		return err
	}
	r.sum.Kills++
	r.wait(ctx, downtime)
	if err := p.Start(); err != nil {
		return err
	}
	return p.WaitReady(ctx)
}

// freeze stops a router in the middle of its work for a while.
func (r *Run) freeze(ctx context.Context, node int) error {
	p := r.fleet.Nodes[node]
	r.say("freezing %s", p.Name)
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	r.sum.Freezes++
	r.wait(ctx, frozen)
	return p.Signal(syscall.SIGCONT)
}

// storeOutage makes the platform refuse everything, and lose some answers after their effect.
func (r *Run) storeOutage(ctx context.Context) error {
	r.say("platform out")
	r.sum.Outages++
	lost := sagestandin.Fault{Op: "put", Kind: sagestandin.FaultLostAnswer, Rate: 0.3}
	out := sagestandin.Fault{Kind: sagestandin.FaultOutage}
	for _, f := range [][]sagestandin.Fault{{lost}, {out}, {}} {
		if err := sagefleet.SetFaults(ctx, r.fleet.Layout.Platform, sagestandin.FaultPlan{Seed: r.Seed, Faults: f}); err != nil {
			return err
		}
		if len(f) > 0 {
			r.wait(ctx, outage)
		}
	}
	return nil
}
