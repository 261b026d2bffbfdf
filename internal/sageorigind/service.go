package sageorigind

import (
	"context"
	"iter"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Times of the service.
const (
	// refreshInterval is how often the open streams are checked for records to send, and resendInterval the time after
	// which the record of an open stream is sent again.
	refreshInterval = 250 * time.Millisecond
	resendInterval  = 2 * time.Second
	// ringTTL is how long the order of the nodes is reused.
	ringTTL = 250 * time.Millisecond
)

// maxRestored is the number of records from which on recovered ones are left to their holders.
const maxRestored = sageorigin.DefaultMaxRecords / 2

// Service holds the records of one node. Exported fields are set before use.
type Service struct {
	// Self is this node's address for other nodes.
	Self string
	// History is kept by the node's view of the configuration and the upstreams.
	History *sageorigin.History
	// Nodes returns the nodes that may hold records; this one may be among them.
	Nodes func() []sageorigin.Holder
	// Send sends a message to a node, once.
	Send func(address string, b []byte) error
	// Fresh reports whether this node's copy of the upstreams is so recent that records may be left out while it has one version.
	Fresh func() bool
	// ProvenAt returns the instant up to which the copy of the upstreams has all that the store acknowledged; 0 if that isn't known.
	ProvenAt func() sageclock.Instant
	// Refresh reads the upstreams from the store, after which the copy is proven as of the call; nil if that isn't possible.
	Refresh func(ctx context.Context) error
	// ReadClaims returns the claims of sole versions in the store, by service.
	ReadClaims func(ctx context.Context) (map[string]sageorigin.Claim, error)
	// Writers returns the nodes that write records to the store; this one may be among them. Save has records written by this node, and
	// Forget takes one back whose stream has ended, unless it is written already. They must not wait. All are nil if nothing is saved.
	Writers func() []sageorigin.Holder
	Save    func(records []sageorigin.Record)
	Forget  func(k sageorigin.Key)
	// RecoversUntil returns the time until which records that were lost with their holders may still be recovered; nil if none are.
	RecoversUntil func() sageclock.Instant
	// ReadSaved reads the records that are saved in the store, up to a number of bytes; nil if nothing is saved.
	ReadSaved func(ctx context.Context, maxBytes int) (Saved, error)
	// LostAt returns when this node started or last found that another one was lost; 0 if neither.
	LostAt func() sageclock.Instant
	// FleetSize returns the number of nodes that read the store.
	FleetSize func() int
	Metrics   *metrics.Set
	Log       sagelog.Logger
	// Now is the clock; nil means [sageclock.Now].
	Now func() sageclock.Instant

	table sageorigin.Table

	mu   sync.Mutex
	open map[*openStream]struct{}
	// asks are the searches in progress, by number.
	asks       map[uint64]*ask
	lastNumber uint64
	// ring has the nodes that hold records, writers those that write them to the store since writersSince.
	ring         *sageorigin.Ring
	writers      *sageorigin.Ring
	writerNodes  []sageorigin.Holder
	writersSince sageclock.Instant
	ringUntil    sageclock.Instant

	claims        storeRead
	saved, proofs sharedReads
	// proving is the number of other nodes' queries that wait for a proof.
	proving atomic.Int64
}

// storeRead is the last read of a kind of objects in the store; mu is held during a read.
type storeRead struct {
	mu                sync.Mutex
	startedAt, readAt sageclock.Instant
	failed            bool
}

// openStream is a stream that this node carries.
type openStream struct {
	route  string
	record sageorigin.Record
	sentAt sageclock.Instant // 0 if its record was never sent
}

func (s *Service) now() sageclock.Instant {
	if s.Now != nil {
		return s.Now()
	}
	return sageclock.Now()
}

// Held returns the number of records that this node holds.
func (s *Service) Held() int { return s.table.Len() }

// Begin records where a stream began, whose caller may return until the given time, and sends copies to other nodes. The
// returned function ends the stream at this node.
func (s *Service) Begin(route string, k sageorigin.Key, o sageorigin.Origin, until sageclock.Instant) (end func()) {
	now := s.now()
	st := &openStream{route: route, record: sageorigin.Record{Key: k, Origin: o, Until: until}}
	s.table.Put(now, st.record)
	s.mu.Lock()
	if s.open == nil {
		s.open = make(map[*openStream]struct{})
	}
	s.open[st] = struct{}{}
	s.mu.Unlock()
	if !s.sole(now, route) {
		s.sendCopies(now, s.due(now))
	}
	return func() { s.end(st) }
}

// end ends a stream at this node.
func (s *Service) end(st *openStream) {
	s.mu.Lock()
	delete(s.open, st)
	goesOn := false // its caller has returned to this node
	for o := range s.open {
		goesOn = goesOn || o.record.Key == st.record.Key
	}
	s.mu.Unlock()
	if s.Forget != nil && !goesOn {
		s.Forget(st.record.Key)
	}
}

// sole reports whether no record is needed for streams of a route, as all began at one version. That none began elsewhere since
// this node's start isn't enough: nodes that start later know nothing of what was before.
func (s *Service) sole(now sageclock.Instant, route string) bool {
	_, status := s.History.Status(now, route)
	return status == sageorigin.Sole && s.Fresh()
}

// learnOnce reads the claims of sole versions if open streams need records only for what may have been before this node's start.
func (s *Service) learnOnce(ctx context.Context, now sageclock.Instant) {
	s.claims.mu.Lock()
	read := s.claims.readAt != 0
	s.claims.mu.Unlock()
	if !read && s.anySinceStart(now) {
		s.learnClaims(ctx, 0)
	}
}

// anySinceStart reports whether the route of an open stream had one version as far as this node's history reaches.
func (s *Service) anySinceStart(now sageclock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.open {
		if _, status := s.History.Status(now, st.route); status == sageorigin.SoleSinceStart {
			return true
		}
	}
	return false
}

// Run sends the records of open streams again until ctx ends, then hands over all records that this node holds.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.handOver(s.now())
			return nil
		case <-t.C:
			now := s.now()
			s.table.Sweep(now)
			s.learnOnce(ctx, now)
			s.sendCopies(now, s.due(now))
		}
	}
}

