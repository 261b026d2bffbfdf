package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageroute"
)

// slowly returns an upstream that sends head and then more every 10 ms without end.
func slowly(head, more string) upstream {
	return func(c net.Conn, _ *http.Request) {
		for text := head; ; text = more {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// thenStalls returns an upstream that sends text and then nothing.
func thenStalls(text string) upstream {
	return func(c net.Conn, req *http.Request) {
		_, _ = io.WriteString(c, text) // fails only if the node has closed the connection
		stalled(c, req)
	}
}

// Prevents bytes of faulty upstreams, which prove the path to them, from being taken for a lost path: the node would refuse the requests
// to sound ones. What ends or stalls without them still counts.
func TestBytesOfUpstreamsProveThePath(t *testing.T) {
	const chunked = endlessHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name       string
		up         upstream
		unanswered bool
	}{
		{"head", endless("HTTP/1.1 200 OK\r\n", "H: x\r\n"), false},
		{"slow head", slowly("HTTP/1.1 200 OK\r\n", "H: x\r\n"), false},
		{"slow body", slowly(endlessHead+"\r\n", "xxxxxxxx"), false},
		{"slow chunks", slowly(chunked, "1\r\nx\r\n"), false},
		{"no chunk", endless(chunked, "no chunk\r\n"), false},
		{"no response", endless("", "no response\r\n"), false},
		{"silence", stalled, true},
		{"silence after a head", thenStalls(endlessHead + "\r\n"), true},
		{"silence in a head", thenStalls("HTTP/1.1 200 OK\r\n"), true},
		{"an end", crash, true},
		{"an end after a head", func(c net.Conn, _ *http.Request) { _, _ = fmt.Fprint(c, chunked+"1\r\nx\r\n") }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Idempotent), map[string]upstream{"a": c.up, "b": respond(200, sealHeader, "ok")})
				require.Equal(t, http.StatusOK, f.call(t.Context(), nil, "body").Code)
				require.Equal(t, c.unanswered, len(f.unanswered) > 0)
				require.NotEqual(t, sagehealth.OK, f.results[0], "it is evidence against the upstream")
				if !c.unanswered {
					require.Contains(t, f.answers, "a")
				}
			})
		})
	}
}

// Prevents an upstream whose responses never end from keeping its part of the requests because the path to others is suspected.
func TestBytesWithoutEndCountWhilePathIsSuspected(t *testing.T) {
	for name, up := range map[string]upstream{"head": slowly("HTTP/1.1 200 OK\r\n", "H: x\r\n"), "body": slowly(endlessHead+"\r\n", "x")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": up})
				f.path = sagereach.Suspected
				require.Equal(t, http.StatusGatewayTimeout, f.call(t.Context(), nil, "body").Code)
				require.Equal(t, []recordedResponse{{"r", ResponseResult{Failed: true}}}, f.responses)
			})
		})
	}
}
