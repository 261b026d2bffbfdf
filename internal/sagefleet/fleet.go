package sagefleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"

	"sagestand.example/sagestand/internal/sageoperator"
	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sageconfig"
)

// Fleet runs a layout as processes. Its exported fields up to InProcessUpstreams are set before Start,
// which sets the others.
type Fleet struct {
	Layout *Layout
	// Sagestand and Sagebench are the paths of the programs.
	Sagestand string
	Sagebench string
	// Dir is the directory for settings, keys and logs.
	Dir string
	// EngineArgs and PlatformArgs are additional arguments of the stand-ins.
	EngineArgs   []string
	PlatformArgs []string
	// InProcessUpstreams runs engines and applications inside the current process, for fleets with many
	// of them.
	InProcessUpstreams bool

	upstreamServers []*http.Server
	Platform        *Process
	Upstreams       []*Process
	Nodes           []*Process
}

// Start starts the stand-ins and the routers, submits the first ticket and waits until every node is
// ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.StartStandins(ctx); err != nil {
		return err
	}
	if err := f.StartNodes(ctx); err != nil {
		return err
	}
	if err := f.Submit(ctx, 0, f.Layout.FirstTicket(1)); err != nil {
		return fmt.Errorf("first ticket: %w", err)
	}
	for _, p := range f.Nodes {
		if err := p.WaitReady(ctx); err != nil {
			return fmt.Errorf("after the first ticket: %w", err)
		}
	}
	return nil
}

// StartStandins starts the stand-ins for platform, engines and applications and waits until they are
// ready.
func (f *Fleet) StartStandins(ctx context.Context) error {
	f.Platform = f.newStandinProcess("platform", f.Layout.Platform, append([]string{"platform"}, f.PlatformArgs...))
	all := []*Process{f.Platform}
	if f.InProcessUpstreams {
		if err := f.serveUpstreams(); err != nil {
			return err
		}
	}
	for _, u := range f.Layout.Upstreams {
		if f.InProcessUpstreams {
			break
		}
		args := []string{string(u.Kind), "--name", u.Name}
		if u.Kind == sageconfig.Engine {
			args = append(args, "--slots", strconv.Itoa(engineSlots))
			args = append(args, f.EngineArgs...)
		}
		p := f.newStandinProcess(u.Name, u.Address, args)
		f.Upstreams = append(f.Upstreams, p)
		all = append(all, p)
	}
	for _, p := range all {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range all {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// serveUpstreams serves engines and applications inside the current process.
func (f *Fleet) serveUpstreams() error {
	for _, u := range f.Layout.Upstreams {
		h := (&sagestandin.Application{Name: u.Name}).Handler()
		if u.Kind == sageconfig.Engine {
			h = DefaultEngine(u.Name).Handler()
		}
		srv, err := serve(u.Address, h)
		if err != nil {
			return err
		}
		f.upstreamServers = append(f.upstreamServers, srv)
	}
	return nil
}

func (f *Fleet) newStandinProcess(name, addr string, args []string) *Process {
	return &Process{
		Name: name, Program: f.Sagebench, Args: append(append([]string{"standin"}, args...), "--listen", addr),
		ReadyURL: "http://" + addr + "/standin/ready", LogFile: filepath.Join(f.Dir, name+".log"),
	}
}

// StartNodes writes the settings, starts the routers and waits until they are alive. They become ready
// only with the first ticket.
func (f *Fleet) StartNodes(ctx context.Context) error {
	if err := f.Layout.WriteKeys(f.Dir); err != nil {
		return err
	}
	for i := range f.Layout.Nodes {
		p, err := f.newNodeProcess(i)
		if err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	for i, p := range f.Nodes {
		if err := p.waitFor(ctx, "http://"+f.Layout.Nodes[i].Listen.Operator+"/healthz"); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) newNodeProcess(i int) (*Process, error) {
	s := f.Layout.Nodes[i]
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("settings of %s: %w", s.Node.Name, err)
	}
	path := filepath.Join(f.Dir, s.Node.Name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, fmt.Errorf("settings of %s: %w", s.Node.Name, err)
	}
	return &Process{
		Name: s.Node.Name, Program: f.Sagestand, Args: []string{"serve", "--settings", path},
		ReadyURL: "http://" + s.Listen.Operator + "/readyz", LogFile: filepath.Join(f.Dir, s.Node.Name+".log"),
	}, nil
}

// Operator returns a client of a node's operator interface.
func (f *Fleet) Operator(node int) *sageoperator.Client { return operatorClient(f.Layout, node) }

func operatorClient(l *Layout, node int) *sageoperator.Client {
	return &sageoperator.Client{URL: "http://" + l.Nodes[node].Listen.Operator, Key: OperatorKey, HTTP: http.DefaultClient}
}

// Submit submits a ticket to one node.
func (f *Fleet) Submit(ctx context.Context, node int, t *sageconfig.Ticket) error {
	return f.Operator(node).Submit(ctx, t)
}

// Stop kills all processes that are still running and closes the upstreams that run in the current
// process.
func (f *Fleet) Stop() {
	for _, p := range f.Nodes {
		_ = p.Kill()
	}
	for _, p := range f.Upstreams {
		_ = p.Kill()
	}
	for _, srv := range f.upstreamServers {
		_ = srv.Close()
	}
	if f.Platform != nil {
		_ = f.Platform.Kill()
	}
}
