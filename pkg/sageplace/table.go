package sageplace

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Upstream is one candidate.
type Upstream struct {
	Name string
	// Weight is the number of requests that it bears at once when warm. It weighs the order, so it
	// must not follow the ramp of a cold start: the order would change with every step.
	Weight int
}

// Table holds the candidates of one upstream set and model set in the form that decisions read.
// It is immutable; a change of configuration makes a new one.
type Table struct {
	Upstreams []Upstream
	hashes    []uint64
	// inverses holds 2⁶⁴ divided by each weight, floors log₂(e)·2⁵⁶ divided by it.
	inverses []uint64
	floors   []uint64
	index    map[uint64]int
}

// NewTable returns the table of ups. A weight below 1 counts as 1.
func NewTable(ups []Upstream) *Table {
	t := &Table{
		Upstreams: ups,
		hashes:    make([]uint64, len(ups)),
		inverses:  make([]uint64, len(ups)),
		floors:    make([]uint64, len(ups)),
		index:     make(map[uint64]int, len(ups)),
	}
	for i, u := range ups {
		t.hashes[i] = Key(u.Name)
		weight := uint64(max(u.Weight, 1))
		t.inverses[i] = math.MaxUint64 / weight
		t.floors[i] = floorPoint / weight
		t.index[t.hashes[i]] = i
	}
	return t
}

// Key hashes a name for use in a [Query] and in [Table.Find]. It is never 0, which stands for "none".
func Key(name string) uint64 {
	if h := xxhash.Sum64String(name); h != 0 {
		return h
	}
	return 1
}

// Find returns the place in t of the upstream whose name has that [Key], or -1.
func (t *Table) Find(key uint64) int {
	if i, ok := t.index[key]; ok {
		return i
	}
	return -1
}

// cost orders the candidates of a key: the lowest cost comes first. It is -log₂(u)/weight for a hash
// u in (0, 1), in fixed point, so that every router computes the same order.
func (t *Table) cost(key uint64, i int) uint64 { return t.costOf(mix(key^t.hashes[i]), i) }

func (t *Table) costOf(x uint64, i int) uint64 {
	hi, _ := bits.Mul64(negLog2(x), t.inverses[i])
	return hi
}

// floorOf returns a lower limit of costOf, by -ln(u) ≥ 1-u, without the logarithm. Most candidates of
// a decision are passed over by it.
func (t *Table) floorOf(x uint64, i int) uint64 {
	hi, _ := bits.Mul64(^x, t.floors[i])
	return hi
}

// Order writes the first candidates of key's order into dst, at most [MaxWidth], and returns how many
// there are.
func (t *Table) Order(key uint64, dst []int32) int {
	var costs [MaxWidth]uint64
	dst = dst[:min(len(dst), MaxWidth)]
	n := 0
	for i := range t.hashes {
		c := t.cost(key, i)
		j := n
		for j > 0 && c < costs[j-1] {
			j--
		}
		if j == len(dst) {
			continue
		}
		n = min(n+1, len(dst))
		copy(dst[j+1:n], dst[j:n-1])
		copy(costs[j+1:n], costs[j:n-1])
		dst[j], costs[j] = int32(i), c
	}
	return n
}

// mix is the finalizer of SplitMix64: every bit of x decides about every bit of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	logBits  = 9  // the table of logarithms has 2⁹ steps
	logPoint = 56 // logarithms have 56 bits after the point
)

// floorPoint is log₂(e) with the point of the logarithms, rounded down by more than they err.
const floorPoint uint64 = 144269 * (1 << logPoint) / 100000

// logTable holds log₂(1+k/2⁹).
var logTable = func() (t [1<<logBits + 1]uint64) {
	for k := range t {
		t[k] = uint64(math.Log2(1+float64(k)/(1<<logBits)) * (1 << logPoint))
	}
	return t
}()

// negLog2 returns -log₂(x/2⁶⁴) for x above 0 by linear interpolation; it errs by less than 10⁻⁶.
func negLog2(x uint64) uint64 {
	x |= 1
	lead := uint64(bits.LeadingZeros64(x))
	frac := x << (lead + 1)
	k := frac >> (64 - logBits)
	part, _ := bits.Mul64(logTable[k+1]-logTable[k], frac<<logBits)
	return (lead+1)<<logPoint - logTable[k] - part
}
