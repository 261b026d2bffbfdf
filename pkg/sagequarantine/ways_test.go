package sagequarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model weighs ways to find the part under which upstreams crash. One judge gets the evidence of all nodes, after the
// delays that it has in the fleet.
const (
	wayDuration   = 30 * time.Second
	wayFatalFrom  = 3 * time.Second
	wayCrashDelay = 750 * time.Millisecond // detection, verification of the path, a heartbeat
	// wayProvisionalDelay is when a crash may be known everywhere that isn't verified yet.
	wayProvisionalDelay = 60 * time.Millisecond
	waySuccessDelay     = 150 * time.Millisecond
	wayRestartTime      = 9 * time.Second
	wayRate             = 7.0 // requests a second and upstream
	wayFirstParts       = 8
	wayConversations    = 30 // for each upstream
	wayRetryDelay       = 100 * time.Millisecond
)

// wayRequest is a request in the model. Part 0 is the fatal one.
type wayRequest struct {
	parts          []int
	upstream       int
	sent, begun    time.Duration // begun is when the first event is due
	end            time.Duration
	retried, fatal bool
}

// way decides which parts are refused.
type way interface {
	crash(now time.Duration, id int, running []*wayRequest)
	success(now time.Duration, parts []int)
	// refuses reports whether a request must not be sent.
	refuses(now time.Duration, parts []int) bool
}

type wayEvent struct {
	at   time.Duration
	call func()
}

type wayQueue []wayEvent

