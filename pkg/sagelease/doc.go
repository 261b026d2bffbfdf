// Package sagelease elects one process for a duty by a lease, kept in the Object API, with a fencing
// number that grows with each change of holder.
//
// A lease alone can't prevent two holders: a holder may be paused right after it checked its lease, and
// continue after another one has taken over. There are therefore three guards. The holder stops acting
// a margin before its lease ends by its own clock, counted from before the write that renewed it. Each
// action carries the fencing number, and a receiver that checks it refuses an older one. For receivers
// that don't check it, a new holder first waits until nothing that the old one sent can still arrive.
//
// Clocks of different nodes are not compared. A node takes over a lease only after it has observed it
// unchanged, by its own clock, for a complete term and an allowance for clock drift.
//
// Reference: Gray, Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency", SOSP 1989, sections 2 and 5 (clock drift).
//
// # Usage
//
//	e := &sagelease.Elector{Store: st, Key: "lease/orders", Holder: "vm1", Term: 10 * time.Second,
//		Margin: 3 * time.Second, MaxDeliveryDelay: 5 * time.Second}
//	for ctx.Err() == nil {
//		if err := e.AcquireOrRenew(ctx); err != nil {
//			...
//		}
//		if p, err := e.Permit(time.Now(), checksFencing); err == nil {
//			... act with p.Fencing, sending before p.Until
//		}
//		time.Sleep(e.RenewInterval())
//	}
package sagelease
