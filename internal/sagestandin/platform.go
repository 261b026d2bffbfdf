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

// Platform is a stand-in for the platform's Object API, VM list and weight store. Its exported
// fields are set before Handler is called; zero rates mean no limit.
type Platform struct {
	// ReadsPerSecond and WritesPerSecond bound the Object API; beyond them it answers 429.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// WeightsPerSecond bounds the weight store.
	WeightsPerSecond float64
	// ListLagMillis is how late a change of the VM list shows.
	ListLagMillis int

	store  sageobject.Memory
	faults Faults

	mu     sync.Mutex
	vms    []VM
	oldVMs []VM
	seenAt time.Time
	calls  map[string]int64
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	p.calls = make(map[string]int64)
	mux := http.NewServeMux()
	reads, writes := limiter(p.ReadsPerSecond), limiter(p.WritesPerSecond)
	mux.HandleFunc("GET /v1/objects/{key...}", p.limited("get", reads, p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.limited("put", writes, p.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.limited("delete", writes, p.remove))
	mux.HandleFunc("GET /v1/list", p.limited("list", reads, p.list))
	mux.HandleFunc("GET /v1/vms", p.limited("vms", reads, p.listVMs))
	mux.HandleFunc("GET /v1/weights/{name}", p.limited("weights", limiter(p.WeightsPerSecond), p.weights))
	mux.Handle("POST /standin/faults", &p.faults)
	mux.HandleFunc("PUT /standin/vms", p.setVMs)
	mux.HandleFunc("GET /standin/calls", p.showCalls)
	return mux
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// limited wraps an operation with its rate limit, its faults and its count of calls.
func (p *Platform) limited(op string, lim *rate.Limiter, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[op]++
		p.mu.Unlock()
		if !lim.Allow() {
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		hit := p.faults.Select(op)
		if !before(w, r, hit) {
			return
		}
		if _, ok := find(hit, FaultLostAnswer); ok {
			f(discard{header: make(http.Header)}, r)
			after(hit)
		}
		f(w, r)
	}
}

// discard takes an answer that nobody will see.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func storeStatus(err error) int {
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
		http.Error(w, err.Error(), storeStatus(err))
		return
	}
	writeObject(w, o)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string) {
	n, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
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
	o, err := p.store.Watch(ctx, key, n)
	if err != nil {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if _, out := find(p.faults.Select("watch"), FaultOutage); out {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	writeObject(w, o)
}

// wantVersion reads the expected version of a conditional write.
func wantVersion(r *http.Request) (int64, error) {
	s := r.Header.Get(sageobject.HeaderIfVersion)
	if s == "" {
		return sageobject.AnyVersion, nil
	}
	return strconv.ParseInt(s, 10, 64)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	want, err := wantVersion(r)
	if err != nil {
		http.Error(w, "expected version: not a number", http.StatusBadRequest)
		return
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, sageobject.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusBadRequest)
		return
	}
	v, err := p.store.Put(r.Context(), r.PathValue("key"), b, want)
	if err != nil {
		http.Error(w, err.Error(), storeStatus(err))
		return
	}
	w.Header().Set(sageobject.HeaderVersion, strconv.FormatInt(v, 10))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	want, err := wantVersion(r)
	if err != nil {
		http.Error(w, "expected version: not a number", http.StatusBadRequest)
		return
	}
	if err := p.store.Delete(r.Context(), r.PathValue("key"), want); err != nil {
		http.Error(w, err.Error(), storeStatus(err))
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	metas, err := p.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		http.Error(w, err.Error(), storeStatus(err))
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

func (p *Platform) showCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	c := make(map[string]int64, len(p.calls))
	for op, n := range p.calls {
		c[op] = n
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, c)
}
