package sageorigind

import (
	"context"
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
)

// Times of the proofs that the copy of the upstreams is complete as of a caller's return.
const (
	// proofTimeout is how long a return waits for its own node's reads of the store, peerProofTimeout how long another node's
	// answer waits: less than [answerTimeout].
	proofTimeout     = time.Second
	peerProofTimeout = 200 * time.Millisecond
	// proofReadTimeout limits one read, which usually takes some milliseconds.
	proofReadTimeout = 400 * time.Millisecond
	// proofInterval is the least time between two reads of a node, proofSpacing the mean time between two reads of the fleet. Nodes that
	// lose many others get many returns at once.
	proofInterval = 10 * time.Millisecond
	proofSpacing  = 500 * time.Microsecond
	// proofRetryDelay is the time after a failed read in which this node relies on others. The polls find out whether the store is down.
	proofRetryDelay = time.Second
)

// proven reports whether the copy of the upstreams is proven to have all that the store acknowledged before an instant.
func (s *Service) proven(since sageclock.Instant) bool { return s.ProvenAt() >= since }

// prove waits until the copy of the upstreams is proven as of an instant, by a read of the store that begins after it. Callers share
// the reads. It gives up after a time, and once such a read has failed.
func (s *Service) prove(ctx context.Context, since sageclock.Instant, limit time.Duration) bool {
	if s.Refresh == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	end := s.now().Add(limit)
	for ctx.Err() == nil && !s.proven(since) {
		now := s.now()
		ended, whole, _ := s.proofs.readSince(now, since)
		if ended && !whole {
			return false
		}
		done, dueIn := s.proofs.start(now, s.readProof)
		var due <-chan time.Time
		if done == nil {
			if !whole || now.Add(dueIn) >= end {
				return false
			}
			due = time.After(dueIn)
		}
		select {
		case <-ctx.Done():
		case <-done:
		case <-due:
		}
	}
	return s.proven(since)
}

// readProof reads the upstreams from the store. The callers that wait may leave meanwhile.
func (s *Service) readProof() {
	ctx, cancel := context.WithTimeout(context.Background(), proofReadTimeout)
	defer cancel()
	start := s.now()
	err := s.Refresh(ctx)
	now := s.now()
	result, interval := "ok", s.readInterval()
	if err != nil {
		result, interval = "failed", proofRetryDelay
	}
	s.Metrics.GetOrCreateCounter(fmt.Sprintf(`sagestand_origin_proofs_total{result=%q}`, result)).Inc()
	s.Log.Limited(sagelog.KindStateChange, "Upstreams read for callers that returned.", "took_ms", now.Sub(start).Milliseconds(),
		"proof_age_ms", now.Sub(s.ProvenAt()).Milliseconds(), "err", err)
	s.proofs.end(start.Add(interval), err != nil)
}

// readInterval returns the least time between the starts of two reads of this node.
func (s *Service) readInterval() time.Duration {
	if s.FleetSize == nil {
		return proofInterval
	}
	return max(proofInterval, time.Duration(s.FleetSize())*proofSpacing)
}
