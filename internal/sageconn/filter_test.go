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
	foreignChunk = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	own          = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nown"
)

// ownerOf returns whose a response is for the request with ID 2.
func ownerOf(res *http.Response) Owner {
	return map[string]Owner{"1": OwnerOther, "2": OwnerSelf}[res.Header.Get("Id")]
}

// reusedConn returns a connection after an identified response, from which a reader's content is read.
func reusedConn(t *testing.T, r io.Reader) *Conn {
	t.Helper()
	w := Wrap(readerConn{r: io.MultiReader(strings.NewReader(own), r)})
	(&Tracker{Owner: ownerOf}).GotConn(httptrace.GotConnInfo{Conn: w})
	_, err := w.Write([]byte("GET"))
	require.NoError(t, err)
	_, err = io.ReadFull(w, make([]byte, len(own)))
	require.NoError(t, err)
	return w
}

// readerConn is a connection from which a reader's content is read.
type readerConn struct {
	net.Conn
	r io.Reader
}

func (c readerConn) Read(b []byte) (int, error)  { return c.r.Read(b) }
func (c readerConn) Write(b []byte) (int, error) { return len(b), nil }
func (c readerConn) Close() error                { return nil }

// Prevents bytes after a response from reaching the transport, which would take them for the beginning of the next response, and
// the connection from being used again.
func TestBytesAfterResponseEndTheConnection(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nT: 1\r\n\r\n"
	const none = "HTTP/1.1 204 No Content\r\nId: 2\r\n\r\n"
	for _, response := range []string{own, chunked, none} {
		for _, extra := range []string{"x", "HTTP/1.1 503 Service", foreignEmpty} {
			for name, r := range map[string]io.Reader{"at once": strings.NewReader(response + extra), "by bytes": iotest.OneByteReader(strings.NewReader(response + extra))} {
				w := reusedConn(t, r)
				(&Tracker{Owner: ownerOf}).GotConn(httptrace.GotConnInfo{Conn: w})
				_, err := w.Write([]byte("GET"))
				require.NoError(t, err)
				b, err := io.ReadAll(iotest.OneByteReader(w))
				require.ErrorIs(t, err, errExtra, name)
				require.Equal(t, response, string(b), name)
				(&Tracker{Owner: ownerOf}).GotConn(httptrace.GotConnInfo{Conn: w})
				_, err = w.Write([]byte("GET"))
				require.ErrorIs(t, err, ErrStale, name)
			}
		}
	}
}

// Prevents a response whose lines end with LF alone from being held back until its connection ends.
func TestHeadLen(t *testing.T) {
	for _, c := range []struct {
		in string
		n  int
	}{
		{"", 0}, {"a: b", 0}, {"a: b\r\n", 0}, {"a: b\r\n\r", 0}, {"a: b\r\n\r\nbody", 8}, {"a: b\n\nbody\n\n", 6}, {"a: b\r\nc: d\n\r\nbody", 13}, {"a: b\n\rc", 0},
	} {
		require.Equal(t, c.n, headLen([]byte(c.in)), "%q", c.in)
	}
}

