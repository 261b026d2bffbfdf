package sagemeasure

import (
	"context"
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagegossip"
	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagesync"
	"sagestand.example/sagestand/pkg/sageticket"
)

// Periods of a watcher, in rounds of one second, as in the daemon's service "config".
const (
	confirmRounds = 2
	watchRounds   = 15
)

// watchersPerDataCentre is the number of nodes per data centre that watch the store.
const watchersPerDataCentre = 2

// configFleet is a MemberFleet whose nodes also exchange configuration, with the store behind them.
type configFleet struct {
	*MemberFleet
	nodes    []*configNode
	store    sageobject.Memory
	acceptor sageticket.Acceptor
	// useTables lets the nodes find each other through their member tables. Otherwise each node knows
	// all others from the start, which runs much faster.
	useTables bool
	// allWatch lets every node watch the store, as a baseline.
	allWatch bool
	// reachesStore reports whether a node can reach the store.
	reachesStore func(n *configNode) bool
	round        int
	lastTicket   uint64
	// storeCalls counts the calls to the store, including waiting watches.
	storeCalls int64
}

// configNode is one node with its copy of the configuration.
type configNode struct {
	*MemberNode
	index        int
	replica      *sagesync.Replica
	sectionBytes int64 // bytes of the configuration section in its exchanges
	watcher      bool  // as of the last check, see roleRounds
	peers        []sagegossip.Peer
}

// countingSection counts the bytes of a section.
type countingSection struct {
	sagegossip.Section
	node *configNode
}

// Digest implements [sagegossip.Section].
func (c *countingSection) Digest() []byte {
	d := c.Section.Digest()
	c.node.sectionBytes += int64(len(d))
	return d
}

// Delta implements [sagegossip.Section].
func (c *countingSection) Delta(digest []byte, budget int) []byte {
	d := c.Section.Delta(digest, budget)
	c.node.sectionBytes += int64(len(d))
	return d
}

// roleRounds is the interval at which a node checks whether it is a watcher.
const roleRounds = 5

// convergeRounds is the number of rounds in which the nodes of a new fleet find each other.
const convergeRounds = 60

// newConfigFleet returns a fleet of n nodes whose nodes all hold the first ticket.
func newConfigFleet(seed uint64, n, dataCentres int, tables bool) (*configFleet, error) {
	f := &configFleet{MemberFleet: NewMemberFleet(seed), useTables: tables, reachesStore: func(*configNode) bool { return true }}
	f.acceptor = sageticket.Acceptor{Store: &f.store, Now: func() time.Time { return f.Now }}
	if err := f.AddNodes(n, dataCentres, sagemember.DefaultLimits()); err != nil {
		return nil, fmt.Errorf("create config fleet: %w", err)
	}
	for i, m := range f.Nodes {
		c := &configNode{MemberNode: m, index: i, replica: &sagesync.Replica{Now: func() time.Time { return f.Now }}}
		section := &countingSection{Section: c.replica, node: c}
		if tables {
			m.Engine.Sections = append(m.Engine.Sections, section)
		} else {
			m.Engine.Sections = []sagegossip.Section{section}
			c.peers = f.otherPeers(m)
		}
		f.nodes = append(f.nodes, c)
	}
	if err := f.submitTicket(f.nodes[0], "dc0", true); err != nil {
		return nil, err
	}
	for range convergeRounds {
		f.step()
	}
	if behind := f.nodesBehind(1); behind > 0 {
		return nil, fmt.Errorf("%d of %d nodes lack the first ticket after %d rounds: %w", behind, n, convergeRounds, ErrIncomplete)
	}
	return f, nil
}

// submitTicket submits a change of a data centre through a node that reaches the store. That node
// applies it immediately; the watchers read it in the next step.
func (f *configFleet) submitTicket(n *configNode, dataCentre string, inService bool) error {
	f.lastTicket++
	t := &sageconfig.Ticket{Number: f.lastTicket, Author: "operator", Reason: "planned exit", Changes: []sageconfig.Change{{
		Key:        sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: dataCentre},
		DataCentre: &sageconfig.DataCentre{InService: inService},
	}}}
	if _, err := f.acceptor.Submit(context.Background(), t); err != nil {
		return fmt.Errorf("submit ticket: %w", err)
	}
	return f.readStore(n)
}

