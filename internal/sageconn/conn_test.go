package sageconn

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// An attempt is cancelled while the transport is about to write the request. If the write were still
// possible after the caller got a refusal that says the booking was not executed, the booking could be
// made nevertheless.
func TestSealedConnectionRejectsWrites(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c := &Conn{Conn: a}
	use := c.beginUse(nil, true)
	require.True(t, c.seal(use))
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, errSealed)

	d, e := net.Pipe()
	defer func() { _ = e.Close() }()
	c = &Conn{Conn: d}
	use = c.beginUse(nil, true)
	go func() { _, _ = io.Copy(io.Discard, e) }()
	_, err = c.Write([]byte("P"))
	require.NoError(t, err)
	require.False(t, c.seal(use), "one byte was written")
	next := c.beginUse(nil, true)
	c.resetUse(use)
	_, err = c.Write([]byte("POST"))
	require.NoError(t, err, "a later request's connection stays open")
	c.resetUse(next)
	_, err = c.Write([]byte("POST"))
	require.Error(t, err)
}

// tcpPair returns the two ends of a loopback connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// awaitPeer waits until what the other end did has arrived at a connection.
func awaitPeer(t *testing.T, c net.Conn) {
	t.Helper()
	require.Eventually(t, func() bool { return peerActed(c) }, time.Minute, time.Millisecond)
}

// Prevents a request from being written to a connection that the upstream has closed, or on which bytes of an earlier
// response would be taken for its own.
func TestNothingIsWrittenToStaleConnection(t *testing.T) {
	for _, c := range []struct {
		name string
		peer func(net.Conn)
	}{
		{"closed", func(c net.Conn) { _ = c.Close() }},
		{"reset", func(c net.Conn) { _, _ = c.(*net.TCPConn).SetLinger(0), c.Close() }},
		{"late bytes", func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server := tcpPair(t)
			w := WrapIdle(client, time.Hour)
			tr := new(Tracker)
			tr.GotConn(httptrace.GotConnInfo{Conn: w})
			_, err := w.Write([]byte("GET"))
			require.NoError(t, err)
			tr.PutIdleConn(nil)
			_, err = io.ReadFull(server, make([]byte, 3))
			require.NoError(t, err)
			c.peer(server)
			awaitPeer(t, client)
			next := new(Tracker)
			next.GotConn(httptrace.GotConnInfo{Conn: w, Reused: true})
			_, err = w.Write([]byte("POST"))
			require.ErrorIs(t, err, ErrStale)
			require.False(t, next.Sent())
			require.True(t, next.Seal())
		})
	}
}

// Prevents the check from missing an end that the transport has already read.
func TestStaleAfterReadAtRest(t *testing.T) {
	a, b := net.Pipe()
	w := Wrap(a)
	use := w.beginUse(nil, true)
	go func() { _, _ = io.Copy(io.Discard, b) }()
	_, err := w.Write([]byte("GET"))
	require.NoError(t, err)
	w.endUse(use)
	_ = b.Close()
	_, err = w.Read(make([]byte, 1))
	require.Error(t, err)
	w.beginUse(nil, true)
	_, err = w.Write([]byte("POST"))
	require.ErrorIs(t, err, ErrStale)
}

// Prevents the transport from sending a request that must be executed at most once on a second connection.
func TestAtMostOnceSealsSecondConnection(t *testing.T) {
	for _, once := range []bool{true, false} {
		first, peer := tcpPair(t)
		second, _ := tcpPair(t)
		tr := &Tracker{AtMostOnce: once}
		a, b := Wrap(first), Wrap(second)
		tr.GotConn(httptrace.GotConnInfo{Conn: a})
		_, err := a.Write([]byte("GET"))
		require.NoError(t, err)
		_ = peer.Close()
		tr.GotConn(httptrace.GotConnInfo{Conn: b})
		_, err = b.Write([]byte("GET"))
		require.Equal(t, once, err != nil)
		require.False(t, tr.Seal(), "it may have been sent on the first connection")
	}
}

// Prevents idle connections from being kept until the other end closes them.
func TestIdleConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		w := WrapIdle(a, 3*time.Second)
		go func() { _, _ = io.Copy(io.Discard, b) }()
		tr := new(Tracker)
		tr.GotConn(httptrace.GotConnInfo{Conn: w})
		time.Sleep(4 * time.Second)
		_, err := w.Write([]byte("GET"))
		require.NoError(t, err, "it is in use")
		tr.PutIdleConn(nil)
		time.Sleep(2 * time.Second)
		tr.SetKeepIdle(5 * time.Second)
		time.Sleep(4 * time.Second)
		use := w.beginUse(nil, true)
		_, err = w.Write([]byte("GET"))
		require.NoError(t, err, "kept longer, as the other end stated")
		w.endUse(use)
		time.Sleep(6 * time.Second)
		_, err = w.Write([]byte("GET"))
		require.ErrorIs(t, err, errSealed)
		_ = b.Close()
	})
}

func BenchmarkPeerSpoke(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(b, err)
	defer func() { _ = c.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		if peerActed(c) {
			b.Fatal("the connection is open")
		}
	}
}
