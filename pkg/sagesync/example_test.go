package sagesync_test

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sagesync"
)

func ExampleRule_Evaluate() {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	r := sagesync.Rule{Isolated: sagesync.IsolatedIdempotent, Freshness: 10 * time.Second, CatchUp: 3 * time.Second}
	s := sagesync.Standing{Revision: 7, Heard: 7, ConfirmedAt: now.Add(-time.Minute)}
	v := r.Judge(now, s)
	fmt.Println(v.May == sagesync.ServeIdempotent, v.Refusal.Reason)
	s.ConfirmedAt = now.Add(-time.Second)
	fmt.Println(r.Judge(now, s).May == sagesync.ServeAll)
	// Output:
	// true stale_configuration
	// true
}
