package sagefollow

import (
	"bytes"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// maxRestoreLoss is the longest time before a restore of which the store may have lost the changes, with a wide
	// margin. What was known for longer and is missing after a restore has been deleted.
	maxRestoreLoss = time.Minute
	// maxKeepTime is how long an object is kept that a restored store lacks. Whoever wrote it writes it again in
	// seconds, unless it is no longer wanted.
	maxKeepTime = time.Minute
	// maxDeletions is the number of recent deletions that are remembered.
	maxDeletions = 1024
)

// RestorePolicy decides which confirmed changes of a kind stay in force after the store was restored from a copy that
// lacks them. The zero value follows the restored store.
type RestorePolicy struct {
	// Outlives reports whether a known object stays in force instead of the restored one, which is nil if the store
	// lacks the object. Nil means that it never does.
	Outlives func(known, restored *Object) bool
	// HoldDeleted is how long an object that had been deleted stays deleted although the restored store has it.
	HoldDeleted time.Duration
	// SameStart reports whether a deleted object and a restored one of the same name may be the same. Nil means that
	// they may.
	SameStart func(deleted, restored *Object) bool
	// Own says that the nodes write these objects themselves. [Change.Lost] and [Change.Revived] are set, and nothing
	// is kept.
	Own bool
}

func (p *RestorePolicy) outlives(known, restored *Object) bool {
	return !p.Own && p.Outlives != nil && p.Outlives(known, restored)
}

// revives reports whether a restored object is one that had been deleted.
func (p *RestorePolicy) revives(deleted, restored *Object) bool {
	return restored.Era > deleted.Era && restored.Created == deleted.Created && restored.Revision <= deleted.Revision &&
		(p.SameStart == nil || p.SameStart(deleted, restored))
}

// heldObject is an object of a copy.
type heldObject struct {
	Object
	// since is when this state of the object became known.
	since sageclock.Instant
	// keepUntil is set while the object is kept although the restored store lacks it.
	keepUntil sageclock.Instant
}

// recent reports whether a restored store may have lost this state of the object.
func (o *heldObject) recent(now sageclock.Instant) bool {
	return o.keepUntil != 0 || now.Sub(o.since) <= maxRestoreLoss
}

// hiddenObject is an object that the restored store has although it had been deleted.
type hiddenObject struct {
	object Object
	until  sageclock.Instant
}

// sameState reports whether two objects of different eras are the same.
func sameState(a, b *Object) bool {
	return a.Revision == b.Revision && a.Created == b.Created && bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status)
}

// isRewritten reports whether an object has the same content as one of an earlier era.
func isRewritten(known, o *Object) bool { return known.Era < o.Era && bytes.Equal(known.Spec, o.Spec) }

// replace replaces the content by a complete listing, of the store or of a peer that kept less over the last restore. What
// is known from earlier eras stays in force as the policy says.
func (c *content) replace(d Delta, now sageclock.Instant) []Change {
	listed := make(map[string]*Object, len(d.Changes))
	for i := range d.Changes {
		if ch := &d.Changes[i]; !ch.Deleted && !ch.Missing {
			listed[ch.Object.Name] = &ch.Object
		}
	}
	var applied []Change
	for name, known := range c.objects {
		o := listed[name]
		switch {
		case known.Era == d.Era:
			if o == nil {
				applied = append(applied, c.remove(known, now, false))
			}
		case o != nil && c.era < d.Era && sameState(&known.Object, o):
			known.Object, known.keepUntil = *o, 0
			c.objects[name] = known
			delete(listed, name)
		case known.recent(now) && c.policy.outlives(&known.Object, o):
			if o == nil {
				c.keep(known, now)
			}
			delete(listed, name)
		case o == nil:
			applied = append(applied, c.remove(known, now, known.recent(now)))
		}
	}
	for name := range c.hidden {
		if listed[name] == nil {
			delete(c.hidden, name)
		}
	}
	for _, o := range listed {
		if ch, ok := c.putListed(o, now); ok {
			applied = append(applied, ch)
		}
	}
	return applied
}

// putListed applies an object of a complete listing unless it had been deleted before a restore.
func (c *content) putListed(o *Object, now sageclock.Instant) (Change, bool) {
	deleted, ok := c.deleted[o.Name]
	if !ok || !c.policy.revives(&deleted.Object, o) {
		return c.put(o, now)
	}
	if !c.policy.Own && c.policy.HoldDeleted > 0 {
		if _, ok := c.hidden[o.Name]; !ok {
			c.hide(o, now.Add(c.policy.HoldDeleted))
		}
		return Change{}, false
	}
	ch, ok := c.put(o, now)
	ch.Revived = true
	return ch, ok
}

