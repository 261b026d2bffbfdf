// Package sagegossip is the anti-entropy exchange between nodes: each node, a few times a second,
// meets a few peers, and the two bring each other up to date on every registered [Section].
//
// What is exchanged belongs to the sections: membership heartbeats, configuration tickets, load
// estimates. The exchange only moves their digests and deltas within a byte budget, so that what a
// node spends doesn't grow with the number of nodes.
//
// Reference: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
// PODC 1987, section 1.3 (anti-entropy, push-pull).
package sagegossip
