package sageloadd

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Prevents bytes after the report on a new connection, which belong to no request, from being lost or endless.
func TestReportIsAllThatANewConnectionSends(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"boot_id\":\"b\"}"
	for _, c := range []struct {
		name, response string
		ok             bool
	}{
		{"report", report, true},
		{"two reports", report + report, false},
		{"malformed head", strings.Replace(report, "\r\n", "\r\nX Odd: 1\r\n", 1), false},
		{"endless head", "HTTP/1.1 200 OK\r\nH: " + strings.Repeat("x", 1<<20), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() {
				_, _ = far.Read(make([]byte, 4096)) // the request
				_, _ = io.WriteString(far, c.response)
			}()
			defer func() { _, _ = near.Close(), far.Close() }()
			id, err := readBootID(near, "h:1")
			require.Equal(t, c.ok, err == nil, err)
			require.Equal(t, c.ok, id == "b")
		})
	}
}
