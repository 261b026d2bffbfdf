package sagefollow

import (
	"context"
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// listingWithin is how long an unfinished listing may be continued: a quarter of the history that the
// store keeps, since what changed after its first page comes from there.
const listingWithin = 5 * time.Second

// listing is a listing of several pages under way. It is as of its first page: what changed since
// comes again with the watch from there.
type listing struct {
	delta Delta
	next  string // where to go on
	began sageclock.Instant
}

// list lists the kind and returns the instant as of which the listing is complete.
//
// It guards against a listing that never ends: a store that turns calls away above its rate refuses
// some page of a long listing each time, and a listing that began anew would meet the same again. It
// goes on where it stopped.
func (f *Follower) list(ctx context.Context) (Delta, sageclock.Instant, error) {
	l := f.takeListing(f.now())
	if err := l.finish(ctx, f.Source, f.Kind); err != nil {
		f.keepListing(l)
		return Delta{}, 0, err
	}
	return l.delta, l.began, nil
}

// takeListing returns the unfinished listing, or a new one. Calls that overlap each have their own.
func (f *Follower) takeListing(now sageclock.Instant) *listing {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.listing
	f.listing = nil
	if l == nil || !l.fresh(now) {
		l = &listing{delta: Delta{Full: true}, began: now}
	}
	return l
}

// keepListing puts an unfinished listing back, unless one that is further stands there.
func (f *Follower) keepListing(l *listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listing == nil || f.listing.next < l.next {
		f.listing = l
	}
}

// unfinished reports whether there is a listing to go on with.
func (f *Follower) unfinished(now sageclock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listing != nil && f.listing.fresh(now)
}

// fresh reports whether the listing may be continued.
func (l *listing) fresh(now sageclock.Instant) bool { return now.Sub(l.began) <= listingWithin }

// finish gets the pages that are left.
func (l *listing) finish(ctx context.Context, s Source, kind string) error {
	for {
		p, err := s.List(ctx, kind, l.next)
		if err != nil {
			return fmt.Errorf("list after %q: %w", l.next, err)
		}
		l.delta.Changes = append(l.delta.Changes, p.Changes...)
		if l.delta.AsOf == 0 {
			l.delta.AsOf = p.AsOf
		}
		if p.Next == "" {
			return nil
		}
		l.next = p.Next
	}
}

// ListAll returns all objects of a kind.
func ListAll(ctx context.Context, s Source, kind string) (Delta, error) {
	l := listing{delta: Delta{Full: true}}
	if err := l.finish(ctx, s, kind); err != nil {
		return Delta{}, err
	}
	return l.delta, nil
}
