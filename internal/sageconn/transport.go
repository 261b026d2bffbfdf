package sageconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections which a [Tracker] can observe.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect: %w", err)
		}
		return Wrap(c), nil
	}
}

// Transport is an [http.RoundTripper] that resets the connection of a request whose response isn't read to its end. Base must
// open its connections by a [Dialer].
type Transport struct {
	Base *http.Transport
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	tr := new(Tracker)
	return tr.RoundTrip(t.Base, req.WithContext(tr.WithTrace(req.Context())))
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// WithTrace returns a context for a request whose connections the tracker observes.
func (t *Tracker) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.GotConn, PutIdleConn: t.PutIdleConn})
}

// RoundTrip sends a request, whose context must have the hooks of the tracker. If it fails, or the body of the response is
// closed before its end, the connection is reset.
func (t *Tracker) RoundTrip(rt http.RoundTripper, req *http.Request) (*http.Response, error) {
	t.head = req.Method == http.MethodHead
	res, err := rt.RoundTrip(req)
	if err != nil {
		t.Abandon()
		return nil, err
	}
	if res.Body == http.NoBody {
		t.Finish()
		return res, nil
	}
	res.Body = &trackedBody{ReadCloser: res.Body, tracker: t}
	return res, nil
}

// trackedBody reports the end of a response to the tracker of its round trip.
type trackedBody struct {
	io.ReadCloser
	tracker *Tracker
}

// Read implements [io.Reader].
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.tracker.Finish()
	}
	return n, err
}

// Close implements [io.Closer].
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.tracker.Abandon()
	return err
}
