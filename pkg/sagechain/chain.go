package sagechain

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part is a segment of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Chain lists a prompt's parts in order. The last part is unique to the request.
type Chain []Part

// Shared returns the parts that other requests may have in common with this one.
func (c Chain) Shared() Chain {
	if len(c) < 2 {
		return nil
	}
	return c[:len(c)-1]
}

// Key returns the key for rendezvous hashing: the last shared part, which is the most specific one that requests
// have in common.
func (c Chain) Key() uint64 {
	switch {
	case len(c) == 0:
		return 0
	case len(c) == 1:
		return c[0].ID
	}
	return c[len(c)-2].ID
}

// UniquePart returns the ID of the part that is unique to the request.
func (c Chain) UniquePart() uint64 {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].ID
}

// String returns the IDs of the parts in hexadecimal, separated by commas.
func (c Chain) String() string {
	var b strings.Builder
	for i, p := range c {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(p.ID, 16))
	}
	return b.String()
}

// Tokens returns the length of all parts together.
func (c Chain) Tokens() int {
	n := 0
	for _, p := range c {
		n += p.Tokens
	}
	return n
}

// hashRank returns an upstream's rendezvous hash for a key; the upstream with the greatest hash ranks first.
func hashRank(key uint64, upstream string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
