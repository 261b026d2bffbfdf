package sagesoak

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of a loss of all nodes while streams are open.
const (
	rejoinNodes = 5
	// rejoinManyNodes leaves most streams without a holder among the nodes that survive.
	rejoinManyNodes = 9
	rejoinEngines   = 4 // of each version
	rejoinStreams   = 57
	rejoinStep      = 25 // times the usual time of an event: a stream takes 3 s
	rejoinWarmUp    = 3 * time.Second
	rejoinOpen      = time.Second // age of the streams at the loss
	rejoinDown      = time.Second
	rejoinReturn    = 8 * time.Second // for which callers return
	rejoinPause     = 100 * time.Millisecond
	rejoinNewFor    = 5 * time.Second // after the return of the nodes, in which new streams are counted
	rejoinNewEvery  = 50 * time.Millisecond
)

// replacement is what happens to the first version of the engines.
type replacement int

// The ways in which a version ends.
const (
	stays    replacement = iota
	leaves               // its upstreams end
	replaced             // by upstreams of a version not seen before
	upgraded             // the same in place, with the same IDs
)

// Rejoin kills all nodes at once while streams are open, or all but some, and has their callers take them up. Exported fields are
// set before Run.
type Rejoin struct {
	Name         string
	Program, Dir string
	// Nodes is the number of nodes; 0 means rejoinNodes. Survivors are the positions of those that aren't killed.
	Nodes     int
	Survivors []int
	// Versions are the versions that serve at the start.
	Versions []string
	// Ends is what happens to the first version, At when, counted from the loss of the nodes.
	Ends replacement
	At   time.Duration

	sys *standin.System
}

// nodes returns the number of nodes.
func (r *Rejoin) nodes() int { return cmp.Or(r.Nodes, rejoinNodes) }

// killed returns the positions of the nodes that are killed.
func (r *Rejoin) killed() []int {
	var out []int
	for i := range r.nodes() {
		if !slices.Contains(r.Survivors, i) {
			out = append(out, i)
		}
	}
	return out
}

// RejoinResult is what became of the streams of a [Rejoin].
type RejoinResult struct {
	Broken int `json:"broken"`
	// Joined is the number of streams with events of two versions, Whole that of complete ones.
	Joined int `json:"joined"`
	Whole  int `json:"whole"`
	// OfServing is the number of broken streams whose version served at the end, WholeOfServing that of the complete ones of these.
	OfServing      int `json:"of_serving"`
	WholeOfServing int `json:"whole_of_serving"`
	Refusals       int `json:"refusals"`
	// NewBegun and NewSent count new streams in the first seconds after the return of the nodes.
	NewBegun int `json:"new_begun"`
	NewSent  int `json:"new_sent"`
}

// Failed reports whether a stream was joined from two versions, or too few went on although their version served.
func (r *RejoinResult) Failed() bool {
	return r.Joined > 0 || float64(r.WholeOfServing) < minReturnRatio*float64(r.OfServing)
}

// Rejoins returns the cases of a loss of all nodes.
func Rejoins() []*Rejoin {
	both := []string{"v1", "v2"}
	cases := []*Rejoin{
		{Name: "one version", Versions: both[:1]},
		{Name: "two versions serve all the time", Versions: both},
		{Name: "one leaves 2 s before", Versions: both, Ends: leaves, At: -2 * time.Second},
		{Name: "one leaves 0.3 s before", Versions: both, Ends: leaves, At: -300 * time.Millisecond},
		{Name: "one leaves 50 ms before", Versions: both, Ends: leaves, At: -50 * time.Millisecond},
		{Name: "one leaves while all are down", Versions: both, Ends: leaves, At: rejoinDown / 2},
		{Name: "replaced while all are down", Versions: both[:1], Ends: replaced, At: rejoinDown / 2},
		{Name: "upgraded in place while all are down", Versions: both[:1], Ends: upgraded, At: rejoinDown / 2},
		{Name: "one leaves 0.2 s after the return", Versions: both, Ends: leaves, At: rejoinDown + 200*time.Millisecond},
		{Name: "one leaves 1.5 s after the return", Versions: both, Ends: leaves, At: rejoinDown + 1500*time.Millisecond},
	}
	for i := range rejoinManyNodes {
		cases = append(cases, &Rejoin{Name: fmt.Sprintf("all but node-%d", i+1), Versions: both, Nodes: rejoinManyNodes, Survivors: []int{i}})
	}
	return cases
}

