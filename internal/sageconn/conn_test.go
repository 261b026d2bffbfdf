package sageconn

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// An attempt is cancelled while the transport is about to write the request. If the write were still
// possible after the caller has been told that the booking was not executed, the booking could be
// made nevertheless.
func TestSealedConnectionRejectsWrites(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c := &Conn{Conn: a}
	use := c.beginUse()
	require.True(t, c.seal(use))
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, errSealed)

	d, e := net.Pipe()
	defer func() { _ = e.Close() }()
	c = &Conn{Conn: d}
	use = c.beginUse()
	go func() { _, _ = io.Copy(io.Discard, e) }()
	_, err = c.Write([]byte("P"))
	require.NoError(t, err)
	require.False(t, c.seal(use), "one byte was written")
	next := c.beginUse()
	c.closeUse(use)
	_, err = c.Write([]byte("POST"))
	require.NoError(t, err, "a later request's connection stays open")
	c.closeUse(next)
	_, err = c.Write([]byte("POST"))
	require.Error(t, err)
}
