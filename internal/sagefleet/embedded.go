package sagefleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagenode"
	"sagestand.example/sagestand/internal/sageoperator"
	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sageconfig"
)

// Embedded runs a layout inside the current process, on loopback. Layout, NewEngine and Log are set
// before Start, which sets the other exported fields.
type Embedded struct {
	Layout *Layout
	// NewEngine returns the stand-in for the engine of the given name; nil means [DefaultEngine].
	NewEngine func(name string) *sagestandin.Engine
	// Log receives the nodes' logs; nil discards them.
	Log io.Writer

	Platform     *sagestandin.Platform
	Engines      []*sagestandin.Engine
	Applications []*sagestandin.Application
	Nodes        []*sagenode.Node

	dir     string
	servers []*http.Server
	cancel  context.CancelFunc
	running sync.WaitGroup
	runErrs []error
}

// DefaultEngine returns a fast engine without faults.
func DefaultEngine(name string) *sagestandin.Engine {
	return &sagestandin.Engine{
		Name: name, Slots: engineSlots, CacheTokens: 20000, TokenMicros: 500, PromptMicros: 20,
		ReportLagMillis: 300, EventLag: 16, ChecksFencing: true,
	}
}

// Start starts stand-ins and routers, submits the first ticket and waits until every node is ready.
func (e *Embedded) Start(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "sagestand-embedded")
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	e.dir = dir
	if err := e.start(ctx); err != nil {
		_ = e.Stop()
		return fmt.Errorf("start: %w", err)
	}
	return nil
}

func (e *Embedded) start(ctx context.Context) error {
	if err := e.Layout.WriteKeys(e.dir); err != nil {
		return err
	}
	if err := e.startStandins(); err != nil {
		return err
	}
	if err := e.startNodes(ctx); err != nil {
		return err
	}
	if err := e.Submit(ctx, 0, e.Layout.FirstTicket(1)); err != nil {
		return err
	}
	return e.waitReady(ctx)
}

func (e *Embedded) startStandins() error {
	e.Platform = &sagestandin.Platform{WritesPerSecond: 400, ReadsPerSecond: 2000}
	if err := e.serve(e.Layout.Platform, e.Platform.Handler()); err != nil {
		return err
	}
	engine := e.NewEngine
	if engine == nil {
		engine = DefaultEngine
	}
	for _, u := range e.Layout.Upstreams {
		var h http.Handler
		if u.Kind == sageconfig.Engine {
			x := engine(u.Name)
			e.Engines = append(e.Engines, x)
			h = x.Handler()
		} else {
			a := &sagestandin.Application{Name: u.Name}
			e.Applications = append(e.Applications, a)
			h = a.Handler()
		}
		if err := e.serve(u.Address, h); err != nil {
			return err
		}
	}
	return nil
}

func (e *Embedded) serve(addr string, h http.Handler) error {
	srv, err := serve(addr, h)
	if err == nil {
		e.servers = append(e.servers, srv)
	}
	return err
}

// serve serves h at addr in the background until the server is closed.
func serve(addr string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	go func() { _ = srv.Serve(l) }()
	return srv, nil
}

func (e *Embedded) startNodes(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	e.runErrs = make([]error, len(e.Layout.Nodes))
	for i, s := range e.Layout.Nodes {
		var log sagelog.Logger
		if e.Log != nil {
			log = sagelog.New(e.Log, s.Node.Name)
		}
		n := &sagenode.Node{Settings: s, Log: log}
		if err := n.Open(); err != nil {
			return err
		}
		e.Nodes = append(e.Nodes, n)
		e.running.Go(func() { e.runErrs[i] = n.Run(runCtx) })
	}
	return nil
}

func (e *Embedded) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range e.Nodes {
		for n.Ready() != nil {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%v: %w", n.Ready(), ErrNotReady)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Operator returns a client of a node's operator interface.
func (e *Embedded) Operator(node int) *sageoperator.Client { return operatorClient(e.Layout, node) }

// Submit submits a ticket to one node.
func (e *Embedded) Submit(ctx context.Context, node int, t *sageconfig.Ticket) error {
	return e.Operator(node).Submit(ctx, t)
}

// Executions returns how often the applications ran each idempotency key in total.
func (e *Embedded) Executions() map[string]int {
	m := make(map[string]int)
	for _, a := range e.Applications {
		for k, x := range a.Executions() {
			m[k] += x.Count
		}
	}
	return m
}

// ControlBytes returns the total control traffic of all nodes so far.
func (e *Embedded) ControlBytes() int64 {
	var n int64
	for _, node := range e.Nodes {
		n += node.ControlBytes()
	}
	return n
}

// ClaimBytes returns the total claim traffic of all nodes so far.
func (e *Embedded) ClaimBytes() int64 {
	var n int64
	for _, node := range e.Nodes {
		n += node.ClaimBytes()
	}
	return n
}

// Stop stops the nodes gracefully, then the stand-ins, and returns the error of the first node that
// failed.
func (e *Embedded) Stop() error {
	if e.cancel != nil {
		e.cancel()
	}
	e.running.Wait()
	for _, s := range e.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(e.dir)
	for _, err := range e.runErrs {
		if err != nil {
			return fmt.Errorf("stop: %w", err)
		}
	}
	return nil
}
