package sageorigin

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Snapshot holds records of streams in the form in which the platform's store keeps them.
type Snapshot struct {
	Origins []SnapshotOrigin `json:"origins"`
	// Ages are the milliseconds for which other snapshots of the writer have not been written, by their numbers.
	Ages map[int]int64 `json:"ages,omitempty"`
}

// SnapshotOrigin holds the streams that began at one origin.
type SnapshotOrigin struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Streams maps keys, in hexadecimal digits, to the milliseconds for which their callers may return.
	Streams map[string]int64 `json:"streams"`
}

// MaxSnapshotRecords is the maximum number of records in a snapshot, for which an object of the store has space several times.
const MaxSnapshotRecords = 4096

// ErrSnapshot reports an invalid snapshot.
var ErrSnapshot = errors.New("invalid snapshot")

// NewSnapshot returns a snapshot of records. Those beyond [MaxSnapshotRecords], and those whose version isn't known, are left out.
func NewSnapshot(now sageclock.Instant, records []Record) Snapshot {
	index := make(map[Origin]int)
	var s Snapshot
	n := 0
	for _, r := range records {
		left := r.Until.Sub(now).Milliseconds()
		if left <= 0 || r.Origin.Version == "" || r.Origin.Check() != nil || n >= MaxSnapshotRecords {
			continue
		}
		i, ok := index[r.Origin]
		if !ok {
			i = len(s.Origins)
			index[r.Origin] = i
			s.Origins = append(s.Origins, SnapshotOrigin{Service: r.Origin.Service, Version: r.Origin.Version, Streams: make(map[string]int64)})
		}
		s.Origins[i].Streams[r.Key.String()] = left
		n++
	}
	return s
}

// Records returns the records of a snapshot that was read at a time.
func (s *Snapshot) Records(now sageclock.Instant) ([]Record, error) {
	var out []Record
	for i := range s.Origins {
		o := Origin{Service: s.Origins[i].Service, Version: s.Origins[i].Version}
		if err := o.Check(); err != nil || o.Version == "" {
			return nil, fmt.Errorf("origin %q %q: %w", o.Service, o.Version, ErrSnapshot)
		}
		for text, left := range s.Origins[i].Streams {
			b, err := hex.DecodeString(text)
			if err != nil || len(b) != len(Key{}) || left <= 0 || len(out) >= MaxSnapshotRecords {
				return nil, fmt.Errorf("stream %.40q: %w", text, ErrSnapshot)
			}
			left := min(time.Duration(left)*time.Millisecond, maxTTL)
			out = append(out, Record{Key: Key(b), Origin: o, Until: now.Add(left)})
		}
	}
	return out, nil
}
