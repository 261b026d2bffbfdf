package sageplace

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, so that each run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

var testBound, testFresh = LoadBounds(DefaultLoadBound)

func upstreams(n, weight int) []Upstream {
	ups := make([]Upstream, n)
	for i := range ups {
		ups[i] = Upstream{Name: fmt.Sprintf("engine-%d", i), Weight: weight}
	}
	return ups
}

// even returns n known loads of the same size.
func even(n int, inFlight float64, capacity int) *Loads {
	l := NewLoads(n)
	l.Refresh(func(int) Load { return Load{InFlight: inFlight, Cap: capacity, Free: capacity, Known: true} })
	return l
}
