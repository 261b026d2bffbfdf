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

// Two of eight VMs are withdrawn, one after the other, while callers stream. A caller whose kept
// answer names one of them, or whose stream runs there, must not notice.
func TestGracefulStopCompletesStreams(t *testing.T) {
	t.Parallel()
	f := start(t, eight, func(cfg *sagesettings.Settings) { cfg.Stop.WithinMillis = 12000 })
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	load := &streams{t: t, fleet: f, through: make(map[string]int), refused: make(map[string]int)}
	load.begin(ctx, 16)
	var busy []int
	eventually(t, load, func() bool {
		busy = load.uses()
		return len(busy) > 2
	})
	seer := busy[2]
	var wait sync.WaitGroup
	for _, i := range busy[:2] {
		wait.Go(func() { load.fail(f.Nodes[i].Terminate(ctx)) })
	}
	until(t, f, seer, "hears of both leaving", func(v *sagemembers.View) bool {
		n := 0
		for _, x := range v.Nodes {
			if x.Phase == sagemember.Leaving {
				n++
			}
		}
		return n == 2 || serving(v) == 6
	})
	wait.Wait()
	before := load.done.Load()
	eventually(t, "callers go on elsewhere", func() bool { return load.done.Load() > before+16 })
	load.end()
	require.Empty(t, load.faults, "of %d streams", load.done.Load())
	until(t, f, seer, "has dropped both", func(v *sagemembers.View) bool { return serving(v) == 6 })
}

// A stream runs longer than the stop may take. Its caller takes the part that came for the whole answer,
// and nothing in the log says that it was cut.
func TestStopDeadlineAbortsStream(t *testing.T) {
	t.Parallel()
	f := start(t, 2, func(cfg *sagesettings.Settings) { cfg.Stop.WithinMillis = 3000 })
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	node := f.Layout.Nodes[1].Listen.Entry
	c := &sagecaller.Caller{FixedEntry: node, Key: sagefleet.AccountKey, HTTP: &http.Client{Timeout: limit}}
	eventually(t, "a chat is answered", func() bool {
		return c.Chat(ctx, chatOf("hello", 2), sagecaller.Options{}).Outcome == sagewire.Complete
	})
	ends := make(chan sagecaller.Result, 1)
	go func() { ends <- c.Chat(ctx, chatOf("a long one", 600), sagecaller.Options{}) }()
	eventually(t, "the stream runs", func() bool {
		var s sagenode.Status
		err := f.Operator(1).Do(ctx, http.MethodGet, "/v1/status", nil, &s)
		return err == nil && s.InFlight > 0
	})
	require.NoError(t, f.Nodes[1].Terminate(ctx))
	e := <-ends
	require.NoError(t, e.Err)
	require.NotEqual(t, sagewire.Complete, e.Outcome)
	require.NotNil(t, e.Refusal)
	log, err := os.ReadFile(f.Nodes[1].LogFile)
	require.NoError(t, err)
	require.Contains(t, string(log), "Cutting requests at the stop deadline.")
}

// refusedPause keeps a refused caller from asking again at once.
const refusedPause = 50 * time.Millisecond

// streams is a load of callers that stream one chat after another.
type streams struct {
	t     *testing.T
	fleet *sagefleet.Fleet
	done  atomic.Int64
	stop  atomic.Bool
	wait  sync.WaitGroup

	mu      sync.Mutex
	faults  []string
	through map[string]int
	refused map[string]int
}

func (s *streams) begin(ctx context.Context, callers int) {
	for i := range callers {
		s.wait.Go(func() {
			client := &http.Client{Timeout: limit}
			asker := &sagecaller.Caller{Entries: s.fleet.Layout.Entries(), Key: sagefleet.AccountKey, HTTP: client}
			for n := 0; !s.stop.Load(); n++ {
				chat := fmt.Sprintf("chat-%d-%d", i, n%4)
				addrs, err := asker.Locate(ctx, chat)
				if err != nil {
					s.fail(err)
					return
				}
				// Only the first address: a caller that may go on to the next would hide a refusal.
				c := &sagecaller.Caller{FixedEntry: addrs[0], Key: sagefleet.AccountKey, HTTP: client}
				e := c.Chat(ctx, chatOf(chat, 40), sagecaller.Options{ChatID: chat})
				s.note(&e)
				if e.Refusal != nil {
					time.Sleep(refusedPause)
				}
			}
		})
	}
}

// note keeps what a caller would complain of. A refusal that says "not run" is no cut, but a VM that
// is still named must not refuse as leaving.
func (s *streams) note(e *sagecaller.Result) {
	s.done.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.through[e.Entry]++
	switch {
	case e.Outcome == sagewire.Complete && e.Mismatch == "":
	case e.Refusal != nil && e.Outcome == sagewire.NotRun && e.Refusal.Reason != sagewire.ReasonLeaving:
		s.refused[e.Refusal.Error()]++
	default:
		s.faults = append(s.faults, fmt.Sprintf("%s: outcome %q wrong %q lost %v refusal %v", e.Entry, e.Outcome, e.Mismatch, e.Err, e.Refusal))
	}
}

// String tells how far the load has come.
func (s *streams) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d streams ended, through %v, refused %v, faults %v", s.done.Load(), s.through, s.refused, s.faults)
}

// uses returns the nodes through which several streams have come.
func (s *streams) uses() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var busy []int
	for i, n := range s.fleet.Layout.Nodes {
		if s.through[n.Listen.Entry] > 3 {
			busy = append(busy, i)
		}
	}
	return busy
}

func (s *streams) fail(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, err.Error())
}

func (s *streams) end() {
	s.stop.Store(true)
	s.wait.Wait()
}
