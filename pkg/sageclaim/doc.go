// Package sageclaim ensures that a request with an idempotency key runs at most once. A router must
// claim the key in the Object API before it runs the request, and exactly one claim of a key is
// granted.
//
// # Keys
//
// A key contains its creation time: it is a UUID of version 7, or "<unix_millis>-<token>". The creation
// time determines the time bucket of the key and the retention deadline of its claim. A repeat after
// that deadline is rejected: a key without a time could be claimed and run a second time after its
// claim was deleted.
//
// # Objects
//
// The claims of a bucket and shard are in one object. It is a log of entries, one JSON value per line,
// compressed as a whole. The operations are claim, finish, release and settle; settle resolves an
// unknown outcome. A later entry for a key overrides an earlier one. See [ClaimLog].
//
// # Group commit
//
// A [Committer] collects entries for an object during a short window and appends them in one
// conditional update. Only the conditional update decides which claim is granted: two committers of one
// object are slower, but grant a key once. There is one goroutine for each object with waiting entries;
// it ends when none wait.
//
// If the response to an update is lost, the committer reads the object back and looks for the entries
// by their own ids. If they are missing, the update may still take effect, so it is repeated with the
// same expected version: only one of the two can take effect. Reference: Azure SDK for Java, pull
// request #34227, "Retriable writes", section "Idempotency aspects" (the tracking id).
//
// # Usage
//
//	rules := sageclaim.Rules{Bucket: 2 * time.Second, Shards: 4, Retention: 24 * time.Hour, MaxAhead: time.Minute}
//	key, err := sageclaim.ParseKey(text)
//	...
//	if err := rules.Check(key, now); err != nil {
//		return fmt.Errorf("check key: %w", err)
//	}
//	c := &sageclaim.Committer{Store: st, BatchWindow: 20 * time.Millisecond}
//	rec, err := c.Commit(ctx, rules.ObjectKey(account, key), sageclaim.Entry{Op: sageclaim.OpClaim, ...})
//	if err == nil && rec.ClaimID == id && rec.State == sageclaim.StateClaimed {
//		... run it
//	}
package sageclaim
