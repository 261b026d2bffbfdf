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

// ErrMetricMissing reports a node whose metrics lack the requested one.
var ErrMetricMissing = errors.New("metric not found")

// Polling of the nodes, and the number of tickets and the interval between them.
const (
	pollInterval       = 50 * time.Millisecond
	maxConcurrentPolls = 64
	inForceTimeout     = 30 * time.Second
	ticketInterval     = time.Second
	ticketCount        = 5
)

var dataCentres = []string{"dc1", "dc2", "dc3"}

// NodeStats aggregates a value over all nodes.
type NodeStats struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// Latencies are the times from acceptance until a ticket is in force, over all nodes and tickets, in
// milliseconds.
type Latencies struct {
	P50 float64 `json:"p50_millis"`
	P99 float64 `json:"p99_millis"`
	Max float64 `json:"max_millis"`
	// NotReached counts the nodes on which a ticket was not in force within inForceTimeout.
	NotReached int `json:"never"`
}

// Results are the results of a measurement.
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

// Measurement is one measurement. Its exported fields are set before Run.
type Measurement struct {
	Sagestand string
	Sagebench string
	Nodes     int
	Engines   int
	// GrantMillis is the duration of grants and promises of allotments; 0 means the default.
	GrantMillis int
	// Seeds is the number of nodes that the settings list as seeds, which form the roster; 0 means all.
	Seeds int
	// SettleSeconds is the wait before measuring, in seconds. Nodes that have just joined exchange
	// their complete state, which would be counted as traffic at rest.
	SettleSeconds int
	// RestSeconds is the duration of the measurement at rest.
	RestSeconds int

	fleet      *sagefleet.Fleet
	results    Results
	lastTicket uint64
}

