package sagefollow

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
)

// maxListingAge is how long an unfinished listing may be resumed. Changes after its first page come from the
// store's history, which reaches back four times as long.
const maxListingAge = 5 * time.Second

// errRestored reports that the store was restored while it was listed.
var errRestored = errors.New("store was restored meanwhile")

// listing is a listing in progress that may have several pages. It has the revision of its first page; the
// watch that starts there delivers later changes again.
type listing struct {
	delta   Delta
	next    string // name after which the next page begins
	started sageclock.Instant
}

// list lists the kind and returns the instant as of which the listing is complete.
//
// After a failed page the next call resumes where this one stopped. A store with a rate limit refuses some page
// of a long listing each time, so a listing that restarted from the first page might never finish.
func (f *Follower) list(ctx context.Context) (Delta, sageclock.Instant, error) {
	l := f.resumeListing(f.now())
	if err := l.fetchPages(ctx, f.Source.List, f.Kind); err != nil {
		if !errors.Is(err, errRestored) {
			f.saveListing(l)
		}
		return Delta{}, 0, err
	}
	return l.delta, l.started, nil
}

// resumeListing returns the unfinished listing, or a new one. Concurrent calls get separate listings.
func (f *Follower) resumeListing(now sageclock.Instant) *listing {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.pendingListing
	f.pendingListing = nil
	if l == nil || !l.resumable(now) {
		l = &listing{delta: Delta{Full: true}, started: now}
	}
	return l
}

// saveListing stores an unfinished listing to be resumed, unless one with more pages is already stored.
func (f *Follower) saveListing(l *listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pendingListing == nil || f.pendingListing.next < l.next {
		f.pendingListing = l
	}
}

// hasPendingListing reports whether there is a listing to resume.
func (f *Follower) hasPendingListing(now sageclock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pendingListing != nil && f.pendingListing.resumable(now)
}

// resumable reports whether the listing is young enough to be resumed.
func (l *listing) resumable(now sageclock.Instant) bool { return now.Sub(l.started) <= maxListingAge }

// PageReader reads one page of a listing, like [Source.List].
type PageReader func(ctx context.Context, kind, after string) (Page, error)

// fetchPages fetches the remaining pages.
func (l *listing) fetchPages(ctx context.Context, read PageReader, kind string) error {
	for {
		p, err := read(ctx, kind, l.next)
		if err != nil {
			return fmt.Errorf("list after %q: %w", l.next, err)
		}
		if l.next != "" && p.Era != l.delta.Era {
			return fmt.Errorf("list after %q: %w", l.next, errRestored)
		}
		if l.delta.AsOf == 0 {
			l.delta.AsOf, l.delta.Era = p.AsOf, p.Era
		}
		for _, ch := range p.Changes {
			ch.Object.Era = p.Era
			l.delta.Changes = append(l.delta.Changes, ch)
		}
		if p.Next == "" {
			return nil
		}
		l.next = p.Next
	}
}

// ListAll returns all objects of a kind.
func ListAll(ctx context.Context, read PageReader, kind string) (Delta, error) {
	l := listing{delta: Delta{Full: true}}
	if err := l.fetchPages(ctx, read, kind); err != nil {
		return Delta{}, err
	}
	return l.delta, nil
}
