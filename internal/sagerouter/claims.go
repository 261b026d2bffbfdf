package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Times of the claims.
const (
	claimInterval = 200 * time.Millisecond
	// claimTimeout limits one call. After a failed one nothing is done for claimRetryDelay.
	claimTimeout    = time.Second
	claimRetryDelay = time.Second
	// maxAdmissionWait is how long a version that isn't admitted gets no requests although no other is left.
	maxAdmissionWait = 2 * time.Second
)

// errNotWritten reports a claim that wasn't written, mostly since another node has changed it after it was read.
var errNotWritten = errors.New("claim not written")

// storedClaim is a claim as it is in the store. Name is empty if there is none.
type storedClaim struct {
	sageorigin.Claim
	Name     string
	Revision uint64
}

// storedClaims are the claims of one listing of the store.
type storedClaims struct {
	byService map[string]storedClaim
	// unreadable holds the revisions of the objects that can't be decoded, by name.
	unreadable map[string]uint64
	at         sagefollow.Point
}

// of returns the claim of a service. One of an earlier era of the store, or one that can't be decoded, is void, but its object
// remains and is replaced.
func (s *storedClaims) of(service string) storedClaim {
	c, ok := s.byService[service]
	if name := claimName(service); !ok && s.unreadable[name] != 0 {
		c.Name, c.Revision = name, s.unreadable[name]
	}
	if c.Era != s.at.Era {
		c.Claim = sageorigin.Claim{}
	}
	c.Service = service
	return c
}

// mayHaveLedElsewhere reports whether streams of a route may have begun at a service that has a claim.
func (s *storedClaims) mayHaveLedElsewhere(route string) bool {
	for _, c := range s.byService {
		if !c.Sole || slices.Contains(c.Routes, route) {
			return true
		}
	}
	return false
}

// claimKeeper keeps the claims in the store, by which nodes know after a loss of all of them at which versions streams began.
// Exported fields are set before Run.
type claimKeeper struct {
	Kind  string
	View  *view
	Store Store
	// Writes reports whether this node claims sole versions. Each node has new versions admitted.
	Writes func() bool
	// Fresh reports whether this node knows all versions that get requests.
	Fresh func() bool
	// Era returns the store's era as far as this node knows.
	Era func() uint64
	// Spread returns the time over which the nodes spread calls that all of them make.
	Spread func() time.Duration
	Log    sagelog.Logger

	observed map[string]observedClaim // by service
	// first are the claims of the first read, until the routes have been compared with claims.
	first    *storedClaims
	compared bool
	// routesAt is up to when changes of the routes have been compared with the claims.
	routesAt sageclock.Instant
}

// observedClaim is a claim as this node last read or wrote it.
type observedClaim struct {
	storedClaim
	readAt sageclock.Instant
	// unchangedSince is when the object was read for the first time in its present state.
	unchangedSince sageclock.Instant
}

// Run works until ctx ends.
func (k *claimKeeper) Run(ctx context.Context) error {
	k.readFirst(ctx)
	t := time.NewTicker(claimInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.View.claimsWake:
			sageclock.Sleep(ctx, rand.N(k.Spread()+1))
		case <-t.C:
		}
		if err := k.work(ctx, sageclock.Now()); err != nil && ctx.Err() == nil {
			k.Log.Limited(sagelog.KindStateChange, "Claims not kept.", "err", err)
			if !errors.Is(err, errNotWritten) {
				sageclock.Sleep(ctx, claimRetryDelay)
			}
		}
	}
}

// readFirst reads the claims before any upstream gets requests.
func (k *claimKeeper) readFirst(ctx context.Context) {
	claims, err := k.read(ctx, k.Store.ListStale)
	if err != nil {
		k.Log.Warn("Claims not read at the start.", "err", err)
	}
	k.first = claims
	k.View.setFirstClaims(claims)
}

