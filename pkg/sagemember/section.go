package sagemember

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sagestand.example/sagestand/internal/sagerpc/member"
	"sagestand.example/sagestand/pkg/sagegossip"
)

// SectionName is the name of the table among the sections of an exchange.
const SectionName = "member"

// Bounds on the parts of digests and deltas.
const (
	// buckets is the number of checksums. One changed record causes the records of one bucket to be
	// sent.
	buckets = 32
	// maxSuspects bounds the suspects that one digest asks about.
	maxSuspects = 16
	// maxDigestEntries bounds the heartbeats in a digest received from a peer.
	maxDigestEntries = 1024
	// maxRecordBytes bounds the records in one delta, so that nodes whose views differ for a while
	// don't send each other the records of the whole fleet at each exchange.
	maxRecordBytes = 2 << 10
)

var _ sagegossip.Observer = (*Table)(nil)

// Name implements [sagegossip.Section].
func (t *Table) Name() string { return SectionName }

// Digest implements [sagegossip.Section]. Where a window can't hold all heartbeats, those that were
// sent least often come first.
func (t *Table) Digest() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nowDetectingPause()
	t.digestCount++
	sums := t.checksums()
	d := &member.Digest{Sender: t.Self.Incarnation, Checksums: sums[:], MaxRevision: t.maxRevision()}
	addHeartbeat(d, &t.Self)
	for _, e := range t.window() {
		e.recordSent(t.digestCount)
		addHeartbeat(d, &e.Node)
	}
	for _, e := range t.suspects() {
		d.Suspects = append(d.Suspects, shortID(e.Incarnation))
	}
	return marshal(d)
}

// suspects returns the nodes to ask peers about, the longest suspected first.
func (t *Table) suspects() []*entry {
	var list []*entry
	for _, e := range t.nodes {
		if e.State == Suspect && e.Phase != Gone {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list[:min(maxSuspects, len(list))]
}

func addHeartbeat(d *member.Digest, n *Node) {
	d.Incarnations = append(d.Incarnations, shortID(n.Incarnation))
	d.Counters = append(d.Counters, n.Counter)
	d.Behind = append(d.Behind, d.MaxRevision-n.Revision)
	d.Loads = append(d.Loads, n.Load)
}

// marshal never fails on the messages of this package: their strings are checked when they are
// received.
func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return b
}

func (t *Table) maxRevision() uint64 {
	r := t.Self.Revision
	for _, e := range t.nodes {
		r = max(r, e.Revision)
	}
	return r
}

// window returns the nodes whose heartbeats go into the next digest: those that peers asked about, then
// those of the local data centre, then those of others. Where a window can't hold all, the heartbeats
// that were sent least often go first. Otherwise, nodes that relay heartbeats would fill their windows
// with old ones.
func (t *Table) window() []*entry {
	var queried, local, remote []*entry
	for id, e := range t.nodes {
		if !e.present() {
			continue
		}
		if _, ok := t.queries[id]; ok {
			queried = append(queried, e)
		} else if e.DataCentre == t.Self.DataCentre {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	list := leastSent(queried, maxSuspects)
	list = append(list, leastSent(local, t.Limits.LocalWindow)...)
	return append(list, leastSent(remote, t.Limits.RemoteWindow)...)
}

func leastSent(list []*entry, n int) []*entry {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.timesSent(), b.timesSent()), cmp.Compare(a.sentDigest, b.sentDigest), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list[:n]
}

// timesSent returns how often the current heartbeat was sent.
func (e *entry) timesSent() int {
	if e.Counter != e.sentCounter {
		return 0
	}
	return e.sentCount
}

func (e *entry) recordSent(digest uint64) {
	e.sentCount = e.timesSent() + 1
	e.sentDigest, e.sentCounter = digest, e.Counter
}

// checksums returns the checksum of each bucket over the records of the nodes that are present. Dead
// nodes are left out: that a node is dead is only this table's conclusion, and tables forget dead nodes
// at different times.
func (t *Table) checksums() [buckets]uint32 {
	var sums [buckets]uint32
	add := func(n *Node) { sums[n.Incarnation%buckets] ^= checksum(n) }
	add(&t.Self)
	for _, e := range t.nodes {
		if e.present() {
			add(&e.Node)
		}
	}
	return sums
}

func checksum(n *Node) uint32 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], n.Incarnation)
	binary.LittleEndian.PutUint32(b[8:], uint32(n.Phase))
	return uint32(xxhash.Sum64(b[:]))
}

// Delta implements [sagegossip.Section]. It also merges the heartbeats in the peer's digest, so that
// they need no message of their own.
func (t *Table) Delta(digest []byte, budget int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.nowDetectingPause()
	d, err := readDigest(digest)
	if err != nil {
		d = &member.Digest{}
	}
	t.mergeDigest(d, now)
	t.recordCaller(d.GetSender())
	for _, id := range d.GetSuspects() {
		if e := t.entryByShortID(id); e != nil {
			t.queries[e.Incarnation] = now
		}
	}
	return marshal(t.records(d.GetChecksums(), min(budget, maxRecordBytes)))
}

