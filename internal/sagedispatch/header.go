package sagedispatch

import (
	"mime"
	"net/http"
	"strconv"

	"sagestand.example/sagestand/pkg/sagewire"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

func copyHeader(dst, src http.Header) {
	for k, v := range src {
		if !hopHeaders[k] {
			dst[k] = append([]string(nil), v...)
		}
	}
}

func isEventStream(res *http.Response) bool {
	t, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream" && res.StatusCode == http.StatusOK
}

func (x *exchange) readHeader(h http.Header) {
	x.res.BootID = h.Get(sagewire.HeaderBootID)
	x.res.CachedTokens = count(h.Get(sagewire.HeaderCachedTokens))
	x.res.PromptTokens = count(h.Get(sagewire.HeaderPromptTokens))
}

// count reads a number of tokens; anything but a small non-negative number counts as 0.
func count(s string) int {
	n, err := strconv.ParseUint(s, 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}
