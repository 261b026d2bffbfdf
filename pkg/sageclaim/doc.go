// Package sageclaim makes a request with an idempotency key run at most once: whoever wants to run
// it first claims its key in the Object API, and exactly one claim of a key wins.
//
// # Keys
//
// A key carries the instant of its creation: it is a UUID of version 7, or "<unix_millis>-<token>".
// So each key belongs to one time bucket, its claim has a retention deadline, and a repeat that
// comes after that deadline is refused instead of run. A key without a time could be forgotten and
// then run a second time.
//
// # Objects
//
// The claims of a bucket and shard stand in one object, a log of entries, one JSON value a line:
// claim, finish, release, settle, compressed as a whole. A later line about a key overrides an earlier
// one. See [ClaimLog].
//
// # Group commit
//
// A [Committer] collects entries for an object during a short window and appends them in one
// conditional update. The conditional update decides, not who collects: two committers of one
// object are slower, but grant a key once. It starts one goroutine for each object with waiting
// entries, which ends when none wait.
//
// A lost answer to an update is settled by reading the object back and looking for the entries' own
// ids. When they aren't there, the update may still be on its way, so it is sent again with the same
// expected version: one of the two takes effect. Reference: Azure SDK for Java, pull request #34227,
// "Retriable writes", section "Idempotency aspects" (the tracking id).
//
// # Usage
//
//	rules := sageclaim.Rules{Bucket: 2 * time.Second, Shards: 4, Retention: 24 * time.Hour, MaxAhead: time.Minute}
//	key, err := sageclaim.ParseKey(text)
//	...
//	if err := rules.Check(key, now); err != nil {
//		return fmt.Errorf("check key: %w", err)
//	}
//	c := &sageclaim.Committer{Store: st, Window: 20 * time.Millisecond}
//	rec, err := c.Do(ctx, rules.Object(account, key), sageclaim.Entry{Op: sageclaim.OpClaim, ...})
//	if err == nil && rec.ClaimID == id {
//		... run it
//	}
package sageclaim
