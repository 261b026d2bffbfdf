package sagemesh

// fact says that an upstream holds a prompt part, of which P is the name.
type fact[P any] struct {
	upstream string
	part     P
}

// backlog keeps the newest facts that wait to be told, up to a number; older ones are dropped, since it costs no
// more than a prompt that is read again. The zero value is ready.
type backlog[P any] struct {
	facts []fact[P]
}

// add puts facts, given as parts by upstream, behind the others, of which most stay.
func (b *backlog[P]) add(held map[string][]P, most int) {
	for u, parts := range held {
		for _, p := range parts {
			b.facts = append(b.facts, fact[P]{u, p})
		}
	}
	b.facts = b.facts[max(0, len(b.facts)-most):]
}

// take removes up to n facts, the oldest, and returns them as parts by upstream.
func (b *backlog[P]) take(n int) map[string][]P {
	n = min(n, len(b.facts))
	if n == 0 {
		return nil
	}
	held := make(map[string][]P)
	for _, f := range b.facts[:n] {
		held[f.upstream] = append(held[f.upstream], f.part)
	}
	b.facts = b.facts[n:]
	return held
}
