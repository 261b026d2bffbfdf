package sageload_test

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
)

// The only node of a fleet is its own coordinator: it requests twice to be elected, waits until grants
// of an earlier process would have expired, learns the load and then grants itself six of eight units.
func Example() {
	limits := sageload.DefaultLimits
	ledger := &sageload.Ledger{Coordinator: "entry1.1", Voters: []string{"entry1"}, Limits: limits}
	allotment := &sageload.Allotment{Upstream: "engine1", Holder: "entry1.1", Node: "entry1", Voter: true, Limits: limits}
	ramp := &sageload.Ramp{InitialCap: 2, CompletionsPerUnit: 4}

	now := time.Unix(0, 0)
	for range 20 {
		now = now.Add(time.Second / 2)
		r := sageload.Report{BootID: "b1", Capacity: 8, Completed: 100}
		ledger.RecordReport(now, now, r, ramp.Observe(r))
		if r, ok := allotment.Request(now, "entry1", 6); ok {
			allotment.ApplyGrant(ledger.HandleRequest(now, r))
		}
	}
	ok := allotment.Acquire(now)
	fmt.Println(ok, allotment.Free(now), allotment.BootID())
	// Output: true 5 b1
}
