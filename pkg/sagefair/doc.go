// Package sagefair divides the requests that a router may have in flight among client accounts, by
// weight, with priority classes, bounded queues and early refusal.
//
// Accounts are served by start-time fair queueing with several servers. Each account has a start tag
// that grows by the slot time it used divided by its weight, and the account with the smallest tag is
// served next. A surging account therefore gets its share and the capacity that others leave idle.
// State is kept only for accounts that have requests or have used more slot time than the others.
//
// Priority classes take precedence over the tags. An urgent request is served before normal ones as
// long as its account is at most UrgentSlack ahead of the others, so that marking every request urgent
// gains little. Bulk requests are served after both. No class starves: while one waits, at least every
// [NormalEvery]th start is a normal request and every [BulkEvery]th a bulk request.
//
// A request that can't start in time is refused immediately, with the instant at which its account's
// queue is expected to be empty. The queue limit of an account shrinks as the queue fills, so that a
// surging account can't keep others out.
//
// References: Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996; Jin, Chase and Kaur,
// "Interposed proportional sharing for a storage service utility", SIGMETRICS 2004, section 3 (SFQ(D),
// several servers); Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet
// switches", IEEE/ACM ToN 6(2), 1998.
//
// # Usage
//
// The caller sets the slots, offers requests and reports their end. Later calls return the waiting
// items that have been started or refused:
//
//	s := &sagefair.Scheduler{MaxQueue: 1000}
//	s.SetSlots(now, 32)
//	it, others := s.Offer(now, sagefair.Request{Account: "haller", Weight: 1, Deadline: deadline})
//	switch it.State {
//	case sagefair.Running: // proceed, then call s.Done
//	case sagefair.Refused: // it.Reason, it.RetryAt
//	case sagefair.Waiting: // wait until a call returns it, or withdraw it with s.Cancel
//	}
//
// A Scheduler is not safe for concurrent use.
package sagefair
