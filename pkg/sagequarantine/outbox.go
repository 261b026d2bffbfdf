package sagequarantine

import (
	"math/rand/v2"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// message is a report about one suspect that is sent to the peers.
type message struct {
	suspect  Suspect
	crash    CrashID           // 0 if the suspect is cleared
	at       sageclock.Instant // of the crash
	queuedAt sageclock.Instant
	local    bool // recorded by this node itself, not received from a peer
}

// outbox contains the latest messages, oldest first.
type outbox []message

// add appends a message and drops the oldest ones beyond maxQueued.
func (o *outbox) add(m message) {
	*o = append(*o, m)
	if n := len(*o) - maxQueued; n > 0 {
		*o = append((*o)[:0], (*o)[n:]...)
	}
}

// addLocal marks a queued message as local, or adds the message if it isn't queued.
func (o *outbox) addLocal(m message) {
	i := slices.IndexFunc(*o, func(w message) bool { return w.suspect.Fingerprint == m.suspect.Fingerprint && w.crash == m.crash })
	if i < 0 {
		o.add(m)
		return
	}
	(*o)[i].local = true
}

// remove drops the messages about a suspect.
func (o *outbox) remove(f Fingerprint) {
	*o = slices.DeleteFunc(*o, func(m message) bool { return m.suspect.Fingerprint == f })
}

// expire drops the messages that were queued messageTTL ago or earlier.
func (o *outbox) expire(now sageclock.Instant) {
	n := 0
	for n < len(*o) && now.Sub((*o)[n].queuedAt) >= messageTTL {
		n++
	}
	if n > 0 {
		*o = append((*o)[:0], (*o)[n:]...)
	}
}

// selectForHeartbeat returns the messages for one heartbeat: those about cleared suspects and suspects with
// repeated crashes first, then a random choice of the others. Messages from peers are included only if forward is
// set.
//
// Without this order, the request that causes the crashes could be left out when many upstreams crash at the same
// time, each with dozens of requests.
func (o outbox) selectForHeartbeat(forward bool, isRepeated func(f Fingerprint) bool) []message {
	var prioritized, others []message
	for _, m := range o {
		switch {
		case !m.local && !forward:
		case m.crash == 0 || isRepeated(m.suspect.Fingerprint):
			prioritized = append(prioritized, m)
		default:
			others = append(others, m)
		}
	}
	if countFingerprints(prioritized)+countFingerprints(others) > maxPerHeartbeat {
		rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	}
	for countFingerprints(prioritized) > maxPerHeartbeat {
		prioritized = prioritized[1:]
	}
	budget := maxPerHeartbeat - countFingerprints(prioritized)
	for i := range others {
		if budget -= others[i].fingerprints(); budget < 0 {
			return append(prioritized, others[:i]...)
		}
	}
	return append(prioritized, others...)
}

func countFingerprints(messages []message) int {
	n := 0
	for i := range messages {
		n += messages[i].fingerprints()
	}
	return n
}

// fingerprints returns the number of fingerprints that the message takes in a heartbeat.
func (m *message) fingerprints() int {
	if m.suspect.Kind == Part {
		return 2
	}
	return 1
}
