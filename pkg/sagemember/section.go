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

// Sizes of a digest's parts.
const (
	// buckets is the number of checksums; one changed record makes the records of one bucket travel.
	buckets = 32
	// maxSuspects bounds the suspects that one digest asks about.
	maxSuspects = 16
	// maxColumns bounds the columns of a digest that a peer sends.
	maxColumns = 1024
	// maxRecords bounds the bytes of records in one delta, so that nodes whose views differ for a
	// while don't send each other the whole fleet at each meeting.
	maxRecords = 2 << 10
)

var _ sagegossip.Observer = (*Table)(nil)

// Name implements [sagegossip.Section].
func (t *Table) Name() string { return SectionName }

// Digest implements [sagegossip.Section]. Nodes of the own data centre come first, the longest
// unsent first where the window doesn't hold all of them.
func (t *Table) Digest() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wake()
	t.digests++
	sums := t.checksums()
	d := &member.Digest{Sender: t.Self.Incarnation, Checksums: sums[:], MaxRevision: t.maxRevision()}
	addColumn(d, &t.Self)
	for _, e := range t.window() {
		e.noteSent(t.digests)
		addColumn(d, &e.Node)
	}
	for _, e := range t.suspects() {
		d.Suspects = append(d.Suspects, short(e.Incarnation))
	}
	return marshal(d)
}

// suspects returns the nodes that peers are asked about, the longest suspected first.
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

func addColumn(d *member.Digest, n *Node) {
	d.Incarnations = append(d.Incarnations, short(n.Incarnation))
	d.Counters = append(d.Counters, n.Counter)
	d.Behind = append(d.Behind, d.MaxRevision-n.Revision)
	d.Loads = append(d.Loads, n.Load)
}

// marshal never fails on the messages of this package: their strings are checked when taken in.
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

// window returns the nodes whose heartbeats go into the next digest: those that peers asked about,
// then near ones, then far ones. Where a window doesn't hold all, the heartbeats that were sent
// least often go first: without that, relays would fill their window with old news.
func (t *Table) window() []*entry {
	var asked, near, far []*entry
	for id, e := range t.nodes {
		if !e.there() {
			continue
		}
		if _, ok := t.questions[id]; ok {
			asked = append(asked, e)
		} else if e.DataCentre == t.Self.DataCentre {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	list := leastSent(asked, maxSuspects)
	list = append(list, leastSent(near, t.Limits.LocalWindow)...)
	return append(list, leastSent(far, t.Limits.RemoteWindow)...)
}

func leastSent(list []*entry, n int) []*entry {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.timesSent(), b.timesSent()), cmp.Compare(a.sent, b.sent), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list[:n]
}

// timesSent returns how often the present heartbeat was sent.
func (e *entry) timesSent() int {
	if e.Counter != e.sentCounter {
		return 0
	}
	return e.times
}

func (e *entry) noteSent(digest uint64) {
	e.times = e.timesSent() + 1
	e.sent, e.sentCounter = digest, e.Counter
}

// checksums sums the records of the nodes that this table holds for there. Dead ones are left out:
// they are an opinion of this table, and tables forget them at different times.
func (t *Table) checksums() [buckets]uint32 {
	var sums [buckets]uint32
	add := func(n *Node) { sums[n.Incarnation%buckets] ^= checksum(n) }
	add(&t.Self)
	for _, e := range t.nodes {
		if e.there() {
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

// Delta implements [sagegossip.Section]. The heartbeats in the peer's digest are taken in here, so
// that they need no message of their own.
func (t *Table) Delta(digest []byte, budget int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.wake()
	d, err := readDigest(digest)
	if err != nil {
		d = &member.Digest{}
	}
	t.hearDigest(d, now)
	t.askedBy(d.GetSender())
	for _, id := range d.GetSuspects() {
		if e := t.byShort(id); e != nil {
			t.questions[e.Incarnation] = now
		}
	}
	return marshal(t.records(d.GetChecksums(), min(budget, maxRecords)))
}

func readDigest(b []byte) (*member.Digest, error) {
	d := new(member.Digest)
	if err := proto.Unmarshal(b, d); err != nil {
		return nil, fmt.Errorf("read digest: %v: %w", err, ErrBadDigest)
	}
	n := len(d.GetIncarnations())
	if n > maxColumns || len(d.GetCounters()) != n || len(d.GetBehind()) != n || len(d.GetLoads()) != n {
		return nil, fmt.Errorf("columns of a digest differ in length: %w", ErrBadDigest)
	}
	if len(d.GetChecksums()) != buckets || len(d.GetSuspects()) > maxSuspects {
		return nil, fmt.Errorf("digest with %d checksums: %w", len(d.GetChecksums()), ErrBadDigest)
	}
	for _, b := range d.GetBehind() {
		if b > d.GetMaxRevision() {
			return nil, fmt.Errorf("digest with a revision below 0: %w", ErrBadDigest)
		}
	}
	return d, nil
}

func (t *Table) hearDigest(d *member.Digest, now time.Time) {
	for i, id := range d.GetIncarnations() {
		revision := d.GetMaxRevision() - d.GetBehind()[i]
		if id == short(t.Self.Incarnation) {
			t.hearSelf(d.GetCounters()[i])
		} else if e := t.byShort(id); e != nil {
			t.hear(e, d.GetCounters()[i], revision, d.GetLoads()[i], now)
		}
	}
}

// records returns the records of the buckets whose checksum differs, most recently changed first.
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

// addRecord appends n's record if it fits, and returns what is left of the budget; 0 when full.
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
	const frame = 3 // tag and length of a record in its delta
	size := proto.Size(r) + frame
	if size > budget {
		return 0
	}
	d.Records = append(d.Records, r)
	return budget - size
}

// Merge implements [sagegossip.Section]. Malformed records are passed over and reported.
func (t *Table) Merge(delta []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.wake()
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
		t.mergeSelf(&n)
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
		t.shorts[short(n.Incarnation)] = e
		t.touch(e)
		t.avoid(n.Incarnation)
		return nil
	}
	t.hear(e, n.Counter, n.Revision, e.Load, now)
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
	t.touch(e)
}

func (t *Table) touch(e *entry) {
	t.changes++
	e.changed = t.changes
}

// mergeSelf takes what others say of this very process. When they hold it for further in its life
// than it is, which only a wrong report can bring about, it goes on as another incarnation: a phase
// can't be taken back.
func (t *Table) mergeSelf(n *Node) {
	t.hearSelf(n.Counter)
	if n.Phase <= t.Self.Phase {
		return
	}
	t.renew()
}
