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

// Periods of a watcher, as the service "config" has them, in rounds of a second.
const (
	confirmRounds = 2
	watchRounds   = 15
)

// watchersPerDataCentre is the number of nodes of a data centre that watch the store.
const watchersPerDataCentre = 2

// configFleet is a member fleet whose nodes also exchange configuration, and the store behind them.
type configFleet struct {
	*MemberFleet
	nodes    []*configNode
	store    sageobject.Memory
	acceptor sageticket.Acceptor
	// tables lets the nodes find each other through their member tables; else each knows all others
	// from the start, which is far quicker to run.
	useTables bool
	// allVariants lets every node watch the store: the baseline.
	allWatch bool
	// reaches says whether a node reaches the store.
	reachesStore func(n *configNode) bool
	round        int
	lastTicket   uint64
	// calls counts the calls to the store, waiting watches among them.
	storeCalls int64
}

// configNode is one node with its copy of the configuration.
type configNode struct {
	*MemberNode
	index        int
	replica      *sagesync.Replica
	sectionBytes int64 // what its part of the exchanges carried
	watcher      bool  // as of its last look at who is live
	peers        []sagegossip.Peer
}

// countingSection counts the bytes of a section.
type countingSection struct {
	sagegossip.Section
	node *configNode
}

func (c *countingSection) Digest() []byte {
	d := c.Section.Digest()
	c.node.sectionBytes += int64(len(d))
	return d
}

func (c *countingSection) Delta(digest []byte, budget int) []byte {
	d := c.Section.Delta(digest, budget)
	c.node.sectionBytes += int64(len(d))
	return d
}

// roleRounds is how often a node looks at who is live.
const roleRounds = 5

// convergeRounds lets the nodes of a new fleet meet each other.
const convergeRounds = 60

// newConfigFleet returns a fleet of n nodes in so many data centres that have met each other.
func newConfigFleet(seed uint64, n, dataCentres int, tables bool) (*configFleet, error) {
	f := &configFleet{MemberFleet: NewMemberFleet(seed), useTables: tables, reachesStore: func(*configNode) bool { return true }}
	f.acceptor = sageticket.Acceptor{Store: &f.store, Now: func() time.Time { return f.Now }}
	if err := f.AddNodes(n, dataCentres, sagemember.DefaultLimits()); err != nil {
		return nil, fmt.Errorf("config fleet: %w", err)
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

// accept submits a change of a data centre through a node that reaches the store. The acceptor has
// it at once; the watchers have it with the next step.
func (f *configFleet) submitTicket(n *configNode, dataCentre string, inService bool) error {
	f.lastTicket++
	t := &sageconfig.Ticket{Number: f.lastTicket, Author: "operator", Reason: "planned exit", Changes: []sageconfig.Change{{
		Key:        sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: dataCentre},
		DataCentre: &sageconfig.DataCentre{InService: inService},
	}}}
	if _, err := f.acceptor.Submit(context.Background(), t); err != nil {
		return fmt.Errorf("accept: %w", err)
	}
	return f.readStore(n)
}

// read brings a node up to date from the store.
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

// watches says whether n watches the store, by its own view of who is live.
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

// step lets a second pass: watchers that reach the store learn from it, then the nodes exchange.
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
		// The store of the fleet never fails; a failed read would show as a node that stays behind.
		if (f.round+n.index)%confirmRounds == 0 || before < f.lastTicket {
			_ = f.readStore(n)
		}
		if n.replica.Current().Revision > before {
			f.storeCalls++ // the watch returned and is set again
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
			// A failed exchange is what the fake link is for.
			_ = n.Engine.Exchange(context.Background(), n.MemberNode, addr)
		}
	}
}

// feedStarved lets a node that doesn't watch ask the store when its evidence has grown old.
func (f *configFleet) readIfStale(n *configNode) {
	stale := f.Now.After(n.replica.Status().ConfirmedAt.Add(sagesync.DefaultMaxEvidenceAge * 3 / 4))
	if !stale || (f.round+n.index)%confirmRounds != 0 {
		return
	}
	f.storeCalls++
	if f.reachesStore(n) {
		// A failed read would show as a node that stays behind.
		_ = f.readStore(n)
	}
}

// others lists all nodes but one.
func (f *configFleet) otherPeers(m *MemberNode) []sagegossip.Peer {
	var peers []sagegossip.Peer
	for _, o := range f.Nodes {
		if o != m {
			peers = append(peers, sagegossip.Peer{Address: o.Table.Self.Address, DataCentre: o.Table.Self.DataCentre})
		}
	}
	return peers
}

// behind returns how many nodes don't hold a revision yet.
func (f *configFleet) nodesBehind(revision uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.replica.Current().Revision < revision {
			count++
		}
	}
	return count
}

// bytesOut sums what the configuration's part of the exchanges carried.
func (f *configFleet) sectionBytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sum += n.sectionBytes
	}
	return sum
}
