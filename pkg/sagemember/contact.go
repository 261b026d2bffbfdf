package sagemember

import "time"

// contact is a call in progress: when it began and who was known at its address then.
type contact struct {
	began time.Time
	known []uint64
}

// Calling implements [sagegossip.Observer]: it notes who is known at addr before the call. Of two
// calls at once the first counts, whose answer says the least.
func (t *Table) Contacting(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.calling[addr]; ok {
		return
	}
	c := contact{began: t.wake()}
	for id, e := range t.nodes {
		if e.Address == addr && e.Phase != Gone {
			c.known = append(c.known, id)
		}
	}
	t.calling[addr] = c
}

// Failed implements [sagegossip.Observer]. One failed call says nothing: the link may be bad.
func (t *Table) ContactFailed(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calling, addr)
}

// Met implements [sagegossip.Observer]. The node that answered was asked about every suspect by the
// digest of this exchange. Whoever else was known at its address before the call is gone.
func (t *Table) Contacted(addr string, digest []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.wake()
	c, ok := t.calling[addr]
	delete(t.calling, addr)
	d, err := readDigest(digest)
	if !ok || err != nil {
		return
	}
	t.hearDigest(d, now)
	sender := d.GetSender()
	if sender == 0 || sender == t.Self.Incarnation || addr == t.Self.Address {
		return
	}
	for _, id := range c.known {
		if e := t.nodes[id]; e != nil && id != sender && e.Phase != Gone {
			t.setPhase(e, Gone, now)
		}
	}
	t.refresh(sender, now)
	for id, e := range t.nodes {
		if e.State == Suspect && id != sender && !e.since.After(c.began) {
			e.asked[sender] = true
		}
	}
}

// askedBy counts a node that calls this one. Its first call is answered with the suspects; when it
// calls again it has had the time to look for them, and its digest has said what it found.
func (t *Table) askedBy(sender uint64) {
	for id, e := range t.nodes {
		if e.State != Suspect || sender == 0 || id == sender {
			continue
		}
		if e.told[sender] {
			e.asked[sender] = true
		}
		e.told[sender] = true
	}
}
