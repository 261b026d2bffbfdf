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

// Parameters of a soak.
const (
	numCallers       = 6
	requestInterval  = 30 * time.Millisecond // mean time between two requests of a caller
	maxFaultGap      = 900 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	maxSeries        = 5 // faults in a series
	seriesInterval   = 150 * time.Millisecond
	settleTime       = 6 * time.Second // between the end of all faults and the recovery check
	recoveryRequests = 60              // number of requests in the recovery check
	minServedShare   = 0.9             // minimum share of them that must be served
)

// faultFamily is a group of faults. The seed determines which families a soak uses.
type faultFamily int

const (
	plannedFaults  faultFamily = iota // stops, reloads, configuration and key changes, drains, deregistrations
	upstreamFaults                    // failing upstreams
	networkFaults                     // network paths to upstreams
	storeFaults                       // the platform's store
	nodeFaults                        // killed and frozen nodes
	numFamilies
)

// Result is the result of a soak.
type Result struct {
	Seed       uint64         `json:"seed"`
	Violations []string       `json:"faults"`
	Counts     map[string]int `json:"counts"`
	// InjectedFaults lists the injected faults in chronological order.
	InjectedFaults []string `json:"done"`
	// PathShares are the shares of first tries that nodes with and without a path served, by second of each cut.
	PathShares []string `json:"path_shares,omitempty"`
	// Returns says how many new streams began, and how many that callers took up went on.
	Returns string `json:"returns,omitempty"`
	// Parts says what became of requests with fatal parts, and of sound ones beside them.
	Parts string `json:"parts,omitempty"`
	// Stops says what became of long requests at nodes that stopped.
	Stops string `json:"stops,omitempty"`
	// Contention says what became of the requests of accounts that ask for too much, and of others beside them.
	Contention string `json:"contention,omitempty"`
}

// Soak is one run. Its exported fields must be set before Run is called.
type Soak struct {
	Seed     uint64
	Program  string
	Dir      string
	Nodes    int
	Duration time.Duration
	// NoFaults disables the injection of faults. Callers still send requests.
	NoFaults bool
	// Series injects faults in series of one family, so that more of them overlap.
	Series bool
	// Restores replaces the store's content by earlier copies, beside the other faults.
	Restores bool
	// Paths cuts nodes from upstreams and makes upstreams brittle or unresponsive, beside the other faults.
	Paths bool
	// Versions has several software versions serve side by side, which replace each other, breaks streams and stops nodes,
	// beside the other faults.
	Versions bool
	// Parts has parts of prompts crash engines, which also crash for other reasons, and stops nodes meanwhile, beside the
	// other faults.
	Parts bool
	// Contention has accounts ask for more than the applications can run, applications turn slow and state useless load
	// figures, callers and applications read slowly, and nodes stopped and cut off meanwhile, beside the other faults.
	Contention bool
	// Retries has all upstreams of a service fail, and many nodes killed and frozen meanwhile, beside the other faults.
	Retries bool
	// Responses has upstreams repeat responses late, leave the ID out of rejections, and send bytes that never end, beside the
	// other faults.
	Responses bool
	// Stops has nodes stop under requests that run for long, beside the other faults.
	Stops bool

	sys            *standin.System
	rng            *rand.Rand
	announceRNG    *rand.Rand // draws what upstreams announce in responses
	enabled        [numFamilies]bool
	mu             sync.Mutex
	proxies        map[string]*proxy // by the address that the runner registers
	injected       []string
	faultyNodes    map[int]bool // nodes that a fault currently affects
	nodeFaults     []*nodeFault
	pendingReverts sync.WaitGroup
	start          time.Time
	fatal          *fatalRequest     // nil if no request crashes upstreams
	restorer       *restorer         // nil without restores of the store
	paths          *pathFaults       // nil without path faults
	versions       *versionFaults    // nil without version faults
	parts          *partFaults       // nil without fatal parts
	contention     *contentionFaults // nil without contention
	retries        *retryFaults      // nil without failures of whole services
	responses      *responseFaults   // nil without bytes beside responses
	stops          *stopFaults       // nil without stops under long requests
}

