// Package sagechaos runs a fleet of real processes under mixed load while routers are killed, suspended
// and restarted at the same address and the platform fails, and checks the outcomes that callers
// received.
//
// A request in flight through a killed router breaks off, and its caller notices. These results are
// violations: a truncated response that looks complete, a response to another request, a booking that
// ran twice, the outcome not_run for a booking that ran, and complete for one that didn't run.
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

// ErrGuaranteeViolated reports a wrong response, a booking that ran twice, or a wrong outcome of a
// booking.
var ErrGuaranteeViolated = errors.New("guarantee violated")

// Size of the fleet and the load, and the duration of each fault and of the interval between faults.
const (
	engines        = 6
	chatCallers    = 16
	bookingCallers = 8
	faultInterval  = 700 * time.Millisecond
	downtime       = 300 * time.Millisecond
	freezeDuration = 1500 * time.Millisecond
	outageDuration = time.Second
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
	// Progress receives one line for each fault; nil discards them.
	Progress io.Writer

	fleet *sagefleet.Fleet
	sum   Summary
}

func (r *Run) logf(format string, args ...any) {
	if r.Progress != nil {
		_, _ = fmt.Fprintf(r.Progress, "chaos: "+format+"\n", args...)
	}
}

// Do runs the load and the faults. It returns the summary together with [ErrGuaranteeViolated] if a
// guarantee was violated.
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
		ChatCallers: chatCallers, BookingCallers: bookingCallers, Seed: r.Seed, Until: r.Until,
	}
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- r.injectFaults(ctx) }()
	r.sum.Tally = load.Run(ctx)
	if err := <-faultsDone; err != nil {
		return r.sum, fmt.Errorf("chaos: %w", err)
	}
	executions, err := r.fleet.Executions(ctx)
	if err != nil {
		return r.sum, fmt.Errorf("chaos: %w", err)
	}
	r.sum.Audit = load.Audit(executions)
	return r.sum, r.sum.check()
}

// check returns [ErrGuaranteeViolated] if a guarantee was violated or no request was completed. Lost
// requests are no violation: their callers noticed that they broke off.
func (s *Summary) check() error {
	if violations := s.WrongAnswers + s.ExecutedTwice + s.FalseNotRun + s.FalseComplete; violations == 0 && s.Complete > 0 {
		return nil
	}
	return fmt.Errorf("complete %d, wrong %d, executed twice %d, false not run %d, false complete %d: %w", s.Complete, s.WrongAnswers, s.ExecutedTwice, s.FalseNotRun, s.FalseComplete, ErrGuaranteeViolated)
}

// injectFaults injects one fault after another, and repairs each, until the run is over.
func (r *Run) injectFaults(ctx context.Context) error {
	for round := 0; ; round++ {
		if !r.sleep(ctx, faultInterval) {
			return nil
		}
		node := round % len(r.fleet.Nodes)
		var err error
		switch round % 3 {
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

// sleep waits for d and reports whether the run continues.
func (r *Run) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return time.Now().Before(r.Until)
	}
}

// kill kills a router and starts a new process at its address.
func (r *Run) kill(ctx context.Context, node int) error {
	p := r.fleet.Nodes[node]
	r.logf("killing %s", p.Name)
	if err := p.Kill(); err != nil {
		return err
	}
	r.sum.Kills++
	r.sleep(ctx, downtime)
	if err := p.Start(); err != nil {
		return err
	}
	return p.WaitReady(ctx)
}

// freeze suspends a router for freezeDuration.
func (r *Run) freeze(ctx context.Context, node int) error {
	p := r.fleet.Nodes[node]
	r.logf("freezing %s", p.Name)
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	r.sum.Freezes++
	r.sleep(ctx, freezeDuration)
	return p.Signal(syscall.SIGCONT)
}

// storeOutage makes the platform first lose the responses of some writes after carrying them out, then
// refuse all requests.
func (r *Run) storeOutage(ctx context.Context) error {
	r.logf("platform outage")
	r.sum.Outages++
	lostAnswers := sagestandin.Fault{Op: "put", Kind: sagestandin.FaultLostAnswer, Rate: 0.3}
	storeOut := sagestandin.Fault{Kind: sagestandin.FaultOutage}
	for _, f := range [][]sagestandin.Fault{{lostAnswers}, {storeOut}, {}} {
		if err := sagefleet.SetFaults(ctx, r.fleet.Layout.Platform, sagestandin.FaultPlan{Seed: r.Seed, Faults: f}); err != nil {
			return err
		}
		if len(f) > 0 {
			r.sleep(ctx, outageDuration)
		}
	}
	return nil
}
