// Package sageworkload is a load of mixed requests: chats that return with a growing history and a
// shared context, and bookings with idempotency keys, some of them sent twice. It checks every end
// and counts them in a [Tally].
//
// # Usage
//
//	load := &sageworkload.Load{Entries: entries, Key: key, Chats: 16, Bookers: 4, Seed: 1, Until: until}
//	tally := load.Run(ctx)
package sageworkload
