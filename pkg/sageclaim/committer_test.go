package sageclaim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageobject"
)

const testObject = "claims/x"

// Separate updates for every booking would exceed the capacity of the store. Concurrent entries must
// share updates.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &sageobject.Memory{}
		c := &Committer{Store: st, BatchWindow: 20 * time.Millisecond}
		defer c.Wait()
		var wg sync.WaitGroup
		var granted atomic.Int64
		for i := range 100 {
			wg.Go(func() {
				r, err := c.Commit(t.Context(), testObject, claim(fmt.Sprint(i%50), fmt.Sprint(i)))
				assert.NoError(t, err)
				if r.ClaimID == fmt.Sprint(i) {
					granted.Add(1)
				}
			})
		}
		wg.Wait()
		assert.EqualValues(t, 50, granted.Load())
		assert.LessOrEqual(t, c.Stats().Puts, int64(2))
	})
}

// newFaultyStore returns a store whose n-th put is decided by the n-th byte of pattern: '.' succeeds,
// 'l' takes effect but its response is lost, 'd' is lost before it takes effect, 'u' is rejected as
// unavailable.
func newFaultyStore(pattern string) *sageobject.Memory {
	put := -1
	var mu sync.Mutex
	faultOf := func(op sageobject.Op) byte {
		mu.Lock()
		defer mu.Unlock()
		if op == sageobject.OpPut && put < len(pattern) && put >= 0 {
			return pattern[put]
		}
		return '.'
	}
	return &sageobject.Memory{
		Before: func(op sageobject.Op, _ string) error {
			if op == sageobject.OpPut {
				mu.Lock()
				put++
				mu.Unlock()
			}
			switch faultOf(op) {
			case 'd':
				return sageobject.ErrUnknown
			case 'u':
				return sageobject.ErrUnavailable
			}
			return nil
		},
		After: func(op sageobject.Op, _ string) error {
			if faultOf(op) == 'l' {
				return sageobject.ErrUnknown
			}
			return nil
		},
	}
}

// If the response to a claim's update were treated as a failure although the update took effect, the
// claim would stay without a run and every repeat of the booking would be rejected. The read back must
// find the claim by its own id.
func TestLostResponses(t *testing.T) {
	for _, tt := range []struct {
		pattern string
		err     error
		puts    int64
	}{
		{"l", nil, 1}, {"d", nil, 2}, {"dl", nil, 2}, {"ddl", nil, 3},
		{"u", ErrStoreUnavailable, 1}, {"du", ErrOutcomeUnknown, 2}, {strings.Repeat("d", 1000), ErrOutcomeUnknown, 0},
	} {
		t.Run(tt.pattern[:min(3, len(tt.pattern))], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &Committer{Store: newFaultyStore(tt.pattern), BatchWindow: time.Millisecond, CommitTimeout: 200 * time.Millisecond}
				defer c.Wait()
				r, err := c.Commit(t.Context(), testObject, claim("k", "a"))
				if tt.err != nil {
					require.ErrorIs(t, err, tt.err)
					return
				}
				require.NoError(t, err)
				assert.Equal(t, "a", r.ClaimID)
				assert.Equal(t, tt.puts, c.Stats().Puts)
			})
		})
	}
}

// delayedStore reports the outcome of the first put as unknown and delays the put until release is
// closed. result receives the error of the delayed put.
type delayedStore struct {
	sageobject.Store
	once    sync.Once
	release chan struct{}
	result  chan error
}

func (d *delayedStore) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	first := false
	d.once.Do(func() {
		first = true
		go func() {
			<-d.release
			_, err := d.Store.Put(context.Background(), key, value, want)
			d.result <- err
		}()
	})
	if first {
		return 0, sageobject.ErrUnknown
	}
	return d.Store.Put(ctx, key, value, want)
}

// A key would run twice if an update of a claim, whose response counts as lost and which the read back
// doesn't find, took effect after another router claimed the key. The repeated update with the same
// expected version must make the late one fail.
func TestLateUpdateHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := &sageobject.Memory{}
		d := &delayedStore{Store: mem, release: make(chan struct{}), result: make(chan error, 1)}
		delayed, other := &Committer{Store: d}, &Committer{Store: mem}
		defer delayed.Wait()
		defer other.Wait()
		r, err := delayed.Commit(t.Context(), testObject, claim("k", "a"))
		require.NoError(t, err)
		assert.Equal(t, "a", r.ClaimID)
		_, err = delayed.Commit(t.Context(), testObject, followUp(OpRelease, "k", "a", ""))
		require.NoError(t, err)
		r, err = other.Commit(t.Context(), testObject, claim("k", "b"))
		require.NoError(t, err)
		require.Equal(t, "b", r.ClaimID)
		close(d.release)
		require.ErrorIs(t, <-d.result, sageobject.ErrConflict)
	})
}

