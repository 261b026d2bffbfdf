package sagemember

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sagegossip"
)

// Table is one node's view of the fleet's nodes. Self, Limits, Now and Random are set before
// [Table.Start]; the methods are safe for concurrent use.
type Table struct {
	// Self describes this node; Start assigns it a new incarnation.
	Self   Node
	Limits Limits
	// Now is the local clock; nil means [time.Now].
	Now func() time.Time
	// Random is the source of incarnations; nil means the global source of math/rand/v2. Measurements
	// set it to make a run repeatable.
	Random func() uint64

	mu                  sync.Mutex
	nodes               map[uint64]*entry
	byShortID           map[uint32]*entry
	remoteNodes         int
	changeCount         uint64
	digestCount         uint64
	lastTick            time.Time
	freshFrom           time.Time
	contactedSincePause map[uint64]bool
	queries             map[uint64]time.Time
	pendingCalls        map[string]pendingCall
	seeds               map[string]bool
	evictions           int64
	pauses              int64
}

// entry is a node with what this table records about it.
type entry struct {
	Node
	// since is when it entered its current state or became gone.
	since time.Time
	// changed orders records by their last change, sentDigest orders heartbeats by the digest that last
	// carried them.
	changed    uint64
	sentDigest uint64
	// sentCounter is the heartbeat that was last sent, and sentCount is how often it was sent.
	sentCounter uint64
	sentCount   int
	// queried holds the nodes that called this one while the entry was suspect, and so were asked about it;
	// checkedBy holds those that have also had the chance to report a later heartbeat.
	queried   map[uint64]bool
	checkedBy map[uint64]bool
	damp      damper
}

// Start checks Self and assigns it a new incarnation.
func (t *Table) Start() error {
	if err := t.Self.Check(); err != nil {
		return fmt.Errorf("start member table: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = make(map[uint64]*entry)
	t.byShortID = make(map[uint32]*entry)
	t.queries = make(map[uint64]time.Time)
	t.pendingCalls = make(map[string]pendingCall)
	t.seeds = make(map[string]bool)
	t.contactedSincePause = make(map[uint64]bool)
	t.Self.Incarnation = t.newIncarnation()
	t.Self.State = Alive
	t.lastTick = t.now()
	t.freshFrom = t.lastTick
	return nil
}

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

// Tick advances the local heartbeat and updates the states of the other nodes. It is called once per
// heartbeat period.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.nowDetectingPause()
	t.lastTick = now
	t.Self.Counter++
	t.Self.LastContact = now
	t.remoteNodes = 0
	for _, e := range t.nodes {
		if e.Phase != Gone && e.DataCentre != t.Self.DataCentre {
			t.remoteNodes++
		}
	}
	for id, e := range t.nodes {
		if e.present() {
			t.updateState(e, now)
		} else if now.Sub(e.since) > t.Limits.ForgetAfter {
			t.remove(id)
		}
	}
	for id, at := range t.queries {
		if now.Sub(at) > t.Limits.DeadAfter {
			delete(t.queries, id)
		}
	}
}

// AdvancePhase moves the local phase forward; a phase below the current one is ignored.
func (t *Table) AdvancePhase(p Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Self.Phase = max(t.Self.Phase, p)
}

// Report sets the configuration revision and the load that the local heartbeat carries. A lower
// revision than the current one is ignored.
func (t *Table) Report(revision uint64, load uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Self.Revision = max(t.Self.Revision, revision)
	t.Self.Load = load
}

// AddSeeds adds addresses at which nodes may be, from the settings or the VM list. A seed only makes
// this node try the address; it neither adds nor removes a node.
func (t *Table) AddSeeds(addresses ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range addresses {
		if len(t.seeds) < MaxNodes && a != t.Self.Address {
			t.seeds[a] = true
		}
	}
}

// LocalNode returns this node.
func (t *Table) LocalNode() Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Self
}

// All returns every node in the table and this one, ordered by address.
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

// Node returns the node of an incarnation other than the local one.
func (t *Table) Node(incarnation uint64) (Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.nodes[incarnation]
	if e == nil {
		return Node{}, false
	}
	return e.Node, true
}

// Live returns the nodes that count as live, including suspects and this node. Nodes that are leaving
// are among them, because they still serve.
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

// Peers returns the possible targets of an exchange: every node that may be running, except this one.
func (t *Table) Peers() []sagegossip.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]sagegossip.Peer, 0, len(t.nodes))
	for _, e := range t.nodes {
		if e.present() && e.Address != t.Self.Address {
			peers = append(peers, sagegossip.Peer{Address: e.Address, DataCentre: e.DataCentre})
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Address < peers[j].Address })
	return peers
}

// Urgent returns the addresses to contact first: those of suspects, of nodes that peers asked about,
// and those in the local data centre at which two incarnations are known. If there are none, it returns
// addresses where a node may be running again: those of dead nodes and unused seeds.
func (t *Table) Urgent() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	urgent := make(map[string]bool)
	retry := make(map[string]bool)
	occupied := make(map[string]*entry)
	for h := range t.seeds {
		retry[h] = true
	}
	for id, e := range t.nodes {
		if e.Phase == Gone {
			continue
		}
		if e.State == Dead {
			retry[e.Address] = true
			continue
		}
		if _, queried := t.queries[id]; queried || e.State == Suspect {
			urgent[e.Address] = true
		}
		if occupied[e.Address] != nil && e.DataCentre == t.Self.DataCentre {
			urgent[e.Address] = true
		}
		occupied[e.Address] = e
	}
	if len(urgent) > 0 {
		return t.otherAddresses(urgent, nil)
	}
	return t.otherAddresses(retry, occupied)
}

// otherAddresses returns the addresses in order, without the local one and those in occupied.
func (t *Table) otherAddresses(addresses map[string]bool, occupied map[string]*entry) []string {
	list := make([]string, 0, len(addresses))
	for a := range addresses {
		if a != t.Self.Address && occupied[a] == nil {
			list = append(list, a)
		}
	}
	sort.Strings(list)
	return list
}

// Fresh reports whether the view may be acted on. It is false only after a pause, until this node has
// been in contact with enough others or, if it can reach none, until DeadAfter has passed.
func (t *Table) Fresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.nowDetectingPause()
	return !now.Before(t.freshFrom)
}

// Evictions returns how often this table declared a node dead after it had been alive.
func (t *Table) Evictions() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evictions
}

// Pauses returns how often this process detected that it had been paused.
func (t *Table) Pauses() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses
}
