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
	now := sageclock.Now()
	if !f.unfinished(now) {
		f.listing = &listing{delta: Delta{Full: true}, began: now}
	}
	l := f.listing
	if err := l.finish(ctx, f.Source, f.Kind); err != nil {
		return Delta{}, 0, err
	}
	f.listing = nil
	return l.delta, l.began, nil
}

// unfinished reports whether there is a listing to go on with.
func (f *Follower) unfinished(now sageclock.Instant) bool {
	return f.listing != nil && now.Sub(f.listing.began) <= listingWithin
}

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
