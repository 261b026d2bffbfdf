package sagemember

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sagegossip"
)

// Table is one node's view of the nodes. Self, Limits and Now are set before [Table.Start]; the
// methods are safe for concurrent use.
type Table struct {
	// Self describes this node; Start gives it a fresh incarnation.
	Self   Node
	Limits Limits
	// Now is the local clock; nil means [time.Now].
	Now func() time.Time
	// Random gives incarnations; nil means the runtime's own source. A measurement sets it to repeat a
	// run.
	Random func() uint64

	mu        sync.Mutex
	nodes     map[uint64]*entry
	shorts    map[uint32]*entry
	far       int
	changes   uint64
	digests   uint64
	lastTick  time.Time
	freshBy   time.Time
	met       map[uint64]bool
	questions map[uint64]time.Time
	calling   map[string]contact
	hints     map[string]bool
	evictions int64
	pauses    int64
}

// entry is a node with what this table remembers about it.
type entry struct {
	Node
	// since is when it came into its state.
	since time.Time
	// changed orders records by their last change; sent orders heartbeats by their last sending.
	changed uint64
	sent    uint64
	// sentCounter is the heartbeat that was last sent, and times how often.
	sentCounter uint64
	times       int
	// told are the nodes that called this one while it was suspect; asked those that were asked
	// about it.
	told  map[uint64]bool
	asked map[uint64]bool
	damp  damper
}

// Start checks Self and gives it a fresh incarnation.
func (t *Table) Start() error {
	if err := t.Self.Check(); err != nil {
		return fmt.Errorf("start member table: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = make(map[uint64]*entry)
	t.shorts = make(map[uint32]*entry)
	t.questions = make(map[uint64]time.Time)
	t.calling = make(map[string]contact)
	t.hints = make(map[string]bool)
	t.met = make(map[uint64]bool)
	t.Self.Incarnation = t.freshIncarnation()
	t.Self.State = Alive
	t.lastTick = t.now()
	t.freshBy = t.lastTick
	return nil
}

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

// Tick advances the own heartbeat and judges the others. It is called once a heartbeat period.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.wake()
	t.lastTick = now
	t.Self.Counter++
	t.Self.LastContact = now
	t.far = 0
	for _, e := range t.nodes {
		if e.Phase != Gone && e.DataCentre != t.Self.DataCentre {
			t.far++
		}
	}
	for id, e := range t.nodes {
		if e.there() {
			t.judge(e, now)
		} else if now.Sub(e.since) > t.Limits.ForgetAfter {
			t.forget(id)
		}
	}
	for id, at := range t.questions {
		if now.Sub(at) > t.Limits.DeadAfter {
			delete(t.questions, id)
		}
	}
}

// Advance moves the own phase forward; a lower phase than the present one changes nothing.
func (t *Table) AdvancePhase(p Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Self.Phase = max(t.Self.Phase, p)
}

// Report sets what the own heartbeat tells of this node.
func (t *Table) Report(revision uint64, load uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Self.Revision = max(t.Self.Revision, revision)
	t.Self.Load = load
}

// Hint names addresses where nodes may be, from the settings or from the VM list. A hint only makes
// this node try the address; it neither adds nor removes anybody.
func (t *Table) AddSeeds(addresses ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range addresses {
		if len(t.hints) < MaxNodes && a != t.Self.Address {
			t.hints[a] = true
		}
	}
}

// Me returns this node.
func (t *Table) LocalNode() Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Self
}

// All returns every node that the table remembers, this one included, ordered by address.
func (t *Table) All() []Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := make([]Node, 0, len(t.nodes)+1)
	nodes = append(nodes, t.Self)
	for _, e := range t.nodes {
		nodes = append(nodes, e.Node)
	}
	sort.Slice(nodes, func(i, j int) bool {
		if nodes[i].Address != nodes[j].Address {
			return nodes[i].Address < nodes[j].Address
		}
		return nodes[i].Incarnation < nodes[j].Incarnation
	})
	return nodes
}

// Node returns what the table knows of an incarnation other than this node's own.
func (t *Table) Node(incarnation uint64) (Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.nodes[incarnation]
	if e == nil {
		return Node{}, false
	}
	return e.Node, true
}

// Live returns the nodes that count as live, suspects and this one included. Those that are leaving
// are among them: they still serve.
func (t *Table) Live() []Node {
	all := t.All()
	live := all[:0]
	for _, n := range all {
		if (n.State == Alive || n.State == Suspect) && n.Phase != Gone {
			live = append(live, n)
		}
	}
	return live
}

// Peers returns whom an exchange can go to: every node that may be there, except this one.
func (t *Table) Peers() []sagegossip.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]sagegossip.Peer, 0, len(t.nodes))
	for _, e := range t.nodes {
		if e.there() && e.Address != t.Self.Address {
			peers = append(peers, sagegossip.Peer{Address: e.Address, DataCentre: e.DataCentre})
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Address < peers[j].Address })
	return peers
}

// Urgent returns addresses to reach for a reason: suspects, own and of those who asked, and
// addresses at which two incarnations are known. When there are none it returns addresses where
// somebody may be again: hints that nobody known answers to, and the dead.
func (t *Table) Urgent() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	urgent := make(map[string]bool)
	maybe := make(map[string]bool)
	taken := make(map[string]*entry)
	for h := range t.hints {
		maybe[h] = true
	}
	for id, e := range t.nodes {
		if e.Phase == Gone {
			continue
		}
		if e.State == Dead {
			maybe[e.Address] = true
			continue
		}
		if _, asked := t.questions[id]; asked || e.State == Suspect {
			urgent[e.Address] = true
		}
		if taken[e.Address] != nil && e.DataCentre == t.Self.DataCentre {
			urgent[e.Address] = true
		}
		taken[e.Address] = e
	}
	if len(urgent) > 0 {
		return t.others(urgent, nil)
	}
	return t.others(maybe, taken)
}

// others returns the addresses in order, without the own and the taken ones.
func (t *Table) others(addresses map[string]bool, taken map[string]*entry) []string {
	list := make([]string, 0, len(addresses))
	for a := range addresses {
		if a != t.Self.Address && taken[a] == nil {
			list = append(list, a)
		}
	}
	sort.Strings(list)
	return list
}

// Fresh says whether the view may be acted on: always, except after a pause until this node has met
// others again. A node that can reach nobody goes on with what it has after a while.
func (t *Table) Fresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.wake()
	return !now.Before(t.freshBy)
}

// Evictions returns how often this table took a node for dead.
func (t *Table) Evictions() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evictions
}

// Pauses returns how often this process found itself paused.
func (t *Table) Pauses() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses
}
