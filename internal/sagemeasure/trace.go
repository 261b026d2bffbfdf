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

// site is a size at which to measure.
type site struct {
	name        string
	dataCentres int
	engines     int
	routers     int
	accounts    int
	// contexts is the number of shared contexts of each account.
	contexts int
	// festival is the part of all chats that share one context, besides the Zipf order of the rest.
	hotContextShare float64
	// use is the part of all slots that the trace keeps busy when nothing is cached but contexts.
	utilisation float64
}

// The users' sizes of today.
var (
	trentvale = site{name: "trentvale", dataCentres: 4, engines: 12, routers: 8, accounts: 10, contexts: 8, hotContextShare: 0, utilisation: 0.55}
	haller    = site{name: "haller", dataCentres: 3, engines: 18, routers: 8, accounts: 10, contexts: 8, hotContextShare: 0.3, utilisation: 0.55}
)

// What a fake engine has, and how long a request of the trace occupies it on average.
const (
	engineSlots       = 32
	engineCacheTokens = 400_000 // tokens
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
	// history is the part of the prompt that the chat has sent before, fresh the part that is new.
	history  int
	fresh    int
	output   int
	priority sagewire.Priority
}

func (r *request) prompt() int { return r.contextTokens + r.history + r.fresh }

// deadlineAfter is the time from a request to its deadline by priority.
var deadlineAfter = [sagewire.NumPriorities]time.Duration{10 * time.Second, 15 * time.Second, 60 * time.Second}

// makeTrace returns the requests of a site until end. Chats begin as a Poisson process, take a
// geometric number of turns and return after log-normal pauses. Accounts and their contexts are
// drawn by Zipf's law.
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
	// The first chats begin before the trace so that it starts with chats of every age.
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

// appendChat adds the turns of one chat that fall into the trace.
func appendChat(trace []request, r *rand.Rand, turn request, t float64, end time.Duration, meanTurns float64) []request {
	turn.fresh = 200 + r.IntN(1000)
	for {
		turn.at = time.Duration(t * float64(time.Second))
		turn.deadline = turn.at + deadlineAfter[turn.priority]
		turn.output = min(300, 20+int(r.ExpFloat64()*80))
		if turn.at >= end {
			return trace
		}
		if turn.at >= 0 {
			trace = append(trace, turn)
		}
		if r.Float64() < 1/meanTurns {
			return trace
		}
		turn.history += turn.fresh + turn.output
		turn.fresh = 20 + r.IntN(200)
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

func drawRank(r *rand.Rand, cumulative []float64) int {
	return min(sort.SearchFloat64s(cumulative, r.Float64()), len(cumulative)-1)
}
