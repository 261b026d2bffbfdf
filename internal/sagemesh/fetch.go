package sagemesh

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// copiesPath is the path under which a node serves the content of its copies to its peers.
const copiesPath = "/v1/copies/"

// heldPath is the path at which a node serves the cache holders of prompt parts to its peers.
const heldPath = "/v1/held"

// asOfHeader holds the revision up to which a copy is complete. The one in an encoded copy is that of its last change.
const asOfHeader = "Sagestand-As-Of"

// ErrStatus reports a peer's response with a status other than 200.
var ErrStatus = errors.New("peer refused")

// defaultStallTimeout is the longest time without data from a peer, many times that of a path between data centres.
const defaultStallTimeout = 2 * time.Second

// maxCopyBytes limits what is read of a peer's response once it is decompressed: many times a copy of the largest kind.
const maxCopyBytes = 32 << 20

// Fetcher fetches copies and cache holders from peers. Its fields are set before use.
type Fetcher struct {
	HTTP *http.Client
	// StallTimeout is the time without data after which a fetch fails; 0 means the default.
	StallTimeout time.Duration
}

// idleConnTimeout is how long an unused connection to a peer is kept open.
const idleConnTimeout = 10 * time.Second

// NewFetcher returns a fetcher that keeps one idle connection to each peer.
func NewFetcher() *Fetcher {
	return &Fetcher{HTTP: &http.Client{Transport: &sageconn.Transport{Base: &http.Transport{
		DialContext: sageconn.Dialer(new(net.Dialer).DialContext), MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: sageheader.MaxResponseBytes,
	}}}}
}

// progressReader calls onRead after each read that returned data.
type progressReader struct {
	io.Reader
	onRead func()
}

func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.onRead()
	}
	return n, err
}

// Fetch implements [sagefollow.Peers].
func (f *Fetcher) Fetch(ctx context.Context, peer, kind string, since sagefollow.Point) (sagefollow.Delta, error) {
	var d sagefollow.Delta
	path := copiesPath + url.PathEscape(kind) + "?since=" + strconv.FormatUint(since.Revision, 10) + "&era=" + strconv.FormatUint(since.Era, 10)
	err := f.get(ctx, peer, path, func(h http.Header, r io.Reader) (err error) {
		if d, err = decodeDelta(r); err != nil {
			return err
		}
		if s := h.Get(asOfHeader); s != "" {
			if d.AsOf, err = strconv.ParseUint(s, 10, 64); err != nil {
				return fmt.Errorf("parse revision: %w", err)
			}
		}
		return nil
	})
	return d, err
}

// Holders are the prompt parts that each upstream has cached.
type Holders struct {
	// Observed are the parts that nodes observed in requests.
	Observed map[string][]uint64 `json:"told"`
	// Listed are the parts that the upstreams listed themselves.
	Listed map[string][]sagechain.PartHash `json:"listed"`
}

// FetchHolders returns the prompt parts that each upstream has cached in the view of a peer.
func (f *Fetcher) FetchHolders(ctx context.Context, peer string) (Holders, error) {
	var held Holders
	err := f.get(ctx, peer, heldPath, func(_ http.Header, r io.Reader) error { return json.NewDecoder(r).Decode(&held) })
	return held, err
}

// get sends a request to a peer and decodes the response.
//
// It fails if the peer sends nothing for too long. The whole fetch isn't limited: on a small node it may take seconds to
// decode what has arrived.
func (f *Fetcher) get(ctx context.Context, peer, path string, decode func(h http.Header, r io.Reader) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := cmp.Or(f.StallTimeout, defaultStallTimeout)
	stalled := time.AfterFunc(timeout, cancel)
	defer stalled.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+path, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	res, err := f.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("send request to peer: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %w", res.StatusCode, ErrStatus)
	}
	if err := decode(res.Header, progressReader{io.LimitReader(res.Body, maxCopyBytes), func() { stalled.Reset(timeout) }}); err != nil {
		return fmt.Errorf("decode response of peer: %w", err)
	}
	return nil
}

// HandleHeld adds a handler that serves the cache holders of prompt parts to peers.
func HandleHeld(mux *http.ServeMux, placer *sagechain.Placer, log sagelog.Logger) {
	mux.HandleFunc("GET "+heldPath, func(w http.ResponseWriter, _ *http.Request) {
		now := sageclock.Now()
		held := Holders{Observed: placer.All(now), Listed: placer.AllListed(now)}
		if err := writeCompressed(w, func(w io.Writer) error { return json.NewEncoder(w).Encode(held) }); err != nil {
			log.Warn("Cache holders could not be sent to a peer.", "err", err)
		}
	})
}

