// Package sageburn measures service levels: for each client account and priority it counts good and
// bad requests over several windows, and says how fast the error budget burns.
//
// A request is good if it ended complete (or truthfully already run) and its first byte came within
// the objective's latency. Refusals and unknown outcomes are bad, except those that the caller alone
// caused (see [Fault]). The burn rate of a window is the bad part of its requests divided by the part
// that the objective allows; at 1 the budget is spent exactly over the objective's period.
//
// Alerts look at pairs of windows, a long one that shows that it matters and a short one that shows
// that it still goes on. Reference: Beyer, Murphy, Rensin, Kawahara, Thorne (eds.), "The Site
// Reliability Workbook", O'Reilly 2018, chapter 5 (multiwindow, multi-burn-rate alerts).
//
// Counts are kept in slots of wall-clock time, so that the snapshots of many nodes add up. They are
// lost with their node: VMs keep nothing, and a window reaches back no further than the nodes do.
//
// # Usage
//
//	b := &sageburn.Tracker{Objectives: objectives}
//	b.Record(sageburn.Request{Account: "haller", Priority: sagewire.Urgent, ...})
//	total := sageburn.Merge(b.Snapshot(now), other)
//	for _, l := range sageburn.Report(total, objectives, now) {
//		fmt.Println(l.Account, l.Priority, l.Alert)
//	}
package sageburn
