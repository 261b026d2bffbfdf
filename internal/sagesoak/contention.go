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

// Parameters of contention.
const (
	contendedSlots     = 6
	contendedQueue     = 24
	contendedRun       = 60 * time.Millisecond
	contendedSpread    = 0.3
	contendedMaxConns  = 200
	contendedMaxBytes  = 32 << 20
	contendedKeepAlive = 5 * time.Second
	contendedObjective = 400 * time.Millisecond
	contendedDeadline  = 2 * time.Second

	smallAccounts = 4
	floodAccounts = 2
	smallRate     = 15.0 // requests per second
	usualRate     = 10.0 // of an account that floods at times
	slowRate      = 3.0  // of accounts that send and get large bodies
	maxFlood      = 4.0  // of an account, in times the capacity of all applications
	largeResponse = 2 << 20
	largeBody     = 256 << 10
	slowReadRate  = 4 << 20   // bytes per second, of a caller of large responses
	slowestRate   = 128 << 10 // bytes per second, at which applications read bodies at times
	slowRun       = 4.0       // times the usual run

	maxContentionGap     = 600 * time.Millisecond
	minContentionTime    = 700 * time.Millisecond
	maxContentionTime    = 3 * time.Second
	maxContentionSeries  = 3
	contendedDeclines    = 20 // in a second, beyond which an application falls over, in seeds where it does
	allowedFallsEach     = 2
	servedAgainTime      = settleTime / 2 // after the last fault, from which accounts must be served again
	minServedAgainTries  = 20
	minServedAgainShare  = 0.9
	repeatingCallerShare = 0.3
)

// contentionFaults has accounts ask for more than the applications can run, and makes applications, callers and nodes slow
// or lost meanwhile. It uses its own random numbers, so that the other faults of a seed don't depend on it. Without other
// faults it is checked that applications aren't declined into falling over.
type contentionFaults struct {
	soak    *Soak
	rng     *rand.Rand
	checked bool
	load    *standin.Load
	floods  []*standin.LoadAccount
	brittle bool
	paths   *pathFaults
	pending sync.WaitGroup

	mu      sync.Mutex
	slow    map[int]int // number of faults that slow an application down, by index
	endedAt time.Time
}

// newContentionFaults returns the contention of the seed, or nil if the soak has none.
func (s *Soak) newContentionFaults() *contentionFaults {
	if !s.Contention {
		return nil
	}
	rng := rand.New(rand.NewPCG(s.Seed, 7))
	return &contentionFaults{soak: s, rng: rng, checked: s.NoFaults, brittle: rng.IntN(3) == 0, paths: &pathFaults{soak: s, rng: rng}, slow: make(map[int]int)}
}

// configure sets the capacity of the applications and the accounts of a system before its start.
func (c *contentionFaults) configure(sys *standin.System) {
	sys.Accounts, sys.AppSlots = smallAccounts+floodAccounts+2, contendedSlots
	sys.AppCapacity = func(i int) *standin.Capacity {
		return &standin.Capacity{
			Queue: contendedQueue, MeanRun: contendedRun, RunSpread: contendedSpread, MaxConns: contendedMaxConns, MaxBodyBytes: contendedMaxBytes,
			KeepAlive: contendedKeepAlive, Seed: c.soak.Seed + uint64(i),
		}
	}
}

