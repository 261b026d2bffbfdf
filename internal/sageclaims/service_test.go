package sageclaims

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/internal/sagerpc/claim"
	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// fleet is a few nodes with one store. Calls between nodes are direct, and cut for nodes in dead.
type fleet struct {
	store *sageobject.Memory
	nodes []*Service
	mu    sync.Mutex
	dead  map[string]bool
	down  bool
	pause time.Duration
	end   context.CancelFunc
	wg    sync.WaitGroup
}

type directCall struct {
	f    *fleet
	addr string
}

func (d *directCall) Commit(ctx context.Context, r *claim.CommitRequest) (*claim.CommitResponse, error) {
	d.f.mu.Lock()
	dead := d.f.dead[d.addr]
	d.f.mu.Unlock()
	if dead {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, n := range d.f.nodes {
		if n.Self == d.addr {
			return n.Commit(ctx, r)
		}
	}
	return nil, errors.New("no such node")
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{dead: make(map[string]bool)}
	f.store = &sageobject.Memory{Before: func(sageobject.Op, string) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.down {
			return sageobject.ErrUnavailable
		}
		return nil
	}, After: func(op sageobject.Op, _ string) error {
		f.mu.Lock()
		pause := f.pause
		if op == sageobject.OpPut {
			f.pause = 0
		}
		f.mu.Unlock()
		if op == sageobject.OpPut {
			time.Sleep(pause)
		}
		return nil
	}}
	ctx, end := context.WithCancel(t.Context())
	f.end = end
	for i := range n {
		self := fmt.Sprint("n", i)
		s := &Service{
			Rules:     sageclaim.Rules{Bucket: 2 * time.Second, Shards: 4, Retention: time.Hour, MaxAhead: time.Minute},
			Committer: &sageclaim.Committer{Store: f.store, BatchWindow: 10 * time.Millisecond}, Store: f.store,
			Self: self, MaxAnswerBytes: 1 << 20, SweepAfter: time.Minute,
			Dial: func(addr string) claim.Claims { return &directCall{f: f, addr: addr} },
			Peers: func() []string {
				var out []string
				for j := range n {
					if j != i {
						out = append(out, fmt.Sprint("n", j))
					}
				}
				return out
			},
		}
		f.nodes = append(f.nodes, s)
		f.wg.Go(func() { assert.NoError(t, s.Run(ctx)) })
	}
	return f
}

// stop ends the nodes; it must be deferred inside the bubble.
func (f *fleet) stop() {
	f.end()
	f.wg.Wait()
	for _, n := range f.nodes {
		n.Committer.Wait()
	}
}

func (f *fleet) setDown(v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = v
}

var nextID int

func request(key, body string) *sageentry.Request {
	nextID++
	return &sageentry.Request{
		ID: fmt.Sprint("r", nextID), Account: "haller", IdempotencyKey: key, Method: http.MethodPost, Path: "/bookings",
		Body: []byte(body), Deadline: time.Now().Add(10 * time.Second),
	}
}

func keyNow(name string) string { return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name) }

// bubble runs f with a fleet in virtual time.
func bubble(t *testing.T, n int, run func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		defer f.stop()
		run(t, f)
	})
}

func booked(body string) *sagedispatch.Result {
	return &sagedispatch.Result{Outcome: sagewire.Complete, Status: 201, Response: &sagedispatch.BufferedResponse{
		Status: 201, Header: http.Header{"Content-Type": {"application/json"}}, Body: []byte(body),
	}}
}

// A family's box is baked twice: the app repeats a booking through another router.
func TestRepeatThroughOtherNodeGetsCachedAnswer(t *testing.T) {
	bubble(t, 3, func(t *testing.T, f *fleet) {
		key := keyNow("a")
		c, _, ref := f.nodes[0].Claim(t.Context(), request(key, "box"))
		require.Nil(t, ref)
		f.nodes[0].Finish(t.Context(), c, booked("booked 1"))
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			c, ans, ref := n.Claim(t.Context(), request(key, "box"))
			require.Nil(t, c)
			assert.Equal(t, sagewire.AlreadyRun, ref.Outcome)
			require.NotNil(t, ans)
			assert.Equal(t, "booked 1", string(ans.Body))
			assert.Equal(t, 201, ans.Status)
		}
	})
}

func TestSameKeyWithOtherBody(t *testing.T) {
	bubble(t, 2, func(t *testing.T, f *fleet) {
		key := keyNow("a")
		_, _, ref := f.nodes[0].Claim(t.Context(), request(key, "one box"))
		require.Nil(t, ref)
		_, _, ref = f.nodes[1].Claim(t.Context(), request(key, "two boxes"))
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.NotRun, ref.Outcome)
		assert.Equal(t, sagewire.ReasonBadRequest, ref.Reason)
	})
}

