package sagemesh

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Prevents datagrams of odd size, empty, cut off anywhere, longer than a heartbeat or filled with noise, from ending the reception of
// heartbeats or from counting as nodes.
func TestDatagramsOfOddSize(t *testing.T) {
	a, b := freePort(t), freePort(t)
	n := startNode(t, "a", a, b)
	startNode(t, "b", b, a)
	require.Eventually(t, func() bool { return n.LiveCount() == 1 }, waitTimeout, time.Millisecond)

	h := typicalHeartbeat(4)
	h.Address, h.KnownAddresses = unusedAddress(0), nil
	whole, err := h.encode()
	require.NoError(t, err)
	c, err := net.Dial("udp4", a)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	send := func(p []byte) {
		_, err := c.Write(p)
		require.NoError(t, err)
	}
	for size := range whole {
		send(whole[:size])
	}
	for _, size := range []int{0, 1, maxDatagramBytes - 1, maxDatagramBytes, maxDatagramBytes + 1, 65_507} {
		for _, fill := range []byte{0, 0x0a, 0xff} {
			noise := make([]byte, size)
			for i := range noise {
				noise[i] = fill
			}
			send(noise)
		}
	}
	before := n.echoCount()
	require.Eventually(t, func() bool { return n.echoCount() > before+2 }, waitTimeout, time.Millisecond)
	require.Equal(t, 1, n.LiveCount())
}
