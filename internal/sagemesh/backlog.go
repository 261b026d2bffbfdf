package sagemesh

// mostPassed is how many facts on prompt parts one datagram carries at the most, 7 KB.
const mostPassed = 400

// fact says that an upstream holds a prompt part.
type fact struct {
	upstream string
	part     uint64
}

// backlog keeps the newest facts that wait to be told; older ones are dropped, as every fact is also told
// by the node that saw it. The zero value is ready.
type backlog struct {
	facts []fact
}

// add puts facts, given as parts by upstream, behind the others.
func (b *backlog) add(held map[string][]uint64) {
	for u, parts := range held {
		for _, p := range parts {
			b.facts = append(b.facts, fact{u, p})
		}
	}
	b.facts = b.facts[max(0, len(b.facts)-mostPassed):]
}

// take returns all facts as parts by upstream and empties the backlog.
func (b *backlog) take() map[string][]uint64 {
	if len(b.facts) == 0 {
		return nil
	}
	held := make(map[string][]uint64)
	for _, f := range b.facts {
		held[f.upstream] = append(held[f.upstream], f.part)
	}
	b.facts = nil
	return held
}
