package sageheader

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A caller must not be able to send a header past the router to the upstream by naming it in
// Connection.
func TestEndToEndDropsConnectionHeaders(t *testing.T) {
	src := http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "X-Other": {"2"}, "Te": {"trailers"}, "Content-Length": {"7"},
	}
	out := EndToEnd(src)
	require.Equal(t, http.Header{"X-Other": {"2"}}, out)
	out["X-Other"][0] = "changed"
	require.Equal(t, "2", src.Get("X-Other"))
}

func TestIsEventStream(t *testing.T) {
	for _, c := range []struct {
		status int
		kind   string
		want   bool
	}{{200, "text/event-stream", true}, {200, "text/event-stream; charset=utf-8", true}, {500, "text/event-stream", false}, {200, "text/plain", false}, {200, "", false}} {
		require.Equal(t, c.want, IsEventStream(&http.Response{StatusCode: c.status, Header: http.Header{"Content-Type": {c.kind}}}))
	}
}
