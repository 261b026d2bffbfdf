// Package sagetrace replays recorded traffic against the whole system and compares what came of each
// request with the outcomes that the trace states.
//
// A [Trace] is a JSON file: a layout, events in order of time (requests, faults of the stand-ins,
// change tickets), and for each request the outcomes that are right. Traces are recorded from real
// processes by [Record], or written by hand to tell the story of a failure. Where the time of a fault
// and a request race, a trace names every outcome that is right, so that its verdict is the same
// each run.
//
// # Usage
//
//	tr, err := sagetrace.Load("testdata/lost_answer.json")
//	if err != nil {
//		return fmt.Errorf("load trace: %w", err)
//	}
//	res, err := sagetrace.Replay(ctx, tr)
//	fmt.Println(res.Mismatches)
package sagetrace
