package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client sends requests to one node over kept connections. It doesn't retry.
type client struct {
	ledger *ledger
	entry  string
	http   http.Client
}

func newClient(l *ledger, entry string) *client {
	return &client{ledger: l, entry: entry, http: http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
	}}}
}

var lastAttempt atomic.Int64

// newAttempt returns an id that no other attempt has.
func newAttempt() string { return fmt.Sprintf("9c41d07b%08x", lastAttempt.Add(1)) }

// send sends one attempt to a path and records the answer.
func (c *client) send(ctx context.Context, path string, once bool) {
	id := newAttempt()
	method, body := http.MethodGet, io.Reader(nil)
	if once {
		method, body = http.MethodPost, strings.NewReader(strings.Repeat("b", 600))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry+path, body)
	if err != nil {
		c.ledger.write("%s not sent: %v", id, err)
		return
	}
	req.GetBody = nil // the client doesn't repeat requests on its own
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	c.ledger.sent(id, path, once)
	res, err := c.http.Do(req)
	if err != nil {
		c.ledger.answered(id, 0, err.Error())
		return
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		c.ledger.answered(id, 0, err.Error())
	case res.StatusCode == http.StatusOK && (string(b) != bodyOf(id) || res.Header.Get("X-Response-Seal") != sealOf(id)):
		c.ledger.answered(id, res.StatusCode, "not the runner's answer")
		c.ledger.breaks("MIXED", "%s got a success that isn't its runner's answer", id)
	default:
		c.ledger.answered(id, res.StatusCode, "")
	}
}
