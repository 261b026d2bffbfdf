// Package sagewire defines the names and values that are exchanged between processes for a request:
// outcomes, refusal reasons, priorities, header names and the refusal body.
//
// Every request that enters the system ends with exactly one [Outcome]. [NotRun] guarantees that no
// upstream executed the request; [Unknown] means that one may have.
//
// # Usage
//
// A caller that embeds the package reads the outcome of a response from its header and, for a refusal,
// decodes the body:
//
//	o, err := sagewire.ParseOutcome(res.Header.Get(sagewire.HeaderOutcome))
//	if err != nil {
//		return fmt.Errorf("read outcome: %w", err)
//	}
//	if o != sagewire.Complete {
//		ref, err := sagewire.DecodeRefusal(body)
//		...
//	}
package sagewire
