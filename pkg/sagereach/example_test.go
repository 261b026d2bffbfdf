package sagereach_test

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagereach"
)

func ExampleTracker_RecordProbe() {
	t := new(sagereach.Tracker)
	now := sageclock.Instant(time.Second)
	available := []string{"a", "b", "c"}
	t.RecordUnanswered(now, "chat", "a")
	t.RecordUnanswered(now, "chat", "b")
	t.Suspect(now, "chat", len(available))
	for t.State("chat") == sagereach.Suspected {
		for _, u := range t.StartRound(now, "chat", available) {
			t.RecordProbe(now, "chat", u, sagereach.ProbeRefused)
		}
		now = now.Add(100 * time.Millisecond)
	}
	fmt.Println(t.Services(sagereach.Lost))
	// Output: [chat]
}
