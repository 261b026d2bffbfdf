package sagetrace

import (
	"context"
	"fmt"
	"math/rand"
	"sort"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrUnknownUser reports a user without a traffic profile.
var ErrUnknownUser = errors.New("no such user")

// profile describes the traffic of one user: the fleet, and the shares of request kinds and priorities.
type profile struct {
	layout      Layout
	numContexts int
	// firstContextShare is the fraction of chats that share the first context, in addition to those that draw
	// it at random.
	firstContextShare float64
	// bulkShare and urgentShare are fractions of all requests.
	bulkShare, urgentShare float64
	bookingShare           float64
	statusShare            float64
	description            string
}

var profiles = map[string]profile{
	"trentvale": {
		layout:      Layout{Routers: 8, Engines: 12, DataCentres: []string{"derby", "leicester", "nottingham", "lincoln"}},
		numContexts: 4, firstContextShare: 0.25, bulkShare: 0.3, urgentShare: 0.4, bookingShare: 0.25, statusShare: 0.05,
		description: "Pickers and fitters ask four stock assistants and reserve meters, while long audits run.",
	},
	"haller": {
		layout:      Layout{Routers: 8, Engines: 18, DataCentres: []string{"graz", "leoben", "weiz"}},
		numContexts: 3, firstContextShare: 0.7, bulkShare: 0.1, urgentShare: 0.3, bookingShare: 0.2, statusShare: 0.2,
		description: "Families return to festival chats that share one context, order boxes and read their status.",
	},
}

// Generate creates a trace of n requests, spread at random over durationMillis. The expected outcomes are those
// of a system without faults. The same seed gives the same trace.
func Generate(user string, n, durationMillis int, seed int64) (*Trace, error) {
	p, ok := profiles[user]
	if !ok {
		return nil, fmt.Errorf("user %q (want trentvale or haller): %w", user, ErrUnknownUser)
	}
	rng := rand.New(rand.NewSource(seed))
	t := &Trace{Version: Version, Name: user, Description: p.description, Layout: p.layout}
	at := make([]int, n)
	for i := range at {
		at[i] = rng.Intn(durationMillis)
	}
	sort.Ints(at)
	turns := make(map[string]int)
	var keys []string
	for i := range n {
		r := &Request{ID: fmt.Sprintf("r%d", i+1), Outcomes: []sagewire.Outcome{sagewire.Complete}, Priority: p.drawPriority(rng)}
		switch x := rng.Float64(); {
		case x < p.bookingShare:
			keys = p.fillBooking(r, rng, keys)
		case x < p.bookingShare+p.statusShare:
			r.Kind = Status
		default:
			p.fillChat(r, rng, turns)
		}
		t.Events = append(t.Events, Event{AtMillis: at[i], Request: r})
	}
	return t, nil
}

func (p *profile) drawPriority(rng *rand.Rand) sagewire.Priority {
	switch x := rng.Float64(); {
	case x < p.urgentShare:
		return sagewire.Urgent
	case x < p.urgentShare+p.bulkShare:
		return sagewire.Bulk
	}
	return sagewire.Normal
}

// fillBooking makes r a booking. On average one of five repeats an earlier key through a random router.
func (p *profile) fillBooking(r *Request, rng *rand.Rand, keys []string) []string {
	r.Kind = Booking
	if len(keys) > 0 && rng.Intn(5) == 0 {
		r.Key = keys[rng.Intn(len(keys))]
		r.Router = 1 + rng.Intn(p.layout.Routers)
		r.Outcomes = []sagewire.Outcome{sagewire.AlreadyRun, sagewire.Complete}
		return keys
	}
	r.Key = "key-" + r.ID
	r.Outcomes = append(r.Outcomes, sagewire.AlreadyRun)
	return append(keys, r.Key)
}

// chatsPerContext is the number of chats that share a context. It is small so that a trace contains several
// turns of a chat.
const chatsPerContext = 12

func (p *profile) fillChat(r *Request, rng *rand.Rand, turns map[string]int) {
	contextIndex := 0
	if rng.Float64() >= p.firstContextShare {
		contextIndex = rng.Intn(p.numContexts)
	}
	r.Kind = Chat
	r.Context = fmt.Sprintf("context-%d", contextIndex)
	r.Chat = fmt.Sprintf("chat-%d-%d", contextIndex, rng.Intn(chatsPerContext))
	r.Turn = turns[r.Chat]
	turns[r.Chat]++
	r.Stream = rng.Intn(2) == 0
	r.Tokens = 8 + rng.Intn(24)
}

// Record plays a generated trace on a fleet of real processes, and compares the observed outcomes with those
// that the trace expects.
func Record(ctx context.Context, t *Trace, f *sagefleet.Fleet) (Result, error) {
	f.Layout = sagefleet.NewLayout(t.Layout.Routers, t.Layout.Engines, t.Layout.DataCentres)
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return Result{}, fmt.Errorf("record %s: %w", t.Name, err)
	}
	p := newPlayer(t, f.Layout, f)
	if err := p.play(ctx); err != nil {
		return Result{}, fmt.Errorf("record %s: %w", t.Name, err)
	}
	n, err := f.Executions(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("record %s: %w", t.Name, err)
	}
	return p.compare(n), nil
}
