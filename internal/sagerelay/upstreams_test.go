package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// upstream handles one request on one connection. The connection is closed when it returns.
type upstream func(c net.Conn, req *http.Request)

// respond returns an upstream that sends a plain response.
func respond(status int, header, body string) upstream {
	return func(c net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, testID, req.Header.Get(testID), header, len(body), body)
	}
}

// endless returns an upstream that sends head and then more without end.
func endless(head, more string) upstream {
	return func(c net.Conn, _ *http.Request) {
		for text := head; ; text = more {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

const sealHeader = testSeal + ": s\r\n"

// events returns an upstream that sends the events from..to in chunks, and the end of the stream if
// complete.
func events(from, to int, complete bool) upstream {
	return func(c net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: from-%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testID, req.Header.Get(testID), testSeal, from)
		for i := from; i <= to; i++ {
			e := fmt.Sprintf("id: %d\ndata: w%d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if complete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}
}

// stalled reads the request and never responds.
func stalled(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }

// delayed returns an upstream that waits for d and then responds like up.
func delayed(d time.Duration, up upstream) upstream {
	return func(c net.Conn, req *http.Request) {
		time.Sleep(d)
		up(c, req)
	}
}

// crash closes the connection without a response.
func crash(net.Conn, *http.Request) {}

// respondWithOtherID sends a response with the ID of another request.
func respondWithOtherID(c net.Conn, req *http.Request) {
	req.Header.Set(testID, "other")
	respond(200, sealHeader, "theirs")(c, req)
}
