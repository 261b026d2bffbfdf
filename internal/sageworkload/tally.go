package sageworkload

import (
	"sync"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Tally counts the results of requests.
type Tally struct {
	Requests   int `json:"requests"`
	Complete   int `json:"complete"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	AlreadyRun int `json:"already_run"`
	// Lost counts requests that ended without an outcome.
	Lost int `json:"lost"`
	// WrongAnswers counts responses that don't match their request, and invalid outcomes.
	WrongAnswers int      `json:"wrong"`
	PromptTokens int      `json:"prompt_tokens"`
	CachedTokens int      `json:"cached_tokens"`
	Problems     []string `json:"problems,omitempty"`
}

// maxProblems is the maximum number of problem descriptions that a Tally keeps.
const maxProblems = 10

// Add counts one result.
func (t *Tally) Add(result sagecaller.Result) {
	t.Requests++
	switch {
	case result.Err != nil:
		t.Lost++
		t.addProblem("no outcome through entry " + result.Entry + ": " + result.Err.Error())
		return
	case result.Mismatch != "":
		t.WrongAnswers++
		t.addProblem("wrong answer through entry " + result.Entry + ": " + result.Mismatch)
		return
	}
	switch result.Outcome {
	case sagewire.Complete:
		t.Complete++
		t.PromptTokens += result.PromptTokens
		t.CachedTokens += result.CachedTokens
	case sagewire.NotRun:
		t.NotRun++
	case sagewire.Unknown:
		t.Unknown++
	case sagewire.AlreadyRun:
		t.AlreadyRun++
	default:
		t.WrongAnswers++
		t.addProblem("invalid outcome " + string(result.Outcome))
	}
}

func (t *Tally) addProblem(problem string) {
	if len(t.Problems) < maxProblems {
		t.Problems = append(t.Problems, problem)
	}
}

// CacheReuse returns the fraction of prompt tokens that were cached, or 0 if there were none.
func (t *Tally) CacheReuse() float64 {
	if t.PromptTokens == 0 {
		return 0
	}
	return float64(t.CachedTokens) / float64(t.PromptTokens)
}

// counter is a Tally shared by the callers of a load.
type counter struct {
	mu    sync.Mutex
	tally Tally
	// bookings holds the outcomes that callers received, by idempotency key.
	bookings map[string]*bookingOutcomes
}

// bookingOutcomes counts the outcomes that callers received for one idempotency key.
type bookingOutcomes struct {
	complete, notRun, unknown, alreadyRun int
}

func (c *counter) add(result sagecaller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Add(result)
}

func (c *counter) addBooking(key string, result sagecaller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Add(result)
	outcomes := c.bookings[key]
	if outcomes == nil {
		outcomes = new(bookingOutcomes)
		c.bookings[key] = outcomes
	}
	switch {
	case result.Err != nil:
		outcomes.unknown++
	case result.Outcome == sagewire.Complete:
		outcomes.complete++
	case result.Outcome == sagewire.NotRun:
		outcomes.notRun++
	case result.Outcome == sagewire.AlreadyRun:
		outcomes.alreadyRun++
	default:
		outcomes.unknown++
	}
}
