package sagesync

import "time"

// noteContacts takes in when the nodes of the roster were last there, by their own clocks. Names
// outside the roster are passed over, and so are instants ahead of the own clock: they would count as
// contact for too long.
func (r *Replica) noteContacts(contacts map[string]int64) {
	limit := r.Now().Add(maxSkew)
	for _, name := range r.Roster {
		at := time.UnixMilli(contacts[name])
		if contacts[name] == 0 || at.After(limit) || !at.After(r.contacts[name]) {
			continue
		}
		if r.contacts == nil {
			r.contacts = make(map[string]time.Time, len(r.Roster))
		}
		r.contacts[name] = at
	}
}

// ownContacts returns the newest known instants of the roster, this node's own among them.
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

// contact returns the latest instant at which this node had contact to most of the roster, the zero
// time without a roster.
func (r *Replica) contact() time.Time {
	if len(r.Roster) == 0 {
		return time.Time{}
	}
	now := r.Now()
	heard := make([]time.Time, len(r.Roster))
	for i, name := range r.Roster {
		heard[i] = r.contacts[name]
		if name == r.Self {
			heard[i] = now
		}
	}
	return QuorumAt(now, heard)
}
