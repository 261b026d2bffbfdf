package sagedispatch

import (
	"net/http"
	"strconv"

	"sagestand.example/sagestand/pkg/sagewire"
)

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
