// Package sageheader forwards HTTP headers as RFC 9110 requires of intermediaries.
//
// # Usage
//
//	out := sageheader.EndToEnd(req.Header)   // to an upstream
//	sageheader.Copy(w.Header(), res.Header)  // to a caller
package sageheader

import (
	"mime"
	"net/http"
	"strings"
)

// MaxResponseBytes limits the head of a response that a client reads, with all 1xx responses before it. The default of net/http
// is 10 MB, which several faulty servers at once would turn into more memory than a small VM has.
const MaxResponseBytes = 32 << 10

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1) or are
// generated for each request.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// Copy adds the end-to-end headers of src to dst.
func Copy(dst, src http.Header) {
	for k, v := range src {
		if !hopByHop[k] {
			dst[k] = append([]string(nil), v...)
		}
	}
}

// EndToEnd returns a copy of the end-to-end headers of src. It omits headers that are named in
// Connection.
func EndToEnd(src http.Header) http.Header {
	out := make(http.Header, len(src)+6)
	Copy(out, src)
	for _, line := range src["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// IsEventStream reports whether a response is a successful stream of server-sent events.
func IsEventStream(res *http.Response) bool {
	t, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream" && res.StatusCode == http.StatusOK
}