// work has the versions admitted that wait for it, and claims sole versions.
func (k *claimKeeper) work(ctx context.Context, now sageclock.Instant) error {
	if waiting := k.View.waiting(); len(waiting) > 0 {
		if err := k.admit(ctx, waiting); err != nil {
			return err
		}
	}
	if !k.Writes() || !k.Fresh() {
		return nil
	}
	services := k.View.history.Services()
	if len(services) == 0 {
		return nil
	}
	if err := k.dropRoutes(ctx, now); err != nil {
		return err
	}
	for _, service := range services {
		if err := k.claimSole(ctx, now, service); err != nil {
			return err
		}
	}
	return nil
}

// admit has versions admitted.
func (k *claimKeeper) admit(ctx context.Context, waiting map[sageorigin.Origin]uint64) error {
	claims, err := k.read(ctx, k.Store.List)
	if err != nil {
		return err
	}
	changed := make(map[string]storedClaim)
	var admitted []sageorigin.Origin
	for o, arrived := range waiting {
		c, ok := changed[o.Service]
		if !ok {
			c = claims.of(o.Service)
		}
		if c.Admits(o.Version, arrived) {
			admitted = append(admitted, o)
			continue
		}
		c.Claim = k.admission(claims, &c, o)
		changed[o.Service] = c
	}
	for service, c := range changed {
		if err = k.write(ctx, &c); err != nil {
			break
		}
		for o := range waiting {
			if o.Service == service && !slices.Contains(admitted, o) {
				admitted = append(admitted, o)
			}
		}
	}
	k.View.admit(admitted)
	return err
}

// admission returns the claim with which a version is admitted.
//
// A service gets its first claim before its first stream, so without one no stream has begun yet.
func (k *claimKeeper) admission(claims *storedClaims, c *storedClaim, o sageorigin.Origin) sageorigin.Claim {
	at := claims.at
	version, routes, sole := k.View.history.Claimable(sageclock.Now(), o.Service, true)
	if c.Name != "" || !sole || version != o.Version {
		return c.Admit(o.Version, at.Era, at.Revision)
	}
	routes = slices.DeleteFunc(routes, claims.mayHaveLedElsewhere)
	return sageorigin.Claim{Service: o.Service, Era: at.Era, Sole: true, Version: version, Routes: routes, AsOf: at.Revision}
}

// claimSole claims the sole version of a service, if there is one.
//
// Another node may be about to admit a version that this one doesn't know yet, and this one's write may arrive late. So a claim
// that names no sole version has to stay unchanged for a while, and is replaced only in the state that was read.
func (k *claimKeeper) claimSole(ctx context.Context, now sageclock.Instant, service string) error {
	version, routes, ok := k.View.history.Claimable(now, service, false)
	o := k.observed[service]
	if !ok || o.Sole && o.Version == version && slices.Equal(o.Routes, routes) && o.Era >= k.Era() {
		return nil
	}
	wait := claimRetryDelay
	if !o.Sole {
		wait = sageorigin.Window
	}
	if o.readAt != 0 && now.Sub(o.readAt) < wait {
		return nil
	}
	claims, err := k.read(ctx, k.Store.List)
	if err != nil {
		return err
	}
	o = k.observe(now, claims.of(service))
	switch {
	case o.Sole && (o.Version != version || slices.Equal(o.Routes, routes)):
		return nil
	case !o.Sole && now.Sub(o.unchangedSince) < sageorigin.Window:
		return nil
	}
	c := o.storedClaim
	c.Claim = sageorigin.Claim{Service: service, Era: claims.at.Era, Sole: true, Version: version, Routes: routes, AsOf: claims.at.Revision}
	if err := k.write(ctx, &c); err != nil {
		return err
	}
	k.observe(now, c)
	return nil
}

// dropRoutes removes the routes from the claims that lead to another service, or did. A node that starts later may find them where they
// were.
func (k *claimKeeper) dropRoutes(ctx context.Context, now sageclock.Instant) error {
	since := k.View.history.RoutesSince()
	if k.compared && since <= k.routesAt {
		return nil
	}
	claims := k.first
	if claims == nil || since > k.routesAt || len(k.led(claims, now)) > 0 {
		var err error
		if claims, err = k.read(ctx, k.Store.List); err != nil {
			return err
		}
	}
	for _, c := range k.led(claims, now) {
		if err := k.write(ctx, &c); err != nil {
			return err
		}
		k.observe(now, c)
	}
	k.first, k.compared, k.routesAt = nil, true, since
	return nil
}