// prepare makes the callers of a system that was started, which send at their usual rates.
func (c *contentionFaults) prepare() {
	sys := c.soak.sys
	c.load = &standin.Load{
		Kinds: []standin.Kind{standin.Booking, standin.Lookup}, Objective: contendedObjective, Deadline: contendedDeadline, Ledger: &sys.Ledger, Seed: c.soak.Seed,
	}
	var nodes []string
	for i := range c.soak.Nodes {
		nodes = append(nodes, sys.EntryAddress(i))
	}
	c.load.SetNodes(nodes...)
	for i := range sys.Accounts {
		c.load.Accounts = append(c.load.Accounts, &standin.LoadAccount{Name: fmt.Sprint("account-", i), Key: sys.AccountKey(i)})
	}
	c.floods = c.load.Accounts[smallAccounts : smallAccounts+floodAccounts]
	c.floods[0].Nodes = []string{sys.EntryAddress(c.rng.IntN(c.soak.Nodes))}
	c.floods[1].RepeatShare = repeatingCallerShare
	reader, sender := c.load.Accounts[smallAccounts+floodAccounts], c.load.Accounts[smallAccounts+floodAccounts+1]
	reader.ResponseBytes, reader.ReadRate = largeResponse, slowReadRate
	sender.BodyBytes = largeBody
	c.setUsualRates()
	for i := range sys.Apps {
		app := sys.Runner(sys.Engines + i)
		app.Capacity.SetLoadReport(standin.LoadTrue, i%2 == 0)
		if c.brittle {
			app.SetBrittle(contendedDeclines, contendedQueue)
		}
	}
}

func (c *contentionFaults) setUsualRates() {
	for i, a := range c.load.Accounts {
		switch {
		case i < smallAccounts:
			a.SetRate(smallRate)
		case i < smallAccounts+floodAccounts:
			a.SetRate(usualRate)
		default:
			a.SetRate(slowRate)
		}
	}
}

// capacity returns the number of requests that the applications can run in a second.
func (c *contentionFaults) capacity() float64 {
	return float64(c.soak.sys.Apps) * contendedSlots / contendedRun.Seconds()
}

// run injects faults until the soak's duration has passed. Those of one kind follow each other in series.
func (c *contentionFaults) run(ctx context.Context) {
	s := c.soak
	c.flood(ctx)
	for s.injects(ctx) {
		kind := c.rng.IntN(10)
		for range 1 + c.rng.IntN(maxContentionSeries) {
			c.inject(ctx, kind)
			sageclock.Sleep(ctx, seriesInterval)
		}
		sageclock.Sleep(ctx, time.Duration(c.rng.Int64N(int64(maxContentionGap))))
	}
}

// inject injects a fault of a kind.
func (c *contentionFaults) inject(ctx context.Context, kind int) {
	switch kind {
	case 0, 1, 2:
		c.flood(ctx)
	case 3, 4:
		c.slowDown(ctx)
	case 5:
		c.readSlowly(ctx)
	case 6:
		c.misreport()
	case 7, 8:
		c.signal()
	default:
		c.paths.cut(ctx)
	}
}

// during calls begin, and end after a random time.
func (c *contentionFaults) during(ctx context.Context, name string, begin, end func()) {
	duration := minContentionTime + time.Duration(c.rng.Int64N(int64(maxContentionTime-minContentionTime)))
	c.soak.recordInjected(name, duration)
	begin()
	c.pending.Go(func() {
		sageclock.Sleep(ctx, duration)
		end()
	})
}

// flood has an account ask for more than the capacity of the applications.
func (c *contentionFaults) flood(ctx context.Context) {
	a, times := c.floods[c.rng.IntN(len(c.floods))], 1+(maxFlood-1)*c.rng.Float64()
	c.during(ctx, fmt.Sprintf("%s asks for %.1f of the capacity", a.Name, times), func() { a.SetRate(times * c.capacity()) }, func() { a.SetRate(usualRate) })
}

// slowDown slows an application down, or all of them.
func (c *contentionFaults) slowDown(ctx context.Context) {
	apps := []int{c.rng.IntN(c.soak.sys.Apps)}
	if c.rng.IntN(4) == 0 {
		apps = apps[:0]
		for i := range c.soak.sys.Apps {
			apps = append(apps, i)
		}
	}
	c.during(ctx, fmt.Sprintf("applications %v slow", apps), func() { c.addSlow(apps, 1) }, func() { c.addSlow(apps, -1) })
}

// addSlow changes the number of faults that slow applications down.
func (c *contentionFaults) addSlow(apps []int, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range apps {
		c.slow[i] += n
		times := 1.0
		if c.slow[i] > 0 {
			times = slowRun
		}
		c.app(i).Capacity.SetSlowdown(times)
	}
}

