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
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// Errors of this package.
var (
	ErrUnknownScenario   = errors.New("unknown scenario")
	ErrGuaranteeViolated = errors.New("guarantee violated")
)

// Scenario names the event that a run injects under load.
type Scenario string

// The scenarios.
const (
	ScenarioExit  Scenario = "exit"
	ScenarioChurn Scenario = "churn"
)

// Size of the fleet and the load, and the times of a run.
const (
	routers        = 3
	engines        = 6
	chatCallers    = 24
	bookingCallers = 4
	phaseDuration  = 6 * time.Second // one phase each before, during and after the exit
	// inForceDelay is how long after the ticket a data centre may still begin work.
	inForceDelay    = 4 * time.Second
	downtime        = 500 * time.Millisecond
	restartInterval = 3 * time.Second
	// loadTimeout limits a request for an engine's load report.
	loadTimeout = 2 * time.Second
)

var dataCentres = []string{"derby", "leicester", "nottingham"}

// Summary is the result of a run.
type Summary struct {
	Scenario Scenario `json:"scenario"`
	sageworkload.Tally
	sageworkload.Audit
	// Kills counts the engines killed and started again.
	Kills int `json:"kills"`
	// BegunInForce is the number of requests that the data centre had begun inForceDelay after it was
	// taken out of service, BegunAtReturn the number just before its return.
	BegunInForce  uint64 `json:"begun_when_in_force"`
	BegunAtReturn uint64 `json:"begun_at_return"`
}

// Check returns [ErrGuaranteeViolated] if a response was wrong, a booking ran twice, a booking's
// outcome was wrong, a data centre out of service began new work, or no request was completed.
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

// Do starts the fleet and runs the load with the scenario. It returns the summary together with an
// error that wraps [ErrGuaranteeViolated] if a guarantee was violated.
func (r *Run) Do(ctx context.Context) (Summary, error) {
	runScenario, ok := map[Scenario]func(context.Context) error{ScenarioExit: r.runExit, ScenarioChurn: r.runChurn}[r.Scenario]
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
		ChatCallers: chatCallers, BookingCallers: bookingCallers, Seed: r.Seed, Until: time.Now().Add(3 * phaseDuration),
	}
	scenarioDone := make(chan error, 1)
	go func() { scenarioDone <- runScenario(ctx) }()
	r.sum.Scenario, r.sum.Tally = r.Scenario, load.Run(ctx)
	if err := <-scenarioDone; err != nil {
		return r.sum, fmt.Errorf("confirm: %w", err)
	}
	executions, err := r.fleet.Executions(ctx)
	if err != nil {
		return r.sum, fmt.Errorf("confirm: %w", err)
	}
	r.sum.Audit = load.Audit(executions)
	return r.sum, r.sum.Check()
}

// runExit takes the first data centre out of service for one phase.
func (r *Run) runExit(ctx context.Context) error {
	outAt, backAt := time.Now().Add(phaseDuration), time.Now().Add(2*phaseDuration)
	sageclock.Sleep(ctx, time.Until(outAt))
	if err := r.fleet.Submit(ctx, 0, sagefleet.DataCentreTicket(2, dataCentres[0], false)); err != nil {
		return fmt.Errorf("exit: %w", err)
	}
	sageclock.Sleep(ctx, time.Until(outAt.Add(inForceDelay)))
	var err error
	if r.sum.BegunInForce, err = r.countBegun(ctx); err != nil {
		return err
	}
	sageclock.Sleep(ctx, time.Until(backAt))
	if r.sum.BegunAtReturn, err = r.countBegun(ctx); err != nil {
		return err
	}
	if err := r.fleet.Submit(ctx, 0, sagefleet.DataCentreTicket(3, dataCentres[0], true)); err != nil {
		return fmt.Errorf("return: %w", err)
	}
	return nil
}

// countBegun returns the number of requests that the engines of the first data centre have begun.
func (r *Run) countBegun(ctx context.Context) (uint64, error) {
	var total uint64
	for _, u := range r.fleet.Layout.Upstreams {
		if u.DataCentre != dataCentres[0] || u.Kind != sageconfig.Engine {
			continue
		}
		rep, err := fetchLoadReport(ctx, u.Address)
		if err != nil {
			return 0, fmt.Errorf("load of %s: %w", u.Name, err)
		}
		total += rep.Completed + uint64(rep.InFlight)
	}
	return total, nil
}

func fetchLoadReport(ctx context.Context, address string) (*sageload.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
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

// runChurn kills the engines in turn and restarts each with an empty cache.
func (r *Run) runChurn(ctx context.Context) error {
	end := time.Now().Add(3*phaseDuration - restartInterval)
	for n := 0; ; n++ {
		sageclock.Sleep(ctx, restartInterval)
		if ctx.Err() != nil || time.Now().After(end) {
			return nil
		}
		p := r.fleet.Upstreams[n%engines]
		if err := p.Kill(); err != nil {
			return fmt.Errorf("kill %s: %w", p.Name, err)
		}
		r.sum.Kills++
		sageclock.Sleep(ctx, downtime)
		if err := p.Start(); err != nil {
			return fmt.Errorf("start %s: %w", p.Name, err)
		}
	}
}
