// Package sagefair divides what upstreams can run among client accounts, with urgency, bounded queues and
// early refusal. It has two ways to do so: a [Scheduler] divides a number of slots that this node holds, a
// [Gate] divides a rate that nodes share. [Divide] divides a rate among accounts.
//
// # Scheduler
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
// # Gate
//
// A [Gate] admits requests of one service at one node. Each account has a token bucket, whose rate is the
// node's part of the account's share of the service and is replaced several times a second. Accounts don't
// wait for each other, so that none starves another.
//
// A request without a token waits if its place is due early enough for its objective. Requests of an
// account are started by urgency, then by deadline; while less urgent ones wait, they get at least every
// fourth start. A late request waits only if the account asks for less than its rate. Any
// other is refused at once, and one that has waited is refused as soon as it is known that it can't be served.
//
// A refusal promises a place: a small part of each account's rate is kept for callers that return, and is
// dealt out in the order of the refusals. Callers return to any node, so that a node only counts how many
// places it has promised; a returned caller may take a place shortly before it is due. Places that nobody
// claims go to new requests.
//
// The burst of an account that asks for no more than its share is so large that requests which come at
// random are rarely refused, also at a node that gets one in minutes. An account that asks for more
// than its share over all nodes ([Shares.Excess]) has a small burst, and all such accounts have one together. So
// have all accounts that aren't listed in the shares ([Shares.OtherTotal]).
//
// References: Turner, "New directions in communications (or which way to the information age?)", IEEE
// Communications Magazine 24(10), 1986 (token buckets); Bertsekas and Gallager, "Data networks", 1992,
// section 6.5.2 (max-min fairness).
//
// References of the scheduler: Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996; Jin, Chase and Kaur,
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
// A gate is given shares, and is advanced at the instants that it names:
//
//	g := &sagefair.Gate{}
//	g.SetShares(now, sagefair.Shares{Short: true, Rates: map[string]float64{"haller": 12}, Other: 3})
//	e := g.Offer(now, sagefair.Arrival{Account: "haller", Objective: objective, Deadline: deadline})
//	switch e.State {
//	case sagefair.Running: // proceed
//	case sagefair.Refused: // e.Reason, e.RetryAt
//	case sagefair.Waiting: // wait until g.Advance returns it, or withdraw it with g.Cancel
//	}
//	decided, next := g.Advance(now)
//
// Neither a Scheduler nor a Gate is safe for concurrent use.
package sagefair
