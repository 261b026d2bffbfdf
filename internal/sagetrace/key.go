package sagetrace

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// key returns the idempotency key for a name in a trace. Keys carry the time of their creation, which
// a file can't know, so it is made at replay: the same name gives the same key within one replay.
func (p *player) key(name string) string {
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