// led returns the claims with routes that lead to another service, or did, without them.
func (k *claimKeeper) led(claims *storedClaims, now sageclock.Instant) []storedClaim {
	var out []storedClaim
	for service := range claims.byService {
		c := claims.of(service)
		routes := slices.DeleteFunc(slices.Clone(c.Routes), func(r string) bool { return k.View.history.LedElsewhere(now, r, service) })
		if len(routes) < len(c.Routes) {
			c.Routes = routes
			out = append(out, c)
		}
	}
	return out
}

// observe records a claim that was read or written.
func (k *claimKeeper) observe(now sageclock.Instant, c storedClaim) observedClaim {
	if k.observed == nil {
		k.observed = make(map[string]observedClaim)
	}
	o := observedClaim{storedClaim: c, readAt: now, unchangedSince: now}
	if old := k.observed[c.Service]; old.Name == c.Name && old.Revision == c.Revision && old.Era == c.Era && old.readAt != 0 {
		o.unchangedSince = old.unchangedSince
	}
	k.observed[c.Service] = o
	return o
}

// claims returns the claims in force, by service.
func (k *claimKeeper) claims(ctx context.Context) (map[string]sageorigin.Claim, error) {
	claims, err := k.read(ctx, k.Store.List)
	if err != nil {
		return nil, err
	}
	out := make(map[string]sageorigin.Claim, len(claims.byService))
	for service := range claims.byService {
		c := claims.of(service)
		out[service] = c.Claim
	}
	return out, nil
}

// read reads the claims in the store. One that can't be decoded counts as one that names no version.
func (k *claimKeeper) read(ctx context.Context, list sagefollow.PageReader) (*storedClaims, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d, err := sagefollow.ListAll(ctx, list, k.Kind)
	if err != nil {
		return nil, fmt.Errorf("list claims: %w", err)
	}
	out := &storedClaims{byService: make(map[string]storedClaim), unreadable: make(map[string]uint64), at: sagefollow.Point{Era: d.Era, Revision: d.AsOf}}
	for i := range d.Changes {
		object := &d.Changes[i].Object
		c, err := decodeClaim(object)
		if err != nil {
			out.unreadable[object.Name] = object.Revision
			k.Log.Limited(sagelog.KindStateChange, "Claim can't be read.", "name", object.Name, "err", err)
			continue
		}
		out.byService[c.Service] = storedClaim{Claim: c, Name: object.Name, Revision: object.Revision}
	}
	return out, nil
}

// decodeClaim decodes a claim, which is the object's status, or its spec until it has one.
func decodeClaim(o *sagefollow.Object) (sageorigin.Claim, error) {
	b := o.Status
	if len(b) == 0 || string(b) == "null" || string(b) == "{}" {
		b = o.Spec
	}
	var c sageorigin.Claim
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("decode claim: %w", err)
	}
	return c, c.Check()
}

// write writes a claim in place of the state that was read.
func (k *claimKeeper) write(ctx context.Context, c *storedClaim) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	b, err := json.Marshal(&c.Claim)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	k.Log.Info("Claim written.", "service", c.Service, "sole", c.Sole, "version", c.Version, "routes", len(c.Routes), "admitted", len(c.Admitted), "replaces", c.Revision, "era", c.Era)
	if c.Name != "" {
		if err := k.Store.SetStatus(ctx, k.Kind, c.Name, c.Revision, b); err != nil {
			return fmt.Errorf("replace claim: %v: %w", err, errNotWritten)
		}
		return nil
	}
	created, err := k.Store.Create(ctx, k.Kind, claimName(c.Service), b)
	if err != nil {
		return fmt.Errorf("create claim: %v: %w", err, errNotWritten)
	}
	if !created {
		return fmt.Errorf("create claim: it exists: %w", errNotWritten)
	}
	return nil
}

// claimName returns the name of the object of a service's claim.
func claimName(service string) string { return sageorigin.KeyOf("claim", service).String() }
