package sagequarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Parameters of the simulation.
const (
	simUpstreams = 18
	simStep      = 50 * time.Millisecond
	simDuration  = 60 * time.Second
	restartTime  = 4 * time.Second
	// maxLateSends bounds how often the fatal request is still sent later than stopWithin after its third crash.
	stopWithin   = 3 * time.Second
	maxLateSends = 3
	fatalRequest = Fingerprint(1)
	// popularRequests is the number of harmless requests that many callers send.
	popularRequests = 20
)

// running is a request at an upstream.
type running struct {
	request Fingerprint
	until   sageclock.Instant
	retries int
}

// simulation is a service whose upstreams crash spontaneously and under one fatal request. Harmless requests that
// a crash interrupts are retried.
type simulation struct {
	rnd           *rand.Rand
	now           sageclock.Instant
	tracker       *Tracker
	reportSuccess bool
	running       [simUpstreams][]running
	downUntil     [simUpstreams]sageclock.Instant
	lastCrash     CrashID
	nextRequest   Fingerprint
	// fatalCrashes counts the crashes caused by the fatal request, lateSends its sends more than stopWithin after
	// the third one.
	fatalCrashes, lateSends, harmlessRefused, harmlessSent int
	thirdCrash                                             sageclock.Instant
}

func newSimulation(seed uint64, tr *Tracker) *simulation {
	return &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), now: start, tracker: tr, reportSuccess: true, nextRequest: 1000}
}

// send sends a request to a random upstream that is up.
func (p *simulation) send(f Fingerprint, retries int) {
	if quarantined(p.tracker, p.now, f) {
		if f != fatalRequest {
			p.harmlessRefused++
		}
		return
	}
	duration := time.Duration(300+p.rnd.IntN(3700)) * time.Millisecond
	if f == fatalRequest {
		duration = time.Duration(40+p.rnd.IntN(1500)) * time.Millisecond
	}
	for range simUpstreams {
		u := p.rnd.IntN(simUpstreams)
		if p.now >= p.downUntil[u] {
			p.running[u] = append(p.running[u], running{f, p.now.Add(duration), retries})
			if f == fatalRequest && p.thirdCrash != 0 && p.now.Sub(p.thirdCrash) > stopWithin {
				p.lateSends++
			}
			return
		}
	}
}

// crash crashes an upstream and retries the requests that ran there.
func (p *simulation) crash(u int) {
	interrupted := p.running[u]
	p.running[u], p.downUntil[u] = nil, p.now.Add(restartTime)
	p.lastCrash++
	var requests []Fingerprint
	for _, r := range interrupted {
		requests = append(requests, r.request)
	}
	recordCrash(p.tracker, p.now, p.lastCrash, requests...)
	for _, r := range interrupted {
		if r.retries > 0 {
			p.send(r.request, r.retries-1)
		}
	}
}

// step simulates one time step; crashRate is the number of spontaneous crashes per second.
func (p *simulation) step(crashRate float64, fatal bool) {
	p.now = p.now.Add(simStep)
	for range 5 {
		p.harmlessSent++
		f := p.nextRequest
		if p.rnd.Float64() < 0.1 {
			f = 100 + Fingerprint(p.rnd.IntN(popularRequests))
		} else {
			p.nextRequest++
		}
		p.send(f, 2)
	}
	if fatal && p.rnd.Float64() < 1.5*simStep.Seconds() {
		p.send(fatalRequest, 1)
	}
	for u := range p.running {
		p.finish(u)
		if p.rnd.Float64() < crashRate/simUpstreams*simStep.Seconds() {
			p.crash(u)
		}
	}
}

// finish completes the requests of an upstream that are due.
func (p *simulation) finish(u int) {
	var remaining []running
	for _, r := range p.running[u] {
		switch {
		case r.until > p.now:
			remaining = append(remaining, r)
		case r.request == fatalRequest:
			if p.fatalCrashes++; p.fatalCrashes == 3 {
				p.thirdCrash = p.now
			}
			p.crash(u)
			return
		case p.reportSuccess:
			p.tracker.RecordSuccess(p.now, NewRequest(r.request))
		}
	}
	p.running[u] = remaining
}

// result adds up several simulations.
type result struct{ fatalCrashes, maxLateSends, harmlessRefused, harmlessSent int }

// simRuns is the number of simulations that are added up.
const simRuns = 20

// scenario describes which crashes are simulated.
type scenario struct {
	name      string
	crashRate float64 // spontaneous crashes per second
	fatal     bool
}

var scenarios = []scenario{
	{"one fatal request", 0, true},
	{"spontaneous crashes", 0.5, false},
	{"both", 0.5, true},
	{"many spontaneous crashes and a fatal request", 1, true},
}

func (s *scenario) simulate(runs int, reportSuccess bool, threshold int) result {
	var out result
	for seed := range uint64(runs) {
		p := newSimulation(seed, &Tracker{Threshold: threshold})
		p.reportSuccess = reportSuccess
		for range int(simDuration / simStep) {
			p.step(s.crashRate, s.fatal)
		}
		out.fatalCrashes += p.fatalCrashes
		out.maxLateSends = max(out.maxLateSends, p.lateSends)
		out.harmlessRefused += p.harmlessRefused
		out.harmlessSent += p.harmlessSent
	}
	return out
}

// Upstreams crash spontaneously and under a fatal request. Prevents the refusal of harmless requests meanwhile,
// and further sends of the fatal one.
func TestHarmlessRequestsAreServedWhileUpstreamsCrash(t *testing.T) {
	for _, s := range scenarios {
		got := s.simulate(simRuns, true, 0)
		t.Logf("%s: %+v", s.name, got)
		require.LessOrEqual(t, got.maxLateSends, maxLateSends, s.name)
		require.Less(t, got.harmlessRefused, got.harmlessSent/1000, s.name)
	}
}

// BenchmarkPolicies compares the default policy with two others by the requests refused and the upstreams crashed.
func BenchmarkPolicies(b *testing.B) {
	for _, policy := range []struct {
		name          string
		reportSuccess bool
		threshold     int
	}{{"default", true, 0}, {"two crashes", true, 2}, {"no clearing", false, 0}} {
		for _, s := range scenarios {
			b.Run(policy.name+"/"+s.name, func(b *testing.B) {
				for b.Loop() {
					got := s.simulate(1, policy.reportSuccess, policy.threshold)
					b.ReportMetric(float64(got.harmlessRefused), "refused")
					b.ReportMetric(float64(got.fatalCrashes), "ended")
				}
			})
		}
	}
}