// readStore updates a node's replica from the store.
func (f *configFleet) readStore(n *configNode) error {
	h, _, err := sageticket.ReadHead(context.Background(), &f.store)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	if n.replica.ApplyHead(h, f.Now) {
		return nil
	}
	l, err := sageticket.Load(context.Background(), &f.store)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	n.replica.ApplyLoaded(l, f.Now)
	return nil
}

// isWatching reports whether n watches the store, by its own view of which nodes are live.
func (f *configFleet) isWatching(n *configNode) bool {
	if f.allWatch || (f.round+n.index)%roleRounds != 0 {
		return f.allWatch || n.watcher
	}
	var live []string
	if f.useTables {
		for _, node := range n.Table.Live() {
			if node.DataCentre == n.Table.Self.DataCentre {
				live = append(live, node.Address)
			}
		}
	}
	for _, p := range n.peers {
		if p.DataCentre == n.Table.Self.DataCentre {
			live = append(live, p.Address)
		}
	}
	n.watcher = sagesync.IsWatcher(n.Table.Self.Address, live, watchersPerDataCentre)
	return n.watcher
}

// step advances the fleet by one second: watchers that reach the store read it, then the nodes
// exchange.
func (f *configFleet) step() {
	f.round++
	for _, n := range f.nodes {
		if !f.isWatching(n) {
			f.readIfStale(n)
			continue
		}
		if (f.round+n.index)%confirmRounds == 0 {
			f.storeCalls++
		}
		if (f.round+n.index)%watchRounds == 0 {
			f.storeCalls++
		}
		if !f.reachesStore(n) {
			continue
		}
		before := n.replica.Current().Revision
		// This store doesn't fail; a failed read would show up as a node that stays behind.
		if (f.round+n.index)%confirmRounds == 0 || before < f.lastTicket {
			_ = f.readStore(n)
		}
		if n.replica.Current().Revision > before {
			f.storeCalls++ // the watch returned and is renewed
		}
	}
	if f.useTables {
		f.RunRound()
		return
	}
	f.Now = f.Now.Add(time.Second)
	for _, i := range f.Rand.Perm(len(f.nodes)) {
		n := f.nodes[i]
		if addr, ok := n.chooser.Next(n.peers, nil); ok {
			// Failed exchanges are part of the simulation.
			_ = n.Engine.Exchange(context.Background(), n.MemberNode, addr)
		}
	}
}

// readIfStale lets a node that doesn't watch read the store once its evidence of freshness is old.
func (f *configFleet) readIfStale(n *configNode) {
	stale := f.Now.After(n.replica.Status().ConfirmedAt.Add(sagesync.DefaultMaxEvidenceAge * 3 / 4))
	if !stale || (f.round+n.index)%confirmRounds != 0 {
		return
	}
	f.storeCalls++
	if f.reachesStore(n) {
		// A failed read would show up as a node that stays behind.
		_ = f.readStore(n)
	}
}

// otherPeers returns all nodes but m.
func (f *configFleet) otherPeers(m *MemberNode) []sagegossip.Peer {
	var peers []sagegossip.Peer
	for _, o := range f.Nodes {
		if o != m {
			peers = append(peers, sagegossip.Peer{Address: o.Table.Self.Address, DataCentre: o.Table.Self.DataCentre})
		}
	}
	return peers
}

// nodesBehind returns the number of nodes that don't hold the revision yet.
func (f *configFleet) nodesBehind(revision uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.replica.Current().Revision < revision {
			count++
		}
	}
	return count
}

// sectionBytes returns the total bytes of the configuration section in all exchanges.
func (f *configFleet) sectionBytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sum += n.sectionBytes
	}
	return sum
}
