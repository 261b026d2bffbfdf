package sageproc

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagemembers"
	"sagestand.example/sagestand/internal/sagesettings"
	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Two of eight VMs are withdrawn, one after the other, while callers stream. A caller whose kept
// answer names one of them, or whose stream runs there, must not notice.
func TestTerminateUnderStreamsCutsNothing(t *testing.T) {
	t.Parallel()
	f := start(t, func(cfg *sagesettings.Settings) { cfg.Stop.WithinMillis = 12000 })
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
			c := &sagecaller.Caller{Entries: s.fleet.Layout.Entries(), Key: sagefleet.AccountKey, HTTP: &http.Client{Timeout: limit}}
			for n := 0; !s.stop.Load(); n++ {
				chat := fmt.Sprintf("chat-%d-%d", i, n%4)
				e := c.Chat(ctx, chatOf(chat, 40), sagecaller.Options{Chat: chat})
				s.note(&e)
			}
		})
	}
}

// note keeps what a caller would complain of. A refusal that says "not run" is no cut, but a VM that
// is still named must not refuse as leaving.
func (s *streams) note(e *sagecaller.End) {
	s.done.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.through[e.Entry]++
	switch {
	case e.Outcome == sagewire.Complete && e.Wrong == "":
	case e.Refusal != nil && e.Outcome == sagewire.NotRun && e.Refusal.Reason != sagewire.ReasonLeaving:
		s.refused[e.Refusal.Error()]++
	default:
		s.faults = append(s.faults, fmt.Sprintf("%s: outcome %q wrong %q lost %v refusal %v", e.Entry, e.Outcome, e.Wrong, e.Lost, e.Refusal))
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