// due returns the open streams whose records have to be sent.
func (s *Service) due(now sageclock.Instant) []*openStream {
	sole := make(map[string]bool)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateRings(now)
	var out []*openStream
	for st := range s.open {
		if st.sentAt != 0 && now.Sub(st.sentAt) < resendInterval && st.sentAt >= s.writersSince {
			continue
		}
		if _, ok := sole[st.route]; !ok {
			sole[st.route] = s.sole(now, st.route)
		}
		if !sole[st.route] {
			out = append(out, st)
		}
	}
	return out
}

// Restore takes records that were recovered and sends them to their holders.
func (s *Service) Restore(records []sageorigin.Record) {
	now := s.now()
	alone := s.currentRing(now).Len() <= sageorigin.NumHolders
	for _, r := range records {
		// With too many, what this node holds for others would be dropped.
		if _, _, known := s.table.Get(now, r.Key); known || alone || s.table.Len() < maxRestored {
			s.table.Put(now, r)
		}
	}
	s.sendRecords(now, records)
}

// sendCopies sends the records of streams to their holders.
func (s *Service) sendCopies(now sageclock.Instant, streams []*openStream) {
	if len(streams) == 0 {
		return
	}
	records := make([]sageorigin.Record, len(streams))
	for i, st := range streams {
		records[i] = st.record
	}
	s.mu.Lock()
	for _, st := range streams {
		st.sentAt = now
	}
	s.mu.Unlock()
	s.sendRecords(now, records)
	s.saveRecords(now, records)
}

// handOver sends all records to their holders, for which this node was one.
func (s *Service) handOver(now sageclock.Instant) {
	records := s.table.Records(now)
	if len(records) > 0 {
		s.Log.Info("Records of streams handed over.", "records", len(records))
	}
	s.sendRecords(now, records)
}

// sendRecords sends each record to its holders, in as few messages as they fit into.
func (s *Service) sendRecords(now sageclock.Instant, records []sageorigin.Record) {
	byHolder := make(map[string][]sageorigin.Record)
	ring := s.currentRing(now)
	for _, r := range records {
		if r.Origin.Check() != nil {
			continue // its caller is refused elsewhere
		}
		for _, address := range ring.Holders(r.Key, s.Self) {
			byHolder[address] = append(byHolder[address], r)
		}
	}
	for address, rs := range byHolder {
		for part := range messageParts(rs) {
			s.send(now, address, &sageorigin.Message{Records: part})
		}
	}
}

// saveRecords has each record written to the store, by this node or by others.
func (s *Service) saveRecords(now sageclock.Instant, records []sageorigin.Record) {
	if s.Writers == nil {
		return
	}
	byWriter := make(map[string][]sageorigin.Record)
	ring := s.currentWriters(now)
	for _, r := range records {
		if r.Origin.Check() != nil {
			continue
		}
		for _, address := range ring.Writers(r.Key, s.Self) {
			byWriter[address] = append(byWriter[address], r)
		}
	}
	for address, rs := range byWriter {
		if address == s.Self {
			s.Save(rs)
			continue
		}
		for part := range messageParts(rs) {
			s.send(now, address, &sageorigin.Message{Save: part})
		}
	}
}

// messageParts splits records into parts that fit into a message.
func messageParts(records []sageorigin.Record) iter.Seq[[]sageorigin.Record] {
	return func(yield func([]sageorigin.Record) bool) {
		size, first := 0, 0
		for i := range records {
			n := records[i].MaxEncodedBytes()
			if size+n > sageorigin.MaxMessageBytes {
				if !yield(records[first:i]) {
					return
				}
				size, first = 0, i
			}
			size += n
		}
		yield(records[first:])
	}
}

// send sends a message. One that can't be sent counts as lost.
func (s *Service) send(now sageclock.Instant, address string, m *sageorigin.Message) {
	b := m.Encode(now)
	s.Metrics.GetOrCreateCounter("sagestand_origin_messages_total").Inc()
	s.Metrics.GetOrCreateCounter("sagestand_origin_bytes_total").Add(len(b))
	if err := s.Send(address, b); err != nil {
		s.Log.Limited(sagelog.KindStateChange, "Message on origins not sent.", "to", address, "err", err)
	}
}

// currentRing returns the order of the nodes that hold records.
func (s *Service) currentRing(now sageclock.Instant) *sageorigin.Ring {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateRings(now)
	return s.ring
}

// currentWriters returns the order of the nodes that write records to the store.
func (s *Service) currentWriters(now sageclock.Instant) *sageorigin.Ring {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateRings(now)
	return s.writers
}

// updateRings determines the nodes again after some time. The caller holds mu.
func (s *Service) updateRings(now sageclock.Instant) {
	if s.ring != nil && now < s.ringUntil {
		return
	}
	s.ring, s.ringUntil = sageorigin.NewRing(s.Nodes()), now.Add(ringTTL)
	if s.Writers == nil {
		return
	}
	if nodes := s.Writers(); s.writers == nil || !slices.Equal(nodes, s.writerNodes) {
		s.writers, s.writerNodes, s.writersSince = sageorigin.NewRing(nodes), nodes, now
	}
}
