package sagechain

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Chain is a prompt's parts in order; the last one belongs to the request alone.
type Chain []Part

// Shared returns the parts that other requests may have as well.
func (c Chain) Shared() Chain {
	if len(c) < 2 {
		return nil
	}
	return c[:len(c)-1]
}

// Key returns what the order of upstreams follows: the last shared part, which is the most specific
// one that requests have in common.
func (c Chain) Key() uint64 {
	switch {
	case len(c) == 0:
		return 0
	case len(c) == 1:
		return c[0].ID
	}
	return c[len(c)-2].ID
}

// Own returns the part that belongs to the request alone.
func (c Chain) UniquePart() uint64 {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].ID
}

// Tokens returns the length of the prompt.
func (c Chain) Tokens() int {
	n := 0
	for _, p := range c {
		n += p.Tokens
	}
	return n
}

// order is an upstream's place in a key's order; the greatest comes first.
func order(key uint64, upstream string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
