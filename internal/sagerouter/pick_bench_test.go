package sagerouter

import (
	"fmt"
	"testing"

	"sagestand.example/sagestand/internal/sagerelay"
)

// BenchmarkPickBesideColdUpstreams picks among few warm upstreams above the load bound while the cold ones take nothing more.
func BenchmarkPickBesideColdUpstreams(b *testing.B) {
	for _, nodes := range []int{9, 65, 133} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			f := newFleet(b, 159, 140)
			names := make([]string, nodes)
			for i := range names {
				names[i] = fmt.Sprint("vm", i)
			}
			f.knownNodes = func() []string { return names }
			for prompt := uint64(0); b.Loop(); prompt++ {
				f.Pick(&sagerelay.Query{Service: "s", Chain: chain(prompt % 512)})
			}
		})
	}
}
