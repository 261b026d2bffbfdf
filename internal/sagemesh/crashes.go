package sagemesh

import (
	"fmt"

	"sagestand.example/sagestand/internal/sagerpc/heartbeat"
	"sagestand.example/sagestand/pkg/sagequarantine"
)

// packCrashes encodes crash reports.
func packCrashes(reports []sagequarantine.Report) []*heartbeat.Crash {
	var out []*heartbeat.Crash
	for i := range reports {
		r := &reports[i]
		c := &heartbeat.Crash{Id: uint64(r.Crash), AgeMillis: uint64(max(0, r.Age.Milliseconds()))}
		for _, s := range r.Suspects {
			if s.Kind == sagequarantine.Part {
				c.Parts, c.SharedParts = append(c.Parts, uint64(s.Fingerprint)), append(c.SharedParts, uint64(s.Shared))
			} else {
				c.Suspects = append(c.Suspects, uint64(s.Fingerprint))
			}
		}
		out = append(out, c)
	}
	return out
}

// unpackCrashes is the reverse of packCrashes. Nodes of an earlier version of this program report requests only.
func unpackCrashes(crashes []*heartbeat.Crash) ([]sagequarantine.Report, error) {
	var out []sagequarantine.Report
	for _, c := range crashes {
		if len(c.GetParts()) != len(c.GetSharedParts()) {
			return nil, fmt.Errorf("crash with %d parts and %d shared parts: %w", len(c.GetParts()), len(c.GetSharedParts()), ErrHeartbeat)
		}
		r := sagequarantine.Report{Crash: sagequarantine.CrashID(c.GetId()), Age: millisToDuration(c.GetAgeMillis())}
		for _, f := range c.GetSuspects() {
			r.Suspects = append(r.Suspects, sagequarantine.NewRequest(sagequarantine.Fingerprint(f)))
		}
		for i, f := range c.GetParts() {
			r.Suspects = append(r.Suspects, sagequarantine.Suspect{
				Kind: sagequarantine.Part, Fingerprint: sagequarantine.Fingerprint(f), Shared: sagequarantine.Fingerprint(c.GetSharedParts()[i]),
			})
		}
		out = append(out, r)
	}
	return out, nil
}
