package sageproc

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagemembers"
	"sagestand.example/sagestand/internal/sagenode"
	"sagestand.example/sagestand/internal/sagesettings"
	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Two of eight VMs are stopped at the same time while callers stream. Callers whose cached addresses
// name one of them, or whose stream runs on one, must not be refused as leaving or cut off.
func TestGracefulStopCompletesStreams(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSize, func(cfg *sagesettings.Settings) { cfg.Stop.WithinMillis = 12000 })
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	load := &streamLoad{t: t, fleet: f, endedByEntry: make(map[string]int), refusals: make(map[string]int)}
	load.start(ctx, 16)
	var busy []int
	waitFor(t, load, func() bool {
		busy = load.busyNodes()
		return len(busy) > 2
	})
	observer := busy[2]
	var wait sync.WaitGroup
	for _, i := range busy[:2] {
		wait.Go(func() { load.recordError(f.Nodes[i].Terminate(ctx)) })
	}
	waitForView(t, f, observer, "lists both as leaving or gone", func(v *sagemembers.View) bool {
		n := 0
		for _, x := range v.Nodes {
			if x.Phase == sagemember.Leaving {
				n++
			}
		}
		return n == 2 || countServing(v) == 6
	})
	wait.Wait()
	before := load.ended.Load()
	waitFor(t, "callers continue on other nodes", func() bool { return load.ended.Load() > before+16 })
	load.stopAndWait()
	require.Empty(t, load.failures, "of %d streams", load.ended.Load())
	waitForView(t, f, observer, "lists six nodes as serving", func(v *sagemembers.View) bool { return countServing(v) == 6 })
}

// A stream runs for longer than the stop timeout. Prevents its caller from taking the partial response
// for a complete one, and the abort from going unlogged.
func TestStopDeadlineAbortsStream(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, func(cfg *sagesettings.Settings) { cfg.Stop.WithinMillis = 3000 })
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	node := f.Layout.Nodes[1].Listen.Entry
	c := &sagecaller.Caller{FixedEntry: node, Key: sagefleet.AccountKey, HTTP: &http.Client{Timeout: waitTimeout}}
	waitFor(t, "a chat is answered", func() bool {
		return c.Chat(ctx, chatRequest("hello", 2), sagecaller.Options{}).Outcome == sagewire.Complete
	})
	results := make(chan sagecaller.Result, 1)
	go func() { results <- c.Chat(ctx, chatRequest("a long one", 600), sagecaller.Options{}) }()
	waitFor(t, "the stream runs", func() bool {
		var s sagenode.Status
		err := f.Operator(1).Do(ctx, http.MethodGet, "/v1/status", nil, &s)
		return err == nil && s.InFlight > 0
	})
	require.NoError(t, f.Nodes[1].Terminate(ctx))
	result := <-results
	require.NoError(t, result.Err)
	require.NotEqual(t, sagewire.Complete, result.Outcome)
	require.NotNil(t, result.Refusal)
	log, err := os.ReadFile(f.Nodes[1].LogFile)
	require.NoError(t, err)
	require.Contains(t, string(log), "Cutting requests at the stop deadline.")
}

// refusalBackoff keeps a refused caller from retrying immediately.
const refusalBackoff = 50 * time.Millisecond

// streamLoad is a load of callers that each stream one chat after another.
type streamLoad struct {
	t        *testing.T
	fleet    *sagefleet.Fleet
	ended    atomic.Int64
	stopping atomic.Bool
	wait     sync.WaitGroup

	mu           sync.Mutex
	failures     []string
	endedByEntry map[string]int
	refusals     map[string]int
}

func (s *streamLoad) start(ctx context.Context, callers int) {
	for i := range callers {
		s.wait.Go(func() {
			client := &http.Client{Timeout: waitTimeout}
			locator := &sagecaller.Caller{Entries: s.fleet.Layout.Entries(), Key: sagefleet.AccountKey, HTTP: client}
			for n := 0; !s.stopping.Load(); n++ {
				chat := fmt.Sprintf("chat-%d-%d", i, n%4)
				addrs, err := locator.Locate(ctx, chat)
				if err != nil {
					s.recordError(err)
					return
				}
				// Only the first address is used: trying the next one would hide a refusal.
				c := &sagecaller.Caller{FixedEntry: addrs[0], Key: sagefleet.AccountKey, HTTP: client}
				result := c.Chat(ctx, chatRequest(chat, 40), sagecaller.Options{ChatID: chat})
				s.record(&result)
				if result.Refusal != nil {
					time.Sleep(refusalBackoff)
				}
			}
		})
	}
}

// record counts a response, and records failures. A refusal with outcome not_run is no failure unless
// its reason is leaving: a VM must not refuse as leaving while the other VMs still name it to callers.
func (s *streamLoad) record(result *sagecaller.Result) {
	s.ended.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedByEntry[result.Entry]++
	switch {
	case result.Outcome == sagewire.Complete && result.Mismatch == "":
	case result.Refusal != nil && result.Outcome == sagewire.NotRun && result.Refusal.Reason != sagewire.ReasonLeaving:
		s.refusals[result.Refusal.Error()]++
	default:
		s.failures = append(s.failures, fmt.Sprintf("%s: outcome %q wrong %q lost %v refusal %v", result.Entry, result.Outcome, result.Mismatch, result.Err, result.Refusal))
	}
}

// String summarises the progress of the load.
func (s *streamLoad) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d streams ended, through %v, refused %v, faults %v", s.ended.Load(), s.endedByEntry, s.refusals, s.failures)
}

// busyNodes returns the nodes through which more than three streams have ended.
func (s *streamLoad) busyNodes() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var busy []int
	for i, n := range s.fleet.Layout.Nodes {
		if s.endedByEntry[n.Listen.Entry] > 3 {
			busy = append(busy, i)
		}
	}
	return busy
}

func (s *streamLoad) recordError(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, err.Error())
}

func (s *streamLoad) stopAndWait() {
	s.stopping.Store(true)
	s.wait.Wait()
}
