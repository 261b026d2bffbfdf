package sagelease

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageobject"
)

func keeper(st sageobject.Store, holder string) *Elector {
	return &Elector{Store: st, Key: "lease/x", Holder: holder, Term: 10 * time.Second, Margin: 3 * time.Second, MaxDeliveryDelay: 4 * time.Second}
}

func step(t *testing.T, k *Elector) {
	t.Helper()
	require.NoError(t, k.AcquireOrRenew(t.Context()))
}

func holds(k *Elector, checks bool) uint64 {
	p, err := k.Permit(time.Now(), checks)
	if err != nil {
		return 0
	}
	return p.Fencing
}

// An engine gets orders from two nodes at once: the first is paused past its lease, the second takes
// over, and the first wakes up and goes on. It stops by its own clock, before the second may begin.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &sageobject.Memory{}
		a, b := keeper(st, "a"), keeper(st, "b")
		step(t, a)
		step(t, b)
		assert.EqualValues(t, 1, holds(a, true))
		assert.Zero(t, holds(b, true))
		time.Sleep(a.Term - a.Margin - 1)
		assert.EqualValues(t, 1, holds(a, true))
		time.Sleep(time.Nanosecond)
		assert.Zero(t, holds(a, true), "a margin before the end")

		step(t, b)
		assert.Zero(t, holds(b, true), "not before a whole term was seen")
		time.Sleep(a.Margin + a.Term/driftDivisor + 1)
		step(t, b)
		assert.EqualValues(t, 2, holds(b, true))
		assert.Zero(t, holds(b, false), "what the first sent may still be on its way")
		step(t, a)
		assert.Zero(t, holds(a, true))
		time.Sleep(b.MaxDeliveryDelay)
		assert.EqualValues(t, 2, holds(b, false))
		step(t, b)
		assert.EqualValues(t, 2, holds(b, false), "renewing keeps the number")
		b.Relinquish()
		assert.Zero(t, holds(b, true))
	})
}

// At no instant may two keepers act, whatever is lost and whoever pauses.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range 30 {
		synctest.Test(t, func(t *testing.T) {
			n := 0
			fault := func(op sageobject.Op, kind int, err error) error {
				if op != sageobject.OpPut {
					return nil
				}
				n++
				if (n*7+seed*3)%11 == kind {
					return err
				}
				return nil
			}
			st := &sageobject.Memory{
				Before: func(op sageobject.Op, _ string) error { return fault(op, 1, sageobject.ErrUnavailable) },
				After:  func(op sageobject.Op, _ string) error { return fault(op, 2, sageobject.ErrUnknown) },
			}
			ks := []*Elector{keeper(st, "a"), keeper(st, "b"), keeper(st, "c")}
			paused := make([]int, len(ks))
			var greatest uint64
			acted := 0
			for i := range 400 {
				time.Sleep(time.Second)
				for j, k := range ks {
					if (i*5+j*17+seed)%41 == 0 {
						paused[j] = 13
					}
					if paused[j]--; paused[j] >= 0 {
						continue
					}
					if i%2 == 0 {
						_ = k.AcquireOrRenew(t.Context())
					}
				}
				var actors []uint64
				for _, k := range ks {
					if f := holds(k, false); f > 0 {
						actors = append(actors, f)
					}
				}
				require.LessOrEqual(t, len(actors), 1, "seed %d, second %d", seed, i)
				if len(actors) == 1 {
					acted++
					require.GreaterOrEqual(t, actors[0], greatest)
					greatest = actors[0]
				}
			}
			require.Greater(t, acted, 20, "the duty is done at all")
		})
	}
}

// The answer to a renewal is lost after its effect: the holder recognizes its own write and goes on.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := true
		st := &sageobject.Memory{After: func(op sageobject.Op, _ string) error {
			if op == sageobject.OpPut && lost {
				return sageobject.ErrUnknown
			}
			return nil
		}}
		a, b := keeper(st, "a"), keeper(st, "b")
		step(t, a)
		assert.EqualValues(t, 1, holds(a, true))
		step(t, b)
		assert.Zero(t, holds(b, true))
	})
}

// The write itself is lost: the keeper must not act on a lease that the store doesn't show.
func TestLostWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := false
		st := &sageobject.Memory{Before: func(op sageobject.Op, _ string) error {
			if op == sageobject.OpPut && lost {
				return sageobject.ErrUnknown
			}
			return nil
		}}
		a, b := keeper(st, "a"), keeper(st, "b")
		step(t, a)
		time.Sleep(11 * time.Second)
		lost = true
		step(t, b)
		time.Sleep(11 * time.Second)
		step(t, b)
		assert.Zero(t, holds(b, true))
	})
}

// A lease counts from before its write, however long the answer takes.
func TestSlowAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &sageobject.Memory{After: func(op sageobject.Op, _ string) error {
			if op == sageobject.OpPut {
				time.Sleep(8 * time.Second)
			}
			return nil
		}}
		a := keeper(st, "a")
		step(t, a)
		assert.Zero(t, holds(a, true))
	})
}

// A virtual machine is suspended: its monotonic clock stands still, the wall clock goes on. A test
// can't make an instant whose two clocks differ; this one compares instants that have one of them.
func TestWallClockCountsToo(t *testing.T) {
	now := time.Now()
	wall := now.Round(0).Add(time.Minute)
	assert.True(t, before(now, now.Add(time.Second)))
	assert.False(t, before(wall, now.Add(time.Second)))
	assert.False(t, before(now, now.Add(-1)))
}

func FuzzDecodeLease(f *testing.F) {
	f.Add([]byte(`{"holder":"a","fencing":1,"write":"a-1"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := DecodeLease(b)
		if err == nil && (l.Fencing == 0 || l.Holder == "") || err != nil && !errors.Is(err, ErrBadLease) {
			t.Fatalf("%+v, %v", l, err)
		}
	})
}

func ExampleElector() {
	k := keeper(&sageobject.Memory{}, "vm1")
	_, err := k.Permit(time.Now(), true)
	fmt.Println(err)
	// Output: lease not held
}
