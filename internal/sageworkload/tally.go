package sageworkload

import (
	"sync"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Tally counts the ends of requests.
type Tally struct {
	Requests   int `json:"requests"`
	Complete   int `json:"complete"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	AlreadyRun int `json:"already_run"`
	// Lost counts requests that ended without any outcome told.
	Lost int `json:"lost"`
	// Wrong counts answers that were not those of their request.
	WrongAnswers int      `json:"wrong"`
	PromptTokens int      `json:"prompt_tokens"`
	CachedTokens int      `json:"cached_tokens"`
	Problems     []string `json:"problems,omitempty"`
}

// maxProblems bounds the problems that are kept in words.
const maxProblems = 10

// Add counts one end.
func (t *Tally) Add(e sagecaller.Result) {
	t.Requests++
	switch {
	case e.Err != nil:
		t.Lost++
		t.addProblem("lost by way of " + e.Entry + ": " + e.Err.Error())
		return
	case e.Mismatch != "":
		t.WrongAnswers++
		t.addProblem("wrong answer by way of " + e.Entry + ": " + e.Mismatch)
		return
	}
	switch e.Outcome {
	case sagewire.Complete:
		t.Complete++
		t.PromptTokens += e.PromptTokens
		t.CachedTokens += e.CachedTokens
	case sagewire.NotRun:
		t.NotRun++
	case sagewire.Unknown:
		t.Unknown++
	case sagewire.AlreadyRun:
		t.AlreadyRun++
	default:
		t.WrongAnswers++
		t.addProblem("outcome " + string(e.Outcome))
	}
}

func (t *Tally) addProblem(problem string) {
	if len(t.Problems) < maxProblems {
		t.Problems = append(t.Problems, problem)
	}
}

// CacheReuse returns cached prompt tokens as a part of all prompt tokens.
func (t *Tally) CacheReuse() float64 {
	if t.PromptTokens == 0 {
		return 0
	}
	return float64(t.CachedTokens) / float64(t.PromptTokens)
}

// counter is a tally shared by the workers of a load.
type counter struct {
	mu    sync.Mutex
	tally Tally
	// runs counts by key how often a caller was told that a booking completed.
	bookings map[string]*bookingOutcomes
}

// bookingOutcomes is what callers were told about one key.
type bookingOutcomes struct {
	complete, notRun, unknown, alreadyRun int
}

func (c *counter) add(e sagecaller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Add(e)
}

func (c *counter) addBooking(key string, e sagecaller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Add(e)
	outcomes := c.bookings[key]
	if outcomes == nil {
		outcomes = new(bookingOutcomes)
		c.bookings[key] = outcomes
	}
	switch {
	case e.Err != nil:
		outcomes.unknown++
	case e.Outcome == sagewire.Complete:
		outcomes.complete++
	case e.Outcome == sagewire.NotRun:
		outcomes.notRun++
	case e.Outcome == sagewire.AlreadyRun:
		outcomes.alreadyRun++
	default:
		outcomes.unknown++
	}
}