// Two routers may commit to the same object for a while. The conditional update must grant each key
// once.
func TestTwoCommitters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &sageobject.Memory{}
		committers := []*Committer{{Store: st, BatchWindow: time.Millisecond}, {Store: st, BatchWindow: time.Millisecond}}
		var wg sync.WaitGroup
		granted := make([]atomic.Int64, 20)
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i/10) * time.Millisecond)
				id := fmt.Sprint("c", i)
				r, err := committers[i%2].Commit(t.Context(), testObject, claim(fmt.Sprint(i%20), id))
				assert.NoError(t, err)
				if r.ClaimID == id && r.State == StateClaimed {
					granted[i%20].Add(1)
				}
			})
		}
		wg.Wait()
		committers[0].Wait()
		committers[1].Wait()
		for i := range granted {
			assert.EqualValues(t, 1, granted[i].Load(), "grants of key %d", i)
		}
	})
}

// A node that was paused has claims in its queue whose callers were rejected long ago. If they were
// written, they would block their keys.
func TestExpiredClaimIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &sageobject.Memory{}
		c := &Committer{Store: st}
		defer c.Wait()
		e := claim("k", "a")
		e.Deadline = time.Now().Add(-1)
		_, err := c.Commit(t.Context(), testObject, e)
		require.ErrorIs(t, err, ErrDeadlinePassed)
		_, err = st.Get(t.Context(), testObject)
		require.ErrorIs(t, err, sageobject.ErrNotFound)
	})
}

func TestFullObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Committer{Store: &sageobject.Memory{}}
		defer c.Wait()
		_, err := c.Commit(t.Context(), testObject, claim("k", "a"))
		require.NoError(t, err)
		big := claim("big", "b")
		big.Fingerprint = strings.Repeat("f", maxBytesForClaims)
		_, err = c.Commit(t.Context(), testObject, big)
		require.NoError(t, err)
		_, err = c.Commit(t.Context(), testObject, claim("more", "c"))
		require.ErrorIs(t, err, ErrClaimNotTaken)
		r, err := c.Commit(t.Context(), testObject, followUp(OpFinish, "k", "a", "complete"))
		require.NoError(t, err)
		assert.Equal(t, StateFinished, r.State, "a full object still takes outcomes")
		_, err = c.Commit(t.Context(), testObject, followUp(OpRelease, "none", "a", ""))
		require.ErrorIs(t, err, ErrNoClaim)
	})
}

type claimOp struct {
	op  Op
	key string
	id  string
}

// claimModel models a key as a register that holds the id of its claim, or "" if the key is free.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			in, _ := o.Input.(claimOp)
			byKey[in.key] = append(byKey[in.key], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, _ := input.(claimOp)
		result, _ := output.(string)
		holder, _ := state.(string)
		if in.op == OpRelease {
			if holder == in.id {
				return true, ""
			}
			return true, holder
		}
		switch {
		case result == "?":
			return true, holder // outcome unknown; its release follows in the history
		case holder == "":
			return result == in.id, in.id
		}
		return result == holder, holder
	},
}

// Claims and releases through three committers, with lost responses and lost updates, must be
// linearizable.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			pattern := strings.Repeat(".l.d..ul", 50)[seed%8:]
			st := newFaultyStore(pattern)
			var mu sync.Mutex
			var history []porcupine.Operation
			var clock atomic.Int64
			record := func(client int, in claimOp, f func() string) {
				call := clock.Add(1)
				out := f()
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: clock.Add(1)})
				mu.Unlock()
			}
			committers := make([]*Committer, 3)
			for i := range committers {
				committers[i] = &Committer{Store: st, BatchWindow: time.Millisecond}
			}
			var wg sync.WaitGroup
			for client := range 12 {
				wg.Go(func() {
					for n := range 6 {
						time.Sleep(time.Duration((client*7+n*5+seed)%9) * time.Millisecond)
						key, id := fmt.Sprint("k", (client+n)%3), fmt.Sprint(client, "-", n)
						c := committers[(client+n)%3]
						granted := false
						record(client, claimOp{OpClaim, key, id}, func() string {
							c.Invalidate(testObject)
							r, err := c.Commit(t.Context(), testObject, claim(key, id))
							if err != nil {
								return "?"
							}
							granted = r.ClaimID == id
							return r.ClaimID
						})
						if granted {
							record(client, claimOp{OpRelease, key, id}, func() string {
								for {
									if _, err := c.Commit(t.Context(), testObject, followUp(OpRelease, key, id, "")); err == nil {
										return ""
									}
								}
							})
						}
					}
				})
			}
			wg.Wait()
			for _, c := range committers {
				c.Wait()
			}
			assert.True(t, porcupine.CheckOperations(claimModel, history), "seed %d: %d operations", seed, len(history))
		})
	}
}

func BenchmarkCommit(b *testing.B) {
	c := &Committer{Store: &sageobject.Memory{}}
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			object := fmt.Sprintf("claims/%p/%d", pb, i/1000)
			e := claim(fmt.Sprint(i), "a")
			e.Deadline = time.Now().Add(time.Minute)
			if _, err := c.Commit(b.Context(), object, e); err != nil {
				b.Fatal(err)
			}
		}
	})
}
