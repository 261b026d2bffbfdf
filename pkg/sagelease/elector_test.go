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

func newElector(st sageobject.Store, holder string) *Elector {
	return &Elector{Store: st, Key: "lease/x", Holder: holder, Term: 10 * time.Second, Margin: 3 * time.Second, MaxDeliveryDelay: 4 * time.Second}
}

func acquireOrRenew(t *testing.T, e *Elector) {
	t.Helper()
	require.NoError(t, e.AcquireOrRenew(t.Context()))
}

func heldFencing(e *Elector, checks bool) uint64 {
	p, err := e.Permit(time.Now(), checks)
	if err != nil {
		return 0
	}
	return p.Fencing
}

// Guards against an engine that gets orders from two nodes: the first is paused past its lease, the
// second takes over, and the first continues. The first must stop by its own clock before the second
// may act.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &sageobject.Memory{}
		a, b := newElector(st, "a"), newElector(st, "b")
		acquireOrRenew(t, a)
		acquireOrRenew(t, b)
		assert.EqualValues(t, 1, heldFencing(a, true))
		assert.Zero(t, heldFencing(b, true))
		time.Sleep(a.Term - a.Margin - 1)
		assert.EqualValues(t, 1, heldFencing(a, true))
		time.Sleep(time.Nanosecond)
		assert.Zero(t, heldFencing(a, true), "no action within the margin before the end")

		acquireOrRenew(t, b)
		assert.Zero(t, heldFencing(b, true), "no takeover before a complete term was observed")
		time.Sleep(a.Margin + a.Term/driftDivisor + 1)
		acquireOrRenew(t, b)
		assert.EqualValues(t, 2, heldFencing(b, true))
		assert.Zero(t, heldFencing(b, false), "actions of the first holder may still arrive")
		acquireOrRenew(t, a)
		assert.Zero(t, heldFencing(a, true))
		time.Sleep(b.MaxDeliveryDelay)
		assert.EqualValues(t, 2, heldFencing(b, false))
		acquireOrRenew(t, b)
		assert.EqualValues(t, 2, heldFencing(b, false), "renewing keeps the fencing number")
		b.Relinquish()
		assert.Zero(t, heldFencing(b, true))
	})
}

// At no time may two electors hold the right to act, whichever writes or answers are lost and whichever
// process is paused.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range 30 {
		synctest.Test(t, func(t *testing.T) {
			puts := 0
			fault := func(op sageobject.Op, kind int, err error) error {
				if op != sageobject.OpPut {
					return nil
				}
				puts++
				if (puts*7+seed*3)%11 == kind {
					return err
				}
				return nil
			}
			st := &sageobject.Memory{
				Before: func(op sageobject.Op, _ string) error { return fault(op, 1, sageobject.ErrUnavailable) },
				After:  func(op sageobject.Op, _ string) error { return fault(op, 2, sageobject.ErrUnknown) },
			}
			electors := []*Elector{newElector(st, "a"), newElector(st, "b"), newElector(st, "c")}
			paused := make([]int, len(electors))
			var greatest uint64
			actions := 0
			for i := range 400 {
				time.Sleep(time.Second)
				for j, e := range electors {
					if (i*5+j*17+seed)%41 == 0 {
						paused[j] = 13
					}
					if paused[j]--; paused[j] >= 0 {
						continue
					}
					if i%2 == 0 {
						_ = e.AcquireOrRenew(t.Context())
					}
				}
				var actors []uint64
				for _, e := range electors {
					if f := heldFencing(e, false); f > 0 {
						actors = append(actors, f)
					}
				}
				require.LessOrEqual(t, len(actors), 1, "seed %d, second %d", seed, i)
				if len(actors) == 1 {
					actions++
					require.GreaterOrEqual(t, actors[0], greatest)
					greatest = actors[0]
				}
			}
			require.Greater(t, actions, 20, "the duty is carried out")
		})
	}
}

// The answer to a write is lost after its effect: the holder recognizes its own write and may act.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loseAnswers := true
		st := &sageobject.Memory{After: func(op sageobject.Op, _ string) error {
			if op == sageobject.OpPut && loseAnswers {
				return sageobject.ErrUnknown
			}
			return nil
		}}
		a, b := newElector(st, "a"), newElector(st, "b")
		acquireOrRenew(t, a)
		assert.EqualValues(t, 1, heldFencing(a, true))
		acquireOrRenew(t, b)
		assert.Zero(t, heldFencing(b, true))
	})
}

// A write is lost: the elector must not act on a lease that the store doesn't hold.
func TestLostWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loseWrites := false
		st := &sageobject.Memory{Before: func(op sageobject.Op, _ string) error {
			if op == sageobject.OpPut && loseWrites {
				return sageobject.ErrUnknown
			}
			return nil
		}}
		a, b := newElector(st, "a"), newElector(st, "b")
		acquireOrRenew(t, a)
		time.Sleep(11 * time.Second)
		loseWrites = true
		acquireOrRenew(t, b)
		time.Sleep(11 * time.Second)
		acquireOrRenew(t, b)
		assert.Zero(t, heldFencing(b, true))
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
		a := newElector(st, "a")
		acquireOrRenew(t, a)
		assert.Zero(t, heldFencing(a, true))
	})
}

// A lease must also end by the wall clock, since the monotonic clock stops while a VM is suspended. A
// test can't construct an instant whose two clocks differ, so this one compares instants that have only
// one of them.
func TestExpiryUsesBothClocks(t *testing.T) {
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
	e := newElector(&sageobject.Memory{}, "vm1")
	_, err := e.Permit(time.Now(), true)
	fmt.Println(err)
	// Output: lease not held
}
