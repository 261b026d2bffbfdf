package sageplace

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Upstream is one candidate.
type Upstream struct {
	Name string
	// Weight is the capacity of the upstream when warm, in concurrent requests. It weights the order,
	// so it must not follow the ramp of a cold start: the order would change with every step.
	Weight int
}

// Table holds the candidates of one set of upstreams and one set of models in the form that decisions
// read. It is immutable; a change of configuration creates a new table.
type Table struct {
	Upstreams []Upstream
	hashes    []uint64
	// inverseWeights holds 2⁶⁴ divided by each weight, minCostFactors log₂(e)·2⁵⁶ divided by it.
	inverseWeights []uint64
	minCostFactors []uint64
	index          map[uint64]int
}

// NewTable returns the table of ups. A weight below 1 counts as 1.
func NewTable(ups []Upstream) *Table {
	t := &Table{
		Upstreams:      ups,
		hashes:         make([]uint64, len(ups)),
		inverseWeights: make([]uint64, len(ups)),
		minCostFactors: make([]uint64, len(ups)),
		index:          make(map[uint64]int, len(ups)),
	}
	for i, u := range ups {
		t.hashes[i] = Key(u.Name)
		weight := uint64(max(u.Weight, 1))
		t.inverseWeights[i] = math.MaxUint64 / weight
		t.minCostFactors[i] = log2E / weight
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

// Find returns the index in t of the upstream whose name has that [Key], or -1.
func (t *Table) Find(key uint64) int {
	if i, ok := t.index[key]; ok {
		return i
	}
	return -1
}

// cost determines the order of the candidates for a key: the lowest cost is the first. It is
// -log₂(u)/weight for a hash u in (0, 1), in fixed point, so that every router computes the same order.
func (t *Table) cost(key uint64, i int) uint64 { return t.costOf(mix(key^t.hashes[i]), i) }

func (t *Table) costOf(x uint64, i int) uint64 {
	hi, _ := bits.Mul64(negLog2(x), t.inverseWeights[i])
	return hi
}

// minCostOf returns a lower bound of costOf, by -ln(u) ≥ 1-u, without the logarithm. With it a decision
// skips most candidates.
func (t *Table) minCostOf(x uint64, i int) uint64 {
	hi, _ := bits.Mul64(^x, t.minCostFactors[i])
	return hi
}

// Order writes the first candidates of key's order into dst, at most [MaxWidth], and returns their
// number.
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

// mix is the finalizer of SplitMix64: every bit of x affects every bit of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	logTableBits    = 9  // the table of logarithms has 2⁹ steps
	logFractionBits = 56 // fixed-point logarithms have 56 fractional bits
)

// log2E is log₂(e) in the fixed point of the logarithms, rounded down by more than their error.
const log2E uint64 = 144269 * (1 << logFractionBits) / 100000

// logTable holds log₂(1+k/2⁹).
var logTable = func() (t [1<<logTableBits + 1]uint64) {
	for k := range t {
		t[k] = uint64(math.Log2(1+float64(k)/(1<<logTableBits)) * (1 << logFractionBits))
	}
	return t
}()

// negLog2 returns -log₂(x/2⁶⁴) for x above 0 by linear interpolation; its error is below 10⁻⁶.
func negLog2(x uint64) uint64 {
	x |= 1
	leadingZeros := uint64(bits.LeadingZeros64(x))
	frac := x << (leadingZeros + 1)
	k := frac >> (64 - logTableBits)
	interpolated, _ := bits.Mul64(logTable[k+1]-logTable[k], frac<<logTableBits)
	return (leadingZeros+1)<<logFractionBits - logTable[k] - interpolated
}
