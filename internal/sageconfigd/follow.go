package sageconfigd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagesync"
	"sagestand.example/sagestand/pkg/sageticket"
)

// watches reports whether this node is one of its data centre's watchers.
func (s *Service) watches() bool {
	return s.Members == nil || sagesync.IsWatcher(s.Node, s.Members.Live(), watchers)
}

// starved reports whether this node must ask the store although it doesn't watch it: it has no
// configuration, or its evidence has reached three quarters of the age at which it counts as isolated.
func (s *Service) starved(now time.Time) bool {
	st := s.replica.Status()
	return st.Revision == 0 || now.After(st.ConfirmedAt.Add(s.Rule.MaxEvidenceAge*3/4))
}

// pause waits after the n-th failure in a row, for a random part of a doubled period, so that nodes
// that lost the store together don't come back to it together.
func pause(ctx context.Context, n int) {
	d := min(firstPause<<min(n, 10), lastPause)
	wait(ctx, d/2+rand.N(d/2))
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// follow watches the head while this node is a watcher.
func (s *Service) follow(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !s.watches() {
			wait(ctx, tick)
			continue
		}
		if err := s.watchOnce(ctx); err != nil {
			if failures == 0 {
				s.Log.Warn("Watch of the store failed.", "err", err)
			}
			pause(ctx, failures)
			failures++
			continue
		}
		failures = 0
	}
}

// watchOnce waits for the next head and takes it in. A watch that ends without one is no failure.
func (s *Service) watchOnce(ctx context.Context) error {
	version, _ := s.taken()
	asked := time.Now()
	wctx, cancel := context.WithTimeout(ctx, watchFor)
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
	return s.take(ctx, h, o.Version, asked)
}

// catchUp reads the head, takes it in, and reports whether its tail should be folded.
func (s *Service) catchUp(ctx context.Context) (foldDue bool, err error) {
	asked := time.Now()
	h, version, err := sageticket.ReadHead(ctx, s.Store)
	if err != nil {
		return false, err
	}
	return h.CompactionDue(), s.take(ctx, h, version, asked)
}

// take brings a head in. If its tail no longer reaches back to the own revision, as after a gap in
// the watch, the whole configuration is read.
func (s *Service) take(ctx context.Context, h *sageticket.Head, version int64, asked time.Time) error {
	if !s.replica.ApplyHead(h, asked) {
		asked = time.Now()
		l, err := sageticket.Load(ctx, s.Store)
		if err != nil {
			return fmt.Errorf("load configuration: %w", err)
		}
		s.replica.ApplyLoaded(l, asked)
		h, version = l.Head, l.Version
	}
	s.mu.Lock()
	if version > s.version {
		s.version, s.at = version, h.Revision
	}
	s.mu.Unlock()
	return nil
}

func (s *Service) taken() (version int64, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.at
}

// confirm compares the own copy with the store every few seconds, as long as this node is a watcher
// or starved.
func (s *Service) confirm(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !s.watches() && !s.starved(time.Now()) {
			failures = 0
			wait(ctx, tick)
			continue
		}
		if err := s.confirmOnce(ctx); err != nil {
			pause(ctx, failures)
			failures++
			continue
		}
		failures = 0
		wait(ctx, confirmEvery)
	}
}

// confirmOnce asks the store for the version of the head only, which is a few bytes. If it is the
// one that was taken in, the own copy was the newest at the instant of asking. If it is newer, the
// head is read here, because the watch may hang on a broken connection.
func (s *Service) confirmOnce(ctx context.Context) error {
	version, revision := s.taken()
	if version == 0 {
		_, err := s.catchUp(ctx)
		return err
	}
	cctx, cancel := context.WithTimeout(ctx, confirmEvery)
	defer cancel()
	asked := time.Now()
	metas, err := s.Store.List(cctx, sageticket.HeadKey)
	if err != nil {
		return fmt.Errorf("confirm: %w", err)
	}
	for _, m := range metas {
		switch {
		case m.Key != sageticket.HeadKey:
		case m.Version == version:
			s.replica.Confirm(revision, asked)
			return nil
		case m.Version < version:
			// Nodes keep what they have: taking an older state in would revert accepted tickets.
			s.Log.Error("The store has gone back to an older head; restore it.", "have", version, "store", m.Version)
			return fmt.Errorf("confirm: head version %d below %d: %w", m.Version, version, sageobject.ErrUnavailable)
		default:
			_, err := s.catchUp(ctx)
			return err
		}
	}
	return nil
}
