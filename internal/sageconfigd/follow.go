package sageconfigd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagesync"
	"sagestand.example/sagestand/pkg/sageticket"
)

// isWatcher reports whether this node is one of its data centre's watchers.
func (s *Service) isWatcher() bool {
	return s.Members == nil || sagesync.IsWatcher(s.Node, s.Members.Live(), numWatchers)
}

// needsStore reports whether this node must read the store even if it is not a watcher: it has no configuration,
// or its evidence has exceeded three quarters of the age at which the node counts as isolated.
func (s *Service) needsStore(now time.Time) bool {
	st := s.replica.Status()
	return st.Revision == 0 || now.After(st.ConfirmedAt.Add(s.Rule.MaxEvidenceAge*3/4))
}

// backOff waits after n+1 consecutive failures. The delay doubles with n and is random, so that nodes that lost
// the store at the same time don't return to it at the same time.
func backOff(ctx context.Context, n int) {
	d := min(initialBackoff<<min(n, 10), maxBackoff)
	sageclock.Sleep(ctx, d/2+rand.N(d/2))
}

// watchHead watches the head until ctx ends, while this node is a watcher.
func (s *Service) watchHead(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !s.isWatcher() {
			sageclock.Sleep(ctx, pollInterval)
			continue
		}
		if err := s.watchOnce(ctx); err != nil {
			if failures == 0 {
				s.Log.Warn("Watch of the store failed.", "err", err)
			}
			backOff(ctx, failures)
			failures++
			continue
		}
		failures = 0
	}
}

// watchOnce waits for the next head and applies it. It returns nil if the watch times out without a new head.
func (s *Service) watchOnce(ctx context.Context) error {
	version, _ := s.appliedHead()
	readStart := time.Now()
	wctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	o, err := s.Store.Watch(wctx, sageticket.HeadKey, version)
	if wctx.Err() != nil && !errors.Is(err, sageobject.ErrUnavailable) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("watch head: %w", err)
	}
	h, err := sageticket.DecodeHead(o.Value)
	if err != nil {
		return fmt.Errorf("watch head: %w", err)
	}
	return s.applyHead(ctx, h, o.Version, readStart)
}

// readHead reads the head, applies it, and reports whether its tail should be compacted.
func (s *Service) readHead(ctx context.Context) (due bool, err error) {
	readStart := time.Now()
	h, version, err := sageticket.ReadHead(ctx, s.Store)
	if err != nil {
		return false, err
	}
	return h.CompactionDue(), s.applyHead(ctx, h, version, readStart)
}

// applyHead applies a head; readStart is when its read was started. If its tail doesn't reach back to this node's
// revision, as after a gap in the watch, the complete configuration is loaded.
func (s *Service) applyHead(ctx context.Context, h *sageticket.Head, version int64, readStart time.Time) error {
	if !s.replica.ApplyHead(h, readStart) {
		readStart = time.Now()
		l, err := sageticket.Load(ctx, s.Store)
		if err != nil {
			return fmt.Errorf("load configuration: %w", err)
		}
		s.replica.ApplyLoaded(l, readStart)
		h, version = l.Head, l.Version
	}
	s.mu.Lock()
	if version > s.headVersion {
		s.headVersion, s.headRevision = version, h.Revision
	}
	s.mu.Unlock()
	return nil
}

func (s *Service) appliedHead() (version int64, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headVersion, s.headRevision
}

// runConfirm compares this node's copy with the store at each confirmInterval, while the node is a watcher or
// needsStore is true.
func (s *Service) runConfirm(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !s.isWatcher() && !s.needsStore(time.Now()) {
			failures = 0
			sageclock.Sleep(ctx, pollInterval)
			continue
		}
		if err := s.confirmOnce(ctx); err != nil {
			backOff(ctx, failures)
			failures++
			continue
		}
		failures = 0
		sageclock.Sleep(ctx, confirmInterval)
	}
}

// confirmOnce reads only the version of the head from the store, which is a few bytes. If it is the version that
// was applied, this node's copy was the newest when the read started. If it is newer, confirmOnce reads the head,
// because the watch may be stalled on a broken connection.
func (s *Service) confirmOnce(ctx context.Context) error {
	version, revision := s.appliedHead()
	if version == 0 {
		_, err := s.readHead(ctx)
		return err
	}
	cctx, cancel := context.WithTimeout(ctx, confirmInterval)
	defer cancel()
	readStart := time.Now()
	metas, err := s.Store.List(cctx, sageticket.HeadKey)
	if err != nil {
		return fmt.Errorf("confirm: %w", err)
	}
	for _, m := range metas {
		switch {
		case m.Key != sageticket.HeadKey:
		case m.Version == version:
			s.replica.Confirm(revision, readStart)
			return nil
		case m.Version < version:
			// Nodes keep their configuration: applying an older one would revert accepted tickets.
			s.Log.Error("The store has gone back to an older head; restore it.", "have", version, "store", m.Version)
			return fmt.Errorf("confirm: head version %d below %d: %w", m.Version, version, sageobject.ErrUnavailable)
		default:
			_, err := s.readHead(ctx)
			return err
		}
	}
	return nil
}
