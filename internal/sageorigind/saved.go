package sageorigind

import (
	"context"
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Limits of the reads of saved records for callers that return. All nodes may read at the same time.
const (
	// savedTimeout is the longest time for which a return waits for reads, savedReadTimeout the longest time that a read takes.
	savedTimeout     = time.Second
	savedReadTimeout = 900 * time.Millisecond
	// savedDelay is the time after a loss within which nodes that remain have written what they save for lost ones.
	savedDelay = time.Second
	// savedInterval is the least time between two reads of a node, savedSpacing that between two reads of the fleet.
	savedInterval = 250 * time.Millisecond
	savedSpacing  = 5 * time.Millisecond
	// savedBytesPerSecond limits what the fleet reads. A listing that would take a node longer than [sageorigin.Window] isn't read whole.
	savedBytesPerSecond = 16 << 20
)

// Saved are the records that nodes have saved in the store.
type Saved struct {
	Records []sageorigin.Record
	// Objects and Bytes are the size of what was read, also if the read failed.
	Objects, Bytes int
}

// findSaved continues a search that found no record in the store, if its holders may be lost. It returns false if the store hasn't been
// read whole since, and for how long it won't be. If all nodes answered, their loss was detected, and a read after it is enough for all.
func (s *Service) findSaved(ctx context.Context, returned sageclock.Instant, route string, k sageorigin.Key, f *sageorigin.Finding) (whole bool, dueIn time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, savedTimeout)
	defer cancel()
	since := returned
	if f.Answered == f.Asked { // so that LostAt is set
		since = min(since, s.LostAt().Add(savedDelay))
	}
	for waited := false; ctx.Err() == nil; {
		ended, whole, dueIn := s.saved.readSince(s.now(), since)
		// The table is looked up after that, as the read may have ended since the search began.
		if o, age, status, _ := s.lookUp(s.now(), returned, route, k); status == sageorigin.Found {
			f.Status, f.Origin, f.Age = status, o, age
			return true, 0
		}
		if ended && (whole || waited) {
			return whole, dueIn
		}
		done, dueIn := s.startRead(f)
		if done == nil && dueIn > answerTimeout {
			return false, dueIn
		}
		waited = done != nil
		due := time.NewTimer(dueIn)
		select {
		case <-ctx.Done():
		case <-done:
		case <-due.C:
		}
		due.Stop()
	}
	return false, 0
}

// mayBeLost reports whether records may be known to the store only: holders don't answer, or nodes were lost.
func (s *Service) mayBeLost(f *sageorigin.Finding) bool {
	return s.ReadSaved != nil && (f.Answered < f.Asked || s.LostAt != nil && s.lostWithinWindow())
}

func (s *Service) lostWithinWindow() bool {
	at := s.LostAt()
	return at != 0 && s.now().Sub(at) < sageorigin.Window
}

// startRead starts a read unless one is in progress, which callers that return at once share. If it isn't due yet, done is nil.
func (s *Service) startRead(f *sageorigin.Finding) (done <-chan struct{}, dueIn time.Duration) {
	done, dueIn = s.saved.start(s.now(), func() { s.readSaved(f.Asked, f.Answered) })
	if done != nil {
		dueIn = savedTimeout
	}
	return done, dueIn
}

// readSaved reads the saved records into the table. The callers that wait may leave meanwhile.
func (s *Service) readSaved(asked, answered int) {
	nodes := max(1, s.FleetSize())
	ctx, cancel := context.WithTimeout(context.Background(), savedReadTimeout)
	defer cancel()
	start := s.now()
	saved, err := s.ReadSaved(ctx, int(sageorigin.Window.Seconds()*savedBytesPerSecond)/nodes)
	now := s.now()
	added := 0
	for _, r := range saved.Records {
		if s.addSaved(now, r) {
			added++
		}
	}
	result := "ok"
	if err != nil {
		result = "failed"
	}
	s.Metrics.GetOrCreateCounter(fmt.Sprintf(`sagestand_origin_saved_reads_total{result=%q}`, result)).Inc()
	interval := max(savedInterval, time.Duration(nodes)*savedSpacing, time.Duration(nodes*saved.Bytes)*time.Second/savedBytesPerSecond)
	s.Log.Limited(sagelog.KindStateChange, "Saved records read for callers that returned.", "asked", asked, "answered", answered, "objects", saved.Objects,
		"records", len(saved.Records), "added", added, "bytes", saved.Bytes, "took_ms", now.Sub(start).Milliseconds(), "next_in_ms", interval.Milliseconds(), "err", err)
	s.saved.end(now.Add(interval), err != nil)
}

// addSaved adds a record unless it is known. The time that is left in the store counts from when a record is read, so that each read
// would extend it.
func (s *Service) addSaved(now sageclock.Instant, r sageorigin.Record) bool {
	if o, _, ok := s.table.Get(now, r.Key); ok && o == r.Origin {
		return false
	}
	s.table.Put(now, r)
	return true
}
