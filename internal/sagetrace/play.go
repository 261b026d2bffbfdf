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

// Numbers of words in generated texts, and the timeout of requests that don't specify one.
const (
	contextWords   = 100
	messageWords   = 12
	defaultTimeout = 10 * time.Second
)

// system is the fleet on which a trace is played: separate processes, or one process.
type system interface {
	Submit(ctx context.Context, node int, t *sageconfig.Ticket) error
}

// player plays the events of one trace and collects the results of its requests.
type player struct {
	trace  *Trace
	layout *sagefleet.Layout
	system system
	http   *http.Client

	mu         sync.Mutex
	start      time.Time
	sentAt     map[string]time.Time
	results    map[string]sagecaller.Result
	lastOfChat map[string]chan struct{}
	callers    map[int]*sagecaller.Caller
	keys       map[string]string
	lastTicket uint64
}

func newPlayer(t *Trace, l *sagefleet.Layout, s system) *player {
	return &player{
		trace: t, layout: l, system: s, sentAt: make(map[string]time.Time), results: make(map[string]sagecaller.Result), lastOfChat: make(map[string]chan struct{}),
		callers: make(map[int]*sagecaller.Caller), lastTicket: 1,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
}

// play plays every event at its time and waits for the results of all requests.
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
			previousDone, done := p.reserveTurn(e.Request)
			wg.Go(func() {
				defer close(done)
				<-previousDone
				at := time.Now()
				p.recordResult(e.Request, at, p.send(ctx, e.Request))
			})
			continue
		}
		if err := p.apply(ctx, &e); err != nil {
			return fmt.Errorf("events[%d]: %w", i, err)
		}
	}
	return nil
}

// reserveTurn orders the requests of one chat. It returns a channel that is closed when the previous request of
// the chat is done, and a channel that the caller must close when r is done.
func (p *player) reserveTurn(r *Request) (previousDone <-chan struct{}, done chan struct{}) {
	done = make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	previous, ok := p.lastOfChat[r.Chat]
	if !ok || r.Chat == "" {
		previous = make(chan struct{})
		close(previous)
	}
	p.lastOfChat[r.Chat] = done
	return previous, done
}

func (p *player) recordResult(r *Request, at time.Time, result sagecaller.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt[r.ID] = at
	p.results[r.ID] = result
}

// apply sets the faults of a stand-in or submits a ticket.
func (p *player) apply(ctx context.Context, e *Event) error {
	if e.DataCentreChange != nil {
		p.lastTicket++
		return p.system.Submit(ctx, 0, sagefleet.DataCentreTicket(p.lastTicket, e.DataCentreChange.DataCentre, e.DataCentreChange.InService))
	}
	addr := p.layout.Platform
	for _, u := range p.layout.Upstreams {
		if u.Name == e.Fault.Target {
			addr = u.Address
		}
	}
	return sagefleet.SetFaults(ctx, addr, e.Fault.Plan)
}

// caller returns the caller that uses only the given router, counted from 1, or any router if it is 0.
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

// send sends one request and returns its result.
func (p *player) send(ctx context.Context, r *Request) sagecaller.Result {
	timeout := time.Duration(r.TimeoutMillis) * time.Millisecond
	if timeout == 0 {
		timeout = defaultTimeout
	}
	options := sagecaller.Options{ChatID: r.Chat, Context: r.Context, Priority: r.Priority, Deadline: time.Now().Add(timeout), IdempotencyKey: p.idempotencyKey(r.Key)}
	c := p.caller(r.Router)
	switch r.Kind {
	case Booking:
		return c.Service(ctx, http.MethodPost, sagefleet.ServiceRoute+"/bookings", []byte(`{"item":"`+r.Key+`"}`), options)
	case Status:
		return c.Service(ctx, http.MethodGet, sagefleet.ServiceRoute+"/bookings", nil, options)
	}
	return c.Chat(ctx, &sagestandin.ChatRequest{Model: sagefleet.Model, Messages: chatHistory(r), Stream: r.Stream, MaxTokens: r.Tokens}, options)
}

// chatHistory returns the messages of a chat up to the turn of r: the shared context, followed by the turns so
// far.
func chatHistory(r *Request) []sagestandin.Message {
	m := []sagestandin.Message{{Role: "system", Content: fillerText(r.Context, contextWords)}}
	for turn := 0; turn <= r.Turn; turn++ {
		m = append(m, sagestandin.Message{Role: "user", Content: fillerText(fmt.Sprintf("%s.%d", r.Chat, turn), messageWords)})
		if turn < r.Turn {
			m = append(m, sagestandin.Message{Role: "assistant", Content: "noted"})
		}
	}
	return m
}

// fillerText returns n words that are unique to the name.
func fillerText(name string, n int) string {
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("%s-%d", name, i)
	}
	return strings.Join(words, " ")
}
