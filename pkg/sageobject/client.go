package sageobject

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Headers and query parameters of the Object API over HTTP.
const (
	HeaderVersion   = "Object-Version"
	HeaderIfVersion = "Object-If-Version"
	queryAfter      = "after"
	queryUntil      = "until"
)

// maxWatchDuration limits one blocking call of a watch; the client then repeats it.
const maxWatchDuration = 20 * time.Second

// Client is a [Store] over HTTP. URL and HTTP must be set before first use.
type Client struct {
	// URL is the base URL of the platform's API, such as "http://127.0.0.1:7000".
	URL  string
	HTTP *http.Client
}

func (c *Client) objectURL(key string) string { return c.URL + "/v1/objects/" + key }

// do sends one request and reads the complete response. An error before the response is complete wraps
// noResponseErr. If the context ends before there is a response, a read returns the context's error; a
// write still wraps ErrUnknown, because it may have taken effect.
func (c *Client) do(req *http.Request, noResponseErr error) (int, http.Header, []byte, error) {
	res, err := c.HTTP.Do(req)
	if err != nil {
		if ctxErr := req.Context().Err(); ctxErr != nil && noResponseErr != ErrUnknown {
			return 0, nil, nil, ctxErr
		}
		return 0, nil, nil, fmt.Errorf("%v: %w", err, noResponseErr)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, 2*MaxValueBytes))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("read response: %v: %w", err, noResponseErr)
	}
	return res.StatusCode, res.Header, b, nil
}

// statusError returns the error of a status code; for codes without an error of their own it wraps
// otherErr.
func statusError(code int, otherErr error) error {
	switch code {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	return fmt.Errorf("status %d: %w", code, otherErr)
}

func parseVersion(h http.Header) (int64, error) {
	v, err := strconv.ParseInt(h.Get(HeaderVersion), 10, 64)
	if err != nil || v < 1 {
		return 0, fmt.Errorf("response without a valid version: %w", ErrUnavailable)
	}
	return v, nil
}

// Get implements [Store].
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return c.get(ctx, key, c.objectURL(key))
}

func (c *Client) get(ctx context.Context, key, u string) (Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	code, h, b, err := c.do(req, ErrUnavailable)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	if code == http.StatusNotModified {
		return Object{}, nil
	}
	if code != http.StatusOK {
		return Object{}, fmt.Errorf("get %s: %w", key, statusError(code, ErrUnavailable))
	}
	v, err := parseVersion(h)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return Object{Key: key, Version: v, Value: b}, nil
}

// Put implements [Store].
func (c *Client) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put %s, %d bytes: %w", key, len(value), ErrTooLarge)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(key), bytes.NewReader(value))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	// net/http repeats a PUT on a broken reused connection only if it can rewind the body. If the first
	// write took effect, the repeat would return a conflict with our own write, so the body is made
	// non-rewindable.
	req.GetBody = nil
	if expected != AnyVersion {
		req.Header.Set(HeaderIfVersion, strconv.FormatInt(expected, 10))
	}
	code, h, _, err := c.do(req, ErrUnknown)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	if code != http.StatusOK {
		return 0, fmt.Errorf("put %s: %w", key, statusError(code, ErrUnknown))
	}
	v, err := parseVersion(h)
	if err != nil {
		return 0, fmt.Errorf("put %s: %v: %w", key, err, ErrUnknown)
	}
	return v, nil
}

// Delete implements [Store].
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.objectURL(key), nil)
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	if expected != AnyVersion {
		req.Header.Set(HeaderIfVersion, strconv.FormatInt(expected, 10))
	}
	code, _, _, err := c.do(req, ErrUnknown)
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	if code != http.StatusOK {
		return fmt.Errorf("delete %s: %w", key, statusError(code, ErrUnknown))
	}
	return nil
}

// Watch implements [Store] by repeated blocking calls, each of which counts as one read.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Object, error) {
	for {
		q := url.Values{}
		q.Set(queryAfter, strconv.FormatInt(after, 10))
		q.Set(queryUntil, time.Now().Add(maxWatchDuration).Format(time.RFC3339Nano))
		o, err := c.get(ctx, key, c.objectURL(key)+"?"+q.Encode())
		if err != nil {
			return Object{}, fmt.Errorf("watch: %w", err)
		}
		if o.Version > after {
			return o, nil
		}
	}
}

// List implements [Store].
func (c *Client) List(ctx context.Context, prefix string) ([]Meta, error) {
	u := c.URL + "/v1/list?prefix=" + url.QueryEscape(prefix)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	code, _, b, err := c.do(req, ErrUnavailable)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	if code != http.StatusOK {
		return nil, fmt.Errorf("list %s: %w", prefix, statusError(code, ErrUnavailable))
	}
	var metas []Meta
	if err := json.Unmarshal(b, &metas); err != nil {
		return nil, fmt.Errorf("list %s: %v: %w", prefix, err, ErrUnavailable)
	}
	return metas, nil
}