// Run runs the soak and returns the violations that it found. It returns an error if the soak can't be run.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	s.rng = rand.New(rand.NewPCG(s.Seed, 0))
	s.announceRNG = rand.New(rand.NewPCG(s.Seed, 2))
	s.faultyNodes, s.proxies = make(map[int]bool), make(map[string]*proxy)
	for f := range s.enabled {
		s.enabled[f] = s.rng.IntN(5) < 3
	}
	s.fatal = s.newFatalRequest()
	s.restorer = s.newRestorer()
	s.paths = s.newPathFaults()
	s.versions = s.newVersionFaults()
	s.parts = s.newPartFaults()
	s.contention = s.newContentionFaults()
	s.retries = s.newRetryFaults()
	s.responses = s.newResponseFaults()
	s.stops = s.newStopFaults()
	s.sys = &standin.System{FatalBody: fatalBody, OnFatalCrash: s.handleCrash, Nodes: s.Nodes, Engines: 4, Apps: 3, Program: s.Program, Dir: s.Dir, Subnet: int(s.Seed%200) + 20, Advertise: s.advertise}
	if s.parts != nil {
		s.parts.configure(s.sys)
	}
	if s.versions != nil {
		s.sys.EngineVersions = softwareVersions[:2]
	}
	if s.contention != nil {
		s.contention.configure(s.sys)
	}
	if s.stops != nil {
		s.sys.RouteTimeout = longTimeout
	}
	defer s.sys.Stop()
	if err := s.sys.Start(ctx); err != nil {
		return Result{}, fmt.Errorf("start system: %w", err)
	}
	s.start = time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range numCallers {
		wg.Go(func() { s.sendLoop(loadCtx, i) })
	}
	if s.fatal != nil {
		wg.Go(func() { s.fatal.sendLoop(loadCtx) })
	}
	var others sync.WaitGroup
	if s.restorer != nil {
		others.Go(func() { s.restorer.run(ctx) })
	}
	if s.paths != nil {
		for i := range s.Nodes {
			wg.Go(func() { s.paths.sendLoop(loadCtx, i) })
		}
		others.Go(func() { s.paths.run(ctx) })
	}
	if s.versions != nil {
		others.Go(func() { s.versions.run(ctx) })
	}
	if s.parts != nil {
		others.Go(func() { s.parts.run(ctx) })
	}
	if s.contention != nil {
		s.contention.prepare()
		wg.Go(func() { s.contention.load.Run(loadCtx) })
		others.Go(func() { s.contention.run(ctx) })
	}
	if s.retries != nil {
		others.Go(func() { s.retries.run(ctx) })
	}
	if s.responses != nil {
		others.Go(func() { s.responses.run(ctx) })
	}
	if s.stops != nil {
		others.Go(func() { s.stops.run(ctx) })
	}
	s.injectFaults(ctx)
	s.pendingReverts.Wait()
	others.Wait()
	if s.stops != nil {
		s.stops.pending.Wait()
	}
	if s.retries != nil {
		s.retries.pending.Wait()
	}
	if s.versions != nil {
		s.versions.pending.Wait()
	}
	if s.paths != nil {
		s.paths.pending.Wait()
	}
	if s.restorer != nil {
		s.restorer.pending.Wait()
		s.restorer.checkRegistered(ctx)
	}
	if s.parts != nil {
		s.parts.pending.Wait()
		s.parts.check()
	}
	if s.contention != nil {
		s.contention.end()
	}
	sageclock.Sleep(ctx, settleTime)
	if s.fatal != nil {
		s.fatal.checkStopped()
	}
	s.checkRecovery(ctx)
	stop()
	wg.Wait()
	s.checkLateRuns()
	if s.versions != nil {
		s.versions.checkReturns()
	}
	if s.contention != nil {
		s.contention.check()
	}
	if s.fatal != nil {
		s.fatal.pendingReplacements.Wait()
	}
	for _, text := range s.sys.Ledger.CheckRetries(standin.SystemRetryLimit()) {
		s.sys.Ledger.RecordViolation("%s", text)
	}
	out := Result{Seed: s.Seed, Violations: s.sys.Ledger.Violations(), Counts: s.sys.Ledger.Counts(), InjectedFaults: s.injected}
	if s.paths != nil {
		out.PathShares = s.paths.shares
	}
	if s.parts != nil {
		out.Parts = s.parts.summary()
	}
	if s.stops != nil {
		out.Stops = s.stops.summary()
	}
	if s.contention != nil {
		out.Contention = s.contention.summary()
	}
	if s.versions != nil {
		out.Returns = s.versions.countReturns().String()
	}
	return out, nil
}