func TestInvalidKeys(t *testing.T) {
	bubble(t, 1, func(t *testing.T, f *fleet) {
		old := fmt.Sprintf("%d-x", time.Now().Add(-2*time.Hour).UnixMilli())
		ahead := fmt.Sprintf("%d-x", time.Now().Add(2*time.Minute).UnixMilli())
		for key, reason := range map[string]sagewire.Reason{"plain": sagewire.ReasonBadRequest, old: sagewire.ReasonKeyExpired, ahead: sagewire.ReasonBadRequest} {
			_, _, ref := f.nodes[0].Claim(t.Context(), request(key, "b"))
			require.NotNil(t, ref, key)
			assert.Equal(t, reason, ref.Reason, key)
		}
		assert.Zero(t, f.nodes[0].Committer.Stats().Entries)
	})
}

// Two sendings of one booking arrive together. The second waits inside its deadline, and gets the
// answer of the first, or runs if the first did not.
func TestWaitsForRequestInFlight(t *testing.T) {
	for _, ran := range []bool{true, false} {
		t.Run(fmt.Sprintf("ran=%v", ran), func(t *testing.T) {
			bubble(t, 3, func(t *testing.T, f *fleet) {
				key := keyNow("a")
				c, _, ref := f.nodes[0].Claim(t.Context(), request(key, "b"))
				require.Nil(t, ref)
				f.wg.Go(func() {
					time.Sleep(3 * time.Second)
					if ran {
						f.nodes[0].Finish(t.Context(), c, booked("1"))
						return
					}
					f.nodes[0].Finish(t.Context(), c, &sagedispatch.Result{Outcome: sagewire.NotRun})
				})
				second, ans, ref := f.nodes[1].Claim(t.Context(), request(key, "b"))
				if !ran {
					require.Nil(t, ref)
					assert.NotNil(t, second)
					return
				}
				require.NotNil(t, ref)
				assert.Equal(t, sagewire.AlreadyRun, ref.Outcome)
				assert.NotNil(t, ans)
			})
		})
	}
	t.Run("deadline first", func(t *testing.T) {
		bubble(t, 2, func(t *testing.T, f *fleet) {
			key := keyNow("a")
			_, _, ref := f.nodes[0].Claim(t.Context(), request(key, "b"))
			require.Nil(t, ref)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, _, ref = f.nodes[1].Claim(ctx, request(key, "b"))
			require.NotNil(t, ref)
			assert.Equal(t, sagewire.AlreadyRun, ref.Outcome)
			assert.Equal(t, sagewire.ReasonKeyInUse, ref.Reason)
			assert.False(t, ref.RetryAt.IsZero())
		})
	})
}

// The store is down: the booking is refused at once, and runs when it is sent again later.
func TestStoreUnavailable(t *testing.T) {
	bubble(t, 3, func(t *testing.T, f *fleet) {
		key, ran := keyNow("a"), keyNow("ran")
		_, _, ref := f.nodes[0].Claim(t.Context(), request(ran, "b"))
		require.Nil(t, ref)
		f.setDown(true)
		start := time.Now()
		_, _, ref = f.nodes[0].Claim(t.Context(), request(key, "b"))
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.NotRun, ref.Outcome)
		assert.Equal(t, sagewire.ReasonStoreUnavailable, ref.Reason)
		assert.False(t, ref.RetryAt.IsZero())
		assert.Less(t, time.Since(start), 100*time.Millisecond, "virtual time")
		f.setDown(false)
		_, _, ref = f.nodes[1].Claim(t.Context(), request(key, "b"))
		assert.Nil(t, ref)
	})
}

// A caller whose booking runs sends it again to the same router during an outage of the store. "Not
// run" would make it book anew; what the router remembers says better.
func TestStoreUnavailableWithCachedClaim(t *testing.T) {
	bubble(t, 1, func(t *testing.T, f *fleet) {
		key := keyNow("a")
		_, _, ref := f.nodes[0].Claim(t.Context(), request(key, "b"))
		require.Nil(t, ref)
		f.setDown(true)
		_, _, ref = f.nodes[0].Claim(t.Context(), request(key, "b"))
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.AlreadyRun, ref.Outcome)
	})
}

