package sagefollow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
)

// Figures of the platform in these tests.
const (
	// usualAnswer is how long the store takes.
	usualAnswer = 4 * time.Millisecond
	// keyBound is the bound on keys, less the nodes' margin.
	keyBound = 4800 * time.Millisecond
	// contentBound is the bound on changes, and in the nodes' settings.
	contentBound = 2 * time.Second
	// handling is what is left of it for news on its way inside a node.
	handling = 200 * time.Millisecond
	// beat is the interval of heartbeats.
	beat = 200 * time.Millisecond
)

// bubbleNow is the virtual clock as instants.
func bubbleNow() sageclock.Instant { return sageclock.Instant(time.Now().UnixNano()) }

// remoteStore is a store at the end of a network, in virtual time.
type remoteStore struct {
	mu      sync.Mutex
	c       content
	silent  bool            // swallows all calls, also those under way
	refuses bool            // answers all calls with an error
	takes   time.Duration   // of an answer
	cut     map[string]bool // nodes whose calls are swallowed
	calls   int
}

// link is one node's way to the store.
type link struct {
	*remoteStore
	node string
}

func newRemoteStore() *remoteStore {
	s := &remoteStore{takes: usualAnswer, cut: make(map[string]bool)}
	s.c.apply(0, Delta{Full: true, AsOf: 1, Changes: []Change{obj("a", 1)}})
	return s
}

func (s *remoteStore) set(f func(s *remoteStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *remoteStore) put(ch Change) {
	s.set(func(s *remoteStore) { s.c.apply(s.c.asOf, Delta{AsOf: ch.Object.Revision, Changes: []Change{ch}}) })
}

func (s *remoteStore) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// pass waits for a message's way, or for ever if it is swallowed.
func (l *link) pass(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
	}
	l.mu.Lock()
	lost, refused := l.silent || l.cut[l.node], l.refuses
	l.mu.Unlock()
	if refused {
		return errDown
	}
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (l *link) count() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
}

func (l *link) takesHalf() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takes / 2
}

func (l *link) List(ctx context.Context, _, _ string) (Page, error) {
	l.count()
	if err := l.pass(ctx, l.takesHalf()); err != nil {
		return Page{}, err
	}
	l.mu.Lock()
	all := l.c.all()
	l.mu.Unlock()
	return Page{Changes: all.Changes, AsOf: all.AsOf}, l.pass(ctx, l.takesHalf())
}

func (l *link) Watch(ctx context.Context, _ string, since uint64, wait time.Duration) (Delta, error) {
	l.count()
	if err := l.pass(ctx, l.takesHalf()); err != nil {
		return Delta{}, err
	}
	until := time.Now().Add(wait)
	for {
		l.mu.Lock()
		d := l.c.since(since)
		l.mu.Unlock()
		if len(d.Changes) > 0 || !time.Now().Before(until) {
			return d, l.pass(ctx, l.takesHalf())
		}
		if err := l.pass(ctx, usualAnswer); err != nil {
			return Delta{}, err
		}
	}
}

func (l *link) ResetConnections() {}

// remoteNode is a node of a [remoteFleet].
type remoteNode struct {
	*Follower
	mu     sync.Mutex
	stamps map[int]sageclock.Instant // the last of each other node that came
	blind  map[int]bool              // as told
	seen   map[string]uint64
}

// remoteFleet are nodes that follow a store and tell each other by heartbeats.
type remoteFleet struct {
	nodes []*remoteNode
	// dark is a node that still sends heartbeats and answers no fetch; -1 for none.
	dark int
}

// Fetch implements [Peers].
func (f *remoteFleet) Fetch(ctx context.Context, peer, _ string, since uint64) (Delta, error) {
	time.Sleep(2 * time.Millisecond)
	var i int
	if _, err := fmt.Sscan(peer, &i); err != nil {
		return Delta{}, err
	}
	if i == f.dark {
		<-ctx.Done()
		return Delta{}, ctx.Err()
	}
	return f.nodes[i].DeltaSince(since), nil
}

// startFleet starts n nodes in a bubble, with the followers of another kind as their scouts if there are
// any; they stop with ctx.
func startFleet(ctx context.Context, s *remoteStore, n int, scouts *remoteFleet) *remoteFleet {
	f := &remoteFleet{dark: -1}
	for i := range n {
		x := &remoteNode{stamps: make(map[int]sageclock.Instant), blind: make(map[int]bool), seen: make(map[string]uint64)}
		x.Follower = &Follower{
			Kind: "k", Source: &link{remoteStore: s, node: fmt.Sprint(i)}, Peers: f, MaxStaleness: contentBound, Now: bubbleNow, StoreProof: new(sagefresh.Proof),
			Rank:     func(blind bool) int { return x.rank(i, n, blind) },
			Apply:    x.apply,
			OnChange: func(bool) { go f.beat(ctx, i) },
		}
		if scouts != nil {
			x.Prober = scouts.nodes[i].Follower
		}
		f.nodes = append(f.nodes, x)
	}
	for i, x := range f.nodes {
		go func() { _ = x.Run(ctx) }()
		go func() {
			time.Sleep(time.Duration(i) * 29 * time.Millisecond) // heartbeats aren't synchronous
			for ctx.Err() == nil {
				f.beat(ctx, i)
				time.Sleep(beat)
			}
		}()
	}
	return f
}

