// Package sagelease is a lease on a duty, kept in the Object API, with a fencing number that grows
// with each change of holder.
//
// A lease alone doesn't make two holders impossible: a holder can be paused right after it looked at
// its lease, and go on when another one has long taken over. So there are three guards. The holder
// stops acting a margin before its lease ends, by its own clock, counted from before the write that
// renewed it. Each act bears the fencing number, and who checks it refuses an older one. For those
// who don't check it, a new holder first waits until nothing that the old one sent can still be on
// its way.
//
// Clocks of different nodes are not compared. A node takes over a lease only after it has seen it
// unchanged for a whole term, and a drift allowance, by its own clock.
//
// Reference: Gray, Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
// Cache Consistency", SOSP 1989, sections 2 and 5 (clock drift).
//
// # Usage
//
//	k := &sagelease.Elector{Store: st, Key: "lease/orders", Holder: "vm1", Term: 10 * time.Second,
//		Margin: 3 * time.Second, LongestDelay: 5 * time.Second}
//	for ctx.Err() == nil {
//		if err := k.Step(ctx); err != nil {
//			...
//		}
//		if p, err := k.Permit(time.Now(), checksFencing); err == nil {
//			... act with p.Fencing, to be sent before p.Until
//		}
//		time.Sleep(k.Pause())
//	}
package sagelease
