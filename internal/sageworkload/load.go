package sageworkload

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Shape of the load.
const (
	turnsPerChat   = 8
	numContexts    = 4
	contextWords   = 120
	messageWords   = 12
	answerTokens   = 24
	duplicateEvery = 3                     // every third booking is sent twice
	maxPause       = 40 * time.Millisecond // between the requests of a caller
	requestTimeout = 15 * time.Second
)

// Load sends requests until a fixed time. Its exported fields must be set before Run.
type Load struct {
	// Entries are the addresses that callers ask which router to connect to.
	Entries []string
	// Key is the API key of the client account.
	Key     string
	Model   string
	Service string
	// ChatCallers and BookingCallers are the numbers of concurrent callers of each kind.
	ChatCallers    int
	BookingCallers int
	Seed           int64
	Until          time.Time

	counter counter
}

// Run sends requests until l.Until, waits for the outstanding responses and returns the counts.
func (l *Load) Run(ctx context.Context) Tally {
	l.counter.bookings = make(map[string]*bookingOutcomes)
	var wg sync.WaitGroup
	for i := range l.ChatCallers {
		wg.Go(func() { l.runChats(ctx, rand.New(rand.NewSource(l.Seed+int64(i)))) })
	}
	for i := range l.BookingCallers {
		wg.Go(func() { l.runBookings(ctx, rand.New(rand.NewSource(l.Seed-int64(i)-1))) })
	}
	wg.Wait()
	return l.counter.tally
}

func (l *Load) caller() *sagecaller.Caller {
	return &sagecaller.Caller{Entries: l.Entries, Key: l.Key, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

func (l *Load) running(ctx context.Context) bool {
	return ctx.Err() == nil && time.Now().Before(l.Until)
}

// randomWords returns n words drawn from rng.
func randomWords(rng *rand.Rand, n int) string {
	s := ""
	for range n {
		s += fmt.Sprintf("w%d ", rng.Intn(1000))
	}
	return s
}

// runChats simulates one chat caller. Every turn sends the whole history; after turnsPerChat turns a
// new chat begins.
func (l *Load) runChats(ctx context.Context, rng *rand.Rand) {
	c := l.caller()
	for l.running(ctx) {
		shared := rng.Intn(numContexts)
		system := randomWords(rand.New(rand.NewSource(int64(shared))), contextWords)
		chat := fmt.Sprintf("chat-%x", rng.Uint64())
		history := []sagestandin.Message{{Role: "system", Content: system}}
		for turn := 0; turn < turnsPerChat && l.running(ctx); turn++ {
			history = append(history, sagestandin.Message{Role: "user", Content: randomWords(rng, messageWords)})
			req := &sagestandin.ChatRequest{Model: l.Model, Messages: history, Stream: turn%2 == 0, MaxTokens: answerTokens}
			result := c.Chat(ctx, req, sagecaller.Options{
				ChatID: chat, Context: fmt.Sprintf("context-%d", shared),
				Priority: sagewire.Priority(rng.Intn(sagewire.NumPriorities)), Deadline: time.Now().Add(requestTimeout),
			})
			l.counter.add(result)
			if result.Outcome != sagewire.Complete {
				l.waitForRetry(ctx, result)
				continue
			}
			history = append(history, sagestandin.Message{Role: "assistant", Content: "noted"})
			time.Sleep(time.Duration(rng.Int63n(int64(maxPause))))
		}
	}
}

// waitForRetry waits until the retry time named by a refusal, but no longer than l.Until.
func (l *Load) waitForRetry(ctx context.Context, result sagecaller.Result) {
	retryAt := time.Now().Add(maxPause)
	if result.Refusal != nil && result.Refusal.RetryAt.After(retryAt) {
		retryAt = result.Refusal.RetryAt
	}
	if retryAt.After(l.Until) {
		retryAt = l.Until
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(retryAt)):
	}
}

// runBookings simulates one booking caller. Every duplicateEvery-th booking is sent twice concurrently,
// over two connections.
func (l *Load) runBookings(ctx context.Context, rng *rand.Rand) {
	caller, duplicateCaller := l.caller(), l.caller()
	for n := 0; l.running(ctx); n++ {
		key := uuid.Must(uuid.NewV7()).String()
		body := []byte(fmt.Sprintf(`{"item":%q,"n":%d}`, randomWords(rng, 2), n))
		sendBooking := func(c *sagecaller.Caller, chat string) {
			result := c.Service(ctx, http.MethodPost, l.Service+"/bookings", body, sagecaller.Options{ChatID: chat, IdempotencyKey: key, Deadline: time.Now().Add(requestTimeout)})
			l.counter.addBooking(key, result)
			if result.Outcome != sagewire.Complete && result.Outcome != sagewire.AlreadyRun {
				l.waitForRetry(ctx, result)
			}
		}
		var wg sync.WaitGroup
		wg.Go(func() { sendBooking(caller, key) })
		if n%duplicateEvery == 0 {
			wg.Go(func() { sendBooking(duplicateCaller, key+"-repeat") })
		}
		wg.Wait()
		time.Sleep(time.Duration(rng.Int63n(int64(maxPause))))
	}
}

// Audit compares the outcomes that callers received for bookings with the executions that the
// applications counted.
type Audit struct {
	Bookings int `json:"bookings"`
	// ExecutedTwice counts keys that were executed more than once.
	ExecutedTwice int `json:"executed_twice"`
	// FalseNotRun counts keys that were executed although every caller received "not run".
	FalseNotRun int `json:"false_not_run"`
	// FalseComplete counts keys that were never executed although a caller received "complete".
	FalseComplete int `json:"false_complete"`
}

// Audit compares the outcomes of the bookings with the number of executions of each key.
func (l *Load) Audit(executions map[string]int) Audit {
	l.counter.mu.Lock()
	defer l.counter.mu.Unlock()
	audit := Audit{Bookings: len(l.counter.bookings)}
	for key, outcomes := range l.counter.bookings {
		n := executions[key]
		if n > 1 {
			audit.ExecutedTwice++
		}
		if n > 0 && outcomes.notRun > 0 && outcomes.complete+outcomes.unknown+outcomes.alreadyRun == 0 {
			audit.FalseNotRun++
		}
		if n == 0 && outcomes.complete > 0 {
			audit.FalseComplete++
		}
	}
	return audit
}
