package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of software versions that serve side by side.
const (
	maxVersionGap    = 700 * time.Millisecond
	releaseDrainTime = 2500 * time.Millisecond // for which a replaced upstream still runs
	restartGap       = 400 * time.Millisecond  // between two stops in a series
	brokenStreams    = 0.4                     // share of the streams that break off while streams break
	minReturns       = 12                      // of streams that callers take up, below which nothing is checked
	minReturnRatio   = 0.5                     // of the share of returns that go on, against the share of new streams that begin
	minServing       = 2                       // upstreams of a version, below which its returns aren't checked
)

// softwareVersions are the versions of the engines' software. The first two serve at the start.
var softwareVersions = []string{"v1", "v1.1", "v1.2"}

// versionFaults has software versions replace each other, breaks streams, and stops nodes. It uses its own random numbers,
// so that the other faults of a seed don't depend on it. Without other faults, what becomes of the streams that callers
// take up is checked.
type versionFaults struct {
	soak    *Soak
	rng     *rand.Rand
	checked bool
	pending sync.WaitGroup
	killRNG *rand.Rand // draws what happens while all nodes are killed
}

// newVersionFaults returns the version faults of the seed, or nil if the soak has none.
func (s *Soak) newVersionFaults() *versionFaults {
	if !s.Versions {
		return nil
	}
	return &versionFaults{soak: s, rng: rand.New(rand.NewPCG(s.Seed, 5)), checked: s.NoFaults, killRNG: rand.New(rand.NewPCG(s.Seed, 12))}
}

// run injects version faults until the soak's duration has passed.
func (v *versionFaults) run(ctx context.Context) {
	s := v.soak
	v.breakStreams(ctx)
	for s.injects(ctx) {
		switch v.rng.IntN(12) {
		case 0, 1, 2:
			v.release(ctx)
		case 3:
			v.restartUnderSameID(ctx)
		case 4, 5, 6:
			v.breakStreams(ctx)
		case 7:
			v.killAll(ctx)
		case 8:
			v.stopAll(syscall.SIGTERM, restartGap)
		case 9:
			v.stopAll(syscall.SIGKILL, restartGap)
		default:
			v.signal()
		}
		sageclock.Sleep(ctx, time.Duration(v.rng.Int64N(int64(maxVersionGap))))
	}
}

// breakStreams has the engines break off streams in the middle for some time.
func (v *versionFaults) breakStreams(ctx context.Context) {
	s := v.soak
	duration := maxFaultDuration/2 + time.Duration(v.rng.Int64N(int64(maxFaultDuration)))
	s.recordInjected("streams break", duration)
	set := func(share float64) {
		for i := range s.sys.Engines {
			s.sys.Runner(i).InjectFaults(standin.RunnerFaults{Cut: share})
		}
	}
	set(brokenStreams)
	v.pending.Go(func() {
		sageclock.Sleep(ctx, duration)
		set(0)
	})
}

// otherVersion draws a version other than that of engine i.
func (v *versionFaults) otherVersion(i int) string {
	for {
		if version := softwareVersions[v.rng.IntN(len(softwareVersions))]; version != v.soak.sys.Runner(i).Version {
			return version
		}
	}
}

// release replaces one or two engines by another version. The new one starts first, the old one drains.
func (v *versionFaults) release(ctx context.Context) {
	for range 1 + v.rng.IntN(2) {
		v.replace(ctx, v.rng.IntN(v.soak.sys.Engines), false)
	}
}

// restartUnderSameID crashes an engine, which starts again under its ID with another version.
func (v *versionFaults) restartUnderSameID(ctx context.Context) {
	i := v.rng.IntN(v.soak.sys.Engines)
	v.soak.sys.Runner(i).Crash()
	v.replace(ctx, i, true)
}

