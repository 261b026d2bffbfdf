package sagerelay

import (
	"testing"
	"time"

	"sagestand.example/sagestand/internal/sageconntest"
)

// Prevents a TCP_USER_TIMEOUT, or other keep-alive probes than stated, from deciding how long an unresponsive upstream or peer is
// waited for.
func TestOptionsOfConnections(t *testing.T) {
	s, want := new(Service), sageconntest.Options{KeepIdle: time.Second, KeepPeriod: time.Second, KeepCount: 3}
	sageconntest.RequireOptions(t, s.toUpstreams().connect, want)
	sageconntest.RequireOptions(t, s.toPeers().connect, want)
}