// rank is the node's place among those that it believes to reach the store, or among those that don't.
func (x *remoteNode) rank(self, n int, blind bool) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := 0
	for i := range n {
		switch {
		case i == self || x.blind[i] && !blind:
		case blind && !x.blind[i], i < self:
			rank++
		}
	}
	return rank
}

func (x *remoteNode) apply(cs []Change, _ bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range cs {
		x.seen[c.Object.Name] = c.Object.Revision
	}
}

func (x *remoteNode) knows(name string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.seen[name]
}

// beat sends one heartbeat of a node to all others.
func (f *remoteFleet) beat(ctx context.Context, from int) {
	x := f.nodes[from]
	x.mu.Lock()
	echoes := make(map[int]sageclock.Instant, len(x.stamps))
	for i, at := range x.stamps {
		echoes[i] = at
	}
	x.mu.Unlock()
	p, blind, stamp := x.Position(), x.Failing(), bubbleNow()
	time.Sleep(time.Millisecond)
	for i, to := range f.nodes {
		if i == from || ctx.Err() != nil {
			continue
		}
		to.mu.Lock()
		to.stamps[from], to.blind[from] = stamp, blind
		to.mu.Unlock()
		if echo := echoes[i]; echo != 0 {
			to.HandlePosition(ctx, fmt.Sprint(from), p, echo, true)
		}
	}
}

// fresh reports whether each node may trust keys.
func (f *remoteFleet) fresh() bool {
	for _, x := range f.nodes {
		if x.Proof.Age(bubbleNow()) >= keyBound {
			return false
		}
	}
	return true
}

// timeUntil polls each millisecond and returns when ok says yes first, or limit.
func timeUntil(limit time.Duration, ok func() bool) time.Duration {
	began := time.Now()
	for time.Since(began) < limit && !ok() {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// inBubble runs a fleet before a store in virtual time.
func inBubble(t *testing.T, n int, s *remoteStore, play func(t *testing.T, f *remoteFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(10 * time.Second) // a bubble ends when all that sleeps in it has ended
		defer cancel()
		play(t, startFleet(ctx, s, n, nil))
	})
}

// The store swallows every call for some seconds and is back. Callers are refused for lack of a fresh
// configuration until it is, and were for five seconds more: each node waited for the answer to a call
// that it had made into the silence, and made no other meanwhile.
func TestServiceIsBackSoonAfterASilence(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 2 * time.Second, 3500 * time.Millisecond, 8 * time.Second, 20 * time.Second} {
		for _, n := range []int{1, 2, 7} {
			t.Run(fmt.Sprintf("%v of %d nodes", silence, n), func(t *testing.T) {
				s := newRemoteStore()
				inBubble(t, n, s, func(t *testing.T, f *remoteFleet) {
					for phase := range 8 {
						time.Sleep(6*time.Second + time.Duration(phase)*137*time.Millisecond)
						s.set(func(s *remoteStore) { s.silent = true })
						time.Sleep(silence)
						s.set(func(s *remoteStore) { s.silent = false })
						require.Less(t, timeUntil(10*time.Second, f.fresh), time.Second, "phase %d", phase)
					}
				})
			})
		}
	}
}

// The store is silent when the fleet starts.
func TestSilenceAtTheStart(t *testing.T) {
	s := newRemoteStore()
	s.silent = true
	inBubble(t, 7, s, func(t *testing.T, f *remoteFleet) {
		time.Sleep(5300 * time.Millisecond)
		s.set(func(s *remoteStore) { s.silent = false })
		require.Less(t, timeUntil(10*time.Second, f.fresh), time.Second)
	})
}

