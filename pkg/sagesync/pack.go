package sagesync

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// packed is the first byte of a compressed delta; a plain one starts with '{'.
const packed = 0x01

// maxUnpacked bounds what a peer's delta may expand to; the rest is cut off.
const maxUnpacked = 1 << 20

// packRatios are the payloads tried for a chunk, as multiples of the byte budget: entries of one
// kind resemble each other and compress well, but not always equally well.
var packRatios = []int{6, 4, 3, 2, 1}

// pack compresses an encoded delta.
func pack(b []byte) []byte {
	var buf bytes.Buffer
	buf.WriteByte(packed)
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		panic("sagesync: the default level is always valid: " + err.Error())
	}
	// Writes to a buffer don't fail.
	_, _ = w.Write(b)
	_ = w.Close()
	return buf.Bytes()
}

// unpack returns the encoded delta.
func unpack(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != packed {
		return b, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxUnpacked))
	if err != nil {
		return nil, fmt.Errorf("unpack: %v: %w", err, ErrBadDelta)
	}
	return raw, nil
}
