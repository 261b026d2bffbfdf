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

// ErrEntryUnavailable reports that no entry address answered.
var ErrEntryUnavailable = errors.New("no entry address answered")

// Caller is one client of the system. Its exported fields are set before first use.
type Caller struct {
	// Entries are the addresses to ask first where to connect.
	Entries []string
	Key     string
	HTTP    *http.Client
	// Fixed, when set, is the only address used: the caller does not ask where to connect.
	FixedEntry string

	mu    sync.Mutex
	kept  map[string]sagelocate.Answer
	token map[string]string
}

// Options of one request.
type Options struct {
	ChatID         string
	Context        string
	Priority       sagewire.Priority
	Deadline       time.Time
	IdempotencyKey string
}

// Result is how a request ended, as its caller saw it.
type Result struct {
	// Outcome is the outcome told; empty when the connection broke without one.
	Outcome sagewire.Outcome
	Refusal *sagewire.Refusal
	// Wrong says how a complete answer differs from the one that belongs to the request.
	Mismatch string
	// Lost says why no outcome was told.
	Err          error
	Entry        string
	Upstream     string
	FirstByteAt  time.Time
	EndedAt      time.Time
	PromptTokens int
	CachedTokens int
}

// Locate returns the entry addresses for a chat, from the kept answer while it is valid.
func (c *Caller) Locate(ctx context.Context, chat string) ([]string, error) {
	if c.FixedEntry != "" {
		return []string{c.FixedEntry}, nil
	}
	now := time.Now()
	c.mu.Lock()
	p, ok := c.kept[chat]
	c.mu.Unlock()
	if ok && now.Before(p.ValidUntil) {
		return p.Addresses, nil
	}
	last := ErrEntryUnavailable
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
func (c *Caller) ForgetAddresses(chat string) {
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
		return p, fmt.Errorf("ask %s: %s: %w", addr, res.Status, ErrEntryUnavailable)
	}
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		return p, fmt.Errorf("ask %s: %w", addr, err)
	}
	if len(p.Addresses) == 0 {
		return p, fmt.Errorf("ask %s: empty answer: %w", addr, ErrEntryUnavailable)
	}
	return p, nil
}

// Chat sends one chat request and checks its answer.
func (c *Caller) Chat(ctx context.Context, chat *sagestandin.ChatRequest, opt Options) Result {
	body, err := json.Marshal(chat)
	if err != nil {
		return Result{Err: err}
	}
	var want string
	for _, t := range sagestandin.ResponseTokens(chat) {
		want += t
	}
	return c.send(ctx, http.MethodPost, "/v1/chat/completions", body, opt, func(res *http.Response, e *Result) {
		if chat.Stream {
			readStream(res.Body, want, e)
			return
		}
		readWhole(res.Body, want, e)
	})
}

// Service sends one service call and checks that the answer echoes it.
func (c *Caller) Service(ctx context.Context, method, path string, body []byte, opt Options) Result {
	return c.send(ctx, method, "/v1/services/"+path, body, opt, func(res *http.Response, e *Result) {
		b, err := io.ReadAll(res.Body)
		e.FirstByteAt = time.Now()
		if err != nil {
			e.Err = fmt.Errorf("read answer: %w", err)
			return
		}
		var a sagestandin.ServiceResponse
		if err := json.Unmarshal(b, &a); err != nil {
			e.Mismatch = "not the service's answer: " + err.Error()
			return
		}
		if a.Echo != string(body) || a.Key != opt.IdempotencyKey {
			e.Mismatch = fmt.Sprintf("answer to %q with key %q", a.Echo, a.Key)
		}
	})
}

// send tries the located addresses in turn until one can be connected to. An address that took the
// request and then failed ends the try: only an idempotent caller may go on, and this one leaves
// that decision to its user.
func (c *Caller) send(ctx context.Context, method, path string, body []byte, opt Options, read func(*http.Response, *Result)) Result {
	addrs, err := c.Locate(ctx, opt.ChatID)
	if err != nil {
		return Result{Err: err, EndedAt: time.Now()}
	}
	var e Result
	for _, addr := range addrs {
		e = c.sendTo(ctx, addr, method, path, body, opt, read)
		if !errors.Is(e.Err, errNotConnected) {
			break
		}
	}
	if e.Err != nil {
		c.ForgetAddresses(opt.ChatID)
	}
	e.EndedAt = time.Now()
	return e
}

func (c *Caller) sendTo(ctx context.Context, addr, method, path string, body []byte, opt Options, read func(*http.Response, *Result)) Result {
	e := Result{Entry: addr}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		e.Err = err
		return e
	}
	req.GetBody = nil
	c.setHeader(req.Header, opt)
	res, err := c.HTTP.Do(req)
	if err != nil {
		e.Err = classify(err)
		return e
	}
	defer func() { _ = res.Body.Close() }()
	e.Upstream = res.Header.Get(sagewire.HeaderUpstream)
	e.PromptTokens, _ = strconv.Atoi(res.Header.Get(sagewire.HeaderPromptTokens))
	e.CachedTokens, _ = strconv.Atoi(res.Header.Get(sagewire.HeaderCachedTokens))
	if t := res.Header.Get(sagewire.HeaderPlacement); t != "" {
		c.keepToken(opt.ChatID, t)
	}
	e.Outcome = sagewire.Outcome(res.Header.Get(sagewire.HeaderOutcome))
	if e.Outcome == sagewire.Complete || (e.Outcome == "" && res.StatusCode == http.StatusOK) {
		read(res, &e)
		if e.Outcome == "" && e.Err == nil {
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
	set(sagewire.HeaderChat, opt.ChatID)
	set(sagewire.HeaderContext, opt.Context)
	set(sagewire.HeaderPriority, opt.Priority.String())
	set(sagewire.HeaderIdempotencyKey, opt.IdempotencyKey)
	if !opt.Deadline.IsZero() {
		set(sagewire.HeaderDeadline, opt.Deadline.Format(time.RFC3339Nano))
	}
	c.mu.Lock()
	set(sagewire.HeaderPlacement, c.token[opt.ChatID])
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