func (q wayQueue) Len() int           { return len(q) }
func (q wayQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q wayQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *wayQueue) Push(x any)        { *q = append(*q, x.(wayEvent)) }
func (q *wayQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// wayModel is one play.
type wayModel struct {
	rnd       *rand.Rand
	now       time.Duration
	queue     wayQueue
	way       way
	running   []map[*wayRequest]bool
	downUntil []time.Duration
	crashes   int
	cancels   bool // requests that have not begun are cancelled when their part is quarantined

	fatalCrashes               []time.Duration
	late, refused, sound, lost int
	settledSent, settledBegun  int
}

func (m *wayModel) at(t time.Duration, call func()) { heap.Push(&m.queue, wayEvent{t, call}) }

func (m *wayModel) every(rate float64, from time.Duration, call func()) {
	if rate == 0 {
		return
	}
	var next func()
	next = func() {
		call()
		m.at(m.now+time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.at(from+time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), next)
}

func (m *wayModel) settled() bool {
	return len(m.fatalCrashes) > 0 && m.now > m.fatalCrashes[min(4, len(m.fatalCrashes)-1)]+6*time.Second
}

// send sends a request to an upstream that is up.
func (m *wayModel) send(r *wayRequest) {
	counted := !r.fatal && !r.retried
	if counted {
		m.sound++
		if m.settled() {
			m.settledSent++
		}
	}
	if m.way.refuses(m.now, r.parts) {
		if !r.fatal {
			m.refused++
		}
		return
	}
	for range 4 * len(m.running) {
		if r.upstream = m.rnd.IntN(len(m.running)); m.now >= m.downUntil[r.upstream] {
			break
		}
	}
	if m.now < m.downUntil[r.upstream] {
		m.lost++
		return
	}
	if r.fatal && len(m.fatalCrashes) >= 5 && m.now > m.fatalCrashes[4]+3*time.Second {
		m.late++
	}
	r.sent, r.begun = m.now, m.now+time.Duration(50+m.rnd.IntN(150))*time.Millisecond
	r.end = r.begun + time.Duration(m.rnd.ExpFloat64()*float64(1200*time.Millisecond))
	if r.fatal {
		r.end = r.begun + 20*time.Millisecond
	}
	u := r.upstream
	m.running[u][r] = true
	if counted && m.settled() {
		m.at(r.begun, func() {
			if m.running[u][r] {
				m.settledBegun++
			}
		})
	}
	m.at(r.end, func() { m.finish(u, r) })
}

func (m *wayModel) finish(u int, r *wayRequest) {
	if !m.running[u][r] {
		return
	}
	if r.fatal {
		m.fatalCrashes = append(m.fatalCrashes, m.now)
		m.crash(u)
		return
	}
	delete(m.running[u], r)
	m.at(m.now+waySuccessDelay, func() { m.way.success(m.now, r.parts) })
}

func (m *wayModel) crash(u int) {
	if m.now < m.downUntil[u] {
		return
	}
	m.downUntil[u] = m.now + wayRestartTime
	var interrupted []*wayRequest
	for r := range m.running[u] {
		interrupted = append(interrupted, r)
	}
	slices.SortFunc(interrupted, func(a, b *wayRequest) int { return cmp.Compare(a.end, b.end) })
	clear(m.running[u])
	m.crashes++
	id := m.crashes
	if w, ok := m.way.(*holdWay); ok {
		m.at(m.now+wayProvisionalDelay, func() { w.provisional(m.now, interrupted); m.cancelQuarantined() })
	}
	m.at(m.now+wayCrashDelay, func() { m.way.crash(m.now, id, interrupted); m.cancelQuarantined() })
	for _, r := range interrupted {
		if !r.retried && !r.fatal {
			m.at(m.now+wayRetryDelay, func() { m.send(&wayRequest{parts: r.parts, retried: true}) })
		}
	}
}

// cancelQuarantined cancels the fatal requests that have not begun, if their part is quarantined by now.
func (m *wayModel) cancelQuarantined() {
	if !m.cancels || !m.way.refuses(m.now, []int{0}) {
		return
	}
	for u := range m.running {
		for r := range m.running[u] {
			if r.fatal {
				delete(m.running[u], r)
			}
		}
	}
}

// wayScenario is what is played.
type wayScenario struct {
	upstreams            int
	fatalRate, crashRate float64
}

func (s wayScenario) play(seed uint64, w way, cancels bool) *wayModel {
	m := &wayModel{rnd: rand.New(rand.NewPCG(seed, 3)), way: w, cancels: cancels, running: make([]map[*wayRequest]bool, s.upstreams), downUntil: make([]time.Duration, s.upstreams)}
	for u := range m.running {
		m.running[u] = make(map[*wayRequest]bool)
	}
	soundParts := func() []int {
		return []int{1 + m.rnd.IntN(wayFirstParts), 100 + m.rnd.IntN(wayConversations*s.upstreams)}
	}
	m.every(wayRate*float64(s.upstreams), 0, func() { m.send(&wayRequest{parts: soundParts()}) })
	m.every(s.fatalRate, wayFatalFrom, func() { m.send(&wayRequest{parts: append(soundParts(), 0), fatal: true}) })
	m.every(s.crashRate, 0, func() { m.crash(m.rnd.IntN(s.upstreams)) })
	for len(m.queue) > 0 && m.queue[0].at < wayDuration {
		e := heap.Pop(&m.queue).(wayEvent)
		m.now = e.at
		e.call()
	}
	return m
}

// wayRecord is what a way knows of one part.
type wayRecord struct {
	crashes     map[int]bool
	score       float64
	lastSuccess time.Duration
	succeeded   bool
}

// wayParts holds the records of all parts and those that are quarantined.
type wayParts struct {
	records     map[int]*wayRecord
	quarantined map[int]map[int]bool // with the crashes
}

func (w *wayParts) of(p int) *wayRecord {
	if w.records == nil {
		w.records, w.quarantined = make(map[int]*wayRecord), make(map[int]map[int]bool)
	}
	r := w.records[p]
	if r == nil {
		r = &wayRecord{crashes: make(map[int]bool), lastSuccess: -time.Hour}
		w.records[p] = r
	}
	return r
}

func (w *wayParts) refuses(_ time.Duration, parts []int) bool {
	for _, p := range parts {
		if w.quarantined[p] != nil {
			return true
		}
	}
	return false
}

func (w *wayParts) success(now time.Duration, parts []int) {
	for _, p := range parts {
		r := w.of(p)
		clear(r.crashes)
		r.lastSuccess, r.succeeded, r.score = now, true, 0
		delete(w.quarantined, p)
	}
}

// suspects returns the parts of the requests that ran when an upstream crashed and that have not succeeded since.
func (w *wayParts) suspects(now time.Duration, running []*wayRequest, onlyBeginning bool) []int {
	var out []int
	for _, r := range running {
		if onlyBeginning && r.begun+time.Second < now-wayCrashDelay {
			continue
		}
		for _, p := range r.parts {
			if w.of(p).lastSuccess < now-wayCrashDelay && !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
	}
	slices.Sort(out)
	return out
}

// countWay counts the crashes since the last success.
type countWay struct {
	wayParts
	threshold, afterSuccess int
	onlyBeginning           bool
}

func (w *countWay) crash(now time.Duration, id int, running []*wayRequest) {
	for _, p := range w.suspects(now, running, w.onlyBeginning) {
		r := w.of(p)
		r.crashes[id] = true
		n := w.threshold
		if r.succeeded {
			n = w.afterSuccess
		}
		if len(r.crashes) >= n {
			w.quarantined[p] = r.crashes
		}
	}
}

// ratioWay adds up the logarithm of the likelihood ratio of a fatal and a sound part for each exchange.
type ratioWay struct {
	wayParts
	exchanges, broken float64
	limit             float64
}

func (w *ratioWay) success(_ time.Duration, parts []int) {
	w.exchanges++
	for _, p := range parts {
		r := w.of(p)
		r.score = max(0, r.score-3)
		if r.score == 0 {
			delete(w.quarantined, p)
		}
	}
}

func (w *ratioWay) crash(_ time.Duration, _ int, running []*wayRequest) {
	w.broken += float64(len(running))
	share := (w.broken + 1) / (w.exchanges + w.broken + 20)
	for _, r := range running {
		for _, p := range r.parts {
			rec := w.of(p)
			rec.score += math.Log(1 / share)
			if rec.score > w.limit {
				w.quarantined[p] = rec.crashes
			}
		}
	}
}

// coverWay quarantines the part with the most crashes, which then explains them for all others.
type coverWay struct {
	wayParts
	onlyBeginning bool
	threshold     int
	afterSuccess  int
}

func (w *coverWay) explained(p, crash int) bool {
	for q, crashes := range w.quarantined {
		if q != p && crashes[crash] {
			return true
		}
	}
	return false
}

func (w *coverWay) crash(now time.Duration, id int, running []*wayRequest) {
	suspects := w.suspects(now, running, w.onlyBeginning)
	for _, p := range suspects {
		w.of(p).crashes[id] = true
	}
	slices.SortStableFunc(suspects, func(a, b int) int { return cmp.Compare(len(w.of(b).crashes), len(w.of(a).crashes)) })
	for _, p := range suspects {
		r := w.of(p)
		n, unexplained := w.threshold, 0
		if r.succeeded {
			n = w.afterSuccess
		}
		for c := range r.crashes {
			if !w.explained(p, c) {
				unexplained++
			}
		}
		if unexplained < n && !w.outranks(p, unexplained, n) {
			continue
		}
		w.quarantined[p] = r.crashes
		for q, crashes := range w.quarantined {
			if q != p && len(crashes) < len(r.crashes) && containsAll(crashes, r.crashes) {
				delete(w.quarantined, q)
			}
		}
	}
}

// outranks reports whether a part explains all crashes of a quarantined one and at least one more.
func (w *coverWay) outranks(p, unexplained, n int) bool {
	r := w.of(p)
	if unexplained == 0 || len(r.crashes) <= n {
		return false
	}
	for q, crashes := range w.quarantined {
		if q != p && len(crashes) > 0 && containsAll(crashes, r.crashes) {
			return true
		}
	}
	return false
}

func containsAll(a, b map[int]bool) bool {
	for c := range a {
		if !b[c] {
			return false
		}
	}
	return true
}

// holdWay also refuses requests with a part while several crashes under it are being verified.
type holdWay struct {
	coverWay
	pending map[int][]time.Duration
	holdAt  int // number of crashes under a part
}

func (w *holdWay) provisional(now time.Duration, running []*wayRequest) {
	if w.pending == nil {
		w.pending = make(map[int][]time.Duration)
	}
	for _, p := range w.suspects(now+wayCrashDelay-wayProvisionalDelay, running, w.onlyBeginning) {
		w.pending[p] = append(w.pending[p], now)
	}
}

func (w *holdWay) refuses(now time.Duration, parts []int) bool {
	for _, p := range parts {
		n, held := 0, w.pending[p]
		for _, at := range held {
			if at > w.of(p).lastSuccess {
				n++
			}
		}
		limit := w.holdAt
		if w.of(p).succeeded {
			limit = w.afterSuccess
		}
		if n >= limit && now-held[len(held)-1] < wayCrashDelay {
			return true
		}
	}
	return w.coverWay.refuses(now, parts)
}

// BenchmarkWays compares the ways. It is run by hand: go test -run - -bench Ways -benchtime 1x ./pkg/sagequarantine
func BenchmarkWays(b *testing.B) {
	ways := []struct {
		name    string
		cancels bool
		new     func() way
	}{
		{"3 crashes since success", false, func() way { return &countWay{threshold: 3, afterSuccess: 3} }},
		{"3 or 6", false, func() way { return &countWay{threshold: 3, afterSuccess: 6} }},
		{"3 or 6, beginning", false, func() way { return &countWay{threshold: 3, afterSuccess: 6, onlyBeginning: true} }},
		{"likelihood ratio", false, func() way { return &ratioWay{limit: 9} }},
		{"cover 3 or 6", false, func() way { return &coverWay{threshold: 3, afterSuccess: 6} }},
		{"cover 3 or 6, cancel", true, func() way { return &coverWay{threshold: 3, afterSuccess: 6} }},
		{"cover 3 or 6, beginning, cancel", true, func() way { return &coverWay{threshold: 3, afterSuccess: 6, onlyBeginning: true} }},
		{"cover 2 or 6, beginning, cancel", true, func() way { return &coverWay{threshold: 2, afterSuccess: 6, onlyBeginning: true} }},
		{"cover 3 or 6, cancel, hold at 2", true, func() way { return &holdWay{coverWay: coverWay{threshold: 3, afterSuccess: 6}, holdAt: 2} }},
		{"cover 3 or 6, cancel, hold at 3", true, func() way { return &holdWay{coverWay: coverWay{threshold: 3, afterSuccess: 6}, holdAt: 3} }},
	}
	for range b.N {
		for _, upstreams := range []int{14, 100, 1000} {
			for _, s := range []wayScenario{{upstreams, 1.5, 0}, {upstreams, 5, 0}, {upstreams, 5, 0.5}, {upstreams, 5, 2}, {upstreams, 0, 0.5}, {upstreams, 0, 2}} {
				for _, w := range ways {
					var ended, late, maxLate, refused, sound, sent, begun int
					seeds := max(1, 200/upstreams)
					for seed := range uint64(seeds) {
						m := s.play(seed, w.new(), w.cancels)
						ended, late, maxLate = ended+len(m.fatalCrashes), late+m.late, max(maxLate, m.late)
						refused, sound, sent, begun = refused+m.refused, sound+m.sound, sent+m.settledSent, begun+m.settledBegun
					}
					fmt.Printf("%4d upstreams, fatal %.1f/s, crashes %.1f/s | %-32s | ended %.1f | late %d at most %d | refused %d of %d | begun %.3f\n",
						upstreams, s.fatalRate, s.crashRate, w.name, float64(ended)/float64(seeds), late, maxLate, refused, sound, float64(begun)/float64(max(1, sent)))
				}
			}
		}
	}
}
