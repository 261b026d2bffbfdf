package sageconn

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Prevents a request that was written from being taken for one that wasn't, since its connection serves another request by now.
func TestWrittenRequestIsNotSealedInALaterUse(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	go func() { _, _ = io.Copy(io.Discard, b) }()
	c := Wrap(a)
	first := c.beginUse(nil, true)
	_, err := c.Write([]byte("POST"))
	require.NoError(t, err)
	c.endUse(first)
	c.beginUse(nil, true)
	require.False(t, c.seal(first))
	require.True(t, c.sentIn(first))
	_, err = c.Write([]byte("POST"))
	require.NoError(t, err, "the later request keeps its connection")
}
