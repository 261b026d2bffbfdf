package sagefollow

// compare compares the copy with the position of a peer's copy. It reports whether the copy is complete up to the position.
// If not, it returns the point from which it lacks the peer's changes, or nil if the peer has nothing for it.
func (c *content) compare(p *Position) (since *Point, complete bool) {
	own := c.point()
	switch {
	case !c.listed, p.Era > c.era:
		return &Point{}, false
	case p.Era < c.era: // from before a restore
		return nil, false
	case c.base.Before(p.Base):
		if p.AsOf < c.asOf {
			return nil, false
		}
		return &Point{}, false
	case c.asOf < p.ContentRevision:
		return &own, false
	}
	return nil, true
}