func readDigest(b []byte) (*member.Digest, error) {
	d := new(member.Digest)
	if err := proto.Unmarshal(b, d); err != nil {
		return nil, fmt.Errorf("read digest: %v: %w", err, ErrBadDigest)
	}
	n := len(d.GetIncarnations())
	if n > maxDigestEntries || len(d.GetCounters()) != n || len(d.GetBehind()) != n || len(d.GetLoads()) != n {
		return nil, fmt.Errorf("digest columns differ in length or are too long: %w", ErrBadDigest)
	}
	if len(d.GetChecksums()) != buckets || len(d.GetSuspects()) > maxSuspects {
		return nil, fmt.Errorf("digest has a wrong number of checksums (%d) or too many suspects: %w", len(d.GetChecksums()), ErrBadDigest)
	}
	for _, b := range d.GetBehind() {
		if b > d.GetMaxRevision() {
			return nil, fmt.Errorf("digest has a negative revision: %w", ErrBadDigest)
		}
	}
	return d, nil
}

func (t *Table) mergeDigest(d *member.Digest, now time.Time) {
	for i, id := range d.GetIncarnations() {
		revision := d.GetMaxRevision() - d.GetBehind()[i]
		if id == shortID(t.Self.Incarnation) {
			t.mergeOwnCounter(d.GetCounters()[i])
		} else if e := t.entryByShortID(id); e != nil {
			t.mergeHeartbeat(e, d.GetCounters()[i], revision, d.GetLoads()[i], now)
		}
	}
}

// records returns the records of the buckets whose checksums differ, most recently changed first.
func (t *Table) records(sums []uint32, budget int) *member.Delta {
	own := t.checksums()
	differs := func(id uint64) bool {
		b := id % buckets
		return len(sums) != buckets || sums[b] != own[b]
	}
	var list []*entry
	for id, e := range t.nodes {
		if differs(id) && (e.State != Dead || e.Phase == Gone) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].changed != list[j].changed {
			return list[i].changed > list[j].changed
		}
		return list[i].Incarnation < list[j].Incarnation
	})
	d := new(member.Delta)
	if differs(t.Self.Incarnation) {
		budget = addRecord(d, &t.Self, budget)
	}
	for _, e := range list {
		if budget <= 0 {
			break
		}
		budget = addRecord(d, &e.Node, budget)
	}
	return d
}

// addRecord appends n's record if it fits. It returns the remaining budget, or 0 if the record didn't
// fit.
func addRecord(d *member.Delta, n *Node, budget int) int {
	r := &member.Record{
		Incarnation: n.Incarnation,
		Name:        n.Name,
		Address:     n.Address,
		Entry:       n.Entry,
		DataCentre:  n.DataCentre,
		Phase:       uint32(n.Phase),
		Counter:     n.Counter,
		Revision:    n.Revision,
	}
	const recordOverhead = 3 // tag and length of a record in its delta
	size := proto.Size(r) + recordOverhead
	if size > budget {
		return 0
	}
	d.Records = append(d.Records, r)
	return budget - size
}

// Merge implements [sagegossip.Section]. Malformed records are skipped; the first error is returned.
func (t *Table) Merge(delta []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.nowDetectingPause()
	d := new(member.Delta)
	if err := proto.Unmarshal(delta, d); err != nil {
		return fmt.Errorf("read delta: %v: %w", err, ErrBadDelta)
	}
	var first error
	for _, r := range d.GetRecords() {
		if err := t.mergeRecord(r, now); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (t *Table) mergeRecord(r *member.Record, now time.Time) error {
	n := Node{
		Incarnation: r.GetIncarnation(),
		Name:        r.GetName(),
		Address:     r.GetAddress(),
		Entry:       r.GetEntry(),
		DataCentre:  r.GetDataCentre(),
		Phase:       Phase(r.GetPhase()),
		Counter:     r.GetCounter(),
		Revision:    r.GetRevision(),
	}
	if err := n.Check(); err != nil {
		return fmt.Errorf("merge record: %w", err)
	}
	if n.Incarnation == t.Self.Incarnation {
		t.mergeOwnRecord(&n)
		return nil
	}
	e := t.nodes[n.Incarnation]
	if e == nil {
		if len(t.nodes) >= MaxNodes {
			return fmt.Errorf("merge record of %s: %w", n.Address, ErrFull)
		}
		n.LastContact = now
		e = &entry{Node: n, since: now}
		t.nodes[n.Incarnation] = e
		t.byShortID[shortID(n.Incarnation)] = e
		t.markChanged(e)
		t.resolveShortIDCollision(n.Incarnation)
		return nil
	}
	t.mergeHeartbeat(e, n.Counter, n.Revision, e.Load, now)
	if n.Phase > e.Phase {
		t.setPhase(e, n.Phase, now)
	}
	return nil
}

func (t *Table) setPhase(e *entry, p Phase, now time.Time) {
	e.Phase = p
	if p == Gone {
		e.since = now
	}
	t.markChanged(e)
}

func (t *Table) markChanged(e *entry) {
	t.changeCount++
	e.changed = t.changeCount
}

// mergeOwnRecord merges a record of this process. If the record is in a later phase than the process,
// which only a wrong report can cause, the process continues as a new incarnation, because a phase
// never moves back.
func (t *Table) mergeOwnRecord(n *Node) {
	t.mergeOwnCounter(n.Counter)
	if n.Phase <= t.Self.Phase {
		return
	}
	t.renewIncarnation()
}
