package sagesync

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// packedMarker is the first byte of a compressed delta; an uncompressed one starts with '{'.
const packedMarker = 0x01

// maxUnpackedBytes bounds the size to which a peer's delta may expand; the rest is cut off.
const maxUnpackedBytes = 1 << 20

// packRatios are the payload sizes to try for a chunk, as multiples of the byte budget. Entries of one
// kind resemble each other and compress well, but not always equally well.
var packRatios = []int{6, 4, 3, 2, 1}

// pack compresses an encoded delta.
func pack(b []byte) []byte {
	var buf bytes.Buffer
	buf.WriteByte(packedMarker)
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		panic("sagesync: create compressor with the default level: " + err.Error())
	}
	// Writes to a buffer don't fail.
	_, _ = w.Write(b)
	_ = w.Close()
	return buf.Bytes()
}

// unpack returns the encoded delta, decompressed if necessary.
func unpack(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != packedMarker {
		return b, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxUnpackedBytes))
	if err != nil {
		return nil, fmt.Errorf("unpack: %v: %w", err, ErrBadDelta)
	}
	return raw, nil
}
