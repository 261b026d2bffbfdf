package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagemeasure"
)

func measureCommand(out *sagecli.Output) *cobra.Command {
	var seed uint64
	var seeds int
	names := strings.Join(sagemeasure.Names(), ", ")
	c := &cobra.Command{
		Use:     "measure NAME",
		Short:   "Run a measurement of the decision code in virtual time",
		Long:    "measure runs the decision code against small fakes in virtual time, once per seed, and prints a table of\nmedian and range. The same seed gives the same results, except for claims, which runs in real time.\nMeasurements: " + names + ".",
		Example: "  sagebench measure churn --seed 1 --seeds 5\n  sagebench measure skew --seed 1 --output json",
		Args:    sagecli.ExactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			f, ok := sagemeasure.Lookup(args[0])
			if !ok {
				return fmt.Errorf("%w: unknown measurement %q: want one of %s", sagecli.ErrUsage, args[0], names)
			}
			rep, err := sagemeasure.Run(args[0], f, seed, seeds)
			if err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), rep, func(w io.Writer) { err = rep.WriteMarkdown(w) })
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	c.Flags().IntVar(&seeds, "seeds", 5, "number of seeds")
	return c
}