// adopt replaces the content by that of a peer which kept at least as much over the last restore. What this copy alone kept
// over earlier ones stays in force as the policy says.
func (c *content) adopt(d Delta, now sageclock.Instant) []Change {
	theirs := make(map[string]bool, len(d.Changes))
	clear(c.hidden)
	var applied []Change
	for i := range d.Changes {
		o := &d.Changes[i].Object
		switch {
		case d.Changes[i].Deleted:
			c.rememberDeletion(o, now)
			continue
		case d.Changes[i].Hidden:
			c.hide(o, now.Add(c.policy.HoldDeleted))
			continue
		}
		theirs[o.Name] = true
		known, ok := c.objects[o.Name]
		switch {
		case ok && sameState(&known.Object, o):
			known.Era = o.Era
		case ok && c.keptAlone(&known, o, &d, now):
			continue
		default:
			deleted, wasDeleted := c.deleted[o.Name]
			applied = append(applied, Change{
				Object: *o, Rewritten: ok && isRewritten(&known.Object, o), Revived: !ok && wasDeleted && c.policy.revives(&deleted.Object, o),
			})
			known.Object, known.since = *o, now
		}
		if d.Changes[i].Missing {
			c.keep(known, now)
			continue
		}
		known.keepUntil = 0
		c.objects[o.Name] = known
	}
	for name, known := range c.objects {
		switch {
		case theirs[name]:
		case c.keptAlone(&known, nil, &d, now):
			c.keep(known, now)
		default:
			applied = append(applied, c.remove(known, now, known.Era < d.Era && known.recent(now)))
		}
	}
	return applied
}

// keep keeps an object that the restored store lacks.
func (c *content) keep(o heldObject, now sageclock.Instant) {
	if o.keepUntil == 0 {
		o.keepUntil = now.Add(maxKeepTime)
	}
	c.objects[o.Name] = o
	c.expireBy(o.keepUntil)
}

// expireBy makes expire look for something that ends at an instant.
func (c *content) expireBy(at sageclock.Instant) {
	if c.nextExpiry == 0 || at < c.nextExpiry {
		c.nextExpiry = at
	}
}

// keptAlone reports whether a known object stays in force against the object o of a peer's copy, nil if it has none. The
// peer knows better what was confirmed in the era of its base, and what has been deleted.
func (c *content) keptAlone(known *heldObject, o *Object, d *Delta, now sageclock.Instant) bool {
	if known.Era == d.Base.Era || known.Era == d.Era || !known.recent(now) {
		return false
	}
	if deleted, ok := c.deleted[known.Name]; ok && !deleted.Point().Before(known.Point()) {
		return false
	}
	return c.policy.outlives(&known.Object, o)
}

// expire ends what is kept or hidden after a restore for too long, and returns the changes.
func (c *content) expire(now sageclock.Instant) []Change {
	if c.nextExpiry == 0 || now < c.nextExpiry {
		return nil
	}
	c.nextExpiry = 0
	var applied []Change
	for _, known := range c.objects {
		switch {
		case known.keepUntil == 0:
		case now >= known.keepUntil:
			applied = append(applied, c.remove(known, now, false))
		default:
			c.expireBy(known.keepUntil)
		}
	}
	for name, h := range c.hidden {
		if now < h.until {
			c.expireBy(h.until)
			continue
		}
		delete(c.hidden, name)
		delete(c.deleted, name)
		if ch, ok := c.put(&h.object, now); ok {
			applied = append(applied, ch)
		}
	}
	return applied
}

func (c *content) hide(o *Object, until sageclock.Instant) {
	if c.hidden == nil {
		c.hidden = make(map[string]hiddenObject)
	}
	c.hidden[o.Name] = hiddenObject{*o, until}
	c.expireBy(until)
}

// rememberDeletion records the last state of a deleted object.
func (c *content) rememberDeletion(o *Object, now sageclock.Instant) {
	if c.deleted == nil {
		c.deleted = make(map[string]heldObject)
	}
	if old, ok := c.deleted[o.Name]; ok && !old.Point().Before(o.Point()) {
		return
	}
	if len(c.deleted) >= maxDeletions {
		c.forgetDeletions(now)
	}
	c.deleted[o.Name] = heldObject{Object: *o, since: now}
}

// forgetDeletions drops the deletions that no restore can undo any more, or the oldest one if there is none.
func (c *content) forgetDeletions(now sageclock.Instant) {
	oldest, dropped := "", false
	for name, o := range c.deleted {
		if !o.recent(now) {
			delete(c.deleted, name)
			dropped = true
		} else if oldest == "" || o.since < c.deleted[oldest].since {
			oldest = name
		}
	}
	if !dropped {
		delete(c.deleted, oldest)
	}
}
