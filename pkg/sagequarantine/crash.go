package sagequarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// CrashID identifies the crash that ended an incarnation of an upstream. It is the same on every node.
type CrashID uint64

// CrashIDOf returns the ID of the crash that ends an incarnation of an upstream.
func CrashIDOf(upstream string, incarnation int64) CrashID {
	return CrashID(xxhash.Sum64String(upstream + "/" + strconv.FormatInt(incarnation, 10)))
}

// Report lists the requests that ran at an upstream when it crashed.
type Report struct {
	Crash    CrashID
	Suspects []Fingerprint
}
