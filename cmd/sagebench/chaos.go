package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagechaos"
	"sagestand.example/sagestand/internal/sagecli"
)

func chaosCommand(out *sagecli.Output) *cobra.Command {
	r := new(sagechaos.Run)
	var seconds int
	c := &cobra.Command{
		Use:     "chaos",
		Short:   "Kill, freeze and replace routers and fail the platform under load, with real processes",
		Long:    "chaos runs a fleet of real processes under mixed load while it injects one fault after another. It exits 0 only\nif no answer was wrong, no booking ran twice, and every outcome reported for a booking is correct.",
		Example: "  sagebench chaos --seconds 20 --seed 3 --output json",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			r.Until = time.Now().Add(time.Duration(seconds) * time.Second)
			r.Progress = c.ErrOrStderr()
			sum, err := r.Do(c.Context())
			perr := out.Print(c.OutOrStdout(), sum, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "chaos: %d kills, %d freezes, %d outages; %d requests: complete %d, not_run %d, unknown %d, already_run %d, lost %d, wrong %d; %d bookings: executed twice %d, false not_run %d, false complete %d\n",
					sum.Kills, sum.Freezes, sum.Outages, sum.Requests, sum.Complete, sum.NotRun, sum.Unknown, sum.AlreadyRun, sum.Lost, sum.WrongAnswers, sum.Bookings, sum.ExecutedTwice, sum.FalseNotRun, sum.FalseComplete)
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
	c.Flags().IntVar(&r.Routers, "routers", 3, "number of routers")
	c.Flags().IntVar(&seconds, "seconds", 15, "duration of the run in seconds, start-up included")
	c.Flags().Int64Var(&r.Seed, "seed", 1, "seed of the load and the faults")
	return c
}
