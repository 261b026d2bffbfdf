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

// ErrEntryUnavailable reports that no entry address returned a usable response.
var ErrEntryUnavailable = errors.New("no entry address returned a usable response")

// Caller is one client of the system. Its exported fields are set before first use.
type Caller struct {
	// Entries are the addresses that are asked where to connect.
	Entries []string
	Key     string
	HTTP    *http.Client
	// FixedEntry, if set, is the only address used; the caller doesn't ask where to connect.
	FixedEntry string

	mu sync.Mutex
	// located caches the addresses by chat, tokens the newest placement token by chat.
	located map[string]sagelocate.Answer
	tokens  map[string]string
}

// Options are the properties of one request that are sent in headers.
type Options struct {
	ChatID         string
	Context        string
	Priority       sagewire.Priority
	Deadline       time.Time
	IdempotencyKey string
}

// Result is how a request ended from the caller's point of view.
type Result struct {
	// Outcome is the outcome that the router reported; empty if the connection broke without one.
	Outcome sagewire.Outcome
	Refusal *sagewire.Refusal
	// Mismatch describes how a complete response differs from the expected one.
	Mismatch string
	// Err is the reason why no outcome was received.
	Err          error
	Entry        string
	Upstream     string
	FirstByteAt  time.Time
	EndedAt      time.Time
	PromptTokens int
	CachedTokens int
}

// Locate returns the entry addresses for a chat, from the cache while the cached answer is valid.
func (c *Caller) Locate(ctx context.Context, chat string) ([]string, error) {
	if c.FixedEntry != "" {
		return []string{c.FixedEntry}, nil
	}
	now := time.Now()
	c.mu.Lock()
	answer, ok := c.located[chat]
	c.mu.Unlock()
	if ok && now.Before(answer.ValidUntil) {
		return answer.Addresses, nil
	}
	last := ErrEntryUnavailable
	for _, addr := range c.Entries {
		answer, err := c.locateAt(ctx, addr, chat)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		if c.located == nil {
			c.located = make(map[string]sagelocate.Answer)
		}
		c.located[chat] = answer
		c.mu.Unlock()
		return answer.Addresses, nil
	}
	return nil, fmt.Errorf("locate: %w", last)
}

// ForgetAddresses drops the cached addresses of a chat, for use when none of them can be reached.
func (c *Caller) ForgetAddresses(chat string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.located, chat)
}

func (c *Caller) locateAt(ctx context.Context, addr, chat string) (sagelocate.Answer, error) {
	var answer sagelocate.Answer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/locate?chat="+url.QueryEscape(chat), nil)
	if err != nil {
		return answer, fmt.Errorf("locate at %s: %w", addr, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	res, err := c.HTTP.Do(req)
	if err != nil {
		return answer, fmt.Errorf("locate at %s: %w", addr, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("locate at %s: %s: %w", addr, res.Status, ErrEntryUnavailable)
	}
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("locate at %s: %w", addr, err)
	}
	if len(answer.Addresses) == 0 {
		return answer, fmt.Errorf("locate at %s: empty address list: %w", addr, ErrEntryUnavailable)
	}
	return answer, nil
}

// Chat sends one chat request and checks its response.
func (c *Caller) Chat(ctx context.Context, chat *sagestandin.ChatRequest, opt Options) Result {
	body, err := json.Marshal(chat)
	if err != nil {
		return Result{Err: err}
	}
	var want string
	for _, t := range sagestandin.ResponseTokens(chat) {
		want += t
	}
	return c.send(ctx, http.MethodPost, "/v1/chat/completions", body, opt, func(res *http.Response, result *Result) {
		if chat.Stream {
			readStream(res.Body, want, result)
			return
		}
		readResponse(res.Body, want, result)
	})
}

// Service sends one service call and checks that the response echoes it.
func (c *Caller) Service(ctx context.Context, method, path string, body []byte, opt Options) Result {
	return c.send(ctx, method, "/v1/services/"+path, body, opt, func(res *http.Response, result *Result) {
		b, err := io.ReadAll(res.Body)
		result.FirstByteAt = time.Now()
		if err != nil {
			result.Err = fmt.Errorf("read response: %w", err)
			return
		}
		var a sagestandin.ServiceResponse
		if err := json.Unmarshal(b, &a); err != nil {
			result.Mismatch = "not a response of the service: " + err.Error()
			return
		}
		if a.Echo != string(body) || a.Key != opt.IdempotencyKey {
			result.Mismatch = fmt.Sprintf("response to %q with key %q", a.Echo, a.Key)
		}
	})
}

// send tries the located addresses in turn until a connection to one succeeds. If an address fails
// after the connection, the request may have run, and only an idempotent request may be repeated. That
// decision is left to the caller of send.
func (c *Caller) send(ctx context.Context, method, path string, body []byte, opt Options, read func(*http.Response, *Result)) Result {
	addrs, err := c.Locate(ctx, opt.ChatID)
	if err != nil {
		return Result{Err: err, EndedAt: time.Now()}
	}
	var result Result
	for _, addr := range addrs {
		result = c.sendTo(ctx, addr, method, path, body, opt, read)
		if !errors.Is(result.Err, errNotConnected) {
			break
		}
	}
	if result.Err != nil {
		c.ForgetAddresses(opt.ChatID)
	}
	result.EndedAt = time.Now()
	return result
}

func (c *Caller) sendTo(ctx context.Context, addr, method, path string, body []byte, opt Options, read func(*http.Response, *Result)) Result {
	result := Result{Entry: addr}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		result.Err = err
		return result
	}
	req.GetBody = nil
	c.setHeader(req.Header, opt)
	res, err := c.HTTP.Do(req)
	if err != nil {
		result.Err = classifyError(err)
		return result
	}
	defer func() { _ = res.Body.Close() }()
	result.Upstream = res.Header.Get(sagewire.HeaderUpstream)
	result.PromptTokens, _ = strconv.Atoi(res.Header.Get(sagewire.HeaderPromptTokens))
	result.CachedTokens, _ = strconv.Atoi(res.Header.Get(sagewire.HeaderCachedTokens))
	if t := res.Header.Get(sagewire.HeaderPlacement); t != "" {
		c.storeToken(opt.ChatID, t)
	}
	result.Outcome = sagewire.Outcome(res.Header.Get(sagewire.HeaderOutcome))
	if result.Outcome == sagewire.Complete || (result.Outcome == "" && res.StatusCode == http.StatusOK) {
		read(res, &result)
		if result.Outcome == "" && result.Err == nil {
			result.Outcome = sagewire.Outcome(res.Trailer.Get(sagewire.HeaderOutcome))
		}
		return result
	}
	readRefusal(res, &result)
	return result
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
	set(sagewire.HeaderPlacement, c.tokens[opt.ChatID])
	c.mu.Unlock()
}

func (c *Caller) storeToken(chat, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tokens == nil {
		c.tokens = make(map[string]string)
	}
	c.tokens[chat] = token
}
