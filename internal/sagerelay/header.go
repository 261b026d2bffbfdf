package sagerelay

import (
	"mime"
	"net/http"
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// endToEnd returns a copy of the headers that are not of one connection only.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+6)
	for k, v := range h {
		if !hopHeaders[k] {
			out[k] = v
		}
	}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

func copyInto(dst, src http.Header) {
	for k, v := range src {
		dst[k] = v
	}
	if _, ok := src["Content-Type"]; !ok {
		dst["Content-Type"] = nil // net/http would guess one
	}
}

func isStream(res *http.Response) bool {
	t, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream" && res.StatusCode == http.StatusOK
}