// Run plays the case. It returns an error if it can't be played.
func (r *Rejoin) Run(ctx context.Context) (RejoinResult, error) {
	r.sys = &standin.System{Nodes: r.nodes(), Engines: rejoinEngines * len(r.Versions), Program: r.Program, Dir: r.Dir, Subnet: 1, EngineVersions: r.Versions}
	defer r.sys.Stop()
	if err := r.sys.Start(ctx); err != nil {
		return RejoinResult{}, fmt.Errorf("start system: %w", err)
	}
	for _, e := range r.sys.Runners {
		e.InjectFaults(standin.RunnerFaults{SlowTimes: rejoinStep})
	}
	sageclock.Sleep(ctx, rejoinWarmUp)
	loss := time.Now().Add(max(rejoinOpen, -r.At))
	var events, callers sync.WaitGroup
	results := make([]rejoinedStream, rejoinStreams)
	for i := range results {
		callers.Go(func() { results[i] = r.followStream(ctx, i, loss) })
	}
	var err error
	events.Go(func() {
		sageclock.Sleep(ctx, time.Until(loss.Add(r.At)))
		err = r.endVersion()
	})
	sageclock.Sleep(ctx, time.Until(loss))
	out, startErr := r.loseNodes(ctx)
	events.Wait()
	callers.Wait()
	for _, s := range results {
		out.add(&s)
	}
	if startErr != nil {
		return out, startErr
	}
	return out, err
}

// loseNodes kills all nodes, starts them again, and counts the new streams that begin.
func (r *Rejoin) loseNodes(ctx context.Context) (RejoinResult, error) {
	for _, i := range r.killed() {
		r.sys.Signal(i, syscall.SIGKILL)
	}
	for _, i := range r.killed() {
		<-r.sys.Exited(i)
	}
	sageclock.Sleep(ctx, rejoinDown)
	for _, i := range r.killed() {
		if err := r.sys.StartNode(i); err != nil {
			return RejoinResult{}, fmt.Errorf("start again: %w", err)
		}
	}
	var out RejoinResult
	var mu sync.Mutex
	var streams sync.WaitGroup
	for from := time.Now(); time.Since(from) < rejoinNewFor; sageclock.Sleep(ctx, rejoinNewEvery) {
		node := out.NewSent % r.nodes()
		out.NewSent++
		streams.Go(func() {
			c := r.caller(node)
			defer c.Close()
			st := standin.NewStream(standin.Chat)
			c.Attempt(ctx, st, standin.AttemptOptions{StopAfter: 1})
			mu.Lock()
			defer mu.Unlock()
			out.NewBegun += st.Events
		})
	}
	streams.Wait()
	return out, nil
}

// endVersion ends the first version.
func (r *Rejoin) endVersion() error {
	for i := range r.sys.Engines {
		e := r.sys.Runner(i)
		switch {
		case e.Version != r.Versions[0]:
		case r.Ends == leaves:
			e.Crash()
			r.sys.Store.Delete("servers", e.ID)
		case r.Ends == replaced || r.Ends == upgraded:
			e.Crash()
			if r.Ends == replaced {
				r.sys.Store.Delete("servers", e.ID)
			}
			if _, err := r.sys.ReplaceVersion(i, "v9", r.Ends == upgraded); err != nil {
				return fmt.Errorf("replace upstream: %w", err)
			}
		}
	}
	return nil
}

// caller returns a caller of a node.
func (r *Rejoin) caller(node int) *standin.Caller {
	c := r.sys.Caller(node)
	c.Node = r.sys.EntryAddress(node)
	return c
}

// rejoinedStream is what became of a stream.
type rejoinedStream struct {
	broken, joined, whole, serving bool
	refusals                       int
}

func (r *RejoinResult) add(s *rejoinedStream) {
	if !s.broken {
		return
	}
	r.Broken++
	r.Refusals += s.refusals
	if s.joined {
		r.Joined++
	}
	if s.whole {
		r.Whole++
	}
	if s.serving {
		r.OfServing++
		if s.whole {
			r.WholeOfServing++
		}
	}
}

// followStream begins a stream before the loss of the nodes, and takes it up until it is complete or the caller gives up.
func (r *Rejoin) followStream(ctx context.Context, i int, loss time.Time) rejoinedStream {
	sageclock.Sleep(ctx, time.Until(loss.Add(-rejoinOpen)))
	st, out := standin.NewStream(standin.Chat), rejoinedStream{}
	outcome := r.attempt(ctx, i, st)
	out.broken = outcome != "200" && st.Events > 0
	for n := i + 1; outcome != "200" && time.Since(loss) < rejoinReturn; n++ {
		st.RetryAfter = 0
		outcome = r.attempt(ctx, n, st)
		if outcome == "503" {
			out.refusals++
		}
		if outcome != "200" {
			sageclock.Sleep(ctx, min(max(rejoinPause, st.RetryAfter), time.Until(loss.Add(rejoinReturn))))
		}
	}
	out.joined, out.whole, out.serving = st.Mixed(), outcome == "200" && !st.Mixed(), r.sys.Serving(st.Version) > 0
	return out
}

func (r *Rejoin) attempt(ctx context.Context, n int, st *standin.Stream) string {
	c := r.caller(n % r.nodes())
	defer c.Close()
	return c.Attempt(ctx, st, standin.AttemptOptions{})
}
