package sageload_test

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
)

// One router is its own home: it asks twice to be recognised, waits out grants that an earlier
// process may have made, learns the load and then grants itself six of eight units.
func Example() {
	limits := sageload.DefaultLimits
	home := &sageload.Ledger{Coordinator: "entry1.1", Voters: []string{"entry1"}, Limits: limits}
	router := &sageload.Allotment{Upstream: "engine1", Holder: "entry1.1", Node: "entry1", Voter: true, Limits: limits}
	ramp := &sageload.Ramp{InitialCap: 2, CompletionsPerUnit: 4}

	now := time.Unix(0, 0)
	for range 20 {
		now = now.Add(time.Second / 2)
		r := sageload.Report{BootID: "b1", Capacity: 8, Completed: 100}
		home.RecordReport(now, now, r, ramp.Observe(r))
		if w, ok := router.Request(now, "entry1", 6); ok {
			router.ApplyGrant(home.HandleRequest(now, w))
		}
	}
	ok := router.Acquire(now)
	fmt.Println(ok, router.Free(now), router.BootID())
	// Output: true 5 b1
}
