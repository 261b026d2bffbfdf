package sagemesh

// cachedPart says that an upstream has cached a prompt part. P is the type of the part's name.
type cachedPart[P any] struct {
	upstream string
	part     P
}

// backlog is a bounded queue of cached parts to be sent. When it is full the oldest ones are dropped; the cost of
// a dropped entry is that a prompt may be processed again. The zero value is ready for use.
type backlog[P any] struct {
	entries []cachedPart[P]
}

// add appends entries, given as parts by upstream, and keeps the newest ones up to the limit.
func (b *backlog[P]) add(held map[string][]P, limit int) {
	for u, parts := range held {
		for _, p := range parts {
			b.entries = append(b.entries, cachedPart[P]{u, p})
		}
	}
	b.entries = b.entries[max(0, len(b.entries)-limit):]
}

// take removes up to n of the oldest entries and returns them as parts by upstream.
func (b *backlog[P]) take(n int) map[string][]P {
	n = min(n, len(b.entries))
	if n == 0 {
		return nil
	}
	held := make(map[string][]P)
	for _, e := range b.entries[:n] {
		held[e.upstream] = append(held[e.upstream], e.part)
	}
	b.entries = b.entries[n:]
	return held
}
