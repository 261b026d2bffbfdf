package sagestandin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"sagestand.example/sagestand/pkg/sageobject"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Platform is a stand-in for the platform's Object API, VM list and weight store. Its exported fields must be
// set before Handler is called. A rate of zero means no limit.
type Platform struct {
	// ReadsPerSecond and WritesPerSecond limit the Object API, which responds with status 429 beyond them.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// WeightsPerSecond limits the weight store.
	WeightsPerSecond float64
	// ListLagMillis is the delay until a change of the VM list becomes visible.
	ListLagMillis int

	store  sageobject.Memory
	faults Faults

	mu        sync.Mutex
	vms       []VM
	oldVMs    []VM
	changedAt time.Time
	calls     map[string]int64
}

// Handler returns the platform's HTTP handler.
func (p *Platform) Handler() http.Handler {
	p.calls = make(map[string]int64)
	mux := http.NewServeMux()
	reads, writes := newLimiter(p.ReadsPerSecond), newLimiter(p.WritesPerSecond)
	mux.HandleFunc("GET /v1/objects/{key...}", p.limited("get", reads, p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.limited("put", writes, p.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.limited("delete", writes, p.remove))
	mux.HandleFunc("GET /v1/list", p.limited("list", reads, p.list))
	mux.HandleFunc("GET /v1/vms", p.limited("vms", reads, p.listVMs))
	mux.HandleFunc("GET /v1/weights/{name}", p.limited("weights", newLimiter(p.WeightsPerSecond), p.weights))
	mux.Handle("POST /standin/faults", &p.faults)
	mux.HandleFunc("PUT /standin/vms", p.setVMs)
	mux.HandleFunc("GET /standin/calls", p.serveCalls)
	return mux
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// limited wraps the handler of an operation: it counts calls, applies the rate limit and injects faults.
func (p *Platform) limited(op string, limiter *rate.Limiter, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[op]++
		p.mu.Unlock()
		if !limiter.Allow() {
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		faults := p.faults.Select(op)
		if !faultsBefore(w, r, faults) {
			return
		}
		if _, ok := findFault(faults, FaultLostAnswer); ok {
			f(discardWriter{header: make(http.Header)}, r)
			faultsAfter(faults)
		}
		f(w, r)
	}
}

// discardWriter is an [http.ResponseWriter] that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func statusOf(err error) int {
	switch {
	case errors.Is(err, sageobject.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, sageobject.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, sageobject.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

func writeObject(w http.ResponseWriter, o sageobject.Object) {
	w.Header().Set(sageobject.HeaderVersion, strconv.FormatInt(o.Version, 10))
	_, _ = w.Write(o.Value)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key, q := r.PathValue("key"), r.URL.Query()
	if q.Get("until") != "" {
		p.watch(w, r, key)
		return
	}
	o, err := p.store.Get(r.Context(), key)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	writeObject(w, o)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not a number", http.StatusBadRequest)
		return
	}
	until, err := time.Parse(time.RFC3339Nano, r.URL.Query().Get("until"))
	if err != nil {
		http.Error(w, "until: not an instant", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), until)
	defer cancel()
	o, err := p.store.Watch(ctx, key, after)
	if err != nil {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if _, outage := findFault(p.faults.Select("watch"), FaultOutage); outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	writeObject(w, o)
}

// wantVersion returns the expected version of a conditional write.
func wantVersion(r *http.Request) (int64, error) {
	s := r.Header.Get(sageobject.HeaderIfVersion)
	if s == "" {
		return sageobject.AnyVersion, nil
	}
	return strconv.ParseInt(s, 10, 64)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	expected, err := wantVersion(r)
	if err != nil {
		http.Error(w, "expected version: not a number", http.StatusBadRequest)
		return
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, sageobject.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusBadRequest)
		return
	}
	v, err := p.store.Put(r.Context(), r.PathValue("key"), b, expected)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set(sageobject.HeaderVersion, strconv.FormatInt(v, 10))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	expected, err := wantVersion(r)
	if err != nil {
		http.Error(w, "expected version: not a number", http.StatusBadRequest)
		return
	}
	if err := p.store.Delete(r.Context(), r.PathValue("key"), expected); err != nil {
		http.Error(w, err.Error(), statusOf(err))
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	metas, err := p.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	if metas == nil {
		metas = []sageobject.Meta{}
	}
	writeJSON(w, http.StatusOK, metas)
}

func (p *Platform) weights(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"weights": r.PathValue("name")})
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	c := make(map[string]int64, len(p.calls))
	for op, n := range p.calls {
		c[op] = n
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, c)
}
