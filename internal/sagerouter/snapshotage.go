package sagerouter

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// ages returns for how long the other segments have not been written, in milliseconds by their numbers.
func (k *snapshotKeeper) ages(now sageclock.Instant, s *segment) map[int]int64 {
	out := make(map[int]int64)
	for _, o := range k.segments {
		if o != s && o.encodedAt != 0 {
			out[o.number] = now.Sub(o.encodedAt).Milliseconds()
		}
	}
	return out
}

// segmentName returns the name of the object of a segment.
func segmentName(keeper string, number int) string { return keeper + "-" + strconv.Itoa(number) }

// snapshotAges returns for how long objects had not been written when their writers wrote for the last time, by name. Of a writer whose
// last object can't be read nothing is known, as if it had just written all.
func snapshotAges(changes []sagefollow.Change) map[string]time.Duration {
	last := make(map[string]*sagefollow.Object)
	for i := range changes {
		o := &changes[i].Object
		if at := strings.LastIndexByte(o.Name, '-'); at >= 0 && len(o.Status) > 0 && (last[o.Name[:at]] == nil || o.Revision > last[o.Name[:at]].Revision) {
			last[o.Name[:at]] = o
		}
	}
	out := make(map[string]time.Duration)
	for keeper, o := range last {
		var s sageorigin.Snapshot
		if err := json.Unmarshal(o.Status, &s); err != nil {
			continue // reported when its records are read
		}
		for number, ms := range s.Ages {
			out[segmentName(keeper, number)] = time.Duration(max(0, ms)) * time.Millisecond
		}
	}
	return out
}
