// Package sagemeasure runs the project's measurements: the decision packages against simulated
// upstreams, in virtual time and from a seed, so that a figure can be reproduced on any machine. Only
// [Claims] runs in real time, because it measures how a committer's goroutines interact with the delays
// of a store.
//
// A measurement is a [Func]: it runs one seed and returns samples. [Run] runs it with several seeds and
// aggregates the samples into a [Report] with a row for each scenario, policy and metric: the value of
// each seed, the median and the range. A sample may have a target; its row then says whether every seed
// met it.
//
// # Usage
//
//	rep, err := sagemeasure.Run("churn", sagemeasure.Churn, 1, 5)
//	if err != nil {
//		return fmt.Errorf("measure churn: %w", err)
//	}
//	err = rep.WriteMarkdown(os.Stdout)
package sagemeasure
