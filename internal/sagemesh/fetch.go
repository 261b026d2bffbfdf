package sagemesh

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

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

// Held returns the prompt parts that a peer knows each upstream to hold.
func (f *Fetcher) Held(ctx context.Context, peer string) (map[string][]uint64, error) {
	var held map[string][]uint64
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
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(placer.All(sageclock.Now())); err != nil {
			log.Warn("Holders could not be sent to a peer.", "err", err)
		}
	})
}

// Copies answers peers. The keys are kinds.
type Copies map[string]*sagefollow.Follower

// Handle adds the copies to a mux.
func (c Copies) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+copiesPath+"{kind}", func(w http.ResponseWriter, r *http.Request) {
		f := c[r.PathValue("kind")]
		since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		if f == nil || err != nil {
			http.Error(w, "no such copy", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(f.Since(since)); err != nil {
			f.Log.Warn("Copy could not be sent to a peer.", "kind", f.Kind, "err", err)
		}
	})
}
