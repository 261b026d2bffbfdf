package sagefollow

// historyLength is the number of recent deltas kept for peers. A peer with an older copy gets all objects.
const historyLength = 64

// content is a copy of the objects of a kind.
type content struct {
	listed    bool
	asOf      uint64 // revision up to which the copy is complete
	changedAt uint64 // revision as of which the content last changed
	objects   map[string]Object
	// history holds the latest changes that took effect after historyFrom, oldest first.
	history     []Delta
	historyFrom uint64
}

// apply applies a delta that starts from the revision since, and returns the changes that took effect.
//
// A delta older than the copy is ignored: it may have been in transit while a newer one from a peer was
// applied, and would bring back objects that have been deleted since.
func (c *content) apply(since uint64, d Delta) []Change {
	if c.listed && d.AsOf < c.asOf {
		return nil
	}
	changes := d.Changes
	if d.Full {
		changes = append(changes, c.deletions(d.Changes)...)
	} else if !c.listed || since > c.asOf {
		return nil
	}
	if c.objects == nil {
		c.objects = make(map[string]Object)
	}
	var applied []Change
	for _, ch := range changes {
		if c.applyChange(ch) {
			applied = append(applied, ch)
		}
	}
	switch {
	case !c.listed:
		c.changedAt, c.historyFrom = d.AsOf, d.AsOf
	case len(applied) > 0:
		c.changedAt = d.AsOf
		c.appendHistory(Delta{Changes: applied, AsOf: d.AsOf})
	}
	c.listed, c.asOf = true, d.AsOf
	return applied
}

// deletions returns a deletion for each object of the copy that is missing from a complete listing.
func (c *content) deletions(listed []Change) []Change {
	listedNames := make(map[string]bool, len(listed))
	for _, ch := range listed {
		listedNames[ch.Object.Name] = true
	}
	var out []Change
	for name, o := range c.objects {
		if !listedNames[name] {
			out = append(out, Change{Object: o, Deleted: true})
		}
	}
	return out
}

// applyChange applies one change unless the copy has the same or a newer revision of the object. It reports
// whether the copy changed.
func (c *content) applyChange(ch Change) bool {
	current, ok := c.objects[ch.Object.Name]
	if ch.Deleted {
		if !ok || current.Revision > ch.Object.Revision {
			return false
		}
		delete(c.objects, ch.Object.Name)
		return true
	}
	if ok && current.Revision >= ch.Object.Revision {
		return false
	}
	c.objects[ch.Object.Name] = ch.Object
	return true
}

func (c *content) appendHistory(d Delta) {
	if len(c.history) >= historyLength {
		c.historyFrom = c.history[0].AsOf
		c.history = append(c.history[:0], c.history[1:]...)
	}
	c.history = append(c.history, d)
}

// deltaSince returns the changes after a revision, or all objects if the history doesn't reach back to it.
func (c *content) deltaSince(rev uint64) Delta {
	switch {
	case rev >= c.changedAt && rev > 0:
		return Delta{AsOf: c.asOf}
	case rev < c.historyFrom || rev == 0:
		return c.fullDelta()
	}
	out := Delta{AsOf: c.asOf}
	for _, d := range c.history {
		if d.AsOf > rev {
			out.Changes = append(out.Changes, d.Changes...)
		}
	}
	return out
}

func (c *content) fullDelta() Delta {
	out := Delta{Full: true, AsOf: c.asOf, Changes: make([]Change, 0, len(c.objects))}
	for _, o := range c.objects {
		out.Changes = append(out.Changes, Change{Object: o})
	}
	return out
}
