package sageclock

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, tt := range []struct {
		name string
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		{"no time", t.Context(), 0, true},
		{"a time in the past", t.Context(), -time.Second, true},
		{"context ended", ended, time.Hour, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, Sleep(tt.ctx, tt.d))
		})
	}
}
