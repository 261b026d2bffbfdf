package sagefresh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

const second = sageclock.Instant(time.Second)

// A key is taken away, and a VM that slept for six seconds still lets it in: a peer's message lay in
// the VM's socket meanwhile and says that the peer's proof is fresh. Counted from the echoed stamp,
// the proof is as old as the sleep.
func TestDelayedRelayProvesNoMoreThanItsStamp(t *testing.T) {
	var p Proof
	stamp := 100 * second
	wake := stamp + 6*second
	p.RecordRelayed(stamp, 200*time.Millisecond)
	require.Equal(t, 6200*time.Millisecond, p.Age(wake))
}

func TestProofOnlyRises(t *testing.T) {
	var p Proof
	require.Equal(t, Unproven, p.Age(second))
	p.RecordRead(10 * second)
	p.RecordRead(9 * second)
	p.RecordRelayed(10*second, time.Second)
	require.Equal(t, time.Second, p.Age(11*second))
	p.RecordRelayed(20*second, Unproven)
	p.RecordRelayed(20*second, -time.Second)
	require.Equal(t, time.Second, p.Age(11*second), "an unproven or impossible age proves nothing")
}

func ExampleProof() {
	var p Proof
	p.RecordRead(sageclock.Instant(5 * time.Second))
	fmt.Println(p.Age(sageclock.Instant(7 * time.Second)))
	// Output: 2s
}
