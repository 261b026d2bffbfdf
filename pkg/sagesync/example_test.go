package sagesync_test

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sagesync"
)

func ExampleRule_Evaluate() {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	r := sagesync.Rule{Isolated: sagesync.IsolatedIdempotent, MaxEvidenceAge: 10 * time.Second, CatchUpTimeout: 3 * time.Second}
	s := sagesync.Status{Revision: 7, Observed: 7, ConfirmedAt: now.Add(-time.Minute)}
	v := r.Evaluate(now, s)
	fmt.Println(v.Level == sagesync.ServeIdempotent, v.Refusal.Reason)
	s.ConfirmedAt = now.Add(-time.Second)
	fmt.Println(r.Evaluate(now, s).Level == sagesync.ServeAll)
	// Output:
	// true stale_configuration
	// true
}
