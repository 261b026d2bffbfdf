package sagetrace

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// idempotencyKey returns the idempotency key for a name in a trace. A key contains its creation time, so keys
// are created during the replay rather than stored in the trace. Within one replay a name always has the same
// key.
func (p *player) idempotencyKey(name string) string {
	if name == "" {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keys == nil {
		p.keys = make(map[string]string)
	}
	k, ok := p.keys[name]
	if !ok {
		k = fmt.Sprintf("%d-%016x", time.Now().UnixMilli(), xxhash.Sum64String(name))
		p.keys[name] = k
	}
	return k
}
