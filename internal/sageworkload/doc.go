// Package sageworkload generates a mixed load: chats that send their growing history and a shared
// context with every turn, and bookings with idempotency keys, some of which are sent twice
// concurrently. It checks the result of every request and counts the results in a [Tally].
//
// # Usage
//
//	load := &sageworkload.Load{Entries: entries, Key: key, ChatCallers: 16, BookingCallers: 4, Seed: 1, Until: until}
//	tally := load.Run(ctx)
package sageworkload
