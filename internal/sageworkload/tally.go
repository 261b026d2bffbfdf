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
		t.problem("lost by way of " + e.Entry + ": " + e.Err.Error())
		return
	case e.Mismatch != "":
		t.WrongAnswers++
		t.problem("wrong answer by way of " + e.Entry + ": " + e.Mismatch)
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
		t.problem("outcome " + string(e.Outcome))
	}
}

func (t *Tally) problem(s string) {
	if len(t.Problems) < maxProblems {
		t.Problems = append(t.Problems, s)
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
	runs map[string]*bookingEnd
}

// bookingEnd is what callers were told about one key.
type bookingEnd struct {
	complete, notRun, unknown, already int
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
	b := c.runs[key]
	if b == nil {
		b = new(bookingEnd)
		c.runs[key] = b
	}
	switch {
	case e.Err != nil:
		b.unknown++
	case e.Outcome == sagewire.Complete:
		b.complete++
	case e.Outcome == sagewire.NotRun:
		b.notRun++
	case e.Outcome == sagewire.AlreadyRun:
		b.already++
	default:
		b.unknown++
	}
}