// Prevents a late copy of an earlier response from reaching the transport, and the response after it from being changed.
func TestForeignResponsesAreSkipped(t *testing.T) {
	endless := strings.Repeat("x", 2*maxHead)
	const early = "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n"
	for _, c := range []struct {
		name, in, out string
		skipped       int
	}{
		{"none", own, own, 0},
		{"informational", early + own, early + own, 0},
		{"after an informational one", early + foreignBody + own, early + own, 1},
		{"without a body", foreignEmpty + own, own, 1},
		{"with a body", foreignBody + own, own, 1},
		{"that has no length", foreignNone + own, own, 1},
		{"several", foreignBody + foreignEmpty + foreignBody + own, own, 3},
		{"at most", strings.Repeat(foreignEmpty, maxSkipped) + own, own, maxSkipped},
		{"too many", strings.Repeat(foreignEmpty, maxSkipped+1) + own, foreignEmpty + own, maxSkipped},
		{"without chunks", foreignChunk + "0\r\n\r\n" + own, own, 1},
		{"in chunks", foreignChunk + "3;x=y\r\na\r\n\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n" + own, own, 1},
		{"several in chunks", strings.Repeat(foreignChunk+"1\r\na\r\n0\r\n\r\n", 3) + foreignEmpty + own, own, 4},
		{"cut off in chunks", foreignChunk + "9\r\nx", "", 1},
		{"too long", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999\r\n\r\n" + own, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999\r\n\r\n" + own, 0},
		{"head cut off", foreignEmpty[:30], foreignEmpty[:30], 0},
		{"body cut off", foreignBody[:len(foreignBody)-2], "", 1},
		{"endless line", endless, endless, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for name, r := range map[string]io.Reader{"at once": strings.NewReader(c.in), "by bytes": iotest.OneByteReader(strings.NewReader(c.in))} {
				w := reusedConn(t, r)
				tr := &Tracker{Owner: ownerOf}
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

// Prevents the rest of a response to another request from being taken for a response.
func TestForeignResponseWithoutEnd(t *testing.T) {
	const most = 2 * maxSkippedBodySize
	for _, body := range []string{strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\nx\r\n", most/1000), "0\r\n" + strings.Repeat("T: x\r\n", most/6), "x\r\n", "-5\r\n", "7fffffff\r\n", strings.Repeat("1", 2*maxChunkLine), strings.Repeat("80000\r\n"+strings.Repeat("x", 0x80000)+"\r\n", 3)} {
		w := reusedConn(t, strings.NewReader(foreignChunk+body+own))
		(&Tracker{Owner: ownerOf}).GotConn(httptrace.GotConnInfo{Conn: w})
		b, err := io.ReadAll(w)
		require.ErrorIs(t, err, errNoEnd)
		require.Empty(t, b)
	}
}

// Prevents the first response on a connection, which is no copy of another, from being skipped.
func TestFirstResponseIsNotSkipped(t *testing.T) {
	w := Wrap(readerConn{r: strings.NewReader(foreignEmpty)})
	tr := &Tracker{Owner: ownerOf}
	tr.GotConn(httptrace.GotConnInfo{Conn: w})
	b, err := io.ReadAll(w)
	require.NoError(t, err)
	require.Equal(t, foreignEmpty, string(b))
	require.Zero(t, tr.Skipped())
}

// Prevents an error from hiding what was read before it.
func TestErrorFollowsWhatWasRead(t *testing.T) {
	broken := errors.New("broken")
	w := reusedConn(t, io.MultiReader(strings.NewReader(own[:20]), iotest.ErrReader(broken)))
	(&Tracker{Owner: ownerOf}).GotConn(httptrace.GotConnInfo{Conn: w})
	b, err := io.ReadAll(w)
	require.ErrorIs(t, err, broken)
	require.Equal(t, own[:20], string(b))
}

// Prevents a request from being written to a connection on which a response isn't known to be that of its request, and may
// be repeated.
func TestConnectionIsNotUsedAfterUnknownResponse(t *testing.T) {
	for _, c := range []struct {
		name, response string
		used           bool
	}{
		{"identified", own, true},
		{"without an ID", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false},
		{"to another request", foreignEmpty, false},
		{"none yet", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := Wrap(readerConn{r: strings.NewReader(c.response)})
			(&Tracker{Owner: ownerOf}).GotConn(httptrace.GotConnInfo{Conn: w})
			_, err := w.Write([]byte("GET"))
			require.NoError(t, err)
			_, err = io.ReadAll(w)
			require.NoError(t, err)
			next := &Tracker{Owner: ownerOf}
			next.GotConn(httptrace.GotConnInfo{Conn: w})
			_, err = w.Write([]byte("POST"))
			require.Equal(t, c.used, err == nil)
			require.Equal(t, !c.used, next.Seal(), "nothing was sent")
		})
	}
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
