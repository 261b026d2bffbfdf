package sagescale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagecost"
	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagesettings"
	"sagestand.example/sagestand/internal/sagestandin"
)

// ErrMetricMissing reports a node that did not tell a figure.
var ErrMetricMissing = errors.New("node told no such figure")

// Shape of the measurement.
const (
	pollEvery  = 50 * time.Millisecond
	pollAtOnce = 64
	inForceBy  = 30 * time.Second
	between    = time.Second
	tickets    = 5
)

var dataCentres = []string{"dc1", "dc2", "dc3"}

// NodeStats is a figure over all nodes.
type NodeStats struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// Latencies are the times from acceptance to in force over all nodes and tickets, in milliseconds.
type Latencies struct {
	P50 float64 `json:"p50_millis"`
	P99 float64 `json:"p99_millis"`
	Max float64 `json:"max_millis"`
	// Never counts nodes that did not get there within half a minute.
	NotReached int `json:"never"`
}

// Results is the result.
type Results struct {
	Nodes                 int                `json:"nodes"`
	Upstreams             int                `json:"upstreams"`
	ControlBytesPerSecond NodeStats          `json:"control_bytes_per_second"`
	CPUPercent            NodeStats          `json:"cpu_percent"`
	RSSMegabytes          NodeStats          `json:"rss_megabytes"`
	StoreCallsPerSecond   map[string]float64 `json:"store_calls_per_second"`
	InForce               Latencies          `json:"in_force"`
	InForceStoreOut       Latencies          `json:"in_force_store_out"`
}

// Measurement is one measurement. Its fields are set before Run.
type Measurement struct {
	Sagestand string
	Sagebench string
	Nodes     int
	Engines   int
	// GrantMillis is the period of grants and promises of allotments; 0 means the default.
	GrantMillis int
	// Seeds is the number of nodes in the settings' seeds, which are the roster; 0 means all.
	Seeds int
	// Settle is how long the fleet is left alone before figures are taken, in seconds: nodes that have
	// just met tell each other everything.
	SettleSeconds int
	// Seconds is how long figures at rest are taken.
	RestSeconds int

	fleet  *sagefleet.Fleet
	fig    Results
	number uint64
}

// Run starts the fleet and takes all figures.
func (m *Measurement) Run(ctx context.Context) (Results, error) {
	dir, err := os.MkdirTemp("", "sagestand-scale")
	if err != nil {
		return m.fig, fmt.Errorf("scale: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l := sagefleet.NewLayout(m.Nodes, m.Engines, dataCentres)
	for i := range l.Nodes {
		l.Nodes[i].Load = sagesettings.Default().Load // a layout's own are for quick tests
		if m.Seeds > 0 && m.Seeds < m.Nodes {
			l.Nodes[i].Seeds = l.Nodes[i].Seeds[:m.Seeds]
		}
		if m.GrantMillis > 0 {
			l.Nodes[i].Load.GrantMillis, l.Nodes[i].Load.PromiseMillis = m.GrantMillis, m.GrantMillis
		}
	}
	m.fleet = &sagefleet.Fleet{Layout: l, Sagestand: m.Sagestand, Sagebench: m.Sagebench, Dir: dir, InProcessUpstreams: true}
	defer m.fleet.Stop()
	if err := m.fleet.Start(ctx); err != nil {
		return m.fig, fmt.Errorf("scale: %w", err)
	}
	m.number = 1
	m.fig.Nodes, m.fig.Upstreams = m.Nodes, len(l.Upstreams)
	time.Sleep(time.Duration(m.SettleSeconds) * time.Second)
	for _, step := range []func(context.Context) error{m.rest, m.spread, m.spreadStoreOut} {
		if err := step(ctx); err != nil {
			return m.fig, fmt.Errorf("scale: %w", err)
		}
	}
	return m.fig, nil
}

// sample is what one node has used up to an instant.
type sample struct {
	bytes float64
	usage sagecost.Usage
}

func (m *Measurement) sample(ctx context.Context) ([]sample, error) {
	out := make([]sample, m.Nodes)
	for i := range out {
		b, err := metric(ctx, m.fleet.Layout.Nodes[i].Listen.Operator, "sagestand_control_bytes_total")
		if err != nil {
			return nil, err
		}
		u, err := sagecost.ReadUsage(m.fleet.Nodes[i].PID())
		if err != nil {
			return nil, fmt.Errorf("sample: %w", err)
		}
		out[i] = sample{bytes: b, usage: u}
	}
	return out, nil
}

// metric reads one metric of a node.
func metric(ctx context.Context, addr, name string) (float64, error) {
	b, err := get(ctx, "http://"+addr+"/metrics")
	if err != nil {
		return 0, err
	}
	sc := bufio.NewScanner(bytes.NewReader(b))
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), name+" "); ok {
			return strconv.ParseFloat(v, 64)
		}
	}
	return 0, fmt.Errorf("%s of %s: %w", name, addr, ErrMetricMissing)
}

