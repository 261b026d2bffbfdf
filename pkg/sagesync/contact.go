package sagesync

import "time"

// mergeContacts merges a peer's last contacts with the roster nodes, each given by the clock of that
// node. It ignores names outside the roster, and instants too far ahead of the local clock, which would
// count as contact for too long.
func (r *Replica) mergeContacts(contacts map[string]int64) {
	latest := r.Now().Add(maxSkew)
	for _, name := range r.Roster {
		at := time.UnixMilli(contacts[name])
		if contacts[name] == 0 || at.After(latest) || !at.After(r.contacts[name]) {
			continue
		}
		if r.contacts == nil {
			r.contacts = make(map[string]time.Time, len(r.Roster))
		}
		r.contacts[name] = at
	}
}

// ownContacts returns the newest known contact with each roster node, including this node itself.
func (r *Replica) ownContacts() map[string]int64 {
	if len(r.Roster) == 0 {
		return nil
	}
	c := make(map[string]int64, len(r.Roster))
	for _, name := range r.Roster {
		switch at := r.contacts[name]; {
		case name == r.Self:
			c[name] = r.Now().UnixMilli()
		case !at.IsZero():
			c[name] = at.UnixMilli()
		}
	}
	return c
}

// quorumContact returns the latest instant at which this node had contact with a majority of the
// roster, the zero time without a roster.
func (r *Replica) quorumContact() time.Time {
	if len(r.Roster) == 0 {
		return time.Time{}
	}
	now := r.Now()
	lastContacts := make([]time.Time, len(r.Roster))
	for i, name := range r.Roster {
		lastContacts[i] = r.contacts[name]
		if name == r.Self {
			lastContacts[i] = now
		}
	}
	return QuorumAt(now, lastContacts)
}
