package sageconn

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A booking is called not run and yet booked: the attempt is given up while the transport is about
// to write the request, and the write happens after the refusal was told.
func TestSealedConnectionWritesNothingMore(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c := &Conn{Conn: a}
	use := c.begin()
	require.True(t, c.seal(use))
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, errSealed)

	d, e := net.Pipe()
	defer func() { _ = e.Close() }()
	c = &Conn{Conn: d}
	use = c.begin()
	go func() { _, _ = io.Copy(io.Discard, e) }()
	_, err = c.Write([]byte("P"))
	require.NoError(t, err)
	require.False(t, c.seal(use), "one byte was written")
	next := c.begin()
	c.closeUse(use)
	_, err = c.Write([]byte("POST"))
	require.NoError(t, err, "a later request's connection stays open")
	c.closeUse(next)
	_, err = c.Write([]byte("POST"))
	require.Error(t, err)
}
