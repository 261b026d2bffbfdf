package sagefollow

// historyLength is how many deltas are kept for peers; older copies get everything.
const historyLength = 64

type step struct {
	from  uint64
	delta Delta
}

// content is a copy of the objects of a kind.
type content struct {
	listed  bool
	asOf    uint64
	changed uint64
	objects map[string]Object
	history []step
}

// apply takes a delta in that leads on from the revision since, and returns what is new in it.
//
// It guards against a copy that goes back: an answer that was under way while a peer's newer one was
// taken in still names old objects.
func (c *content) apply(since uint64, d Delta) []Change {
	if c.listed && d.AsOf < c.asOf {
		return nil
	}
	changes := d.Changes
	if d.Full {
		changes = append(changes, c.missing(d.Changes)...)
	} else if !c.listed || since > c.asOf {
		return nil
	}
	if c.objects == nil {
		c.objects = make(map[string]Object)
	}
	var fresh []Change
	for _, ch := range changes {
		if c.take(ch) {
			fresh = append(fresh, ch)
		}
	}
	if len(fresh) > 0 || !c.listed {
		c.changed = d.AsOf
		c.remember(step{from: c.asOf, delta: Delta{Changes: fresh, AsOf: d.AsOf}})
	}
	c.listed, c.asOf = true, d.AsOf
	return fresh
}

// missing returns a deletion for each object that a complete listing does not hold.
func (c *content) missing(listed []Change) []Change {
	have := make(map[string]bool, len(listed))
	for _, ch := range listed {
		have[ch.Object.Name] = true
	}
	var out []Change
	for name, o := range c.objects {
		if !have[name] {
			out = append(out, Change{Object: o, Deleted: true})
		}
	}
	return out
}

// take applies one change unless the copy holds the same or a newer state of the object.
func (c *content) take(ch Change) bool {
	held, ok := c.objects[ch.Object.Name]
	if ch.Deleted {
		if !ok || held.Revision > ch.Object.Revision {
			return false
		}
		delete(c.objects, ch.Object.Name)
		return true
	}
	if ok && held.Revision >= ch.Object.Revision {
		return false
	}
	c.objects[ch.Object.Name] = ch.Object
	return true
}

func (c *content) remember(s step) {
	if len(c.history) >= historyLength {
		c.history = append(c.history[:0], c.history[1:]...)
	}
	c.history = append(c.history, s)
}

// since returns what leads on from a revision.
func (c *content) since(rev uint64) Delta {
	if rev >= c.changed && rev > 0 {
		return Delta{AsOf: c.asOf}
	}
	out := Delta{AsOf: c.asOf}
	for i, s := range c.history {
		if i == 0 && (s.from > rev || s.from == 0) {
			return c.all()
		}
		if s.delta.AsOf > rev {
			out.Changes = append(out.Changes, s.delta.Changes...)
		}
	}
	return out
}

func (c *content) all() Delta {
	out := Delta{Full: true, AsOf: c.asOf}
	for _, o := range c.objects {
		out.Changes = append(out.Changes, Change{Object: o})
	}
	return out
}
