// Package sagepace estimates how fast upstreams work from what a node sees of them.
//
// A [Mean] follows how long something takes, a [Line] how a time grows with a size: how long engines read
// a prompt, say, from the time until the first event and the tokens that had to be read. Both have a
// defined start before there is evidence, forget what is old, and are moved little by one broken sample.
//
// # Usage
//
//	run := &sagepace.Mean{Start: time.Second, Most: time.Minute}
//	run.Add(820 * time.Millisecond)
//	run.Value()
//
//	read := &sagepace.Line{Start: 18 * time.Microsecond, Usual: 10000, Most: 10 * time.Second}
//	read.Add(9200, 140*time.Millisecond)
//	read.Slope() // a token
//
// # References
//
// Ljung, Söderström, "Theory and Practice of Recursive Identification", MIT Press 1983 (exponential
// forgetting).
package sagepace
