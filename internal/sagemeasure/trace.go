package sagemeasure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"sagestand.example/sagestand/pkg/sageplace"
	"sagestand.example/sagestand/pkg/sagewire"
)

// site is a fleet size and its load.
type site struct {
	name        string
	dataCentres int
	engines     int
	routers     int
	accounts    int
	// contexts is the number of shared contexts per account.
	contexts int
	// hotContextShare is the fraction of all chats that share one context. The others choose theirs by
	// Zipf's law.
	hotContextShare float64
	// utilisation is the fraction of all slots that the trace keeps busy if only contexts are cached.
	utilisation float64
}

// Present fleet sizes of the users.
var (
	trentvale = site{name: "trentvale", dataCentres: 4, engines: 12, routers: 8, accounts: 10, contexts: 8, hotContextShare: 0, utilisation: 0.55}
	haller    = site{name: "haller", dataCentres: 3, engines: 18, routers: 8, accounts: 10, contexts: 8, hotContextShare: 0.3, utilisation: 0.55}
)

// Properties of a simulated engine, and the mean time for which a request of the trace occupies a slot.
const (
	engineSlots       = 32
	engineCacheTokens = 400_000
	meanService       = 2700 * time.Millisecond
)

// request is one request of a trace.
type request struct {
	number        int
	at            time.Duration
	deadline      time.Duration
	account       uint64
	context       uint64
	contextTokens int
	chat          uint64
	chatName      string
	// historyTokens and newTokens are the numbers of prompt tokens that the chat has sent before and
	// that are new.
	historyTokens int
	newTokens     int
	outputTokens  int
	priority      sagewire.Priority
}

// promptTokens returns the number of prompt tokens.
func (r *request) promptTokens() int { return r.contextTokens + r.historyTokens + r.newTokens }

// deadlineAfter is the time from arrival to deadline, by priority.
var deadlineAfter = [sagewire.NumPriorities]time.Duration{10 * time.Second, 15 * time.Second, 60 * time.Second}

// makeTrace returns the requests of a site until end. Chats begin as a Poisson process, have a
// geometric number of turns and return after log-normal pauses. Accounts and their contexts are drawn
// by Zipf's law.
func makeTrace(s site, seed uint64, end time.Duration) []request {
	r := rand.New(rand.NewPCG(seed, 0x7261636574))
	accounts, contexts := zipf(s.accounts, 1.1), zipf(s.contexts, 1)
	lengths := make([]int, s.accounts*s.contexts)
	for i := range lengths {
		lengths[i] = 1000 + r.IntN(4000)
	}
	const meanTurns = 5
	perSecond := float64(s.engines) * engineSlots * s.utilisation / meanService.Seconds() / meanTurns
	var trace []request
	// Chats begin before the trace, so that it starts with chats of every age.
	for t := -90.0; t < end.Seconds(); t += r.ExpFloat64() / perSecond {
		account := drawRank(r, accounts)
		context := account*s.contexts + drawRank(r, contexts)
		if r.Float64() < s.hotContextShare {
			account, context = 0, 0
		}
		first := request{
			account: sageplace.Key(fmt.Sprint("account-", account)),
			context: sageplace.Key(fmt.Sprint("context-", context)), contextTokens: lengths[context],
			chatName: fmt.Sprint("chat-", len(trace), "-", t), priority: drawPriority(r),
		}
		first.chat = sageplace.Key(first.chatName)
		trace = appendChat(trace, r, first, t, end, meanTurns)
	}
	sort.SliceStable(trace, func(a, b int) bool { return trace[a].at < trace[b].at })
	for i := range trace {
		trace[i].number = i
	}
	return trace
}

// appendChat appends the turns of one chat that fall into the trace.
func appendChat(trace []request, r *rand.Rand, turn request, t float64, end time.Duration, meanTurns float64) []request {
	turn.newTokens = 200 + r.IntN(1000)
	for {
		turn.at = time.Duration(t * float64(time.Second))
		turn.deadline = turn.at + deadlineAfter[turn.priority]
		turn.outputTokens = min(300, 20+int(r.ExpFloat64()*80))
		if turn.at >= end {
			return trace
		}
		if turn.at >= 0 {
			trace = append(trace, turn)
		}
		if r.Float64() < 1/meanTurns {
			return trace
		}
		turn.historyTokens += turn.newTokens + turn.outputTokens
		turn.newTokens = 20 + r.IntN(200)
		t += 8 + 20*math.Exp(0.8*r.NormFloat64())
	}
}

func drawPriority(r *rand.Rand) sagewire.Priority {
	switch x := r.Float64(); {
	case x < 0.2:
		return sagewire.Urgent
	case x < 0.8:
		return sagewire.Normal
	}
	return sagewire.Bulk
}

// zipf returns the cumulative probabilities of n ranks by Zipf's law.
func zipf(n int, exponent float64) []float64 {
	p, sum := make([]float64, n), 0.0
	for i := range p {
		sum += math.Pow(float64(i+1), -exponent)
		p[i] = sum
	}
	for i := range p {
		p[i] /= sum
	}
	return p
}

// drawRank draws a rank from a cumulative distribution.
func drawRank(r *rand.Rand, cumulative []float64) int {
	return min(sort.SearchFloat64s(cumulative, r.Float64()), len(cumulative)-1)
}
