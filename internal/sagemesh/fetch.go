package sagemesh

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// copiesPath is where a node answers other nodes with the content of its copies.
const copiesPath = "/v1/copies/"

// heldPath is where it answers with what it knows of the holders of prompt parts.
const heldPath = "/v1/held"

// ErrStatus reports a peer that did not answer with content.
var ErrStatus = errors.New("peer refused")

// Fetcher gets copies from peers. HTTP is set before use.
type Fetcher struct {
	HTTP *http.Client
}

// Fetch implements [sagefollow.Peers].
func (f *Fetcher) Fetch(ctx context.Context, peer, kind string, since uint64) (sagefollow.Delta, error) {
	var d sagefollow.Delta
	err := f.get(ctx, peer, copiesPath+url.PathEscape(kind)+"?since="+strconv.FormatUint(since, 10), &d)
	return d, err
}

// Holders are prompt parts by the upstreams that hold them.
type Holders struct {
	// Told is what nodes saw.
	Observed map[string][]uint64 `json:"told"`
	// Listed is what upstreams listed themselves.
	Listed map[string][]sagechain.PartHash `json:"listed"`
}

// Held returns the prompt parts that a peer knows each upstream to hold.
func (f *Fetcher) FetchHolders(ctx context.Context, peer string) (Holders, error) {
	var held Holders
	err := f.get(ctx, peer, heldPath, &held)
	return held, err
}

// get decodes a peer's answer into out.
func (f *Fetcher) get(ctx context.Context, peer, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+path, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	res, err := f.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("ask peer: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %w", res.StatusCode, ErrStatus)
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return fmt.Errorf("decode answer of peer: %w", err)
	}
	return nil
}

// HandleHeld answers peers with what this node knows of the holders of prompt parts.
func HandleHeld(mux *http.ServeMux, placer *sagechain.Placer, log sagelog.Logger) {
	mux.HandleFunc("GET "+heldPath, func(w http.ResponseWriter, _ *http.Request) {
		now := sageclock.Now()
		if err := encode(w, Holders{Observed: placer.All(now), Listed: placer.AllListed(now)}); err != nil {
			log.Warn("Holders could not be sent to a peer.", "err", err)
		}
	})
}

// Copies answers peers. The keys are kinds.
type Copies map[string]*sagefollow.Follower

// atOnce is how many peers are given copies at a time: on the slowest links more would make all of
// them late. A peer that is turned away hears of the others that have the content by then.
const atOnce = 4

// Handle adds the copies to a mux.
func (c Copies) Handle(mux *http.ServeMux) {
	slots := semaphore.NewWeighted(atOnce)
	mux.HandleFunc("GET "+copiesPath+"{kind}", func(w http.ResponseWriter, r *http.Request) {
		f := c[r.PathValue("kind")]
		since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		if f == nil || err != nil {
			http.Error(w, "no such copy", http.StatusNotFound)
			return
		}
		if !slots.TryAcquire(1) {
			http.Error(w, "too many peers ask", http.StatusServiceUnavailable)
			return
		}
		defer slots.Release(1)
		if err := encode(w, f.DeltaSince(since)); err != nil {
			f.Log.Warn("Copy could not be sent to a peer.", "kind", f.Kind, "err", err)
		}
	})
}

// encode writes a compressed answer. Configurations shrink to a tenth, and what nodes send each other
// crosses data centres.
func encode(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return fmt.Errorf("compress: %w", err)
	}
	if err := json.NewEncoder(z).Encode(v); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if err := z.Close(); err != nil {
		return fmt.Errorf("finish: %w", err)
	}
	return nil
}
