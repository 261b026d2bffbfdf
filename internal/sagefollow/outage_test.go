package sagefollow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagefresh"
)

// The store leaves calls unanswered for some seconds and then works again. Each node must make new calls while
// earlier ones are pending. If it waits for those to time out, callers are refused for lack of a fresh
// configuration for five seconds longer than the outage.
func TestProofsRecoverSoonAfterStoreStalls(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 2 * time.Second, 3500 * time.Millisecond, 8 * time.Second, 20 * time.Second} {
		for _, n := range []int{1, 2, 7} {
			t.Run(fmt.Sprintf("%v with %d nodes", outage, n), func(t *testing.T) {
				s := newRemoteStore()
				inVirtualTime(t, n, s, func(t *testing.T, f *remoteFleet) {
					for phase := range 8 {
						time.Sleep(6*time.Second + time.Duration(phase)*137*time.Millisecond)
						s.set(func(s *remoteStore) { s.stalled = true })
						time.Sleep(outage)
						s.set(func(s *remoteStore) { s.stalled = false })
						require.Less(t, timeUntil(10*time.Second, f.allFresh), time.Second, "phase %d", phase)
					}
				})
			})
		}
	}
}

// The store leaves all calls unanswered when the fleet starts.
func TestStoreStalledAtStart(t *testing.T) {
	s := newRemoteStore()
	s.stalled = true
	inVirtualTime(t, 7, s, func(t *testing.T, f *remoteFleet) {
		time.Sleep(5300 * time.Millisecond)
		s.set(func(s *remoteStore) { s.stalled = false })
		require.Less(t, timeUntil(10*time.Second, f.allFresh), time.Second)
	})
}

