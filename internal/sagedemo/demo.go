package sagedemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagenode"
	"sagestand.example/sagestand/internal/sageoperator"
	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/internal/sageworkload"
	"sagestand.example/sagestand/pkg/sageconfig"
)

// ErrBroken reports that a promise was broken: an answer lost or crossed, a booking run twice.
var ErrBroken = errors.New("a promise was broken")

// Shape of the demo.
const (
	routers    = 3
	engines    = 6
	chats      = 24
	bookers    = 6
	seed       = 1
	readyLimit = 15 * time.Second
	sampleGap  = 20 * time.Millisecond
)

var dataCentres = []string{"derby", "leicester", "nottingham"}

// Summary is the result of a demo.
type Summary struct {
	sageworkload.Tally
	sageworkload.Audit
	CacheReuse            float64 `json:"cache_reuse"`
	LoadSkew              float64 `json:"load_skew"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// Demo runs the system under load until an instant. Its exported fields are set before Run.
type Demo struct {
	Until time.Time
	// Progress takes a line for each thing that happens; nil for none.
	Progress io.Writer
	// Log takes the nodes' logs; nil for none.
	Log io.Writer

	layout  *sagefleet.Layout
	engines []*sagestandin.Engine
	apps    []*sagestandin.Application
	nodes   []*sagenode.Node
	servers []*http.Server
}

func (d *Demo) say(format string, args ...any) {
	if d.Progress != nil {
		_, _ = fmt.Fprintf(d.Progress, "demo: "+format+"\n", args...)
	}
}

// Run runs the demo. It returns [ErrBroken], with the summary, if a promise was broken.
func (d *Demo) Run(ctx context.Context) (Summary, error) {
	dir, err := os.MkdirTemp("", "sagestand-demo")
	if err != nil {
		return Summary{}, fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d.layout = sagefleet.NewLayout(routers, engines, dataCentres)
	if err := d.layout.WriteKeys(dir); err != nil {
		return Summary{}, fmt.Errorf("demo: %w", err)
	}
	defer d.closeServers()
	if err := d.startStandins(); err != nil {
		return Summary{}, fmt.Errorf("demo: %w", err)
	}
	stop, err := d.startNodes(ctx)
	if err != nil {
		return Summary{}, fmt.Errorf("demo: %w", err)
	}
	sum, err := d.measure(ctx)
	d.say("stopping the routers")
	if serr := stop(); err == nil && serr != nil {
		err = serr
	}
	return sum, err
}

func (d *Demo) startStandins() error {
	if err := d.serve(d.layout.Platform, (&sagestandin.Platform{WritesPerSecond: 400, ReadsPerSecond: 2000}).Handler()); err != nil {
		return err
	}
	for _, u := range d.layout.Upstreams {
		var h http.Handler
		if u.Kind == sageconfig.Engine {
			e := &sagestandin.Engine{Name: u.Name, Slots: 16, CacheTokens: 20000, TokenMicros: 500, PromptMicros: 20, ReportLagMillis: 300, EventLag: 16, ChecksFencing: true}
			d.engines = append(d.engines, e)
			h = e.Handler()
		} else {
			a := &sagestandin.Application{Name: u.Name}
			d.apps = append(d.apps, a)
			h = a.Handler()
		}
		if err := d.serve(u.Address, h); err != nil {
			return err
		}
	}
	d.say("platform, %d engines and %d applications are up", len(d.engines), len(d.apps))
	return nil
}

func (d *Demo) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readyLimit}
	d.servers = append(d.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return nil
}

func (d *Demo) closeServers() {
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// startNodes starts the routers and submits the first ticket. The returned function stops them.
func (d *Demo) startNodes(ctx context.Context) (stop func() error, err error) {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	ends := make([]error, len(d.layout.Nodes))
	stop = func() error {
		cancel()
		wg.Wait()
		return errors.WithMessage(firstError(ends), "stop")
	}
	log := sagelog.Logger{}
	for i, s := range d.layout.Nodes {
		if d.Log != nil {
			log = sagelog.New(d.Log, s.Node.Name)
		}
		n := &sagenode.Node{Settings: s, Log: log}
		if err := n.Open(); err != nil {
			_ = stop()
			return nil, err
		}
		d.nodes = append(d.nodes, n)
		wg.Go(func() { ends[i] = n.Run(run) })
	}
	if err := d.submit(ctx, d.layout.FirstTicket(1)); err != nil {
		_ = stop()
		return nil, err
	}
	if err := d.waitReady(ctx); err != nil {
		_ = stop()
		return nil, err
	}
	d.say("%d routers are ready, ticket 1 is in force", len(d.nodes))
	return stop, nil
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) submit(ctx context.Context, t *sageconfig.Ticket) error {
	c := &sageoperator.Client{URL: "http://" + d.layout.Nodes[0].Listen.Operator, Key: sagefleet.OperatorKey, HTTP: http.DefaultClient}
	return c.Submit(ctx, t)
}

func (d *Demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, n := range d.nodes {
		for n.Ready() != nil {
			select {
			case <-ctx.Done():
				return fmt.Errorf("router not ready: %w", n.Ready())
			case <-time.After(sampleGap):
			}
		}
	}
	return nil
}

// measure runs the load with the exit and the return of a data centre in the middle.
func (d *Demo) measure(ctx context.Context) (Summary, error) {
	start := time.Now()
	load := &sageworkload.Load{
		Entries: d.layout.Entries(), Key: sagefleet.AccountKey, Model: sagefleet.Model, Service: sagefleet.ServiceRoute,
		Chats: chats, Bookers: bookers, Seed: seed, Until: d.Until,
	}
	before := d.controlBytes()
	var skew skew
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { d.sample(&skew, done) })
	wg.Go(func() { d.exitAndReturn(ctx, start) })
	tally := load.Run(ctx)
	close(done)
	wg.Wait()
	sum := Summary{Tally: tally, Audit: load.Audit(d.executions()), CacheReuse: tally.CacheReuse(), LoadSkew: skew.mean()}
	sum.ControlBytesPerSecond = float64(d.controlBytes()-before) / time.Since(start).Seconds() / float64(len(d.nodes))
	return sum, sum.check()
}

// check returns [ErrBroken] if a promise was broken.
func (s *Summary) check() error {
	bad := s.Lost + s.Wrong + s.ExecutedTwice + s.FalseNotRun + s.FalseComplete
	if bad == 0 && s.Complete > 0 {
		return nil
	}
	return fmt.Errorf("lost %d, wrong %d, executed twice %d, false not run %d, false complete %d: %w", s.Lost, s.Wrong, s.ExecutedTwice, s.FalseNotRun, s.FalseComplete, ErrBroken)
}

// exitAndReturn takes the second data centre out after a third of the time and back after two.
func (d *Demo) exitAndReturn(ctx context.Context, start time.Time) {
	third := d.Until.Sub(start) / 3
	for i, inService := range []bool{false, true} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(i+1) * third))):
		}
		if err := d.submit(ctx, sagefleet.ServiceTicket(uint64(i+2), dataCentres[1], inService)); err != nil {
			d.say("ticket %d was not accepted: %v", i+2, err)
			continue
		}
		d.say("ticket %d: data centre %s in service: %v", i+2, dataCentres[1], inService)
	}
}

func (d *Demo) executions() map[string]int {
	m := make(map[string]int)
	for _, a := range d.apps {
		for k, e := range a.Executions() {
			m[k] += e.Count
		}
	}
	return m
}

func (d *Demo) controlBytes() int64 {
	var n int64
	for _, node := range d.nodes {
		n += node.ControlBytes()
	}
	return n
}
