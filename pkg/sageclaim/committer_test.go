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

// The store is asked for each booking by itself and can't keep up. Entries that come together share
// one update.
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

// lossy fails the n-th put as the pattern says: '.' works, 'l' takes effect and loses the answer,
// 'd' is lost before it has an effect, 'u' is refused.
func lossy(pattern string) *sageobject.Memory {
	n := -1
	var mu sync.Mutex
	at := func(op sageobject.Op) byte {
		mu.Lock()
		defer mu.Unlock()
		if op == sageobject.OpPut && n < len(pattern) && n >= 0 {
			return pattern[n]
		}
		return '.'
	}
	return &sageobject.Memory{
		Before: func(op sageobject.Op, _ string) error {
			if op == sageobject.OpPut {
				mu.Lock()
				n++
				mu.Unlock()
			}
			switch at(op) {
			case 'd':
				return sageobject.ErrUnknown
			case 'u':
				return sageobject.ErrUnavailable
			}
			return nil
		},
		After: func(op sageobject.Op, _ string) error {
			if at(op) == 'l' {
				return sageobject.ErrUnknown
			}
			return nil
		},
	}
}

// A booking is refused for ever: the store took its claim, the answer was lost, and the router told
// "not run" and left the claim behind. Reading back finds the claim by its own id.
func TestLostAnswers(t *testing.T) {
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
				c := &Committer{Store: lossy(tt.pattern), BatchWindow: time.Millisecond, CommitTimeout: 200 * time.Millisecond}
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

// delayed holds back the first put and lets it arrive after the caller was told that its answer is
// lost, at the instant that release is closed.
type delayed struct {
	sageobject.Store
	once    sync.Once
	release chan struct{}
	late    chan error
}

func (d *delayed) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	lost := false
	d.once.Do(func() {
		lost = true
		go func() {
			<-d.release
			_, err := d.Store.Put(context.Background(), key, value, want)
			d.late <- err
		}()
	})
	if lost {
		return 0, sageobject.ErrUnknown
	}
	return d.Store.Put(ctx, key, value, want)
}

// A key is run twice: the claim's update is on its way, its answer counts as lost, the object read
// back doesn't show it, the key goes to another router, and then the update arrives and overwrites.
// The repeated update with the same expected version makes the late one fail.
func TestLateUpdateHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := &sageobject.Memory{}
		d := &delayed{Store: mem, release: make(chan struct{}), late: make(chan error, 1)}
		first, second := &Committer{Store: d}, &Committer{Store: mem}
		defer first.Wait()
		defer second.Wait()
		r, err := first.Commit(t.Context(), testObject, claim("k", "a"))
		require.NoError(t, err)
		assert.Equal(t, "a", r.ClaimID)
		_, err = first.Commit(t.Context(), testObject, ended(OpRelease, "k", "a", ""))
		require.NoError(t, err)
		r, err = second.Commit(t.Context(), testObject, claim("k", "b"))
		require.NoError(t, err)
		require.Equal(t, "b", r.ClaimID)
		close(d.release)
		require.ErrorIs(t, <-d.late, sageobject.ErrConflict)
	})
}

// Two routers own one object for a while. The conditional update decides between them.
func TestTwoCommitters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &sageobject.Memory{}
		cs := []*Committer{{Store: st, BatchWindow: time.Millisecond}, {Store: st, BatchWindow: time.Millisecond}}
		var wg sync.WaitGroup
		granted := make([]atomic.Int64, 20)
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i/10) * time.Millisecond)
				id := fmt.Sprint("c", i)
				r, err := cs[i%2].Commit(t.Context(), testObject, claim(fmt.Sprint(i%20), id))
				assert.NoError(t, err)
				if r.ClaimID == id && r.State == StateClaimed {
					granted[i%20].Add(1)
				}
			})
		}
		wg.Wait()
		cs[0].Wait()
		cs[1].Wait()
		for i := range granted {
			assert.EqualValues(t, 1, granted[i].Load(), "grants of key %d", i)
		}
	})
}

// A paused node wakes up with claims in its queue whose callers were refused long ago; written now,
// they would block their keys.
func TestLateClaimIsDropped(t *testing.T) {
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
		big.Fingerprint = strings.Repeat("f", maxObject)
		_, err = c.Commit(t.Context(), testObject, big)
		require.NoError(t, err)
		_, err = c.Commit(t.Context(), testObject, claim("more", "c"))
		require.ErrorIs(t, err, ErrClaimNotTaken)
		r, err := c.Commit(t.Context(), testObject, ended(OpFinish, "k", "a", "complete"))
		require.NoError(t, err)
		assert.Equal(t, StateFinished, r.State, "outcomes still fit")
		_, err = c.Commit(t.Context(), testObject, ended(OpRelease, "none", "a", ""))
		require.ErrorIs(t, err, ErrNoClaim)
	})
}

type claimOp struct {
	op  Op
	key string
	id  string
}

// claimModel is one key as a register: the holder's id, "" if free.
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
		got, _ := output.(string)
		holder, _ := state.(string)
		if in.op == OpRelease {
			if holder == in.id {
				return true, ""
			}
			return true, holder
		}
		switch {
		case got == "?":
			return true, holder // not settled; its release follows in the history
		case holder == "":
			return got == in.id, in.id
		}
		return got == holder, holder
	},
}

// Claims and releases through three committers, with lost answers and lost updates, look as if each
// had happened at one instant between its start and its end.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			pattern := strings.Repeat(".l.d..ul", 50)[seed%8:]
			st := lossy(pattern)
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
			cs := make([]*Committer, 3)
			for i := range cs {
				cs[i] = &Committer{Store: st, BatchWindow: time.Millisecond}
			}
			var wg sync.WaitGroup
			for client := range 12 {
				wg.Go(func() {
					for n := range 6 {
						time.Sleep(time.Duration((client*7+n*5+seed)%9) * time.Millisecond)
						key, id := fmt.Sprint("k", (client+n)%3), fmt.Sprint(client, "-", n)
						c := cs[(client+n)%3]
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
									if _, err := c.Commit(t.Context(), testObject, ended(OpRelease, key, id, "")); err == nil {
										return ""
									}
								}
							})
						}
					}
				})
			}
			wg.Wait()
			for _, c := range cs {
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
