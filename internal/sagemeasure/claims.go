package sagemeasure

import (
	"context"
	"fmt"
	"math/rand"
	"sort"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Load of the claims measurement: one in 50 of 36,000 requests per second is a booking.
const (
	bookingsPerSecond        = 720
	numAccounts              = 32_000
	currentBookingsPerSecond = 5
	claimsDuration           = 1500 * time.Millisecond
	bookingTime              = 300 * time.Millisecond
	storeMinDelay            = 2 * time.Millisecond
	storeJitter              = 4 * time.Millisecond
	maxClockOffset           = time.Second
	claimRetryDelay          = 100 * time.Millisecond
	claimLossRate            = 0.1
)

// claimMethod is one method of committing claims.
type claimMethod struct {
	name        string
	rate        int
	rules       sageclaim.Rules
	batchWindow time.Duration
	// ownObject gives each claim an object of its own.
	ownObject bool
	// lossRate is the fraction of updates whose response is lost, half of them before the update takes
	// effect.
	lossRate   float64
	noReadBack bool
}

// slowStore adds the latency of a platform's store and loses responses.
type slowStore struct {
	sageobject.Store
	mu       sync.Mutex
	rng      *rand.Rand
	lossRate float64
}

// drawDelay returns the delay of a call and a random number that decides whether its response is lost.
func (s *slowStore) drawDelay() (delay time.Duration, lossDraw float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeMinDelay + time.Duration(s.rng.Int63n(int64(storeJitter))), s.rng.Float64()
}

// Get implements [sageobject.Store].
func (s *slowStore) Get(ctx context.Context, key string) (sageobject.Object, error) {
	delay, _ := s.drawDelay()
	time.Sleep(delay)
	return s.Store.Get(ctx, key)
}

// Put implements [sageobject.Store].
func (s *slowStore) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	delay, lossDraw := s.drawDelay()
	time.Sleep(delay)
	if lossDraw < s.lossRate/2 {
		return 0, sageobject.ErrUnknown
	}
	v, err := s.Store.Put(ctx, key, value, want)
	if err == nil && lossDraw < s.lossRate {
		return 0, sageobject.ErrUnknown
	}
	return v, err
}

// Claims compares methods of committing claims through the committer, in real time and with a store
// that responds in 2 to 6 ms. Latencies vary a little from run to run, even with the same seed.
func Claims(seed uint64) ([]Sample, error) {
	rules := func(bucket time.Duration, shards int) sageclaim.Rules {
		return sageclaim.Rules{Bucket: bucket, Shards: shards, Retention: time.Hour, MaxAhead: time.Minute}
	}
	methods := []claimMethod{
		{name: "one write a claim", rate: bookingsPerSecond, ownObject: true, rules: rules(2*time.Second, 4)},
		{name: "one write a claim, today", rate: currentBookingsPerSecond, ownObject: true, rules: rules(2*time.Second, 4)},
		{name: "group, today", rate: currentBookingsPerSecond, rules: rules(2*time.Second, 2), batchWindow: 50 * time.Millisecond},
	}
	for _, layout := range []struct {
		window time.Duration
		shards int
		bucket time.Duration
	}{
		{5 * time.Millisecond, 4, 2 * time.Second}, {25 * time.Millisecond, 4, 500 * time.Millisecond},
		{50 * time.Millisecond, 4, 500 * time.Millisecond}, {50 * time.Millisecond, 2, 500 * time.Millisecond},
		{50 * time.Millisecond, 2, 2 * time.Second}, {50 * time.Millisecond, 4, 2 * time.Second},
		{50 * time.Millisecond, 2, 10 * time.Second}, {100 * time.Millisecond, 2, 2 * time.Second},
	} {
		methods = append(methods, claimMethod{
			name: fmt.Sprintf("group, %v, %d shards, bucket %v", layout.window, layout.shards, layout.bucket),
			rate: bookingsPerSecond, rules: rules(layout.bucket, layout.shards), batchWindow: layout.window,
		})
	}
	methods = append(methods,
		claimMethod{name: "10% lost, read back", rate: bookingsPerSecond, rules: rules(2*time.Second, 2), batchWindow: 50 * time.Millisecond, lossRate: claimLossRate},
		claimMethod{name: "10% lost, taken as unknown", rate: bookingsPerSecond, rules: rules(2*time.Second, 2), batchWindow: 50 * time.Millisecond, lossRate: claimLossRate, noReadBack: true},
	)
	var out []Sample
	for _, m := range methods {
		samples, err := m.run(seed)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		out = append(out, samples...)
	}
	return out, nil
}

// claimResults collects the results of one method.
type claimResults struct {
	mu          sync.Mutex
	latenciesMs []float64
	refused     int
	failed      int
}

