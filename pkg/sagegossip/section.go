package sagegossip

// Section is one kind of state that is synchronized between nodes. Its methods are safe for concurrent use and do
// no I/O.
type Section interface {
	// Name is unique among the sections of a node and the same on every node.
	Name() string
	// Digest returns a summary of this node's state.
	Digest() []byte
	// Delta returns the state that a peer with that digest lacks, at most budget bytes with the most useful part
	// first, or nil. A digest that can't be decoded counts as empty.
	Delta(digest []byte, budget int) []byte
	// Merge merges a peer's delta. It is idempotent, and the order of deltas doesn't matter.
	Merge(delta []byte) error
}
