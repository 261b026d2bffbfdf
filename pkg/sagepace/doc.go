// Package sagepace estimates the latency of upstreams from the exchanges of a node.
//
// A [Mean] estimates a mean duration. A [Line] estimates how a duration grows with a size, for example the prefill
// time per token from the times to the first event and the numbers of prompt tokens that weren't cached. Both
// start from an initial value, give more weight to recent samples, and limit the effect of a single outlier.
//
// # Usage
//
//	serviceTime := &sagepace.Mean{Initial: time.Second, Max: time.Minute}
//	serviceTime.Add(820 * time.Millisecond)
//	serviceTime.Value()
//
//	prefill := &sagepace.Line{InitialSlope: 18 * time.Microsecond, TypicalSize: 10000, Max: 10 * time.Second}
//	prefill.Add(9200, 140*time.Millisecond)
//	prefill.Slope() // time per token
//
// # References
//
// Ljung, Söderström, "Theory and Practice of Recursive Identification", MIT Press 1983 (exponential
// forgetting).
package sagepace
