package sageconfirm

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sageworkload"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// Errors of this package.
var (
	ErrUnknownScenario   = errors.New("unknown scenario")
	ErrGuaranteeViolated = errors.New("a promise was broken")
)

// Scenario names what happens under the load.
type Scenario string

// The scenarios.
const (
	ScenarioExit  Scenario = "exit"
	ScenarioChurn Scenario = "churn"
)

// Shape of a run.
const (
	routers = 3
	engines = 6
	chats   = 24
	bookers = 4
	phase   = 6 * time.Second // before, during and after an exit
	// inForce is how long after the ticket a left data centre may still begin work.
	inForce  = 4 * time.Second
	downtime = 500 * time.Millisecond
	flapGap  = 3 * time.Second
	probe    = 2 * time.Second
)

var dataCentres = []string{"derby", "leicester", "nottingham"}

// Summary is the result of a run.
type Summary struct {
	Scenario Scenario `json:"scenario"`
	sageworkload.Tally
	sageworkload.Audit
	// Kills counts the engines killed and started again.
	Kills int `json:"kills"`
	// Before counts the requests that the left data centre had begun when inForce was over, After when
	// it was about to return.
	BegunInForce  uint64 `json:"begun_when_in_force"`
	BegunAtReturn uint64 `json:"begun_at_return"`
}

// Check returns [ErrGuaranteeViolated] if a caller got a wrong answer, a booking ran twice, or a data centre
// out of service began new work.
func (s *Summary) Check() error {
	if s.WrongAnswers+s.ExecutedTwice+s.FalseNotRun+s.FalseComplete > 0 || s.Complete == 0 {
		return fmt.Errorf("complete %d, wrong %d, executed twice %d, false not run %d, false complete %d: %w",
			s.Complete, s.WrongAnswers, s.ExecutedTwice, s.FalseNotRun, s.FalseComplete, ErrGuaranteeViolated)
	}
	if s.BegunAtReturn != s.BegunInForce {
		return fmt.Errorf("%d requests begun in a data centre out of service: %w", s.BegunAtReturn-s.BegunInForce, ErrGuaranteeViolated)
	}
	return nil
}

// Run is one run. Its fields are set before Do.
type Run struct {
	Scenario  Scenario
	Sagestand string
	Sagebench string
	Seed      int64

	fleet *sagefleet.Fleet
	sum   Summary
}

// Do starts the fleet, runs the load with the scenario and returns what came of it, with an error
// that wraps [ErrGuaranteeViolated] if a promise was broken.
func (r *Run) Do(ctx context.Context) (Summary, error) {
	steps, ok := map[Scenario]func(context.Context) error{ScenarioExit: r.exit, ScenarioChurn: r.churn}[r.Scenario]
	if !ok {
		return r.sum, fmt.Errorf("confirm %q: %w", r.Scenario, ErrUnknownScenario)
	}
	dir, err := os.MkdirTemp("", "sagestand-confirm")
	if err != nil {
		return r.sum, fmt.Errorf("confirm: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l := sagefleet.NewLayout(routers, engines, dataCentres)
	r.fleet = &sagefleet.Fleet{Layout: l, Sagestand: r.Sagestand, Sagebench: r.Sagebench, Dir: dir}
	defer r.fleet.Stop()
	if err := r.fleet.Start(ctx); err != nil {
		return r.sum, fmt.Errorf("confirm: %w", err)
	}
	load := &sageworkload.Load{
		Entries: l.Entries(), Key: sagefleet.AccountKey, Model: sagefleet.Model, Service: sagefleet.ServiceRoute,
		ChatCallers: chats, BookingCallers: bookers, Seed: r.Seed, Until: time.Now().Add(3 * phase),
	}
	failed := make(chan error, 1)
	go func() { failed <- steps(ctx) }()
	r.sum.Scenario, r.sum.Tally = r.Scenario, load.Run(ctx)
	if err := <-failed; err != nil {
		return r.sum, fmt.Errorf("confirm: %w", err)
	}
	n, err := r.fleet.Executions(ctx)
	if err != nil {
		return r.sum, fmt.Errorf("confirm: %w", err)
	}
	r.sum.Audit = load.Audit(n)
	return r.sum, r.sum.Check()
}

// exit takes the first data centre out of service for one phase.
func (r *Run) exit(ctx context.Context) error {
	out, back := time.Now().Add(phase), time.Now().Add(2*phase)
	sleepUntil(ctx, out)
	if err := r.fleet.Submit(ctx, 0, sagefleet.DataCentreTicket(2, dataCentres[0], false)); err != nil {
		return fmt.Errorf("exit: %w", err)
	}
	sleepUntil(ctx, out.Add(inForce))
	var err error
	if r.sum.BegunInForce, err = r.begun(ctx); err != nil {
		return err
	}
	sleepUntil(ctx, back)
	if r.sum.BegunAtReturn, err = r.begun(ctx); err != nil {
		return err
	}
	if err := r.fleet.Submit(ctx, 0, sagefleet.DataCentreTicket(3, dataCentres[0], true)); err != nil {
		return fmt.Errorf("return: %w", err)
	}
	return nil
}

// begun counts the requests that the engines of the first data centre have begun.
func (r *Run) begun(ctx context.Context) (uint64, error) {
	var sum uint64
	for _, u := range r.fleet.Layout.Upstreams {
		if u.DataCentre != dataCentres[0] || u.Kind != sageconfig.Engine {
			continue
		}
		rep, err := report(ctx, u.Address)
		if err != nil {
			return 0, fmt.Errorf("load of %s: %w", u.Name, err)
		}
		sum += rep.Completed + uint64(rep.InFlight)
	}
	return sum, nil
}

func report(ctx context.Context, address string) (*sageload.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, probe)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read load: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	rep := new(sageload.Report)
	if err := json.NewDecoder(res.Body).Decode(rep); err != nil {
		return nil, fmt.Errorf("decode load: %w", err)
	}
	return rep, nil
}

// churn kills one engine after the other and starts it again, cold.
func (r *Run) churn(ctx context.Context) error {
	end := time.Now().Add(3*phase - flapGap)
	for n := 0; ; n++ {
		sleepUntil(ctx, time.Now().Add(flapGap))
		if ctx.Err() != nil || time.Now().After(end) {
			return nil
		}
		p := r.fleet.Upstreams[n%engines]
		if err := p.Kill(); err != nil {
			return fmt.Errorf("kill %s: %w", p.Name, err)
		}
		r.sum.Kills++
		sleepUntil(ctx, time.Now().Add(downtime))
		if err := p.Start(); err != nil {
			return fmt.Errorf("start %s: %w", p.Name, err)
		}
	}
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}