// The store answers slowly for long. A node that gave each call up early would never hear of it.
func TestSlowStoreIsHeard(t *testing.T) {
	for _, takes := range []time.Duration{60 * usualAnswer, 80 * usualAnswer, time.Second} {
		t.Run(takes.String(), func(t *testing.T) {
			s := newRemoteStore()
			inBubble(t, 7, s, func(t *testing.T, f *remoteFleet) {
				time.Sleep(5 * time.Second)
				s.set(func(s *remoteStore) { s.takes = takes })
				time.Sleep(2 * time.Second)
				for range 200 {
					require.True(t, f.fresh())
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
	t.Run("3s, content only", func(t *testing.T) {
		s := newRemoteStore()
		inBubble(t, 7, s, func(t *testing.T, f *remoteFleet) {
			time.Sleep(5 * time.Second)
			s.set(func(s *remoteStore) { s.takes = 3 * time.Second })
			time.Sleep(7 * time.Second)
			s.put(obj("a", 2))
			heard := func() bool { return f.nodes[6].knows("a") == 2 }
			require.Less(t, timeUntil(20*time.Second, heard), patientWithin+2*time.Second)
		})
	})
}

// Both nodes that ask the store are cut off from it in silence, one of them in the middle of a watch, and
// an upstream leaves just then. The others were sent to it for more than the two seconds after which it
// must get nothing more: they took the silence of the two for a time without changes.
func TestNewsArrivesInTimeWhenThoseWhoAskAreCutOff(t *testing.T) {
	for phase := range 41 {
		at := time.Duration(phase) * 101 * time.Millisecond
		t.Run(fmt.Sprint("cut at ", at), func(t *testing.T) {
			s := newRemoteStore()
			inBubble(t, 7, s, func(t *testing.T, f *remoteFleet) {
				time.Sleep(6*time.Second + at)
				s.set(func(s *remoteStore) { s.cut["0"], s.cut["1"] = true, true })
				time.Sleep(10 * time.Millisecond)
				s.put(obj("a", 2))
				all := func() bool {
					for _, x := range f.nodes[2:] {
						if x.knows("a") != 2 {
							return false
						}
					}
					return true
				}
				require.Less(t, timeUntil(5*time.Second, all), contentBound-handling)
			})
		})
	}
}

// A second pair is cut off while the first still is, and a third: each time the next ones take over.
func TestNewsArrivesInTimeWhenPairAfterPairIsCutOff(t *testing.T) {
	s := newRemoteStore()
	inBubble(t, 9, s, func(t *testing.T, f *remoteFleet) {
		time.Sleep(6 * time.Second)
		for pair := range 3 {
			s.set(func(s *remoteStore) { s.cut[fmt.Sprint(2*pair)], s.cut[fmt.Sprint(2*pair+1)] = true, true })
			time.Sleep(5 * time.Millisecond)
			rev := uint64(pair + 2)
			s.put(obj("a", rev))
			all := func() bool {
				for _, x := range f.nodes[2*pair+2:] {
					if x.knows("a") != rev {
						return false
					}
				}
				return true
			}
			require.Less(t, timeUntil(5*time.Second, all), contentBound-handling, "pair %d", pair)
			time.Sleep(2300 * time.Millisecond)
		}
	})
}

// The node that watches tells of a change and can't be reached for the change itself: its link is full, or
// it froze. All others asked it and nobody else for two seconds.
func TestNewsArrivesInTimeWhenThePeerThatTellsOfItIsMute(t *testing.T) {
	s := newRemoteStore()
	inBubble(t, 7, s, func(t *testing.T, f *remoteFleet) {
		time.Sleep(6 * time.Second)
		f.dark = 0
		for rev := uint64(2); rev < 12; rev++ {
			s.put(obj("a", rev))
			all := func() bool {
				for _, x := range f.nodes[1:] {
					if x.knows("a") != rev {
						return false
					}
				}
				return true
			}
			require.Less(t, timeUntil(5*time.Second, all), contentBound-handling, "change %d", rev)
			time.Sleep(2100 * time.Millisecond)
		}
	})
}

// A calm minute costs few calls: one node watches, one polls.
func TestCallsOfACalmMinute(t *testing.T) {
	s := newRemoteStore()
	inBubble(t, 7, s, func(t *testing.T, f *remoteFleet) {
		time.Sleep(5 * time.Second)
		before := s.asked()
		time.Sleep(time.Minute)
		polls, watches := time.Minute.Seconds()/(pollShare*contentBound.Seconds()), time.Minute/watchWait
		require.LessOrEqual(t, s.asked()-before, int(polls)+int(watches)+2)
		require.True(t, f.fresh())
	})
}

// The store refuses everything for ten seconds. Each node asked for each kind over and over; now the other
// kinds wait for the scout, and are asked for as soon as it has an answer.
func TestOtherKindsWaitForTheScout(t *testing.T) {
	for _, kind := range []string{"silent", "refused"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(10 * time.Second) // a bubble ends when all that sleeps in it has ended
				defer cancel()
				scoutStore, store := newRemoteStore(), newRemoteStore()
				scouts := startFleet(ctx, scoutStore, 5, nil)
				others := startFleet(ctx, store, 5, scouts)
				time.Sleep(6 * time.Second)
				away := func(on bool) {
					for _, s := range []*remoteStore{scoutStore, store} {
						s.set(func(s *remoteStore) { s.silent, s.refuses = on && kind == "silent", on && kind == "refused" })
					}
				}
				away(true)
				time.Sleep(3 * time.Second)
				before := store.asked()
				time.Sleep(7 * time.Second)
				require.LessOrEqual(t, store.asked()-before, 5*(int(7*time.Second/scoutedAfter)+1))
				away(false)
				require.Less(t, timeUntil(10*time.Second, func() bool { return scouts.fresh() && others.fresh() }), time.Second)
			})
		})
	}
}