func get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("get: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("get: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	return io.ReadAll(res.Body)
}

// rest takes the figures of nodes that only coordinate.
func (m *Measurement) rest(ctx context.Context) error {
	calls, err := m.calls(ctx)
	if err != nil {
		return err
	}
	before, err := m.sample(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(time.Duration(m.RestSeconds) * time.Second)
	after, err := m.sample(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	callsAfter, err := m.calls(ctx)
	if err != nil {
		return err
	}
	m.fig.StoreCallsPerSecond = make(map[string]float64)
	for op, n := range callsAfter {
		m.fig.StoreCallsPerSecond[op] = float64(n-calls[op]) / seconds
	}
	for i := range after {
		m.fig.ControlBytesPerSecond.add((after[i].bytes-before[i].bytes)/seconds, m.Nodes)
		m.fig.CPUPercent.add(100*(after[i].usage.CPU-before[i].usage.CPU).Seconds()/seconds, m.Nodes)
		m.fig.RSSMegabytes.add(float64(after[i].usage.RSS)/1e6, m.Nodes)
	}
	return nil
}

func (s *NodeStats) add(v float64, n int) {
	s.Mean += v / float64(n)
	s.Max = max(s.Max, v)
}

func (m *Measurement) calls(ctx context.Context) (map[string]int64, error) {
	b, err := get(ctx, "http://"+m.fleet.Layout.Platform+"/standin/calls")
	if err != nil {
		return nil, err
	}
	var c map[string]int64
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, fmt.Errorf("calls: %w", err)
	}
	return c, nil
}

// spread submits tickets through different nodes and times them on all nodes.
func (m *Measurement) spread(ctx context.Context) error {
	var all []time.Duration
	for i := range tickets {
		took, never, err := m.ticket(ctx, i*m.Nodes/tickets, func() error { return nil })
		if err != nil {
			return err
		}
		all = append(all, took...)
		m.fig.InForce.NotReached += never
		time.Sleep(between)
	}
	m.fig.InForce.set(all)
	return nil
}

// spreadStoreOut times a ticket whose acceptance is the store's last deed.
func (m *Measurement) spreadStoreOut(ctx context.Context) error {
	took, never, err := m.ticket(ctx, m.Nodes-1, func() error {
		return sagefleet.SetFaults(ctx, m.fleet.Layout.Platform, sagestandin.FaultPlan{Faults: []sagestandin.Fault{{Kind: sagestandin.FaultOutage}}})
	})
	m.fig.InForceStoreOut.set(took)
	m.fig.InForceStoreOut.NotReached = never
	return err
}

func (t *Latencies) set(all []time.Duration) {
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	at := func(q float64) float64 {
		return float64(all[min(len(all)-1, int(q*float64(len(all))))]) / float64(time.Millisecond)
	}
	t.P50, t.P99, t.Max = at(0.5), at(0.99), at(1)
}

// ticket submits one ticket through a node, runs then, and polls every node for its revision.
func (m *Measurement) ticket(ctx context.Context, through int, then func() error) ([]time.Duration, int, error) {
	m.number++
	t := sagefleet.DataCentreTicket(m.number, dataCentres[0], m.number%2 == 0)
	t.Force = true
	if err := m.fleet.Submit(ctx, through, t); err != nil {
		return nil, 0, err
	}
	accepted := time.Now()
	if err := then(); err != nil {
		return nil, 0, err
	}
	took := make([]time.Duration, m.Nodes)
	var wg sync.WaitGroup
	slots := make(chan struct{}, pollAtOnce)
	for i := range m.Nodes {
		wg.Go(func() { took[i] = m.reached(ctx, i, accepted, slots) })
	}
	wg.Wait()
	in := slices.DeleteFunc(took, func(d time.Duration) bool { return d == 0 })
	return in, m.Nodes - len(in), nil
}

// reached polls one node until it holds the newest ticket; 0 means that it never did.
func (m *Measurement) reached(ctx context.Context, node int, accepted time.Time, slots chan struct{}) time.Duration {
	for time.Since(accepted) < inForceBy {
		slots <- struct{}{}
		var st struct {
			Revision uint64 `json:"revision"`
		}
		err := m.fleet.Operator(node).Do(ctx, http.MethodGet, "/v1/status", nil, &st)
		<-slots
		if err == nil && st.Revision >= m.number {
			return time.Since(accepted)
		}
		time.Sleep(pollEvery)
	}
	return 0
}
