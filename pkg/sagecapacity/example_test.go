package sagecapacity_test

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sagecapacity"
	"sagestand.example/sagestand/pkg/sageclock"
)

func ExampleTracker_Update() {
	t := &sagecapacity.Tracker{}
	now := sageclock.Instant(time.Hour)
	e := t.Update(now, "app", []sagecapacity.Upstream{
		{ID: "a1", Slots: 6, InFlight: 6, RunsPerSecond: 300},
		{ID: "a2", Slots: 6, InFlight: 3, RunsPerSecond: 150},
	})
	fmt.Println(e.PerSecond, e.Run)
	fmt.Println(t.AllowSecondSend(now, "app"))
	// Output:
	// 600 20ms
	// true
}

func ExampleTracker_Choose() {
	t := &sagecapacity.Tracker{}
	now := sageclock.Instant(time.Hour)
	i := t.Choose(now, "app", []sagecapacity.Candidate{
		{ID: "a1", Slots: 6, InFlight: 4, Own: 2},
		{ID: "a2", Slots: 6, InFlight: 5, Own: 1},
	})
	fmt.Println(i)
	// Output: 1
}
