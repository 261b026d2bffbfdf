package sagecost

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Concurrency and length of the load, and the wait before the memory at rest is read.
const (
	workers      = 16
	streams      = 16
	streamTokens = 2000
	settleTime   = 2 * time.Second
)

// Results are the results of a measurement.
type Results struct {
	Calls             int     `json:"calls"`
	DirectP50Micros   float64 `json:"direct_p50_micros"`
	DirectP99Micros   float64 `json:"direct_p99_micros"`
	RoutedP50Micros   float64 `json:"routed_p50_micros"`
	RoutedP99Micros   float64 `json:"routed_p99_micros"`
	AddedP50Micros    float64 `json:"added_p50_micros"`
	AddedP99Micros    float64 `json:"added_p99_micros"`
	CPUMicrosPerCall  float64 `json:"cpu_micros_per_call"`
	CallsPerSecond    float64 `json:"calls_per_second"`
	StreamTokens      int     `json:"stream_tokens"`
	TokensPerCoreSec  float64 `json:"tokens_per_core_second"`
	RSSAtRestBytes    int64   `json:"rss_at_rest_bytes"`
	RSSUnderLoadBytes int64   `json:"rss_under_load_bytes"`
}

// Measurement is one measurement. Its exported fields are set before Run.
type Measurement struct {
	Sagestand string
	Sagebench string
	Calls     int

	fleet   *sagefleet.Fleet
	results Results
}

// Run measures one router with one engine and one application.
func (m *Measurement) Run(ctx context.Context) (Results, error) {
	dir, err := os.MkdirTemp("", "sagestand-cost")
	if err != nil {
		return m.results, fmt.Errorf("cost: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l := sagefleet.NewLayout(1, 1, []string{"derby"})
	m.fleet = &sagefleet.Fleet{Layout: l, Sagestand: m.Sagestand, Sagebench: m.Sagebench, Dir: dir, EngineArgs: []string{"--token-micros", "0", "--prompt-micros", "0"}}
	defer m.fleet.Stop()
	if err := m.fleet.Start(ctx); err != nil {
		return m.results, fmt.Errorf("cost: %w", err)
	}
	m.results.Calls = m.Calls
	for _, step := range []func(context.Context) error{m.measureRest, m.measureLatency, m.measureThroughput, m.measureStreaming} {
		if err := step(ctx); err != nil {
			return m.results, fmt.Errorf("cost: %w", err)
		}
	}
	return m.results, nil
}

func (m *Measurement) usage() (Usage, error) { return ReadUsage(m.fleet.Nodes[0].PID()) }

// measureRest reads the memory of a router without load.
func (m *Measurement) measureRest(context.Context) error {
	time.Sleep(settleTime)
	u, err := m.usage()
	m.results.RSSAtRestBytes = u.RSS
	return err
}

// measureLatency times sequential calls, first direct and then routed.
func (m *Measurement) measureLatency(ctx context.Context) error {
	app := m.fleet.Layout.Upstreams[1].Address // the engine is at index 0
	entry := m.fleet.Layout.Nodes[0].Listen.Entry
	direct, err := m.callTimes(ctx, "http://"+app+"/reservations")
	if err != nil {
		return err
	}
	routed, err := m.callTimes(ctx, "http://"+entry+"/v1/services/"+sagefleet.ServiceRoute+"/reservations")
	if err != nil {
		return err
	}
	f := &m.results
	f.DirectP50Micros, f.DirectP99Micros = quantile(direct, 0.5), quantile(direct, 0.99)
	f.RoutedP50Micros, f.RoutedP99Micros = quantile(routed, 0.5), quantile(routed, 0.99)
	f.AddedP50Micros, f.AddedP99Micros = f.RoutedP50Micros-f.DirectP50Micros, f.RoutedP99Micros-f.DirectP99Micros
	return nil
}

// call sends one idempotent call and checks its response.
func call(ctx context.Context, h *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+sagefleet.AccountKey)
	res, err := h.Do(req)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	if res.StatusCode != http.StatusOK || !bytes.Contains(b, []byte(`"path"`)) {
		return fmt.Errorf("call: %s: %s: %w", res.Status, b, sagecaller.ErrEntryUnavailable)
	}
	return nil
}

func (m *Measurement) callTimes(ctx context.Context, url string) ([]time.Duration, error) {
	h := &http.Client{}
	out := make([]time.Duration, 0, m.Calls)
	for range m.Calls {
		start := time.Now()
		if err := call(ctx, h, url); err != nil {
			return nil, err
		}
		out = append(out, time.Since(start))
	}
	slices.Sort(out)
	return out, nil
}

// quantile returns quantile q of the sorted durations, in microseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i]) / float64(time.Microsecond)
}

// measureThroughput sends concurrent calls and computes the router's processor time per call.
func (m *Measurement) measureThroughput(ctx context.Context) error {
	before, err := m.usage()
	if err != nil {
		return err
	}
	url := "http://" + m.fleet.Layout.Nodes[0].Listen.Entry + "/v1/services/" + sagefleet.ServiceRoute + "/reservations"
	start := time.Now()
	callsPerWorker := m.Calls / 2
	errs := make([]error, workers)
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			h := &http.Client{Transport: &http.Transport{}}
			for range callsPerWorker {
				if errs[i] = call(ctx, h, url); errs[i] != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	after, err := m.usage()
	n := float64(callsPerWorker * workers)
	m.results.CPUMicrosPerCall = float64(after.CPU-before.CPU) / float64(time.Microsecond) / n
	m.results.CallsPerSecond = n / time.Since(start).Seconds()
	m.results.RSSUnderLoadBytes = after.RSS
	return err
}

// measureStreaming streams long responses concurrently and computes the tokens per second of processor
// time.
func (m *Measurement) measureStreaming(ctx context.Context) error {
	before, err := m.usage()
	if err != nil {
		return err
	}
	results := make([]sagecaller.Result, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			c := &sagecaller.Caller{Entries: m.fleet.Layout.Entries(), Key: sagefleet.AccountKey, HTTP: &http.Client{Transport: &http.Transport{}}}
			chat := &sagestandin.ChatRequest{Model: sagefleet.Model, Stream: true, MaxTokens: streamTokens, Messages: []sagestandin.Message{{Role: "user", Content: fmt.Sprint("stream ", i)}}}
			results[i] = c.Chat(ctx, chat, sagecaller.Options{ChatID: fmt.Sprint("chat-", i)})
		})
	}
	wg.Wait()
	for _, e := range results {
		if e.Outcome != sagewire.Complete || e.Mismatch != "" || e.Err != nil {
			return fmt.Errorf("stream ended %q, %s, %v: %w", e.Outcome, e.Mismatch, e.Err, sagecaller.ErrEntryUnavailable)
		}
	}
	after, err := m.usage()
	m.results.StreamTokens = streams * streamTokens
	m.results.TokensPerCoreSec = float64(m.results.StreamTokens) / (after.CPU - before.CPU).Seconds()
	return err
}
