package sagetrace

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sageconfig"
)

// Shape of the texts that requests are made of, and the patience of a caller that states none.
const (
	contextWords    = 100
	messageWords    = 12
	defaultPatience = 10 * time.Second
)

// system is what a trace plays on: processes of their own, or one process.
type system interface {
	Submit(ctx context.Context, node int, t *sageconfig.Ticket) error
}

// player plays the events of one trace and collects the ends of its requests.
type player struct {
	trace  *Trace
	layout *sagefleet.Layout
	system system
	http   *http.Client

	mu      sync.Mutex
	start   time.Time
	sent    map[string]time.Time
	ends    map[string]sagecaller.Result
	chats   map[string]chan struct{}
	callers map[int]*sagecaller.Caller
	keys    map[string]string
	ticket  uint64
}

func newPlayer(t *Trace, l *sagefleet.Layout, s system) *player {
	return &player{
		trace: t, layout: l, system: s, sent: make(map[string]time.Time), ends: make(map[string]sagecaller.Result), chats: make(map[string]chan struct{}),
		callers: make(map[int]*sagecaller.Caller), ticket: 1,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
}

// play plays every event at its time and waits for all requests to end.
func (p *player) play(ctx context.Context) error {
	p.start = time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, e := range p.trace.Events {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(p.start.Add(time.Duration(e.AtMillis) * time.Millisecond))):
		}
		if e.Request != nil {
			turn, done := p.turn(e.Request)
			wg.Go(func() {
				defer close(done)
				<-turn
				at := time.Now()
				p.end(e.Request, at, p.send(ctx, e.Request))
			})
			continue
		}
		if err := p.change(ctx, &e); err != nil {
			return fmt.Errorf("events[%d]: %w", i, err)
		}
	}
	return nil
}

// turn returns what a request waits for, and what it closes at its end.
func (p *player) turn(r *Request) (turn <-chan struct{}, done chan struct{}) {
	done = make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	before, ok := p.chats[r.Chat]
	if !ok || r.Chat == "" {
		before = make(chan struct{})
		close(before)
	}
	p.chats[r.Chat] = done
	return before, done
}

func (p *player) end(r *Request, sent time.Time, e sagecaller.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[r.ID] = sent
	p.ends[r.ID] = e
}

// change sets faults or submits a ticket.
func (p *player) change(ctx context.Context, e *Event) error {
	if e.DataCentreChange != nil {
		p.ticket++
		return p.system.Submit(ctx, 0, sagefleet.DataCentreTicket(p.ticket, e.DataCentreChange.DataCentre, e.DataCentreChange.InService))
	}
	addr := p.layout.Platform
	for _, u := range p.layout.Upstreams {
		if u.Name == e.Fault.Target {
			addr = u.Address
		}
	}
	return sagefleet.SetFaults(ctx, addr, e.Fault.Plan)
}

// caller returns the caller for a forced router, 0 for none.
func (p *player) caller(router int) *sagecaller.Caller {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.callers[router]
	if c == nil {
		c = &sagecaller.Caller{Entries: p.layout.Entries(), Key: sagefleet.AccountKey, HTTP: p.http}
		if router > 0 {
			c.FixedEntry = p.layout.Nodes[router-1].Listen.Entry
		}
		p.callers[router] = c
	}
	return c
}

// send sends one request.
func (p *player) send(ctx context.Context, r *Request) sagecaller.Result {
	patience := time.Duration(r.TimeoutMillis) * time.Millisecond
	if patience == 0 {
		patience = defaultPatience
	}
	opt := sagecaller.Options{ChatID: r.Chat, Context: r.Context, Priority: r.Priority, Deadline: time.Now().Add(patience), IdempotencyKey: p.key(r.Key)}
	c := p.caller(r.Router)
	switch r.Kind {
	case Booking:
		return c.Service(ctx, http.MethodPost, sagefleet.ServiceRoute+"/bookings", []byte(`{"item":"`+r.Key+`"}`), opt)
	case Status:
		return c.Service(ctx, http.MethodGet, sagefleet.ServiceRoute+"/bookings", nil, opt)
	}
	return c.Chat(ctx, &sagestandin.ChatRequest{Model: sagefleet.Model, Messages: messages(r), Stream: r.Stream, MaxTokens: r.Tokens}, opt)
}

// messages makes the history of a chat up to a turn: the shared context, then the earlier turns.
func messages(r *Request) []sagestandin.Message {
	m := []sagestandin.Message{{Role: "system", Content: text(r.Context, contextWords)}}
	for turn := 0; turn <= r.Turn; turn++ {
		m = append(m, sagestandin.Message{Role: "user", Content: text(fmt.Sprintf("%s.%d", r.Chat, turn), messageWords)})
		if turn < r.Turn {
			m = append(m, sagestandin.Message{Role: "assistant", Content: "noted"})
		}
	}
	return m
}

// text returns n words that differ for each name.
func text(name string, n int) string {
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("%s-%d", name, i)
	}
	return strings.Join(words, " ")
}
