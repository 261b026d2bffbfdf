package sageclock

import (
	"context"
	"time"
)

// Sleep waits for d, not counting the time during which the VM is suspended. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
