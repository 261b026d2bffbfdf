package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	sageloss "sagestand.example/sagestand/platform/loss"
)

func pairsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "pairs BEFORE AFTER",
		Short:   "Compare two versions by the reports of the same days",
		Long:    "pairs reads the reports (*.json) that exist under the same names in two directories and prints the mean differences of\nworth, parts and prices, with their standard deviation and standard error.",
		Example: "  sagebench pairs reports/before reports/after",
		Args:    sagecli.ExactArgs("BEFORE", "AFTER"),
		RunE: func(c *cobra.Command, args []string) error {
			pairs, err := readPairs(args[0], args[1])
			if err != nil {
				return err
			}
			return sageloss.WriteDifferences(c.OutOrStdout(), sageloss.Differences(pairs))
		},
	}
}

// readPairs reads the reports that exist under the same name in both directories.
func readPairs(before, after string) ([]sageloss.Pair, error) {
	names, err := filepath.Glob(filepath.Join(before, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("%w: list reports: %v", sagecli.ErrUsage, err)
	}
	var pairs []sageloss.Pair
	for _, name := range names {
		p := sageloss.Pair{Name: filepath.Base(name)}
		other := filepath.Join(after, p.Name)
		if _, err := os.Stat(other); os.IsNotExist(err) {
			continue
		}
		if p.Before, err = readDay(name); err != nil {
			return nil, err
		}
		if p.After, err = readDay(other); err != nil {
			return nil, err
		}
		pairs = append(pairs, p)
	}
	if len(pairs) == 0 {
		return nil, fmt.Errorf("%w: no report exists under the same name in %s and %s", sagecli.ErrUsage, before, after)
	}
	sageloss.SortPairs(pairs)
	return pairs, nil
}

func readDay(name string) (*sageloss.Day, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%w: open report: %v", sagecli.ErrUsage, err)
	}
	defer func() { _ = f.Close() }()
	d, err := sageloss.ReadDay(f)
	if err != nil {
		return nil, fmt.Errorf("%w: read report %s: %v", sagecli.ErrUsage, name, err)
	}
	return d, nil
}
