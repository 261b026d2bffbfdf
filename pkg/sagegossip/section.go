package sagegossip

// Section is one kind of state that nodes bring each other up to date on. Its methods are safe for
// concurrent use and do no I/O.
type Section interface {
	// Name is unique among the sections of a node and the same on every node.
	Name() string
	// Digest says briefly what this node holds.
	Digest() []byte
	// Delta returns what a peer with that digest lacks, at most budget bytes of it (the most useful
	// first), or nil. A digest that can't be read counts as an empty one.
	Delta(digest []byte, budget int) []byte
	// Merge takes a peer's delta. Merging is idempotent and in any order.
	Merge(delta []byte) error
}
