package sagefollow

import "cmp"

// Point is a point in the store's history. Only revisions of the same era can be compared: a store that was restored from
// a copy gives out the revisions above that of the copy again.
type Point struct {
	// Era counts how often the store has been restored.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// Compare returns -1, 0 or 1 if p is before, at or after o.
func (p Point) Compare(o Point) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is before o.
func (p Point) Before(o Point) bool { return p.Compare(o) < 0 }
