// Package sagefair shares the requests that a router may have in flight among client accounts, by
// weight, with priority classes, bounded queues and refusal at once.
//
// Accounts are served by start-time fair queueing with many servers: each account has a start tag
// that grows by the slot time it used divided by its weight, and the smallest tag goes next. An
// account that surges therefore uses its share and whatever others leave idle. Only accounts with
// requests, or with slot time used ahead of the others, hold state.
//
// Priority classes come on top. An urgent request goes before normal ones as long as its account
// is at most Slack ahead of the others, so that marking everything urgent gains nothing for long.
// Bulk requests wait for both. No class starves: while one waits, at least every
// [NormalEvery]th start is a normal request and every [BulkEvery]th a bulk one.
//
// What can't start in time is refused at once with the instant at which its account's queue will
// have been worked off. How much one account may queue shrinks as the queue fills, so that the
// queue of a surging account never keeps out others.
//
// References: Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996; Jin, Chase and Kaur,
// "Interposed proportional sharing for a storage service utility", SIGMETRICS 2004, section 3
// (SFQ(D), several servers); Choudhury and Hahne, "Dynamic queue length thresholds for
// shared-memory packet switches", IEEE/ACM ToN 6(2), 1998.
//
// # Usage
//
// The caller sets the slots, offers requests, and reports their end. Whoever waits is in the
// items that later calls return:
//
//	s := &sagefair.Scheduler{MaxQueue: 1000}
//	s.SetSlots(now, 32)
//	it, others := s.Offer(now, sagefair.Request{Account: "haller", Weight: 1, Deadline: deadline})
//	switch it.State {
//	case sagefair.Running: // go on, then call s.Done
//	case sagefair.Refused: // it.Reason, it.RetryAt
//	case sagefair.Waiting: // wait until a call returns it, or give up with s.Cancel
//	}
//
// A Scheduler is not safe for concurrent use.
package sagefair