// The store answers slowly for a long time. A node that abandons each call early never gets an answer.
func TestSlowStoreKeepsCopiesFresh(t *testing.T) {
	for _, latency := range []time.Duration{60 * storeLatency, 80 * storeLatency, time.Second} {
		t.Run(latency.String(), func(t *testing.T) {
			s := newRemoteStore()
			inVirtualTime(t, 7, s, func(t *testing.T, f *remoteFleet) {
				time.Sleep(5 * time.Second)
				s.set(func(s *remoteStore) { s.latency = latency })
				time.Sleep(2 * time.Second)
				for range 200 {
					require.True(t, f.allFresh())
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
	t.Run("3s, changes only", func(t *testing.T) {
		s := newRemoteStore()
		inVirtualTime(t, 7, s, func(t *testing.T, f *remoteFleet) {
			time.Sleep(5 * time.Second)
			s.set(func(s *remoteStore) { s.latency = 3 * time.Second })
			time.Sleep(7 * time.Second)
			s.put(obj("a", 2))
			received := func() bool { return f.nodes[6].revisionOf("a") == 2 }
			require.Less(t, timeUntil(20*time.Second, received), slowCallTimeout+2*time.Second)
		})
	})
}

// The watching and the polling node are cut off from the store without an error, the former during a watch, and an
// upstream leaves at that moment. The other nodes must not interpret the missing reports as a lack of changes.
// Otherwise they send requests to the upstream after the two seconds within which they must stop.
func TestChangesArriveInTimeWhenWatcherAndPollerAreCutOff(t *testing.T) {
	for phase := range 41 {
		at := time.Duration(phase) * 101 * time.Millisecond
		t.Run(fmt.Sprint("cut off at ", at), func(t *testing.T) {
			s := newRemoteStore()
			inVirtualTime(t, 7, s, func(t *testing.T, f *remoteFleet) {
				time.Sleep(6*time.Second + at)
				s.set(func(s *remoteStore) { s.cutOff["0"], s.cutOff["1"] = true, true })
				time.Sleep(10 * time.Millisecond)
				s.put(obj("a", 2))
				all := func() bool {
					for _, x := range f.nodes[2:] {
						if x.revisionOf("a") != 2 {
							return false
						}
					}
					return true
				}
				require.Less(t, timeUntil(5*time.Second, all), contentBound-handlingMargin)
			})
		})
	}
}

// Three pairs of nodes are cut off one after the other. Each time the next pair has to take over.
func TestChangesArriveInTimeWhenPairAfterPairIsCutOff(t *testing.T) {
	s := newRemoteStore()
	inVirtualTime(t, 9, s, func(t *testing.T, f *remoteFleet) {
		time.Sleep(6 * time.Second)
		for pair := range 3 {
			s.set(func(s *remoteStore) { s.cutOff[fmt.Sprint(2*pair)], s.cutOff[fmt.Sprint(2*pair+1)] = true, true })
			time.Sleep(5 * time.Millisecond)
			rev := uint64(pair + 2)
			s.put(obj("a", rev))
			all := func() bool {
				for _, x := range f.nodes[2*pair+2:] {
					if x.revisionOf("a") != rev {
						return false
					}
				}
				return true
			}
			require.Less(t, timeUntil(5*time.Second, all), contentBound-handlingMargin, "pair %d", pair)
			time.Sleep(2300 * time.Millisecond)
		}
	})
}

// The watching node announces a change but doesn't answer the fetch of its content, since its link is full or it is
// frozen. The other nodes must not wait for this node alone until the fetch times out after two seconds.
func TestChangesArriveInTimeWhenAnnouncingPeerIsUnresponsive(t *testing.T) {
	s := newRemoteStore()
	inVirtualTime(t, 7, s, func(t *testing.T, f *remoteFleet) {
		time.Sleep(6 * time.Second)
		f.unresponsive.Store(0)
		for rev := uint64(2); rev < 12; rev++ {
			s.put(obj("a", rev))
			all := func() bool {
				for _, x := range f.nodes[1:] {
					if x.revisionOf("a") != rev {
						return false
					}
				}
				return true
			}
			require.Less(t, timeUntil(5*time.Second, all), contentBound-handlingMargin, "change %d", rev)
			time.Sleep(2100 * time.Millisecond)
		}
	})
}

// Without changes and failures only one node watches and one polls, so a minute costs few calls.
func TestFewStoreCallsWithoutChanges(t *testing.T) {
	s := newRemoteStore()
	inVirtualTime(t, 7, s, func(t *testing.T, f *remoteFleet) {
		time.Sleep(5 * time.Second)
		before := s.callCount()
		time.Sleep(time.Minute)
		polls, watches := time.Minute.Seconds()/(pollFraction*contentBound.Seconds()), time.Minute/watchWait
		require.LessOrEqual(t, s.callCount()-before, int(polls)+int(watches)+2)
		require.True(t, f.allFresh())
	})
}

// The store is down for ten seconds. Kinds with a prober must be polled rarely meanwhile, and again as soon as
// the prober has an answer. Otherwise each node keeps calling the store for every kind during the outage.
func TestOtherKindsWaitForProber(t *testing.T) {
	for _, failure := range []string{"stalled", "refusing"} {
		t.Run(failure, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(10 * time.Second) // a bubble ends when no goroutine in it sleeps any more
				defer cancel()
				proberStore, otherStore := newRemoteStore(), newRemoteStore()
				probers := startFleet(ctx, proberStore, 5, nil)
				others := startFleet(ctx, otherStore, 5, probers)
				time.Sleep(6 * time.Second)
				setOutage := func(on bool) {
					for _, s := range []*remoteStore{proberStore, otherStore} {
						s.set(func(s *remoteStore) { s.stalled, s.refusing = on && failure == "stalled", on && failure == "refusing" })
					}
				}
				setOutage(true)
				time.Sleep(3 * time.Second)
				before := otherStore.callCount()
				time.Sleep(7 * time.Second)
				require.LessOrEqual(t, otherStore.callCount()-before, 5*(int(7*time.Second/deferredPollInterval)+1))
				setOutage(false)
				require.Less(t, timeUntil(10*time.Second, func() bool { return probers.allFresh() && others.allFresh() }), time.Second)
			})
		})
	}
}

// Prevents many nodes that are cut off from the fleet, each of which ranks first in its own view, from watching and polling
// the store as often as the nodes that query it for all.
func TestIsolatedNodePollsRarely(t *testing.T) {
	calls := func(isolated bool) int {
		count := 0
		synctest.Test(t, func(t *testing.T) {
			s := newRemoteStore()
			f := &Follower{
				Kind: "k", Source: &storeLink{s, "n"}, MaxStaleness: contentBound, Rank: func(bool) int { return 0 }, StoreProof: new(sagefresh.Proof),
				Apply: func([]Change, bool) {}, Isolated: func() bool { return isolated }, Now: virtualNow,
			}
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { _ = f.Run(ctx) })
			for range 200 {
				time.Sleep(50 * time.Millisecond)
				require.Less(t, f.Proof.Age(virtualNow()), contentBound)
			}
			count = s.callCount()
			cancel()
			wg.Wait()
		})
		return count
	}
	require.Less(t, calls(true), calls(false))
	require.LessOrEqual(t, calls(true), 1+10*int(time.Second)/int(isolatedPollFraction*float64(contentBound)))
}
