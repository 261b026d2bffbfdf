// Package sagepath checks the whole way of a request with real processes: stand-ins and routers are
// started, a caller locates an entry address, sends chats and a booking, and verifies each answer
// and the application's own count of executions.
//
// # Usage
//
//	c := &sagepath.Check{Sagestand: "bin/sagestand", Sagebench: "bin/sagebench"}
//	steps, err := c.Run(ctx, func(s sagepath.Step) { fmt.Println(s.Name, s.Verdict(), s.Detail) })
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

// ErrStepFailed reports that a step did not end as it must.
var ErrStepFailed = errors.New("step failed")

// limit bounds the whole check.
const limit = 60 * time.Second

// Step is one step of the check and how it ended.
type Step struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail"`
}

// Verdict returns "ok" or "FAIL".
func (s Step) Status() string {
	if s.OK {
		return "ok"
	}
	return "FAIL"
}

// Check runs the path. The programs' paths are set before Run.
type Check struct {
	Sagestand string
	Sagebench string

	fleet  *sagefleet.Fleet
	caller *sagecaller.Caller
}

// Run runs every step until one fails, and tells each as it ends.
func (c *Check) Run(ctx context.Context, tell func(Step)) ([]Step, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
		{"chat", c.chat}, {"stream", c.stream}, {"booking", c.booking}, {"repeat", c.repeat}, {"refusal", c.refusal}, {"burn", c.burn}, {"stop", c.stop},
	} {
		detail, err := s.run(ctx)
		step := Step{Name: s.name, OK: err == nil, Detail: detail}
		if err != nil {
			step.Detail = err.Error()
		}
		steps = append(steps, step)
		tell(step)
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

// complete turns anything but the whole right answer into an error.
func complete(e sagecaller.Result) error {
	switch {
	case e.Err != nil:
		return fmt.Errorf("lost: %v: %w", e.Err, ErrStepFailed)
	case e.Mismatch != "":
		return fmt.Errorf("wrong answer: %s: %w", e.Mismatch, ErrStepFailed)
	case e.Refusal != nil:
		return fmt.Errorf("%v: %w", e.Refusal, ErrStepFailed)
	case e.Outcome != sagewire.Complete:
		return fmt.Errorf("outcome %q: %w", e.Outcome, ErrStepFailed)
	}
	return nil
}

func (c *Check) chat(ctx context.Context) (string, error) {
	e := c.caller.Chat(ctx, &sagestandin.ChatRequest{Model: sagefleet.Model, Messages: messages("Is batch 17 cleared?")}, sagecaller.Options{ChatID: "chat-1", Priority: sagewire.Urgent})
	return fmt.Sprintf("whole answer of %s by way of %s", e.Upstream, e.Entry), complete(e)
}

func (c *Check) stream(ctx context.Context) (string, error) {
	e := c.caller.Chat(ctx, &sagestandin.ChatRequest{Model: sagefleet.Model, Messages: messages("And batch 18?"), Stream: true, MaxTokens: 40}, sagecaller.Options{ChatID: "chat-1"})
	return fmt.Sprintf("whole stream of %s, %d of %d prompt tokens cached", e.Upstream, e.CachedTokens, e.PromptTokens), complete(e)
}

// bookingKey is the idempotency key that booking and repeat share.
var bookingKey = uuid.Must(uuid.NewV7()).String()

func (c *Check) booking(ctx context.Context) (string, error) {
	e := c.caller.Service(ctx, http.MethodPost, sagefleet.ServiceRoute+"/reservations", []byte(`{"batch":17,"meters":4}`), sagecaller.Options{IdempotencyKey: bookingKey})
	if err := complete(e); err != nil {
		return "", err
	}
	return "reserved by " + e.Upstream, c.executedOnce(ctx)
}

func (c *Check) repeat(ctx context.Context) (string, error) {
	e := c.caller.Service(ctx, http.MethodPost, sagefleet.ServiceRoute+"/reservations", []byte(`{"batch":17,"meters":4}`), sagecaller.Options{IdempotencyKey: bookingKey})
	if e.Outcome != sagewire.AlreadyRun {
		return "", fmt.Errorf("outcome %q, want already_run: %w", e.Outcome, ErrStepFailed)
	}
	return "the repeat did not run", c.executedOnce(ctx)
}

// executedOnce asks the applications how often they ran the booking.
func (c *Check) executedOnce(ctx context.Context) error {
	n, err := c.fleet.Executions(ctx)
	if err != nil {
		return err
	}
	if n[bookingKey] != 1 {
		return fmt.Errorf("the booking ran %d times: %w", n[bookingKey], ErrStepFailed)
	}
	return nil
}

func (c *Check) refusal(ctx context.Context) (string, error) {
	e := c.caller.Chat(ctx, &sagestandin.ChatRequest{Model: "no-such-model", Messages: messages("Hello?")}, sagecaller.Options{ChatID: "chat-2"})
	if e.Outcome != sagewire.NotRun || e.Refusal == nil || e.Refusal.Reason != sagewire.ReasonNoRoute {
		return "", fmt.Errorf("outcome %q, %v, want not_run: no_route: %w", e.Outcome, e.Refusal, ErrStepFailed)
	}
	b, err := json.Marshal(e.Refusal)
	return string(b), err
}

// burn asks one router for the report over all of them.
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