// Copies serves the copies of a node to its peers. The keys are kinds.
type Copies map[string]*sagefollow.Follower

const (
	// minConcurrentCopies is the least number of copies sent at a time; on the slowest links more would delay all of
	// them. A refused peer fetches the content later from another node that has it by then and announces it.
	minConcurrentCopies = 4
	// mbpsPerCopy is the bandwidth of a link for each further copy.
	mbpsPerCopy = 25
)

// MaxConcurrentCopies returns the number of copies that a node with a link of the given bandwidth sends at a time.
func MaxConcurrentCopies(linkMbps int) int { return max(minConcurrentCopies, linkMbps/mbpsPerCopy) }

// Handle adds a handler for the copies to a mux, for a node with a link of the given bandwidth.
func (c Copies) Handle(mux *http.ServeMux, linkMbps int) {
	slots := semaphore.NewWeighted(int64(MaxConcurrentCopies(linkMbps)))
	caches := make(map[string]*encodedCopy, len(c))
	for kind := range c {
		caches[kind] = new(encodedCopy)
	}
	mux.HandleFunc("GET "+copiesPath+"{kind}", func(w http.ResponseWriter, r *http.Request) {
		kind := r.PathValue("kind")
		f := c[kind]
		since, err := parsePoint(r.URL.Query())
		if f == nil || err != nil {
			http.Error(w, "no such copy", http.StatusNotFound)
			return
		}
		if !slots.TryAcquire(1) {
			http.Error(w, "too many peers ask", http.StatusServiceUnavailable)
			return
		}
		defer slots.Release(1)
		if since.Revision == 0 {
			err = caches[kind].writeTo(w, f)
		} else {
			err = writeCompressed(w, func(w io.Writer) error { return encodeDelta(w, f.DeltaSince(since)) })
		}
		if err != nil {
			f.Log.Warn("Copy could not be sent to a peer.", "kind", f.Kind, "err", err)
		}
	})
}

// parsePoint decodes the point from which a peer wants the changes. A peer that knows no eras sends none.
func parsePoint(q url.Values) (sagefollow.Point, error) {
	var p sagefollow.Point
	var err error
	if p.Revision, err = strconv.ParseUint(q.Get("since"), 10, 64); err != nil {
		return p, fmt.Errorf("parse revision: %w", err)
	}
	if s := q.Get("era"); s != "" {
		if p.Era, err = strconv.ParseUint(s, 10, 64); err != nil {
			return p, fmt.Errorf("parse era: %w", err)
		}
	}
	return p, nil
}

// encodedCopyTTL is how long an encoded copy is kept after its last use.
const encodedCopyTTL = 10 * time.Second

// encodedCopy is the encoded content of a kind, for many peers that have none. Encoding ten thousand objects takes longer
// than sending them.
type encodedCopy struct {
	mu      sync.Mutex
	version uint64 // version of the content in data
	data    []byte
	expiry  *time.Timer
}

// writeTo sends the content of a copy.
func (e *encodedCopy) writeTo(w http.ResponseWriter, f *sagefollow.Follower) error {
	data, asOf, err := e.encode(f)
	if err != nil {
		return err
	}
	setCompressedHeader(w)
	w.Header().Set(asOfHeader, strconv.FormatUint(asOf, 10))
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// encode returns the encoded content, which is the same for all peers until it changes, and the revision up to which it
// is complete.
func (e *encodedCopy) encode(f *sagefollow.Follower) (data []byte, asOf uint64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at, version := f.State(); e.data != nil && e.version == version {
		e.expiry.Reset(encodedCopyTTL)
		return e.data, at.Revision, nil
	}
	d, version := f.FullDelta()
	var b bytes.Buffer
	if err := compress(&b, func(w io.Writer) error { return encodeDelta(w, d) }); err != nil {
		return nil, 0, err
	}
	if version != 0 {
		e.version, e.data = version, b.Bytes()
		e.expiry = time.AfterFunc(encodedCopyTTL, e.drop)
	}
	return b.Bytes(), d.AsOf, nil
}

func (e *encodedCopy) drop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.data = nil
}

// writeCompressed compresses what encode writes. Copies are sent between data centres, and compression reduces
// configurations to a tenth.
func writeCompressed(w http.ResponseWriter, encode func(w io.Writer) error) error {
	setCompressedHeader(w)
	return compress(w, encode)
}

func setCompressedHeader(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
}

func compress(w io.Writer, encode func(w io.Writer) error) error {
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return fmt.Errorf("compress: %w", err)
	}
	if err := encode(z); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if err := z.Close(); err != nil {
		return fmt.Errorf("finish: %w", err)
	}
	return nil
}
