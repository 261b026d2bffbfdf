package sageconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// malformedHeads are heads of complete responses to the request with ID 2 with something that HTTP/1 doesn't allow.
var malformedHeads = map[string]string{
	"status 000":                  "HTTP/1.1 000 X\r\nId: 2\r\nContent-Length: 3\r\n\r\n",
	"status 099":                  "HTTP/1.1 099 X\r\nId: 2\r\nContent-Length: 3\r\n\r\n",
	"blank in a name":             "HTTP/1.1 200 OK\r\nId: 2\r\nX Odd: 1\r\nContent-Length: 3\r\n\r\n",
	"blank in the name of length": "HTTP/1.1 200 OK\r\nId: 2\r\nContent Length: 900\r\nContent-Length: 3\r\n\r\n",
	"blank behind a name":         "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length : 3\r\n\r\n",
	"blank behind chunks":         "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding : chunked\r\n\r\n",
	"tab behind a name":           "HTTP/1.1 200 OK\r\nId: 2\r\nX-Odd\t: 1\r\nContent-Length: 3\r\n\r\n",
	"control byte in a name":      "HTTP/1.1 200 OK\r\nId: 2\r\nX\x01Odd: 1\r\nContent-Length: 3\r\n\r\n",
	"NUL in a name":               "HTTP/1.1 200 OK\r\nId: 2\r\nX\x00Odd: 1\r\nContent-Length: 3\r\n\r\n",
	"DEL in a name":               "HTTP/1.1 200 OK\r\nId: 2\r\nX\x7fOdd: 1\r\nContent-Length: 3\r\n\r\n",
	"byte beyond ASCII in a name": "HTTP/1.1 200 OK\r\nId: 2\r\nX\xe4: 1\r\nContent-Length: 3\r\n\r\n",
	"empty name":                  "HTTP/1.1 200 OK\r\nId: 2\r\n: 1\r\nContent-Length: 3\r\n\r\n",
	"no colon":                    "HTTP/1.1 200 OK\r\nId: 2\r\nodd\r\nContent-Length: 3\r\n\r\n",
	"first line continues":        "HTTP/1.1 200 OK\r\n Id: 2\r\nContent-Length: 3\r\n\r\n",
	"NUL in a value":              "HTTP/1.1 200 OK\r\nId: 2\r\nX-Odd: a\x00b\r\nContent-Length: 3\r\n\r\n",
	"CR in a value":               "HTTP/1.1 200 OK\r\nId: 2\r\nX-Odd: a\rb\r\nContent-Length: 3\r\n\r\n",
	"early hints with a blank":    "HTTP/1.1 103 X\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\n",
	"another version":             "HTTP/2.0 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\n",
	"several blanks":              "HTTP/1.1  200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\n",
	"no response":                 "\x00\xff\r\n\r\n",
}

// plainHeads are heads that HTTP/1 allows, with the value of the field X-Odd.
var plainHeads = map[string]string{
	"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\n":                                  "",
	"HTTP/1.0 200 OK\r\nId: 2\r\nX-Odd:\r\nContent-Length: 3\r\n\r\n":                        "",
	"HTTP/1.1 200\r\nid:2\r\nx-odd:a\tb \r\nContent-Length: 3\r\n\r\n":                       "a\tb",
	"HTTP/1.1 200 OK\nId: 2\nX-Odd: a: b\nContent-Length: 3\n\n":                             "a: b",
	"HTTP/1.1 200 OK\r\nId: 2\r\nX-Odd: a\r\n\tb\r\nContent-Length: 3\r\n\r\n":               "a b",
	"HTTP/1.1 200 OK\r\nId: 2\r\nX-Odd: \xe4\r\nContent-Length: 3\r\n\r\n":                   "\xe4",
	"HTTP/1.1 200 OK\r\nId: 2\r\n!#$%&'*+.^_`|~9z-: 1\r\nContent-Length: 3\r\n\r\n":          "",
	"HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\n": "",
}

// exchangeOn sends a request on a connection whose reads are those of a reader.
func exchangeOn(t *testing.T, owner func(*http.Response) Owner, r io.Reader) (*http.Response, error) {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		_, _ = far.Read(make([]byte, 1<<10))
		_, _ = io.Copy(far, r)
		_ = far.Close()
	}()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: Dialer(func(context.Context, string, string) (net.Conn, error) { return near, nil })}
	tr := &Tracker{Owner: owner}
	req, err := http.NewRequestWithContext(tr.WithTrace(t.Context()), http.MethodGet, "http://runner/", nil)
	require.NoError(t, err)
	res, err := tr.RoundTrip(transport, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, "own", string(b))
	return res, nil
}

// Prevents a response whose head holds what is no field of HTTP/1, or no status, from counting as a response: net/http passes some of
// these lines on, and takes "Content-Length :" for another field than the length.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, owner := range []func(*http.Response) Owner{ownerOf, nil} {
		for name, head := range malformedHeads {
			t.Run(fmt.Sprintf("%s, examined %t", name, owner != nil), func(t *testing.T) {
				_, err := exchangeOn(t, owner, strings.NewReader(head+"own"))
				require.Error(t, err)
				_, err = exchangeOn(t, owner, iotest.OneByteReader(strings.NewReader(head+"own")))
				require.Error(t, err)
			})
		}
		for head, odd := range plainHeads {
			t.Run(fmt.Sprintf("%q, examined %t", head, owner != nil), func(t *testing.T) {
				res, err := exchangeOn(t, owner, strings.NewReader(head+"own"))
				require.NoError(t, err)
				require.Equal(t, odd, res.Header.Get("X-Odd"))
			})
		}
	}
}

// Prevents bytes that are no response, or a malformed head, from reaching the transport behind a copy of an earlier response.
func TestMalformedHeadOnReusedConnection(t *testing.T) {
	for name, head := range malformedHeads {
		for _, before := range []string{"", foreignBody} {
			w := reusedConn(t, strings.NewReader(before+head+"own"))
			(&Tracker{Owner: ownerOf}).GotConn(httptrace.GotConnInfo{Conn: w})
			b, err := io.ReadAll(w)
			require.Error(t, err, name)
			require.NotContains(t, string(b), "own", name)
		}
	}
}

func ExampleCheckHead() {
	fmt.Println(CheckHead([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")))
	fmt.Println(CheckHead([]byte("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok")))
	// Output:
	// <nil>
	// line "Content-Length : 2": response head malformed
}
