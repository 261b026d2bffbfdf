package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sageconfirm"
)

func confirmCommand(out *sagecli.Output) *cobra.Command {
	r := new(sageconfirm.Run)
	c := &cobra.Command{
		Use:     "confirm SCENARIO",
		Short:   "Run the measurements exit and churn with real processes",
		Long:    "confirm runs a fleet of real processes under load for some 20 seconds. SCENARIO is exit (a data centre is taken\nout of service and brought back) or churn (engines are killed and started again). It exits 0 only if no answer\nwas wrong, no booking ran twice and no data centre began new work while out of service.",
		Example: "  sagebench confirm exit --seed 3 --output json",
		Args:    sagecli.ExactArgs("SCENARIO"),
		RunE: func(c *cobra.Command, args []string) error {
			r.Scenario = sageconfirm.Scenario(args[0])
			sum, err := r.Do(c.Context())
			perr := out.Print(c.OutOrStdout(), sum, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "%s: %d requests: complete %d, not_run %d, unknown %d, already_run %d, lost %d, wrong %d; cached %.3f of prompt tokens; %d engines killed; begun in the data centre out of service: %d once the ticket was in force, %d at its return\n",
					sum.Scenario, sum.Requests, sum.Complete, sum.NotRun, sum.Unknown, sum.AlreadyRun, sum.Lost, sum.WrongAnswers, sum.CacheReuse(), sum.Kills, sum.BegunInForce, sum.BegunAtReturn)
				for _, p := range sum.Problems {
					_, _ = fmt.Fprintln(w, "problem: "+p)
				}
			})
			if err != nil {
				return err
			}
			return perr
		},
	}
	addProgramFlag(c, &r.Sagestand, &r.Sagebench)
	c.Flags().Int64Var(&r.Seed, "seed", 1, "seed of the load")
	return c
}
