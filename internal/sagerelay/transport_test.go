package sagerelay

import (
	"testing"
	"time"

	"sagestand.example/sagestand/internal/sageconntest"
)

// Prevents a TCP_USER_TIMEOUT, or other keep-alive probes than stated, from deciding how long an unresponsive upstream or peer is
// waited for.
func TestOptionsOfConnections(t *testing.T) {
	s, want := new(Service), sageconntest.Options{KeepIdle: time.Second, KeepPeriod: time.Second, KeepCount: 60}
	sageconntest.RequireOptions(t, s.toUpstreams().connect, want)
	sageconntest.RequireOptions(t, s.toPeers().connect, want)
}

// Prevents the kernel from delivering a request after the process that sent it was killed.
func TestConnectionsAreResetAtTheEndOfTheProcess(t *testing.T) {
	s, want := new(Service), sageconntest.Options{KeepIdle: time.Second, KeepPeriod: time.Second, KeepCount: 60, Resets: true}
	for _, ts := range []*transports{s.toUpstreams(), s.toPeers()} {
		sageconntest.RequireOptions(t, ts.pooled.DialContext, want)
		sageconntest.RequireOptions(t, ts.unpooled.DialContext, want)
	}
}
