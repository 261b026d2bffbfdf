// Package sagemeasure runs the project's measurements: the real decision packages over small fake
// upstreams, in virtual time and from a seed, so that a figure can be made again on any machine. Only
// [Claims] runs in real time: what it measures is how a committer's goroutines meet a store's delays.
//
// A measure is a [Func]: it runs one seed and returns samples. [Run] runs it with several seeds and
// folds the samples into a [Report] with a row for each scenario, policy and metric: the figure of
// each seed, their median and their range. A sample may name the limit it is meant to keep; its row
// then says whether every seed kept it.
//
// # Usage
//
//	rep, err := sagemeasure.Run("churn", sagemeasure.Churn, 1, 5)
//	if err != nil {
//		return fmt.Errorf("measure churn: %w", err)
//	}
//	err = rep.WriteMarkdown(os.Stdout)
package sagemeasure
