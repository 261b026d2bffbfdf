package sagelocate

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// VM is a live VM that may be named.
type VM struct {
	Address    string
	DataCentre string
	// Load is its number of requests in flight, as a hint that lags.
	Load uint32
	// Suspect says that it may be dead.
	Suspect bool
}

// Query says who asks.
type Query struct {
	Account string
	Chat    string
	// DataCentre is where the caller is, when it says so. It is not taken from the VM that happens
	// to be asked: asking another VM must not move the chat.
	DataCentre string
}

// Ranker orders VMs. Its fields are set before first use; it keeps no state.
type Ranker struct {
	// Slots is how many VMs of a data centre an account is spread over, at most.
	Slots int
	// Count is how many addresses an answer names, at most.
	Count int
	// Bound is the multiple of the mean load above which a VM goes behind the others; 0 means none.
	LoadBound float64
	// Floor is a load up to which the bound doesn't apply: a mean of almost nothing says nothing.
	LoadFloor uint32
}

// DefaultRanker returns the values used when the settings name none.
func DefaultRanker() Ranker { return Ranker{Slots: 8, Count: 3, LoadBound: 1.5, LoadFloor: 16} }

// hashed is a VM with the hash of its address.
type hashed struct {
	vm   *VM
	hash uint64
}

// Rank returns addresses of vms in the order in which the caller should try them. The last of them
// is in another data centre, where there is one, for the case that the near one is lost.
func (r Ranker) Rank(q Query, vms []VM) []string {
	near, far, rest := r.split(q, vms)
	nearCount := r.Count
	if len(far) > 0 && nearCount > 1 {
		nearCount--
	}
	slots := uint64(max(1, r.Slots))
	first := hashText(q.Account, q.Chat) % slots
	var list []string
	list = fill(list, nearCount, q.Account, first, slots, near)
	list = fill(list, r.Count, q.Account, first, slots, far)
	list = fill(list, r.Count, q.Account, first, slots, near)
	return fill(list, r.Count, q.Account, first, slots, rest)
}

// split returns the VMs near the caller, those elsewhere, and those that should only be tried when
// nothing else is left: suspected or loaded above the bound.
func (r Ranker) split(q Query, vms []VM) (near, far, rest []hashed) {
	limit := r.limit(vms)
	near = make([]hashed, 0, len(vms))
	far = make([]hashed, 0, len(vms))
	for i := range vms {
		v := &vms[i]
		h := hashed{vm: v, hash: xxhash.Sum64String(v.Address)}
		switch {
		case v.Suspect || float64(v.Load) > limit:
			rest = append(rest, h)
		case q.DataCentre == "" || v.DataCentre == q.DataCentre:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	return near, far, rest
}

// limit returns the greatest load with which a VM keeps its place.
func (r Ranker) limit(vms []VM) float64 {
	sum := 0.0
	for _, v := range vms {
		sum += float64(v.Load)
	}
	const unlimited = 1 << 33
	if r.LoadBound <= 0 || len(vms) == 0 {
		return unlimited
	}
	return max(float64(r.LoadFloor), r.LoadBound*sum/float64(len(vms)))
}

// fill appends the winners of the account's slots, from the chat's own slot on, until the list holds
// count addresses.
func fill(list []string, count int, account string, first, slots uint64, vms []hashed) []string {
	for i := uint64(0); i < slots && len(list) < count && len(vms) > 0; i++ {
		list = appendNew(list, winner(slotHash(account, (first+i)%slots), vms))
	}
	return list
}

func appendNew(list []string, address string) []string {
	for _, a := range list {
		if a == address {
			return list
		}
	}
	return append(list, address)
}

// winner returns the VM with the highest score for a slot. Each slot decides by itself, so that a
// VM that departs or arrives changes no slot but its own.
func winner(slot uint64, vms []hashed) string {
	best, score := "", uint64(0)
	for i := range vms {
		s := mix(slot ^ vms[i].hash)
		if s > score || best == "" || (s == score && vms[i].vm.Address < best) {
			best, score = vms[i].vm.Address, s
		}
	}
	return best
}

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number
// Generators", OOPSLA 2014): each bit of x changes half of the result's bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func slotHash(account string, slot uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], slot)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(account)
	return d.Sum64()
}

func hashText(account, chat string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(account)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(chat)
	return d.Sum64()
}