func (s *Soak) advertise(address string) (string, error) {
	p := &proxy{target: address}
	registered, err := p.listen()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxies[registered] = p
	return registered, err
}

// proxy returns the proxy in front of the current runner i.
func (s *Soak) proxy(i int) *proxy {
	address := s.sys.Runner(i).Address()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proxies[address]
}

// requestKinds are the kinds of requests that callers send.
var requestKinds = []standin.Kind{standin.Chat, standin.Reply, standin.Booking, standin.Lookup}

func (s *Soak) sendLoop(ctx context.Context, i int) {
	c := s.sys.Caller(i)
	defer c.Close()
	for ctx.Err() == nil {
		go c.Do(context.WithoutCancel(ctx), requestKinds[rand.IntN(len(requestKinds))])
		sageclock.Sleep(ctx, requestInterval/2+rand.N(requestInterval))
	}
}

// injectFaults injects faults until Duration has passed.
func (s *Soak) injectFaults(ctx context.Context) {
	for s.injects(ctx) {
		if !s.NoFaults {
			s.injectSeries(ctx)
		}
		sageclock.Sleep(ctx, time.Duration(s.rng.Int64N(int64(maxFaultGap))))
	}
}

// injects reports whether faults are still injected.
func (s *Soak) injects(ctx context.Context) bool {
	return time.Since(s.start) < s.Duration && ctx.Err() == nil
}

// injectSeries injects a fault, or a series of faults of one family.
func (s *Soak) injectSeries(ctx context.Context) {
	f := faultFamily(s.rng.IntN(int(numFamilies)))
	s.injectFault(f)
	if !s.Series {
		return
	}
	for range s.rng.IntN(maxSeries) {
		sageclock.Sleep(ctx, seriesInterval)
		s.injectFault(f)
	}
}

// injectFault injects one fault of a family and schedules its end.
func (s *Soak) injectFault(f faultFamily) {
	duration := maxFaultDuration/6 + time.Duration(s.rng.Int64N(int64(maxFaultDuration)))
	if !s.enabled[f] {
		return
	}
	var revert func()
	name := ""
	switch f {
	case plannedFaults:
		name, revert = s.injectPlanned(duration)
	case upstreamFaults:
		name, revert = s.injectUpstream()
	case networkFaults:
		name, revert = s.injectNetwork()
	case storeFaults:
		name, revert = s.injectStore()
	case nodeFaults:
		name, revert = s.injectNode()
	}
	if name == "" {
		return
	}
	s.recordInjected(name, duration)
	if revert != nil {
		s.pendingReverts.Go(func() { time.Sleep(duration); revert() })
	}
}

// recordInjected records an injected fault.
func (s *Soak) recordInjected(name string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected, fmt.Sprintf("%.1fs %s for %.1fs", time.Since(s.start).Seconds(), name, duration.Seconds()))
}

// delayBoundsApply reports whether upstreams that leave must receive no requests after the bound. Without faults of the
// store and of nodes, which version faults stop too, every node learns of the change in time.
func (s *Soak) delayBoundsApply() bool {
	return !s.enabled[storeFaults] && !s.enabled[nodeFaults] && s.versions == nil && s.parts == nil && s.contention == nil && s.retries == nil
}

func (s *Soak) randomRunner() *standin.Runner { return s.sys.Runner(s.rng.IntN(len(s.sys.Runners))) }

