package sagemember

import "time"

// pendingCall is an outgoing call that has not ended: when it began, and the incarnations known at the
// called address at that time.
type pendingCall struct {
	startedAt time.Time
	knownIDs  []uint64
}

// Contacting implements [sagegossip.Observer]: it records which incarnations are known at addr before the
// call. When two calls to one address overlap, the record of the first is kept, since the fewest
// conclusions follow from it.
func (t *Table) Contacting(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.pendingCalls[addr]; ok {
		return
	}
	c := pendingCall{startedAt: t.nowDetectingPause()}
	for id, e := range t.nodes {
		if e.Address == addr && e.Phase != Gone {
			c.knownIDs = append(c.knownIDs, id)
		}
	}
	t.pendingCalls[addr] = c
}

// ContactFailed implements [sagegossip.Observer]. A failed call doesn't change the state of the node: the
// cause may be the link.
func (t *Table) ContactFailed(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pendingCalls, addr)
}

// Contacted implements [sagegossip.Observer]. The digest of this exchange carried the suspects of this node,
// so the node that answered counts as checked about each of them. An address has one process at a time,
// so every other incarnation that was known at addr before the call is marked as gone.
func (t *Table) Contacted(addr string, digest []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.nowDetectingPause()
	c, ok := t.pendingCalls[addr]
	delete(t.pendingCalls, addr)
	d, err := readDigest(digest)
	if !ok || err != nil {
		return
	}
	t.mergeDigest(d, now)
	sender := d.GetSender()
	if sender == 0 || sender == t.Self.Incarnation || addr == t.Self.Address {
		return
	}
	for _, id := range c.knownIDs {
		if e := t.nodes[id]; e != nil && id != sender && e.Phase != Gone {
			t.setPhase(e, Gone, now)
		}
	}
	t.recordContact(sender, now)
	for id, e := range t.nodes {
		if e.State == Suspect && id != sender && !e.since.After(c.startedAt) {
			e.checkedBy[sender] = true
		}
	}
}

// recordCaller records a call from sender as a check of the suspects. The answer to its first call
// carries the suspects. By its next call it has had time to look for a later heartbeat of each, and has
// sent what it found in its digest, so it then counts as checked about them.
func (t *Table) recordCaller(sender uint64) {
	for id, e := range t.nodes {
		if e.State != Suspect || sender == 0 || id == sender {
			continue
		}
		if e.queried[sender] {
			e.checkedBy[sender] = true
		}
		e.queried[sender] = true
	}
}