// Run starts the fleet and runs all measurements.
func (m *Measurement) Run(ctx context.Context) (Results, error) {
	dir, err := os.MkdirTemp("", "sagestand-scale")
	if err != nil {
		return m.results, fmt.Errorf("scale: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l := sagefleet.NewLayout(m.Nodes, m.Engines, dataCentres)
	for i := range l.Nodes {
		l.Nodes[i].Load = sagesettings.Default().Load // NewLayout shortens the periods for tests
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
		return m.results, fmt.Errorf("scale: %w", err)
	}
	m.lastTicket = 1
	m.results.Nodes, m.results.Upstreams = m.Nodes, len(l.Upstreams)
	time.Sleep(time.Duration(m.SettleSeconds) * time.Second)
	for _, step := range []func(context.Context) error{m.measureRest, m.measurePropagation, m.measurePropagationStoreOut} {
		if err := step(ctx); err != nil {
			return m.results, fmt.Errorf("scale: %w", err)
		}
	}
	return m.results, nil
}

// sample is the resource use of one node up to an instant.
type sample struct {
	bytes float64
	usage sagecost.Usage
}

func (m *Measurement) takeSamples(ctx context.Context) ([]sample, error) {
	out := make([]sample, m.Nodes)
	for i := range out {
		b, err := readMetric(ctx, m.fleet.Layout.Nodes[i].Listen.Operator, "sagestand_control_bytes_total")
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

// readMetric reads one metric of a node.
func readMetric(ctx context.Context, addr, name string) (float64, error) {
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

// measureRest measures traffic, processor time, memory and store calls of nodes without load.
func (m *Measurement) measureRest(ctx context.Context) error {
	calls, err := m.storeCalls(ctx)
	if err != nil {
		return err
	}
	before, err := m.takeSamples(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(time.Duration(m.RestSeconds) * time.Second)
	after, err := m.takeSamples(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	callsAfter, err := m.storeCalls(ctx)
	if err != nil {
		return err
	}
	m.results.StoreCallsPerSecond = make(map[string]float64)
	for op, n := range callsAfter {
		m.results.StoreCallsPerSecond[op] = float64(n-calls[op]) / seconds
	}
	for i := range after {
		m.results.ControlBytesPerSecond.add((after[i].bytes-before[i].bytes)/seconds, m.Nodes)
		m.results.CPUPercent.add(100*(after[i].usage.CPU-before[i].usage.CPU).Seconds()/seconds, m.Nodes)
		m.results.RSSMegabytes.add(float64(after[i].usage.RSS)/1e6, m.Nodes)
	}
	return nil
}

func (s *NodeStats) add(v float64, n int) {
	s.Mean += v / float64(n)
	s.Max = max(s.Max, v)
}

func (m *Measurement) storeCalls(ctx context.Context) (map[string]int64, error) {
	b, err := get(ctx, "http://"+m.fleet.Layout.Platform+"/standin/calls")
	if err != nil {
		return nil, err
	}
	var c map[string]int64
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, fmt.Errorf("decode store calls: %w", err)
	}
	return c, nil
}

// measurePropagation submits tickets through different nodes and measures when each is in force on each
// node.
func (m *Measurement) measurePropagation(ctx context.Context) error {
	var all []time.Duration
	for i := range ticketCount {
		delays, notReached, err := m.submitAndTime(ctx, i*m.Nodes/ticketCount, func() error { return nil })
		if err != nil {
			return err
		}
		all = append(all, delays...)
		m.results.InForce.NotReached += notReached
		time.Sleep(ticketInterval)
	}
	m.results.InForce.setQuantiles(all)
	return nil
}

// measurePropagationStoreOut does the same for one ticket with a store outage right after its
// acceptance.
func (m *Measurement) measurePropagationStoreOut(ctx context.Context) error {
	delays, notReached, err := m.submitAndTime(ctx, m.Nodes-1, func() error {
		return sagefleet.SetFaults(ctx, m.fleet.Layout.Platform, sagestandin.FaultPlan{Faults: []sagestandin.Fault{{Kind: sagestandin.FaultOutage}}})
	})
	m.results.InForceStoreOut.setQuantiles(delays)
	m.results.InForceStoreOut.NotReached = notReached
	return err
}

func (t *Latencies) setQuantiles(all []time.Duration) {
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	at := func(q float64) float64 {
		return float64(all[min(len(all)-1, int(q*float64(len(all))))]) / float64(time.Millisecond)
	}
	t.P50, t.P99, t.Max = at(0.5), at(0.99), at(1)
}

// submitAndTime submits a ticket to a node, runs afterAccept and polls every node until the ticket is
// in force there. It returns the delays, and the number of nodes on which the ticket was not in force
// in time.
func (m *Measurement) submitAndTime(ctx context.Context, node int, afterAccept func() error) ([]time.Duration, int, error) {
	m.lastTicket++
	t := sagefleet.DataCentreTicket(m.lastTicket, dataCentres[0], m.lastTicket%2 == 0)
	t.Force = true
	if err := m.fleet.Submit(ctx, node, t); err != nil {
		return nil, 0, err
	}
	accepted := time.Now()
	if err := afterAccept(); err != nil {
		return nil, 0, err
	}
	delays := make([]time.Duration, m.Nodes)
	var wg sync.WaitGroup
	pollSlots := make(chan struct{}, maxConcurrentPolls)
	for i := range m.Nodes {
		wg.Go(func() { delays[i] = m.waitInForce(ctx, i, accepted, pollSlots) })
	}
	wg.Wait()
	reached := slices.DeleteFunc(delays, func(d time.Duration) bool { return d == 0 })
	return reached, m.Nodes - len(reached), nil
}

// waitInForce polls a node until the newest ticket is in force there and returns the delay since
// acceptance, or 0 after inForceTimeout.
func (m *Measurement) waitInForce(ctx context.Context, node int, accepted time.Time, pollSlots chan struct{}) time.Duration {
	for time.Since(accepted) < inForceTimeout {
		pollSlots <- struct{}{}
		var st struct {
			Revision uint64 `json:"revision"`
		}
		err := m.fleet.Operator(node).Do(ctx, http.MethodGet, "/v1/status", nil, &st)
		<-pollSlots
		if err == nil && st.Revision >= m.lastTicket {
			return time.Since(accepted)
		}
		time.Sleep(pollInterval)
	}
	return 0
}