// readSlowly has the applications read bodies slowly.
func (c *contentionFaults) readSlowly(ctx context.Context) {
	set := func(rate int) {
		for i := range c.soak.sys.Apps {
			c.app(i).Capacity.SetReadRate(rate)
		}
	}
	c.during(ctx, "applications read slowly", func() { set(slowestRate) }, func() { set(0) })
}

// misreport has an application state its load truly or not.
func (c *contentionFaults) misreport() {
	i, report := c.rng.IntN(c.soak.sys.Apps), standin.LoadReports[c.rng.IntN(len(standin.LoadReports))]
	c.soak.recordInjected(fmt.Sprintf("load of application %d: %v", i, report), 0)
	c.app(i).Capacity.SetLoadReport(report, c.rng.IntN(2) == 0)
}

// signal kills, stops or freezes a node.
func (c *contentionFaults) signal() {
	signals := []struct {
		name string
		sig  syscall.Signal
	}{{"kill", syscall.SIGKILL}, {"term", syscall.SIGTERM}, {"freeze", syscall.SIGSTOP}}
	chosen := signals[c.rng.IntN(len(signals))]
	c.soak.signalFor(&c.pending, chosen.name, chosen.sig, c.rng.IntN(c.soak.Nodes), minContentionTime+time.Duration(c.rng.Int64N(int64(maxContentionTime))))
}

// app returns an application by its index among the applications.
func (c *contentionFaults) app(i int) *standin.Runner {
	return c.soak.sys.Runner(c.soak.sys.Engines + i)
}

// end waits for the end of all faults, and sets the usual rates again.
func (c *contentionFaults) end() {
	c.pending.Wait()
	c.paths.pending.Wait()
	c.setUsualRates()
	for i := range c.soak.sys.Apps {
		c.app(i).Capacity.SetSlowdown(1)
		c.app(i).Capacity.SetReadRate(0)
	}
	c.endedAt = time.Now()
}

// falls returns the number of falls of each application.
func (c *contentionFaults) falls() []int {
	var out []int
	for i := range c.soak.sys.Apps {
		out = append(out, c.app(i).Falls())
	}
	return out
}

// check checks that accounts are served again after the faults, and that applications didn't fall over again and again.
func (c *contentionFaults) check() {
	l := &c.soak.sys.Ledger
	for _, a := range c.load.Accounts[:smallAccounts+floodAccounts] {
		n := c.load.Count(a.Name, c.endedAt.Add(servedAgainTime), c.endedAt.Add(settleTime))
		if served := n.InObjective + n.Late; n.Asked >= minServedAgainTries && float64(served) < minServedAgainShare*float64(n.Asked) {
			l.RecordViolation("only %d of %d requests of %s were served from %v after the last fault on", served, n.Asked, a.Name, servedAgainTime)
		}
	}
	if !c.checked {
		return
	}
	for i, falls := range c.falls() {
		if falls > allowedFallsEach {
			l.RecordViolation("application %d was declined into %d falls", i, falls)
		}
	}
}

// summary returns what became of requests and what the applications saw.
func (c *contentionFaults) summary() string {
	n := c.load.Count("", time.Time{}, time.Now())
	var declined, resets, crashes int64
	for i := range c.soak.sys.Apps {
		capacity := c.app(i).Capacity
		declined, resets, crashes = declined+capacity.Declined(), resets+capacity.ResetConns(), crashes+capacity.MemoryCrashes()
	}
	var runs, unanswered int
	for _, r := range c.soak.sys.Ledger.CountRuns(time.Time{}, time.Now()) {
		runs, unanswered = runs+r.Runs, unanswered+r.Unanswered
	}
	return fmt.Sprintf("asked %d, in the objective %d, late %d, refused %d, failed %d; came back as asked %d, refused twice %d; applications ran %d, %d of them for nobody, declined %d, reset %d connections, crashed by bodies %d, falls %v",
		n.Asked, n.InObjective, n.Late, n.RefusedOnce, n.Failed, n.Returned, n.RefusedTwice, runs, unanswered, declined, resets, crashes, c.falls())
}
