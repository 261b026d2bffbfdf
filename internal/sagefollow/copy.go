package sagefollow

import (
	"sagestand.example/sagestand/pkg/sageclock"
)

// historyLength is the number of recent deltas kept for peers. A peer with an older copy gets all objects.
const historyLength = 64

// content is a copy of the objects of a kind.
type content struct {
	policy    RestorePolicy
	listed    bool
	era       uint64 // era of asOf and changedAt
	asOf      uint64 // revision up to which the copy is complete
	changedAt uint64 // revision as of which the content last changed
	// base is the point in an earlier era up to which the copy was complete when it followed the last restore. Changes up
	// to there stay in force.
	base    Point
	objects map[string]heldObject
	// history holds the latest changes that took effect after historyFrom, oldest first.
	history     []Delta
	historyFrom uint64
	version     uint64                // number of times that the content changed
	deleted     map[string]heldObject // last states of recently deleted objects
	hidden      map[string]hiddenObject
	nextExpiry  sageclock.Instant // when the first kept or hidden object ends, or earlier; 0 if there is none
}

func (c *content) point() Point { return Point{c.era, c.asOf} }

// apply applies a delta that starts from a point, and returns the changes that took effect.
//
// A delta older than the copy is ignored: it may have been in transit while a newer one from a peer was
// applied, and would bring back objects that have been deleted since.
func (c *content) apply(now sageclock.Instant, since Point, d Delta) []Change {
	if c.listed && (Point{d.Era, d.AsOf}).Before(c.point()) {
		return nil
	}
	if !d.Full && (!c.listed || since.Era != c.era || d.Era != c.era || since.Revision > c.asOf) {
		return nil
	}
	if c.objects == nil {
		c.objects = make(map[string]heldObject)
	}
	var applied []Change
	restored := c.listed && d.Era > c.era
	switch last := c.point(); {
	case !d.Full:
		for i := range d.Changes {
			if ch, ok := c.applyChange(&d.Changes[i], now); ok {
				applied = append(applied, ch)
			}
		}
	case !c.listed || c.base.Before(d.Base) && !restored || restored && !d.Base.Before(last):
		applied, c.base = c.adopt(d, now), d.Base
		restored = true
	default:
		applied = c.replace(d, now)
		if restored {
			c.base = last
		}
	}
	if restored {
		c.changedAt, c.historyFrom, c.history = d.AsOf, d.AsOf, nil
	} else if len(applied) > 0 {
		c.changedAt = d.AsOf
		c.appendHistory(Delta{Changes: applied, AsOf: d.AsOf})
	}
	if restored || len(applied) > 0 {
		c.version++
	}
	c.listed, c.era, c.asOf = true, d.Era, d.AsOf
	return applied
}

// applyChange applies one change unless the copy has the same or a newer state of the object. It reports whether the copy
// changed.
func (c *content) applyChange(ch *Change, now sageclock.Instant) (Change, bool) {
	if !ch.Deleted {
		return c.put(&ch.Object, now)
	}
	if h, ok := c.hidden[ch.Object.Name]; ok && !ch.Object.Point().Before(h.object.Point()) {
		delete(c.hidden, ch.Object.Name)
	}
	known, ok := c.objects[ch.Object.Name]
	if !ok || ch.Object.Point().Before(known.Point()) {
		return Change{}, false
	}
	known.Object = ch.Object
	return c.remove(known, now, false), true
}

// put stores an object unless the copy has the same or a newer state of it.
func (c *content) put(o *Object, now sageclock.Instant) (Change, bool) {
	known, ok := c.objects[o.Name]
	if ok && !known.Point().Before(o.Point()) {
		return Change{}, false
	}
	if h, ok := c.hidden[o.Name]; ok && h.object.Point().Before(o.Point()) {
		delete(c.hidden, o.Name)
	}
	c.objects[o.Name] = heldObject{Object: *o, since: now}
	return Change{Object: *o, Rewritten: ok && isRewritten(&known.Object, o)}, true
}

// remove removes an object. lost says that a restored store lacks it without a deletion.
func (c *content) remove(o heldObject, now sageclock.Instant, lost bool) Change {
	delete(c.objects, o.Name)
	if !lost {
		c.rememberDeletion(&o.Object, now)
	}
	return Change{Object: o.Object, Deleted: true, Lost: lost}
}

func (c *content) appendHistory(d Delta) {
	if len(c.history) >= historyLength {
		c.historyFrom = c.history[0].AsOf
		c.history = append(c.history[:0], c.history[1:]...)
	}
	c.history = append(c.history, d)
}

// deltaSince returns the changes after a point, or all objects if the history doesn't reach back to it.
func (c *content) deltaSince(p Point) Delta {
	switch rev := p.Revision; {
	case p.Era != c.era || rev == 0 || rev < c.historyFrom && rev < c.changedAt:
		return c.fullDelta()
	case rev >= c.changedAt:
		return Delta{AsOf: c.asOf, Era: c.era}
	}
	out := Delta{AsOf: c.asOf, Era: c.era}
	for _, d := range c.history {
		if d.AsOf > p.Revision {
			out.Changes = append(out.Changes, d.Changes...)
		}
	}
	return out
}

// fullDelta returns all objects, and what keeps deletions of earlier eras in force.
func (c *content) fullDelta() Delta {
	out := Delta{Full: true, AsOf: c.asOf, Era: c.era, Base: c.base, Changes: make([]Change, 0, len(c.objects))}
	for _, o := range c.objects {
		out.Changes = append(out.Changes, Change{Object: o.Object, Missing: o.keepUntil != 0})
	}
	for _, h := range c.hidden {
		out.Changes = append(out.Changes, Change{Object: h.object, Hidden: true})
	}
	for _, o := range c.deleted {
		if o.Era < c.era {
			out.Changes = append(out.Changes, Change{Object: o.Object, Deleted: true})
		}
	}
	return out
}
