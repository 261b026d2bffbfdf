package sagedispatch

import (
	"net/http"
	"strconv"

	"sagestand.example/sagestand/pkg/sagewire"
)

func (x *exchange) readHeader(h http.Header) {
	x.result.BootID = h.Get(sagewire.HeaderBootID)
	x.result.CachedTokens = parseTokenCount(h.Get(sagewire.HeaderCachedTokens))
	x.result.PromptTokens = parseTokenCount(h.Get(sagewire.HeaderPromptTokens))
}

// parseTokenCount parses a number of tokens. It returns 0 for anything but a non-negative 31-bit integer.
func parseTokenCount(s string) int {
	n, err := strconv.ParseUint(s, 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}
