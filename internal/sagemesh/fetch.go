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
)

// copiesPath is where a node answers other nodes with the content of its copies.
const copiesPath = "/v1/copies/"

// ErrStatus reports a peer that did not answer with content.
var ErrStatus = errors.New("peer refused")

// Fetcher gets copies from peers. HTTP is set before use.
type Fetcher struct {
	HTTP *http.Client
}

// Fetch implements [sagefollow.Peers].
func (f *Fetcher) Fetch(ctx context.Context, peer, kind string, since uint64) (sagefollow.Delta, error) {
	var d sagefollow.Delta
	u := "http://" + peer + copiesPath + url.PathEscape(kind) + "?since=" + strconv.FormatUint(since, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return d, fmt.Errorf("make request: %w", err)
	}
	res, err := f.HTTP.Do(req)
	if err != nil {
		return d, fmt.Errorf("ask peer: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return d, fmt.Errorf("status %d: %w", res.StatusCode, ErrStatus)
	}
	if err := json.NewDecoder(res.Body).Decode(&d); err != nil {
		return d, fmt.Errorf("decode copy: %w", err)
	}
	return d, nil
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
