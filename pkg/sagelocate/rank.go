package sagelocate

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// VM is a live VM that callers may connect to.
type VM struct {
	Address    string
	DataCentre string
	// Load is its number of requests in flight. It may be out of date.
	Load uint32
	// Suspect is set if the VM may have failed.
	Suspect bool
}

// Query describes the caller.
type Query struct {
	Account string
	Chat    string
	// DataCentre is the caller's data centre if the caller names it. The data centre of the VM that
	// handles the query isn't used instead, since a query to another VM must not move the chat.
	DataCentre string
}

// Ranker ranks VMs. Its fields must be set before first use; it has no other state.
type Ranker struct {
	// Slots is the number of slots of an account, and with it the maximum number of VMs of a data
	// centre that its chats are spread over.
	Slots int
	// Count is the maximum number of addresses in an answer.
	Count int
	// LoadBound is the multiple of the mean load above which a VM is tried after the others; 0 means
	// no bound.
	LoadBound float64
	// LoadFloor is the load up to which the bound doesn't apply, since multiples of a very small mean
	// are meaningless.
	LoadFloor uint32
}

// DefaultRanker returns the ranker that is used unless the settings say otherwise.
func DefaultRanker() Ranker { return Ranker{Slots: 8, Count: 3, LoadBound: 1.5, LoadFloor: 16} }

// hashedVM is a VM with the hash of its address.
type hashedVM struct {
	vm   *VM
	hash uint64
}

// Rank returns addresses of vms in the order in which the caller should try them. The last one is in
// another data centre if possible, in case the whole near data centre is lost.
func (r Ranker) Rank(q Query, vms []VM) []string {
	near, far, rest := r.split(q, vms)
	nearCount := r.Count
	if len(far) > 0 && nearCount > 1 {
		nearCount--
	}
	slots := uint64(max(1, r.Slots))
	first := chatHash(q.Account, q.Chat) % slots
	var list []string
	list = appendWinners(list, nearCount, q.Account, first, slots, near)
	list = appendWinners(list, r.Count, q.Account, first, slots, far)
	list = appendWinners(list, r.Count, q.Account, first, slots, near)
	return appendWinners(list, r.Count, q.Account, first, slots, rest)
}

// split returns the VMs in the caller's data centre, those elsewhere, and those that are suspect or
// loaded above the bound and should only be tried if no others are left.
func (r Ranker) split(q Query, vms []VM) (near, far, rest []hashedVM) {
	limit := r.loadLimit(vms)
	near = make([]hashedVM, 0, len(vms))
	far = make([]hashedVM, 0, len(vms))
	for i := range vms {
		v := &vms[i]
		h := hashedVM{vm: v, hash: xxhash.Sum64String(v.Address)}
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

// loadLimit returns the maximum load of a VM that isn't moved behind the others.
func (r Ranker) loadLimit(vms []VM) float64 {
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

// appendWinners appends the winners of the account's slots, beginning with slot first, until the list
// holds count addresses.
func appendWinners(list []string, count int, account string, first, slots uint64, vms []hashedVM) []string {
	for i := uint64(0); i < slots && len(list) < count && len(vms) > 0; i++ {
		list = appendUnique(list, winner(slotHash(account, (first+i)%slots), vms))
	}
	return list
}

func appendUnique(list []string, address string) []string {
	for _, a := range list {
		if a == address {
			return list
		}
	}
	return append(list, address)
}

// winner returns the VM with the highest score for a slot. Slots are independent of each other, so
// that a VM that departs or arrives changes only its own slots.
func winner(slot uint64, vms []hashedVM) string {
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

func chatHash(account, chat string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(account)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(chat)
	return d.Sum64()
}
