package sagequarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// CrashID names the end of one start of an upstream, the same on every node.
type CrashID uint64

// CrashIDOf returns the crash that ends a start of an upstream; born distinguishes the starts of one id.
func CrashIDOf(upstream string, born int64) CrashID {
	return CrashID(xxhash.Sum64String(upstream + "/" + strconv.FormatInt(born, 10)))
}

// Report says which requests ran at an upstream when it crashed.
type Report struct {
	Crash    CrashID
	Suspects []Fingerprint
}
