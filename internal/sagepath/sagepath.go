// Package sagepath checks the path of a request end to end with real processes. It starts stand-ins and
// routers, locates an entry address, sends chats and a booking, and checks each response and the
// application's count of executions.
//
// # Usage
//
//	c := &sagepath.Check{Sagestand: "bin/sagestand", Sagebench: "bin/sagebench"}
//	steps, err := c.Run(ctx, func(s sagepath.Step) { fmt.Println(s.Name, s.Status(), s.Detail) })
package sagepath

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageburnd"
	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrStepFailed reports that a step did not give the expected result.
var ErrStepFailed = errors.New("step failed")

// checkTimeout limits the whole check.
const checkTimeout = 60 * time.Second

// Step is the result of one step of the check.
type Step struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail"`
}

// Status returns "ok" or "FAIL".
func (s Step) Status() string {
	if s.OK {
		return "ok"
	}
	return "FAIL"
}

// Check is one run of the check. The paths of the programs are set before Run.
type Check struct {
	Sagestand string
	Sagebench string

	fleet  *sagefleet.Fleet
	caller *sagecaller.Caller
}

// Run runs the steps in order until one fails, and calls report after each.
func (c *Check) Run(ctx context.Context, report func(Step)) ([]Step, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "sagestand-path")
	if err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l := sagefleet.NewLayout(3, 3, []string{"derby"})
	c.fleet = &sagefleet.Fleet{Layout: l, Sagestand: c.Sagestand, Sagebench: c.Sagebench, Dir: dir}
	defer c.fleet.Stop()
	c.caller = &sagecaller.Caller{Entries: l.Entries(), Key: sagefleet.AccountKey, HTTP: &http.Client{}}
	var steps []Step
	for _, s := range []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"standins", c.startStandins}, {"routers", c.startRouters}, {"ticket", c.firstTicket}, {"locate", c.locate},
		{"chat", c.chat}, {"stream", c.stream}, {"declines", c.declines}, {"booking", c.booking}, {"repeat", c.repeat}, {"refusal", c.refusal}, {"burn", c.burn}, {"stop", c.stop},
	} {
		detail, err := s.run(ctx)
		step := Step{Name: s.name, OK: err == nil, Detail: detail}
		if err != nil {
			step.Detail = err.Error()
		}
		steps = append(steps, step)
		report(step)
		if err != nil {
			return steps, fmt.Errorf("path: %s: %w", s.name, err)
		}
	}
	return steps, nil
}

func (c *Check) startStandins(ctx context.Context) (string, error) {
	err := c.fleet.StartStandins(ctx)
	return fmt.Sprintf("platform and %d upstreams are up", len(c.fleet.Upstreams)), err
}

func (c *Check) startRouters(ctx context.Context) (string, error) {
	err := c.fleet.StartNodes(ctx)
	return fmt.Sprintf("%d routers are up", len(c.fleet.Nodes)), err
}

func (c *Check) firstTicket(ctx context.Context) (string, error) {
	if err := c.fleet.Submit(ctx, 0, c.fleet.Layout.FirstTicket(1)); err != nil {
		return "", err
	}
	for _, p := range c.fleet.Nodes {
		if err := p.WaitReady(ctx); err != nil {
			return "", err
		}
	}
	return "ticket 1 is in force on every router", nil
}

func (c *Check) locate(ctx context.Context) (string, error) {
	addrs, err := c.caller.Locate(ctx, "chat-1")
	return fmt.Sprintf("connect to %v", addrs), err
}

func messages(text string) []sagestandin.Message {
	return []sagestandin.Message{{Role: "system", Content: "You check meter batches for Trentvale."}, {Role: "user", Content: text}}
}

// requireComplete returns an error unless the result is a complete and correct response.
func requireComplete(result sagecaller.Result) error {
	switch {
	case result.Err != nil:
		return fmt.Errorf("no outcome received: %v: %w", result.Err, ErrStepFailed)
	case result.Mismatch != "":
		return fmt.Errorf("wrong response: %s: %w", result.Mismatch, ErrStepFailed)
	case result.Refusal != nil:
		return fmt.Errorf("%v: %w", result.Refusal, ErrStepFailed)
	case result.Outcome != sagewire.Complete:
		return fmt.Errorf("outcome %q: %w", result.Outcome, ErrStepFailed)
	}
	return nil
}

func (c *Check) chat(ctx context.Context) (string, error) {
	result := c.caller.Chat(ctx, &sagestandin.ChatRequest{Model: sagefleet.Model, Messages: messages("Is batch 17 cleared?")}, sagecaller.Options{ChatID: "chat-1", Priority: sagewire.Urgent})
	return fmt.Sprintf("complete response of %s through %s", result.Upstream, result.Entry), requireComplete(result)
}

