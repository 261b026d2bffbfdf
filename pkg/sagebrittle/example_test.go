package sagebrittle_test

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sagebrittle"
	"sagestand.example/sagestand/pkg/sageclock"
)

func ExampleLimits_Acquire() {
	l := new(sagebrittle.Limits[string])
	now := sageclock.Instant(time.Second)
	l.Announce(now, "orders", 3, 0)
	r := &sagebrittle.Request[string]{Service: "orders", Upstream: "e1", Name: "e1", Slots: 3, Nodes: 1}
	for range 3 {
		_, ok := l.Acquire(now, r)
		fmt.Println(ok)
	}
	// Output:
	// true
	// true
	// false
}
