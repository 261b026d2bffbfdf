package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagecost"
)

func costCommand(out *sagecli.Output) *cobra.Command {
	m := new(sagecost.Measurement)
	c := &cobra.Command{
		Use:     "cost",
		Short:   "Measure the latency, processor time and memory of one router, with real processes",
		Example: "  sagebench cost --calls 2000 --output json",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			if m.Calls < 100 {
				return fmt.Errorf("%w: --calls %d: want at least 100", sagecli.ErrUsage, m.Calls)
			}
			f, err := m.Run(c.Context())
			if err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), f, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "direct call      p50 %.0f us, p99 %.0f us\n", f.DirectP50Micros, f.DirectP99Micros)
				_, _ = fmt.Fprintf(w, "routed call      p50 %.0f us, p99 %.0f us\n", f.RoutedP50Micros, f.RoutedP99Micros)
				_, _ = fmt.Fprintf(w, "added            p50 %.0f us, p99 %.0f us\n", f.AddedP50Micros, f.AddedP99Micros)
				_, _ = fmt.Fprintf(w, "router CPU       %.0f us per call at %.0f calls/s\n", f.CPUMicrosPerCall, f.CallsPerSecond)
				_, _ = fmt.Fprintf(w, "streaming        %.0f tokens per core second\n", f.TokensPerCoreSec)
				_, _ = fmt.Fprintf(w, "router memory    %.1f MB at rest, %.1f MB after load\n", float64(f.RSSAtRestBytes)/1e6, float64(f.RSSUnderLoadBytes)/1e6)
			})
		},
	}
	addProgramFlag(c, &m.Sagestand, &m.Sagebench)
	c.Flags().IntVar(&m.Calls, "calls", 2000, "number of calls of each measurement")
	return c
}