func (c *Check) stream(ctx context.Context) (string, error) {
	result := c.caller.Chat(ctx, &sagestandin.ChatRequest{Model: sagefleet.Model, Messages: messages("And batch 18?"), Stream: true, MaxTokens: 40}, sagecaller.Options{ChatID: "chat-1"})
	return fmt.Sprintf("complete stream of %s, %d of %d prompt tokens cached", result.Upstream, result.CachedTokens, result.PromptTokens), requireComplete(result)
}

// declinedChats is the number of chats sent while an engine declines everything. It exceeds the retries that a router
// may use without first requests.
const declinedChats = 60

// declines checks that no chat is refused while one engine declines all requests at once and without Retry-After.
func (c *Check) declines(ctx context.Context) (string, error) {
	engine := c.fleet.Layout.Upstreams[0]
	set := func(faults ...sagestandin.Fault) error {
		return sagefleet.SetFaults(ctx, engine.Address, sagestandin.FaultPlan{Faults: faults})
	}
	if err := set(sagestandin.Fault{Kind: sagestandin.FaultNotRun}); err != nil {
		return "", err
	}
	for i := range declinedChats {
		result := c.caller.Chat(ctx, &sagestandin.ChatRequest{Model: sagefleet.Model, Messages: messages("Is batch 19 cleared?")}, sagecaller.Options{ChatID: fmt.Sprint("declined-", i)})
		if err := requireComplete(result); err != nil {
			return "", fmt.Errorf("chat %d: %w", i, err)
		}
	}
	return fmt.Sprintf("%d chats complete while %s declines", declinedChats, engine.Name), set()
}

// bookingKey is the idempotency key that the steps booking and repeat share.
var bookingKey = uuid.Must(uuid.NewV7()).String()

func (c *Check) booking(ctx context.Context) (string, error) {
	result := c.caller.Service(ctx, http.MethodPost, sagefleet.ServiceRoute+"/reservations", []byte(`{"batch":17,"meters":4}`), sagecaller.Options{IdempotencyKey: bookingKey})
	if err := requireComplete(result); err != nil {
		return "", err
	}
	return "reserved by " + result.Upstream, c.executedOnce(ctx)
}

func (c *Check) repeat(ctx context.Context) (string, error) {
	result := c.caller.Service(ctx, http.MethodPost, sagefleet.ServiceRoute+"/reservations", []byte(`{"batch":17,"meters":4}`), sagecaller.Options{IdempotencyKey: bookingKey})
	if result.Outcome != sagewire.AlreadyRun {
		return "", fmt.Errorf("outcome %q, want already_run: %w", result.Outcome, ErrStepFailed)
	}
	return "the repeat did not run", c.executedOnce(ctx)
}

// executedOnce checks that the applications ran the booking exactly once.
func (c *Check) executedOnce(ctx context.Context) error {
	executions, err := c.fleet.Executions(ctx)
	if err != nil {
		return err
	}
	if executions[bookingKey] != 1 {
		return fmt.Errorf("the booking ran %d times: %w", executions[bookingKey], ErrStepFailed)
	}
	return nil
}

func (c *Check) refusal(ctx context.Context) (string, error) {
	result := c.caller.Chat(ctx, &sagestandin.ChatRequest{Model: "no-such-model", Messages: messages("Hello?")}, sagecaller.Options{ChatID: "chat-2"})
	if result.Outcome != sagewire.NotRun || result.Refusal == nil || result.Refusal.Reason != sagewire.ReasonNoRoute {
		return "", fmt.Errorf("outcome %q, %v, want not_run: no_route: %w", result.Outcome, result.Refusal, ErrStepFailed)
	}
	b, err := json.Marshal(result.Refusal)
	return string(b), err
}

// burn asks one router for the burn report, which covers all routers.
func (c *Check) burn(ctx context.Context) (string, error) {
	var rep sageburnd.Report
	if err := c.fleet.Operator(0).Do(ctx, http.MethodGet, "/v1/report/burn", nil, &rep); err != nil {
		return "", err
	}
	if rep.Nodes != len(c.fleet.Nodes) || len(rep.Lines) == 0 {
		return "", fmt.Errorf("report of %d nodes with %d lines, missing %v: %w", rep.Nodes, len(rep.Lines), rep.Missing, ErrStepFailed)
	}
	return fmt.Sprintf("%d lines from %d routers", len(rep.Lines), rep.Nodes), nil
}

func (c *Check) stop(ctx context.Context) (string, error) {
	for _, p := range c.fleet.Nodes {
		if err := p.Terminate(ctx); err != nil {
			return "", fmt.Errorf("%s: %w", p.Name, err)
		}
	}
	return "every router stopped gracefully", nil
}
