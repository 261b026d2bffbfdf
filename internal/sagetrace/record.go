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

// ErrUnknownUser reports a user without a profile.
var ErrUnknownUser = errors.New("no such user")

// profile is the traffic of one user: its sizes of today, and shares of kinds and priorities.
type profile struct {
	layout   Layout
	contexts int
	// hot is the part of chats that share the first context.
	hot float64
	// bulk and urgent are parts of the chats.
	bulk, urgent float64
	bookings     float64
	statuses     float64
	story        string
}

var profiles = map[string]profile{
	"trentvale": {
		layout:   Layout{Routers: 8, Engines: 12, DataCentres: []string{"derby", "leicester", "nottingham", "lincoln"}},
		contexts: 4, hot: 0.25, bulk: 0.3, urgent: 0.4, bookings: 0.25, statuses: 0.05,
		story: "Pickers and fitters ask four stock assistants and reserve meters, while long audits run.",
	},
	"haller": {
		layout:   Layout{Routers: 8, Engines: 18, DataCentres: []string{"graz", "leoben", "weiz"}},
		contexts: 3, hot: 0.7, bulk: 0.1, urgent: 0.3, bookings: 0.2, statuses: 0.2,
		story: "Families return to festival chats that share one context, order boxes and read their status.",
	},
}

// Generate makes a trace of n requests over so many milliseconds from a seed, with the outcomes of a
// system without faults.
func Generate(user string, n, millis int, seed int64) (*Trace, error) {
	p, ok := profiles[user]
	if !ok {
		return nil, fmt.Errorf("user %q (want trentvale or haller): %w", user, ErrUnknownUser)
	}
	rng := rand.New(rand.NewSource(seed))
	t := &Trace{Version: Version, Name: user, Description: p.story, Layout: p.layout}
	at := make([]int, n)
	for i := range at {
		at[i] = rng.Intn(millis)
	}
	sort.Ints(at)
	turns := make(map[string]int)
	var keys []string
	for i := range n {
		r := &Request{ID: fmt.Sprintf("r%d", i+1), Outcomes: []sagewire.Outcome{sagewire.Complete}, Priority: p.priority(rng)}
		switch x := rng.Float64(); {
		case x < p.bookings:
			keys = p.booking(r, rng, keys)
		case x < p.bookings+p.statuses:
			r.Kind = Status
		default:
			p.chat(r, rng, turns)
		}
		t.Events = append(t.Events, Event{AtMillis: at[i], Request: r})
	}
	return t, nil
}

func (p *profile) priority(rng *rand.Rand) sagewire.Priority {
	switch x := rng.Float64(); {
	case x < p.urgent:
		return sagewire.Urgent
	case x < p.urgent+p.bulk:
		return sagewire.Bulk
	}
	return sagewire.Normal
}

// booking makes a booking; every fifth repeats an earlier key through any router.
func (p *profile) booking(r *Request, rng *rand.Rand, keys []string) []string {
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

// chatsOfContext is how many chats share a context; a small number, so that chats return.
const chatsOfContext = 12

func (p *profile) chat(r *Request, rng *rand.Rand, turns map[string]int) {
	shared := 0
	if rng.Float64() >= p.hot {
		shared = rng.Intn(p.contexts)
	}
	r.Kind = Chat
	r.Context = fmt.Sprintf("context-%d", shared)
	r.Chat = fmt.Sprintf("chat-%d-%d", shared, rng.Intn(chatsOfContext))
	r.Turn = turns[r.Chat]
	turns[r.Chat]++
	r.Stream = rng.Intn(2) == 0
	r.Tokens = 8 + rng.Intn(24)
}

// Record plays a generated trace on a fleet of real processes and keeps the outcomes seen. It returns
// the recorded trace and what differed from the generated outcomes.
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
	return p.result(n), nil
}
