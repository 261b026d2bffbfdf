package sageconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

const (
	foreignEmpty = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	foreignBody  = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n\r\n\r\n"
	foreignNone  = "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"
	foreignChunk = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	own          = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nown"
)

func isForeign(res *http.Response) bool { return res.Header.Get("Id") == "1" }

// readerConn is a connection from which a reader's content is read.
type readerConn struct {
	net.Conn
	r io.Reader
}

func (c readerConn) Read(b []byte) (int, error)  { return c.r.Read(b) }
func (c readerConn) Write(b []byte) (int, error) { return len(b), nil }
func (c readerConn) Close() error                { return nil }

// Prevents a late copy of an earlier response from reaching the transport, and the response after it from being changed.
func TestForeignResponsesAreSkipped(t *testing.T) {
	endless := strings.Repeat("x", 2*maxSkippedHead)
	for _, c := range []struct {
		name, in, out string
		skipped       int
	}{
		{"none", own, own, 0},
		{"without a body", foreignEmpty + own, own, 1},
		{"with a body", foreignBody + own, own, 1},
		{"that has no length", foreignNone + own, own, 1},
		{"several", foreignBody + foreignEmpty + foreignBody + own, own, 3},
		{"at most", strings.Repeat(foreignEmpty, maxSkipped) + own, own, maxSkipped},
		{"too many", strings.Repeat(foreignEmpty, maxSkipped+1) + own, foreignEmpty + own, maxSkipped},
		{"after the response", own + foreignEmpty, own + foreignEmpty, 0},
		{"in chunks", foreignChunk + own, foreignChunk + own, 0},
		{"too long", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999\r\n\r\n" + own, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999\r\n\r\n" + own, 0},
		{"head cut off", foreignEmpty[:30], foreignEmpty[:30], 0},
		{"body cut off", foreignBody[:len(foreignBody)-2], "", 1},
		{"no response", "\x00\xff\r\n\r\n" + own, "\x00\xff\r\n\r\n" + own, 0},
		{"endless line", endless, endless, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for name, r := range map[string]io.Reader{"at once": strings.NewReader(c.in), "by bytes": iotest.OneByteReader(strings.NewReader(c.in))} {
				w := Wrap(readerConn{r: r})
				new(Tracker).GotConn(httptrace.GotConnInfo{Conn: w}) // the request before
				tr := &Tracker{Foreign: isForeign}
				tr.GotConn(httptrace.GotConnInfo{Conn: w})
				_, err := w.Write([]byte("GET"))
				require.NoError(t, err)
				b, err := io.ReadAll(iotest.OneByteReader(w))
				require.NoError(t, err, name)
				require.Equal(t, c.out, string(b), name)
				require.Equal(t, c.skipped, tr.Skipped(), name)
			}
		})
	}
}

// Prevents the first response on a connection, which is no copy of another, from being skipped.
func TestFirstResponseIsNotSkipped(t *testing.T) {
	w := Wrap(readerConn{r: strings.NewReader(foreignEmpty)})
	tr := &Tracker{Foreign: isForeign}
	tr.GotConn(httptrace.GotConnInfo{Conn: w})
	b, err := io.ReadAll(w)
	require.NoError(t, err)
	require.Equal(t, foreignEmpty, string(b))
	require.Zero(t, tr.Skipped())
}

// Prevents an error from hiding what was read before it.
func TestErrorFollowsWhatWasRead(t *testing.T) {
	broken := errors.New("broken")
	w := Wrap(readerConn{r: io.MultiReader(strings.NewReader(own[:20]), iotest.ErrReader(broken))})
	new(Tracker).GotConn(httptrace.GotConnInfo{Conn: w})
	(&Tracker{Foreign: isForeign}).GotConn(httptrace.GotConnInfo{Conn: w})
	b, err := io.ReadAll(w)
	require.ErrorIs(t, err, broken)
	require.Equal(t, own[:20], string(b))
}

// Prevents a response without an ID from being taken for this request's while an earlier one on the connection may be
// repeated.
func TestEarlierIdentified(t *testing.T) {
	w := Wrap(readerConn{r: strings.NewReader("")})
	use := func() *Tracker {
		tr := new(Tracker)
		tr.GotConn(httptrace.GotConnInfo{Conn: w})
		return tr
	}
	require.False(t, new(Tracker).EarlierIdentified(), "no connection")
	first := use()
	require.True(t, first.EarlierIdentified())
	first.Identify()
	second := use()
	require.True(t, second.EarlierIdentified())
	third := use()
	require.False(t, third.EarlierIdentified(), "the second hasn't been identified")
	second.Identify()
	require.True(t, third.EarlierIdentified())
}

// Prevents a request that has got the connection already from being written to it after a response that wasn't identified.
func TestDiscardSealsLaterRequest(t *testing.T) {
	w := Wrap(readerConn{r: strings.NewReader("")})
	first, second := new(Tracker), new(Tracker)
	first.GotConn(httptrace.GotConnInfo{Conn: w})
	second.GotConn(httptrace.GotConnInfo{Conn: w})
	first.Discard()
	_, err := w.Write([]byte("POST"))
	require.ErrorIs(t, err, errSealed)
	require.True(t, second.Seal(), "nothing was sent")
}
