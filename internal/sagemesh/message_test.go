package sagemesh

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Prevents messages of other packages from being taken for heartbeats, and the other way round.
func TestMessagesAreNoHeartbeats(t *testing.T) {
	got := make(chan string, 10)
	a, b := newMessageNode(t, nil), newMessageNode(t, func(m []byte, from string) { got <- string(m) + " " + from })
	require.NoError(t, a.SendMessage(b.Address, []byte("hello")))
	select {
	case m := <-got:
		require.Equal(t, "hello "+a.Address, m)
	case <-time.After(10 * time.Second):
		t.Fatal("no message")
	}
	require.ErrorIs(t, a.SendMessage("nowhere", nil), ErrAddress)
	heartbeat, err := (&Heartbeat{Address: a.Address}).encode()
	require.NoError(t, err)
	require.False(t, b.handleMessage(heartbeat, nil))
	require.False(t, b.handleMessage(nil, nil))
	require.True(t, a.handleMessage([]byte{messageMarker, 1}, nil), "without a receiver the message is dropped")
}

func newMessageNode(t *testing.T, onMessage func([]byte, string)) *Service {
	t.Helper()
	s := &Service{
		Name: "vm", Address: freePort(t), Fill: func(*Heartbeat) {}, FillSum: func(*Heartbeat, bool) {}, FillUpdates: func(*Heartbeat) {},
		OnHeartbeat: func(*Heartbeat, sageclock.Instant) {}, OnJoined: func(Member) {}, OnLost: func(Member) {}, OnMessage: onMessage,
	}
	require.NoError(t, s.Open())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return s
}