func (m *claimMethod) run(seed uint64) ([]Sample, error) {
	rng := rand.New(rand.NewSource(int64(seed)))
	mem := &sageobject.Memory{}
	c := &sageclaim.Committer{
		Store:       &slowStore{Store: mem, rng: rand.New(rand.NewSource(int64(seed) + 1)), lossRate: m.lossRate},
		BatchWindow: m.batchWindow, NoReadBack: m.noReadBack, MaxCachedObjects: 1 << 16,
	}
	var t claimResults
	var wg sync.WaitGroup
	start := time.Now()
	n := 0
	for next := start; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / float64(m.rate) * float64(time.Second)))
		if next.Sub(start) > claimsDuration {
			break
		}
		time.Sleep(time.Until(next))
		created := time.Now().Add(time.Duration((rng.Float64()*2 - 1) * float64(maxClockOffset)))
		b := booking{
			key:         fmt.Sprintf("%d-%016x%04x", created.UnixMilli(), rng.Uint64(), rng.Intn(1<<16)),
			account:     fmt.Sprintf("account-%d", rng.Intn(numAccounts)),
			fingerprint: fmt.Sprintf("%016x", rng.Uint64()),
		}
		for i := range b.ids {
			b.ids[i] = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
		}
		wg.Go(func() { m.commitBooking(c, &t, &b) })
	}
	wg.Wait()
	c.Wait()
	return m.samples(c, mem, &t, n)
}

// booking is one booking. Its fields are random because constant texts would compress better than real
// ones.
type booking struct {
	key, account, fingerprint string
	ids                       [2]string
}

// commitBooking claims, runs and finishes one booking. A claim that the store fails is sent once more,
// under a new claim ID.
func (m *claimMethod) commitBooking(c *sageclaim.Committer, t *claimResults, b *booking) {
	key, err := sageclaim.ParseKey(b.key)
	if err != nil {
		return
	}
	object := m.rules.ObjectKey(b.account, key)
	if m.ownObject {
		object += "/" + b.key
	}
	start := time.Now()
	for _, id := range b.ids {
		e := sageclaim.Entry{
			Op: sageclaim.OpClaim, Account: b.account, Key: key.Text, ClaimID: id,
			Fingerprint: b.fingerprint, Deadline: time.Now().Add(10 * time.Second).UTC(),
		}
		rec, err := c.Commit(context.Background(), object, e)
		if err != nil {
			time.Sleep(claimRetryDelay)
			continue
		}
		if rec.ClaimID != e.ClaimID {
			// Only this booking uses the key: its own first claim took effect although the response was
			// lost, and the booking doesn't run.
			t.update(func() { t.refused++ })
			return
		}
		latency := time.Since(start)
		t.update(func() { t.latenciesMs = append(t.latenciesMs, float64(latency)/float64(time.Millisecond)) })
		time.Sleep(bookingTime)
		e.Op, e.Outcome, e.Status, e.Fingerprint, e.Deadline = sageclaim.OpFinish, sagewire.Complete, 201, "", time.Time{}
		for range 5 {
			if _, err := c.Commit(context.Background(), object, e); err == nil {
				return
			}
		}
		return
	}
	t.update(func() { t.failed++ })
}

// update runs f with the results locked.
func (t *claimResults) update(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

func (m *claimMethod) samples(c *sageclaim.Committer, mem *sageobject.Memory, t *claimResults, n int) ([]Sample, error) {
	metas, err := mem.List(context.Background(), sageclaim.Prefix)
	if err != nil {
		return nil, fmt.Errorf("list claims: %w", err)
	}
	largest, total := 0, 0
	for _, meta := range metas {
		o, err := mem.Get(context.Background(), meta.Key)
		if err != nil {
			return nil, fmt.Errorf("read claims: %w", err)
		}
		largest, total = max(largest, len(o.Value)), total+len(o.Value)
	}
	sort.Float64s(t.latenciesMs)
	quantile := func(q float64) float64 { return t.latenciesMs[int(q*float64(len(t.latenciesMs)-1))] }
	seconds := claimsDuration.Seconds()
	s := c.Stats()
	samples := []Sample{
		{Metric: "claims", Unit: "/s", Value: float64(len(t.latenciesMs)) / seconds},
		{Metric: "added latency, median", Unit: "ms", Value: quantile(0.5)},
		{Metric: "added latency, 99 in 100", Unit: "ms", Value: quantile(0.99)},
		{Metric: "store writes", Unit: "/s", Value: float64(s.Puts) / seconds},
		{Metric: "store reads", Unit: "/s", Value: float64(s.Gets) / seconds},
		{Metric: "written", Unit: "KB/s", Value: float64(s.BytesWritten) / seconds / 1000},
		{Metric: "kept a booking", Unit: "B", Value: float64(total) / float64(n)},
		{Metric: "largest object", Unit: "KB", Value: float64(largest) / 1000},
	}
	if m.lossRate > 0 {
		samples = append(samples,
			Sample{Metric: "bookings refused for nothing", Unit: "in 1000", Value: 1000 * float64(t.refused+t.failed) / float64(n)},
			Sample{Metric: "store calls a booking", Value: float64(s.Puts+s.Gets) / float64(n)})
	}
	for i := range samples {
		samples[i].Scenario, samples[i].Policy = fmt.Sprintf("%d bookings/s", m.rate), m.name
	}
	return samples, nil
}