func (v *versionFaults) replace(ctx context.Context, i int, sameID bool) {
	s := v.soak
	version := v.otherVersion(i)
	old, err := s.sys.ReplaceVersion(i, version, sameID)
	if err != nil {
		s.sys.Ledger.RecordViolation("runner %d was not replaced: %v", i, err)
		return
	}
	s.recordInjected(fmt.Sprintf("%s of version %s replaced by %s", old.ID, old.Version, version), 0)
	if sameID {
		return
	}
	s.leave(func() { old.Drain(standin.MaxDrainDelay, v.checked) })
	v.pending.Go(func() {
		sageclock.Sleep(ctx, releaseDrainTime)
		old.Crash()
		s.sys.Store.Delete("servers", old.ID)
	})
}

// signal kills, stops or freezes one node.
func (v *versionFaults) signal() {
	signals := []struct {
		name string
		sig  syscall.Signal
	}{{"kill", syscall.SIGKILL}, {"term", syscall.SIGTERM}, {"freeze", syscall.SIGSTOP}}
	chosen := signals[v.rng.IntN(len(signals))]
	v.soak.signalFor(&v.pending, chosen.name, chosen.sig, v.rng.IntN(v.soak.Nodes), maxFaultDuration/6+time.Duration(v.rng.Int64N(int64(maxFaultDuration))))
}

// stopAll stops all nodes, at once or one after the other, and starts each again.
func (v *versionFaults) stopAll(sig syscall.Signal, gap time.Duration) {
	for i := range v.soak.Nodes {
		v.soak.signalFor(&v.pending, "stop all: "+sig.String(), sig, i, restartGap)
		time.Sleep(gap)
	}
}

// killAll kills all nodes at once, amid replacements of engines: none, one just before, one while the nodes are down, upgraded in
// place or not, or all of a version by one that may not have served before. It may do so twice in a row, or with the store away
// when the nodes return.
func (v *versionFaults) killAll(ctx context.Context) {
	s, engine := v.soak, v.killRNG.IntN(v.soak.sys.Engines)
	way, twice, storeAway := v.killRNG.IntN(5), v.killRNG.IntN(4) == 0, v.killRNG.IntN(4) == 0
	if way == 1 {
		v.replace(ctx, engine, false)
	}
	if storeAway {
		s.recordInjected("store stalls when the nodes return", restartGap)
		s.sys.Store.SetMode("", standin.ModeStalled)
	}
	v.stopAll(syscall.SIGKILL, 0)
	switch way {
	case 2:
		v.replace(ctx, engine, false)
	case 3:
		v.restartUnderSameID(ctx)
	case 4:
		old := s.sys.Runner(engine).Version
		for i := range s.sys.Engines {
			if s.sys.Runner(i).Version == old {
				v.replace(ctx, i, false)
			}
		}
	}
	sageclock.Sleep(ctx, 2*restartGap)
	if storeAway {
		s.sys.Store.SetMode("", standin.ModeServing)
	}
	if twice {
		v.stopAll(syscall.SIGKILL, 0)
	}
}

// returnCounts counts new streams, and streams that callers took up while enough upstreams of their version served.
type returnCounts struct{ begun, returned tries }

// String returns the counts as served/sent.
func (c returnCounts) String() string {
	return fmt.Sprintf("begun %v, gone on %v", c.begun, c.returned)
}

// countReturns counts the attempts of all callers at nodes in touch.
func (v *versionFaults) countReturns() returnCounts {
	nodes := make(map[string]int)
	for i := range v.soak.Nodes {
		nodes[v.soak.sys.EntryAddress(i)] = i
	}
	var c returnCounts
	for _, t := range v.soak.sys.Ledger.StreamTries() {
		counted := &c.begun
		switch i, ok := nodes[t.Node]; {
		case !ok || !v.soak.inTouch(i, t.SentAt):
			continue
		case t.Version != "" && t.Serving < minServing:
			continue
		case t.Version != "":
			counted = &c.returned
		}
		counted.sent++
		if t.GotEvents {
			counted.served++
		}
	}
	return c
}

// checkReturns checks that streams that callers take up go on about as often as new streams begin.
func (v *versionFaults) checkReturns() {
	c := v.countReturns()
	if v.checked && c.returned.sent >= minReturns && c.returned.ratio() < minReturnRatio*c.begun.ratio() {
		v.soak.sys.Ledger.RecordViolation("streams that callers took up: %v", c)
	}
}
