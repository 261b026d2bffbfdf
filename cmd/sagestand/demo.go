package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagedemo"
)

func demoCommand(out *sagecli.Output) *cobra.Command {
	var seconds int
	var logs bool
	c := &cobra.Command{
		Use:     "demo",
		Short:   "Run the complete system in this process under load and check the results",
		Long:    "demo starts platform, engines and applications (stand-ins) and three routers on loopback, sends chats and\nbookings, takes a data centre out of service and back by ticket, and prints how the requests ended. It exits 0 only if\nno request was lost, none ran twice and every answer belonged to its request.",
		Example: "  sagestand demo --seconds 10\n  sagestand demo --seconds 10 --output json",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			if seconds < 1 {
				return fmt.Errorf("%w: --seconds %d: want at least 1", sagecli.ErrUsage, seconds)
			}
			d := &sagedemo.Demo{Until: time.Now().Add(time.Duration(seconds) * time.Second), Progress: c.ErrOrStderr()}
			if logs {
				d.Log = c.ErrOrStderr()
			}
			sum, err := d.Run(c.Context())
			if err != nil && sum.Requests == 0 {
				return err
			}
			perr := out.Print(c.OutOrStdout(), sum, func(w io.Writer) { printSummary(w, &sum) })
			if err != nil {
				return err
			}
			return perr
		},
	}
	c.Flags().IntVar(&seconds, "seconds", 10, "duration of the load, in seconds")
	c.Flags().BoolVar(&logs, "logs", false, "write the nodes' logs to stderr")
	return c
}

func printSummary(w io.Writer, s *sagedemo.Summary) {
	for _, l := range []struct {
		name string
		v    any
	}{
		{"requests", s.Requests}, {"complete", s.Complete}, {"not_run", s.NotRun}, {"unknown", s.Unknown}, {"already_run", s.AlreadyRun},
		{"lost", s.Lost}, {"wrong", s.WrongAnswers}, {"bookings", s.Bookings}, {"executed_twice", s.ExecutedTwice}, {"false_not_run", s.FalseNotRun},
		{"cache_reuse", fmt.Sprintf("%.3f", s.CacheReuse)}, {"load_skew", fmt.Sprintf("%.2f", s.LoadSkew)},
		{"control_bytes_per_second", fmt.Sprintf("%.0f per router", s.ControlBytesPerSecond)},
		{"claim_bytes_per_booking", fmt.Sprintf("%.0f", s.ClaimBytesPerBooking)},
	} {
		_, _ = fmt.Fprintf(w, "%-26s %v\n", l.name, l.v)
	}
	for _, p := range s.Problems {
		_, _ = fmt.Fprintln(w, "problem: "+p)
	}
}
