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

// fleet is a few nodes with one store. Calls between nodes are direct; calls to unreachable nodes time out.
type fleet struct {
	store       *sageobject.Memory
	nodes       []*Service
	mu          sync.Mutex
	unreachable map[string]bool
	storeDown   bool
	putDelay    time.Duration
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

type directClient struct {
	f    *fleet
	addr string
}

func (d *directClient) Commit(ctx context.Context, r *claim.CommitRequest) (*claim.CommitResponse, error) {
	d.f.mu.Lock()
	unreachable := d.f.unreachable[d.addr]
	d.f.mu.Unlock()
	if unreachable {
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
	f := &fleet{unreachable: make(map[string]bool)}
	f.store = &sageobject.Memory{Before: func(sageobject.Op, string) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.storeDown {
			return sageobject.ErrUnavailable
		}
		return nil
	}, After: func(op sageobject.Op, _ string) error {
		f.mu.Lock()
		delay := f.putDelay
		if op == sageobject.OpPut {
			f.putDelay = 0
		}
		f.mu.Unlock()
		if op == sageobject.OpPut {
			time.Sleep(delay)
		}
		return nil
	}}
	ctx, cancel := context.WithCancel(t.Context())
	f.cancel = cancel
	for i := range n {
		self := fmt.Sprint("n", i)
		s := &Service{
			Rules:     sageclaim.Rules{Bucket: 2 * time.Second, Shards: 4, Retention: time.Hour, MaxAhead: time.Minute},
			Committer: &sageclaim.Committer{Store: f.store, BatchWindow: 10 * time.Millisecond}, Store: f.store,
			Self: self, MaxAnswerBytes: 1 << 20, SweepAfter: time.Minute,
			Dial: func(addr string) claim.Claims { return &directClient{f: f, addr: addr} },
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

// stop stops the nodes; it must be deferred inside the bubble of synctest.
func (f *fleet) stop() {
	f.cancel()
	f.wg.Wait()
	for _, n := range f.nodes {
		n.Committer.Wait()
	}
}

func (f *fleet) setStoreDown(v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = v
}

var nextID int

func request(key, body string) *sageentry.Request {
	nextID++
	return &sageentry.Request{
		ID: fmt.Sprint("r", nextID), Account: "haller", IdempotencyKey: key, Method: http.MethodPost, Path: "/bookings",
		Body: []byte(body), Deadline: time.Now().Add(10 * time.Second),
	}
}

func newKey(name string) string { return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name) }

// runFleet runs a test with a fleet of n nodes in virtual time.
func runFleet(t *testing.T, n int, run func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		defer f.stop()
		run(t, f)
	})
}

func completed(body string) *sagedispatch.Result {
	return &sagedispatch.Result{Outcome: sagewire.Complete, Status: 201, Response: &sagedispatch.BufferedResponse{
		Status: 201, Header: http.Header{"Content-Type": {"application/json"}}, Body: []byte(body),
	}}
}

// An app repeats a booking through another router. Without the claim in the store the booking would run twice.
func TestRepeatThroughOtherNodeGetsCachedAnswer(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		key := newKey("a")
		c, _, ref := f.nodes[0].Claim(t.Context(), request(key, "box"))
		require.Nil(t, ref)
		f.nodes[0].Finish(t.Context(), c, completed("booked 1"))
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
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		key := newKey("a")
		_, _, ref := f.nodes[0].Claim(t.Context(), request(key, "one box"))
		require.Nil(t, ref)
		_, _, ref = f.nodes[1].Claim(t.Context(), request(key, "two boxes"))
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.NotRun, ref.Outcome)
		assert.Equal(t, sagewire.ReasonBadRequest, ref.Reason)
	})
}

func TestInvalidKeys(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		old := fmt.Sprintf("%d-x", time.Now().Add(-2*time.Hour).UnixMilli())
		future := fmt.Sprintf("%d-x", time.Now().Add(2*time.Minute).UnixMilli())
		for key, reason := range map[string]sagewire.Reason{"plain": sagewire.ReasonBadRequest, old: sagewire.ReasonKeyExpired, future: sagewire.ReasonBadRequest} {
			_, _, ref := f.nodes[0].Claim(t.Context(), request(key, "b"))
			require.NotNil(t, ref, key)
			assert.Equal(t, reason, ref.Reason, key)
		}
		assert.Zero(t, f.nodes[0].Committer.Stats().Entries)
	})
}

