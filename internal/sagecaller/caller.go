package sagecaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagestandin"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrNoEntry reports that no entry address answered.
var ErrNoEntry = errors.New("no entry address answered")

// Caller is one client of the system. Its exported fields are set before first use.
type Caller struct {
	// Entries are the addresses to ask first where to connect.
	Entries []string
	Key     string
	HTTP    *http.Client
	// Fixed, when set, is the only address used: the caller does not ask where to connect.
	Fixed string

	mu    sync.Mutex
	kept  map[string]sagelocate.Answer
	token map[string]string
}

// Options of one request.
type Options struct {
	Chat           string
	Context        string
	Priority       sagewire.Priority
	Deadline       time.Time
	IdempotencyKey string
}

// End is how a request ended, as its caller saw it.
type End struct {
	// Outcome is the outcome told; empty when the connection broke without one.
	Outcome sagewire.Outcome
	Refusal *sagewire.Refusal
	// Wrong says how a complete answer differs from the one that belongs to the request.
	Wrong string
	// Lost says why no outcome was told.
	Lost         error
	Entry        string
	Upstream     string
	FirstByteAt  time.Time
	EndedAt      time.Time
	PromptTokens int
	CachedTokens int
}

// Locate returns the entry addresses for a chat, from the kept answer while it is valid.
func (c *Caller) Locate(ctx context.Context, chat string) ([]string, error) {
	if c.Fixed != "" {
		return []string{c.Fixed}, nil
	}
	now := time.Now()
	c.mu.Lock()
	p, ok := c.kept[chat]
	c.mu.Unlock()
	if ok && now.Before(p.ValidUntil) {
		return p.Addresses, nil
	}
	last := ErrNoEntry
	for _, addr := range c.Entries {
		p, err := c.ask(ctx, addr, chat)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		if c.kept == nil {
			c.kept = make(map[string]sagelocate.Answer)
		}
		c.kept[chat] = p
		c.mu.Unlock()
		return p.Addresses, nil
	}
	return nil, fmt.Errorf("locate: %w", last)
}

// Forget drops the kept answer for a chat, as a caller does whose addresses all fail.
func (c *Caller) Forget(chat string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.kept, chat)
}

func (c *Caller) ask(ctx context.Context, addr, chat string) (sagelocate.Answer, error) {
	var p sagelocate.Answer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/locate?chat="+url.QueryEscape(chat), nil)
	if err != nil {
		return p, fmt.Errorf("ask %s: %w", addr, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	res, err := c.HTTP.Do(req)
	if err != nil {
		return p, fmt.Errorf("ask %s: %w", addr, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return p, fmt.Errorf("ask %s: %s: %w", addr, res.Status, ErrNoEntry)
	}
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		return p, fmt.Errorf("ask %s: %w", addr, err)
	}
	if len(p.Addresses) == 0 {
		return p, fmt.Errorf("ask %s: empty answer: %w", addr, ErrNoEntry)
	}
	return p, nil
}

// Chat sends one chat request and checks its answer.
func (c *Caller) Chat(ctx context.Context, chat *sagestandin.ChatRequest, opt Options) End {
	body, err := json.Marshal(chat)
	if err != nil {
		return End{Lost: err}
	}
	var want string
	for _, t := range sagestandin.Tokens(chat) {
		want += t
	}
	return c.send(ctx, http.MethodPost, "/v1/chat/completions", body, opt, func(res *http.Response, e *End) {
		if chat.Stream {
			readStream(res.Body, want, e)
			return
		}
		readWhole(res.Body, want, e)
	})
}

// Service sends one service call and checks that the answer echoes it.
func (c *Caller) Service(ctx context.Context, method, path string, body []byte, opt Options) End {
	return c.send(ctx, method, "/v1/services/"+path, body, opt, func(res *http.Response, e *End) {
		b, err := io.ReadAll(res.Body)
		e.FirstByteAt = time.Now()
		if err != nil {
			e.Lost = fmt.Errorf("read answer: %w", err)
			return
		}
		var a sagestandin.ServiceAnswer
		if err := json.Unmarshal(b, &a); err != nil {
			e.Wrong = "not the service's answer: " + err.Error()
			return
		}
		if a.Echo != string(body) || a.Key != opt.IdempotencyKey {
			e.Wrong = fmt.Sprintf("answer to %q with key %q", a.Echo, a.Key)
		}
	})
}

// send tries the located addresses in turn until one can be connected to. An address that took the
// request and then failed ends the try: only an idempotent caller may go on, and this one leaves
// that decision to its user.
func (c *Caller) send(ctx context.Context, method, path string, body []byte, opt Options, read func(*http.Response, *End)) End {
	addrs, err := c.Locate(ctx, opt.Chat)
	if err != nil {
		return End{Lost: err, EndedAt: time.Now()}
	}
	var e End
	for _, addr := range addrs {
		e = c.sendTo(ctx, addr, method, path, body, opt, read)
		if !errors.Is(e.Lost, errNotConnected) {
			break
		}
	}
	if e.Lost != nil {
		c.Forget(opt.Chat)
	}
	e.EndedAt = time.Now()
	return e
}

func (c *Caller) sendTo(ctx context.Context, addr, method, path string, body []byte, opt Options, read func(*http.Response, *End)) End {
	e := End{Entry: addr}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		e.Lost = err
		return e
	}
	req.GetBody = nil
	c.setHeader(req.Header, opt)
	res, err := c.HTTP.Do(req)
	if err != nil {
		e.Lost = classify(err)
		return e
	}
	defer func() { _ = res.Body.Close() }()
	e.Upstream = res.Header.Get(sagewire.HeaderUpstream)
	e.PromptTokens, _ = strconv.Atoi(res.Header.Get(sagewire.HeaderPromptTokens))
	e.CachedTokens, _ = strconv.Atoi(res.Header.Get(sagewire.HeaderCachedTokens))
	if t := res.Header.Get(sagewire.HeaderPlacement); t != "" {
		c.keepToken(opt.Chat, t)
	}
	e.Outcome = sagewire.Outcome(res.Header.Get(sagewire.HeaderOutcome))
	if e.Outcome == sagewire.Complete || (e.Outcome == "" && res.StatusCode == http.StatusOK) {
		read(res, &e)
		if e.Outcome == "" && e.Lost == nil {
			e.Outcome = sagewire.Outcome(res.Trailer.Get(sagewire.HeaderOutcome))
		}
		return e
	}
	readRefusal(res, &e)
	return e
}

func (c *Caller) setHeader(h http.Header, opt Options) {
	set := func(name, v string) {
		if v != "" {
			h.Set(name, v)
		}
	}
	set("Authorization", "Bearer "+c.Key)
	set(sagewire.HeaderChat, opt.Chat)
	set(sagewire.HeaderContext, opt.Context)
	set(sagewire.HeaderPriority, opt.Priority.String())
	set(sagewire.HeaderIdempotencyKey, opt.IdempotencyKey)
	if !opt.Deadline.IsZero() {
		set(sagewire.HeaderDeadline, opt.Deadline.Format(time.RFC3339Nano))
	}
	c.mu.Lock()
	set(sagewire.HeaderPlacement, c.token[opt.Chat])
	c.mu.Unlock()
}

func (c *Caller) keepToken(chat, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == nil {
		c.token = make(map[string]string)
	}
	c.token[chat] = token
}