func (s *Soak) injectPlanned(time.Duration) (string, func()) {
	r := s.randomRunner()
	switch s.rng.IntN(6) {
	case 0:
		s.sys.Configure()
		return "configuration", nil
	case 1:
		s.sys.RotateKey()
		return "revoke", nil
	case 2:
		if s.announceRNG.IntN(2) == 0 {
			r.AnnounceLeaving()
			return "announce leaving " + r.ID, r.MarkReady
		}
		s.leave(func() { r.Drain(standin.MaxDrainDelay, s.delayBoundsApply()) })
		return "drain " + r.ID, r.MarkReady
	case 3:
		s.leave(func() { r.Deregister(standin.MaxDrainDelay, s.delayBoundsApply()) })
		return "withdraw " + r.ID, r.MarkReady
	case 4:
		i := s.rng.IntN(s.Nodes)
		s.sys.Signal(i, syscall.SIGHUP)
		return fmt.Sprintf("hup %d", i), nil
	}
	return s.signalNode("term", syscall.SIGTERM)
}

// leave lets a runner leave, once the store isn't away for a restore.
func (s *Soak) leave(f func()) {
	if s.restorer != nil {
		s.restorer.away.RLock()
		defer s.restorer.away.RUnlock()
	}
	f()
}

// declinePauses are the values of Retry-After in responses of a declining upstream; 0 means none.
var declinePauses = [...]float64{0, 0.8, 2, 3.5}

func (s *Soak) injectUpstream() (string, func()) {
	r := s.randomRunner()
	faults := [...]standin.RunnerFaults{{Errors: 0.4}, {Hang: 0.3}, {Cut: 0.4}, {Lost: 0.3}, {Declined: 0.5}, {Foreign: 0.2}, {SlowTimes: 5}}[s.rng.IntN(7)]
	if faults.Declined > 0 {
		faults.RetryAfter = declinePauses[s.announceRNG.IntN(len(declinePauses))]
	}
	r.InjectFaults(faults)
	return fmt.Sprintf("%s %+v", r.ID, faults), func() { r.InjectFaults(standin.RunnerFaults{}) }
}

func (s *Soak) injectNetwork() (string, func()) {
	i := s.rng.IntN(len(s.sys.Runners))
	mode := 1 + linkMode(s.rng.IntN(int(numLinkModes)-1))
	p, r := s.proxy(i), s.sys.Runner(i)
	r.SetUnreachable(true)
	p.setMode(mode)
	return fmt.Sprintf("network path to %s: mode %d", r.ID, mode), func() { p.setMode(linkOpen); r.SetUnreachable(false) }
}

func (s *Soak) injectStore() (string, func()) {
	endpoint := ""
	if s.rng.IntN(2) == 0 {
		endpoint = s.sys.StoreEndpoint(s.rng.IntN(s.Nodes))
	}
	switch s.rng.IntN(4) {
	case 0:
		s.sys.Store.DropHistory()
		return "store history dropped", nil
	case 1:
		s.sys.Store.SetDelay(300 * time.Millisecond)
		return "store slow", func() { s.sys.Store.SetDelay(0) }
	}
	m := [...]standin.Mode{standin.ModeBusy, standin.ModeStalled, standin.ModeReset}[s.rng.IntN(3)]
	s.sys.Store.SetMode(endpoint, m)
	return fmt.Sprintf("store %s at %q", m, endpoint), func() { s.sys.Store.SetMode(endpoint, standin.ModeServing) }
}

// checkRecovery checks that the system serves requests again, and that no streams were cut if only planned
// faults were injected.
func (s *Soak) checkRecovery(ctx context.Context) {
	if !s.enabled[upstreamFaults] && !s.enabled[networkFaults] && !s.enabled[nodeFaults] && !s.disturbs() {
		for _, k := range []standin.Kind{standin.Chat, standin.Reply} {
			if n := s.sys.Ledger.Counts()[string(k)+" cut"]; n > 0 {
				s.sys.Ledger.RecordViolation("%d streams of kind %s were cut although only planned faults were injected", n, k)
			}
		}
	}
	c, served := s.sys.Caller(0), 0
	for i := range recoveryRequests {
		if c.Do(ctx, requestKinds[i%len(requestKinds)]) == "200" {
			served++
		}
	}
	if float64(served) < minServedShare*recoveryRequests {
		s.sys.Ledger.RecordViolation("only %d of %d requests were served %v after the last fault", served, recoveryRequests, settleTime)
	}
}