// A booking arrives twice at the same time. The second request waits up to its deadline; it gets the answer of the
// first, or runs if the first did not run.
func TestWaitsForRequestInFlight(t *testing.T) {
	for _, ran := range []bool{true, false} {
		t.Run(fmt.Sprintf("first ran=%v", ran), func(t *testing.T) {
			runFleet(t, 3, func(t *testing.T, f *fleet) {
				key := newKey("a")
				c, _, ref := f.nodes[0].Claim(t.Context(), request(key, "b"))
				require.Nil(t, ref)
				f.wg.Go(func() {
					time.Sleep(3 * time.Second)
					if ran {
						f.nodes[0].Finish(t.Context(), c, completed("1"))
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
	t.Run("deadline passes first", func(t *testing.T) {
		runFleet(t, 2, func(t *testing.T, f *fleet) {
			key := newKey("a")
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

// While the store is unavailable a booking is refused immediately; it runs when it is sent again later.
func TestStoreUnavailable(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		key, ran := newKey("a"), newKey("ran")
		_, _, ref := f.nodes[0].Claim(t.Context(), request(ran, "b"))
		require.Nil(t, ref)
		f.setStoreDown(true)
		start := time.Now()
		_, _, ref = f.nodes[0].Claim(t.Context(), request(key, "b"))
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.NotRun, ref.Outcome)
		assert.Equal(t, sagewire.ReasonStoreUnavailable, ref.Reason)
		assert.False(t, ref.RetryAt.IsZero())
		assert.Less(t, time.Since(start), 100*time.Millisecond, "virtual time")
		f.setStoreDown(false)
		_, _, ref = f.nodes[1].Claim(t.Context(), request(key, "b"))
		assert.Nil(t, ref)
	})
}

// A caller repeats a booking that is in flight at the same router during an outage of the store. After "not run"
// it might book under a new key, so the router must use the claim in its cache and respond "already run".
func TestStoreUnavailableWithCachedClaim(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		key := newKey("a")
		_, _, ref := f.nodes[0].Claim(t.Context(), request(key, "b"))
		require.Nil(t, ref)
		f.setStoreDown(true)
		_, _, ref = f.nodes[0].Claim(t.Context(), request(key, "b"))
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.AlreadyRun, ref.Outcome)
	})
}

// The owner of an object is frozen or cut off. Bookings of its objects must be claimed without it.
func TestOwnerUnreachable(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.mu.Lock()
		f.unreachable["n1"], f.unreachable["n2"] = true, true
		f.mu.Unlock()
		for i := range 20 {
			c, _, ref := f.nodes[0].Claim(t.Context(), request(newKey(fmt.Sprint(i)), "b"))
			require.Nil(t, ref)
			f.nodes[0].Finish(t.Context(), c, completed("1"))
		}
	})
}

// A router is paused between the commit of a claim and the request, until its caller has left. The request must
// not be sent, and the claim must be released.
func TestClaimCommittedAfterDeadlineIsReleased(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		r := request(newKey("a"), "b")
		f.mu.Lock()
		f.putDelay = time.Until(r.Deadline) + time.Second
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

// A router crashes after the claim, so it is unknown whether the booking ran. A repeated request is refused with
// that reason, and the booking stays on the operators' list until an operator resolves it.
func TestRouterCrashAfterClaim(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		r := request(newKey("a"), "b")
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

// A key is used long after its creation, when its bucket has been swept, and the store is unavailable when the
// unknown outcome is to be recorded. The outcome must still be listed.
func TestUnknownOutcomeOfOldKeyIsListed(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		key := newKey("old")
		time.Sleep(10 * time.Minute)
		c, _, ref := f.nodes[0].Claim(t.Context(), request(key, "b"))
		require.Nil(t, ref)
		f.setStoreDown(true)
		f.nodes[0].Finish(t.Context(), c, &sagedispatch.Result{Outcome: sagewire.Unknown})
		time.Sleep(time.Minute)
		f.setStoreDown(false)
		time.Sleep(5 * time.Second)
		list, err := f.nodes[1].UnknownOutcomes(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
		assert.Equal(t, key, list[0].Key)
	})
}

// Claim objects are deleted after the retention period, and their unresolved requests stay listed.
func TestDeleteExpired(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		_, _, ref := f.nodes[0].Claim(t.Context(), request(newKey("a"), "b"))
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
	h := answerCache{maxBytes: 1000}
	for i := range 100 {
		h.put(fmt.Sprint(i), make([]byte, 100))
		require.LessOrEqual(t, h.bytes(), 1000)
	}
	assert.Nil(t, h.get("0"))
	assert.NotNil(t, h.get("99"))
	assert.Nil(t, encodeAnswer(&sagedispatch.BufferedResponse{Status: 200, Body: make([]byte, maxCachedAnswerBytes+1)}))
}

func TestOperatorAPI(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		r := request(newKey("a"), "b")
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
		format := fmt.Sprintf(`{"account":"haller","key":%q,"claim_id":%q,"outcome":"%%s"}`, r.IdempotencyKey, r.ID)
		for _, invalid := range []string{"{", fmt.Sprintf(format, "unknown"), strings.Replace(fmt.Sprintf(format, "not_run"), r.ID, "other", 1), strings.Replace(fmt.Sprintf(format, "not_run"), r.IdempotencyKey, "1-x", 1)} {
			code, body = call(http.MethodPost, invalid)
			assert.Equal(t, http.StatusBadRequest, code, "%s: %s", invalid, body)
		}
		code, body = call(http.MethodPost, fmt.Sprintf(format, "complete"))
		assert.Equal(t, http.StatusOK, code, body)
		_, body = call(http.MethodGet, "")
		assert.NotContains(t, body, r.IdempotencyKey)
		f.setStoreDown(true)
		code, _ = call(http.MethodGet, "")
		assert.Equal(t, http.StatusServiceUnavailable, code)
	})
}

// Another node writes a claim object while its owner can't be reached, so the owner's cache is outdated. By the
// cache alone, the owner would report a booking that ran as unknown, or leave the claim of a key unreleased.
func TestStaleCache(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		other := &sageclaim.Committer{Store: f.store}
		defer other.Wait()
		n := f.nodes[0]
		r := request(newKey("a"), "b")
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

		second := request(newKey("b"), "b")
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
		require.True(t, n.runJob(t.Context(), job{object: object, entry: entry(sageclaim.OpRelease, "x")}))
		o, err := f.store.Get(t.Context(), object)
		require.NoError(t, err)
		claimLog, err := sageclaim.DecodeClaimLog(o.Value)
		require.NoError(t, err)
		rec, _ := claimLog.Record(r.Account, r.IdempotencyKey)
		assert.Equal(t, sageclaim.StateReleased, rec.State)
	})
}
