// Package sageburn measures service levels. For each client account and priority it counts good and bad
// requests over several windows, and computes how fast the error budget is used up (the burn rate).
//
// A request is good if its outcome is complete or already run and its first byte arrived within the
// latency of the objective. Refusals and unknown outcomes are bad, except those that the caller alone
// caused (see [Fault]). The burn rate of a window is the fraction of bad requests divided by the
// fraction that the objective allows. At a rate of 1 the budget lasts exactly for the period of the
// objective.
//
// An alert requires a high rate in two windows: the long one shows that the burn is significant, the
// short one that it continues. Reference: Beyer, Murphy, Rensin, Kawahara, Thorne (eds.), "The Site
// Reliability Workbook", O'Reilly 2018, chapter 5 (multiwindow, multi-burn-rate alerts).
//
// Counts are kept in slots of wall-clock time, so that the snapshots of several nodes can be added.
// They are lost with their node, since VMs have no persistent storage: a window covers no more time
// than the nodes have been running.
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
