package sagerelay

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageroute"
)

func TestProbePath(t *testing.T) {
	unreached := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reset := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("other") }
	for _, tt := range []struct {
		name   string
		up     upstream
		dial   func(ctx context.Context, network, address string) (net.Conn, error)
		health string
		want   sagereach.ProbeResult
	}{
		{"any response", respond(503, "", ""), nil, "/health", sagereach.ProbeAnswered},
		{"endless head", endless("HTTP/1.1 200 OK\r\n", "H: x\r\n"), nil, "/health", sagereach.ProbeAnswered},
		{"head of which the rest never comes", thenStalls("HTTP/1.1 200 OK\r\n"), nil, "/health", sagereach.ProbeTimedOut},
		{"endless body", endless("HTTP/1.1 200 OK\r\n\r\n", "x"), nil, "/health", sagereach.ProbeAnswered},
		{"no response", stalled, nil, "/health", sagereach.ProbeTimedOut},
		{"closed", crash, nil, "/health", sagereach.ProbeRefused},
		{"refused", nil, nil, "/health", sagereach.ProbeRefused},
		{"not opened", nil, unreached, "/health", sagereach.ProbeUnreached},
		{"other error", nil, reset, "", sagereach.ProbeUnreached},
		{"no health check", stalled, nil, "", sagereach.ProbeAnswered},
		{"no health check, refused", nil, nil, "", sagereach.ProbeRefused},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": tt.up})
				s := fleet.service()
				if tt.dial != nil {
					s.Dial = tt.dial
				}
				require.Equal(t, tt.want, s.ProbePath(t.Context(), "a:80", tt.health))
				synctest.Wait()
			})
		})
	}
}