// The owner of an object is frozen or cut off; bookings of its objects go on without it.
func TestOwnerUnreachable(t *testing.T) {
	bubble(t, 3, func(t *testing.T, f *fleet) {
		f.mu.Lock()
		f.dead["n1"], f.dead["n2"] = true, true
		f.mu.Unlock()
		for i := range 20 {
			c, _, ref := f.nodes[0].Claim(t.Context(), request(keyNow(fmt.Sprint(i)), "b"))
			require.Nil(t, ref)
			f.nodes[0].Finish(t.Context(), c, booked("1"))
		}
	})
}

// A router pauses between the claim's commit and the request: by then its caller has given up.
func TestClaimCommittedAfterDeadlineIsReleased(t *testing.T) {
	bubble(t, 1, func(t *testing.T, f *fleet) {
		r := request(keyNow("a"), "b")
		f.mu.Lock()
		f.pause = time.Until(r.Deadline) + time.Second
		f.mu.Unlock()
		_, _, ref := f.nodes[0].Claim(t.Context(), r)
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.NotRun, ref.Outcome)
		time.Sleep(5 * time.Second)
		c, _, ref := f.nodes[0].Claim(t.Context(), request(r.IdempotencyKey, "b"))
		require.Nil(t, ref)
		assert.NotNil(t, c)
	})
}

// Nobody knows whether a booking ran: its router died after the claim. A repeat is told so, and the
// booking appears on the operators' list until a person settles it.
func TestRouterCrashAfterClaim(t *testing.T) {
	bubble(t, 2, func(t *testing.T, f *fleet) {
		r := request(keyNow("a"), "b")
		_, _, ref := f.nodes[0].Claim(t.Context(), r)
		require.Nil(t, ref)
		time.Sleep(11 * time.Second)
		_, _, ref = f.nodes[1].Claim(t.Context(), request(r.IdempotencyKey, "b"))
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.AlreadyRun, ref.Outcome)
		assert.Equal(t, sagewire.ReasonAnswerLost, ref.Reason)

		time.Sleep(2 * time.Minute)
		list, err := f.nodes[1].UnknownOutcomes(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
		assert.Equal(t, r.IdempotencyKey, list[0].Key)
		rec, err := f.nodes[1].Resolve(t.Context(), &Resolution{Account: "haller", Key: r.IdempotencyKey, ClaimID: r.ID, Outcome: sagewire.NotRun})
		require.NoError(t, err)
		assert.Equal(t, sageclaim.StateReleased, rec.State)
		list, err = f.nodes[0].UnknownOutcomes(t.Context())
		require.NoError(t, err)
		assert.Empty(t, list)
		c, _, ref := f.nodes[0].Claim(t.Context(), request(r.IdempotencyKey, "b"))
		require.Nil(t, ref)
		assert.NotNil(t, c)
	})
}

// An unknown outcome of a key that was made long before its use, and a store outage just when it is
// to be recorded: it still reaches the list.
func TestUnknownOutcomeOfOldKeyIsListed(t *testing.T) {
	bubble(t, 2, func(t *testing.T, f *fleet) {
		key := keyNow("old")
		time.Sleep(10 * time.Minute)
		c, _, ref := f.nodes[0].Claim(t.Context(), request(key, "b"))
		require.Nil(t, ref)
		f.setDown(true)
		f.nodes[0].Finish(t.Context(), c, &sagedispatch.Result{Outcome: sagewire.Unknown})
		time.Sleep(time.Minute)
		f.setDown(false)
		time.Sleep(5 * time.Second)
		list, err := f.nodes[1].UnknownOutcomes(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
		assert.Equal(t, key, list[0].Key)
	})
}

// Objects go after retention, and with them nothing unsettled.
func TestDeleteExpired(t *testing.T) {
	bubble(t, 1, func(t *testing.T, f *fleet) {
		_, _, ref := f.nodes[0].Claim(t.Context(), request(keyNow("a"), "b"))
		require.Nil(t, ref)
		time.Sleep(69 * time.Minute)
		metas, err := f.store.List(t.Context(), sageclaim.Prefix)
		require.NoError(t, err)
		assert.Len(t, metas, 1)
		time.Sleep(10 * time.Minute)
		metas, err = f.store.List(t.Context(), sageclaim.Prefix)
		require.NoError(t, err)
		assert.Empty(t, metas)
		list, err := f.nodes[0].UnknownOutcomes(t.Context())
		require.NoError(t, err)
		assert.Len(t, list, 1)
	})
}

func TestAnswerCacheIsBounded(t *testing.T) {
	h := held{limit: 1000}
	for i := range 100 {
		h.put(fmt.Sprint(i), make([]byte, 100))
		require.LessOrEqual(t, h.bytes(), 1000)
	}
	assert.Nil(t, h.get("0"))
	assert.NotNil(t, h.get("99"))
	assert.Nil(t, encodeAnswer(&sagedispatch.BufferedResponse{Status: 200, Body: make([]byte, maxHeldAnswer+1)}))
}

func TestOperatorAPI(t *testing.T) {
	bubble(t, 1, func(t *testing.T, f *fleet) {
		r := request(keyNow("a"), "b")
		_, _, ref := f.nodes[0].Claim(t.Context(), r)
		require.Nil(t, ref)
		time.Sleep(2 * time.Minute)
		call := func(method, body string) (int, string) {
			w := httptest.NewRecorder()
			f.nodes[0].ServeHTTP(w, httptest.NewRequest(method, "/v1/unknown", strings.NewReader(body)))
			return w.Code, w.Body.String()
		}
		code, body := call(http.MethodGet, "")
		assert.Equal(t, http.StatusOK, code)
		assert.Contains(t, body, r.IdempotencyKey)
		set := fmt.Sprintf(`{"account":"haller","key":%q,"claim_id":%q,"outcome":"%%s"}`, r.IdempotencyKey, r.ID)
		for _, bad := range []string{"{", fmt.Sprintf(set, "unknown"), strings.Replace(fmt.Sprintf(set, "not_run"), r.ID, "other", 1), strings.Replace(fmt.Sprintf(set, "not_run"), r.IdempotencyKey, "1-x", 1)} {
			code, body = call(http.MethodPost, bad)
			assert.Equal(t, http.StatusBadRequest, code, "%s: %s", bad, body)
		}
		code, body = call(http.MethodPost, fmt.Sprintf(set, "complete"))
		assert.Equal(t, http.StatusOK, code, body)
		_, body = call(http.MethodGet, "")
		assert.NotContains(t, body, r.IdempotencyKey)
		f.setDown(true)
		code, _ = call(http.MethodGet, "")
		assert.Equal(t, http.StatusServiceUnavailable, code)
	})
}

// A booking that ran is told as unknown, or a released one blocks its key: another node wrote the
// object while this one, its owner, couldn't be reached, and this one goes by what it remembers.
func TestStaleCache(t *testing.T) {
	bubble(t, 1, func(t *testing.T, f *fleet) {
		other := &sageclaim.Committer{Store: f.store}
		defer other.Wait()
		n := f.nodes[0]
		r := request(keyNow("a"), "b")
		_, _, ref := n.Claim(t.Context(), r)
		require.Nil(t, ref)
		key, err := sageclaim.ParseKey(r.IdempotencyKey)
		require.NoError(t, err)
		object := n.Rules.ObjectKey(r.Account, key)
		entry := func(op sageclaim.Op, id string) sageclaim.Entry {
			return sageclaim.Entry{Op: op, Account: r.Account, Key: r.IdempotencyKey, ClaimID: id, Fingerprint: "f", Deadline: time.Now().Add(time.Minute)}
		}
		finish := entry(sageclaim.OpFinish, r.ID)
		finish.Outcome, finish.Status = sagewire.Complete, 201
		_, err = other.Commit(t.Context(), object, finish)
		require.NoError(t, err)
		time.Sleep(time.Until(r.Deadline) + time.Second)
		_, _, ref = n.Claim(t.Context(), request(r.IdempotencyKey, "b"))
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.ReasonKeyInUse, ref.Reason, "it ran; its outcome is known")

		second := request(keyNow("b"), "b")
		_, _, ref = n.Claim(t.Context(), second)
		require.Nil(t, ref)
		key, err = sageclaim.ParseKey(second.IdempotencyKey)
		require.NoError(t, err)
		object = n.Rules.ObjectKey(r.Account, key)
		r.IdempotencyKey = second.IdempotencyKey
		for _, e := range []sageclaim.Entry{entry(sageclaim.OpRelease, second.ID), entry(sageclaim.OpClaim, "x")} {
			_, err = other.Commit(t.Context(), object, e)
			require.NoError(t, err)
		}
		require.True(t, n.try(t.Context(), job{object: object, entry: entry(sageclaim.OpRelease, "x")}))
		o, err := f.store.Get(t.Context(), object)
		require.NoError(t, err)
		book, err := sageclaim.DecodeClaimLog(o.Value)
		require.NoError(t, err)
		rec, _ := book.Record(r.Account, r.IdempotencyKey)
		assert.Equal(t, sageclaim.StateReleased, rec.State)
	})
}
