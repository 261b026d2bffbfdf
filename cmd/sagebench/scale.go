package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagescale"
)

func scaleCommand(out *sagecli.Output) *cobra.Command {
	m := new(sagescale.Measurement)
	c := &cobra.Command{
		Use:     "scale",
		Short:   "Measure the cost of coordination between many router processes",
		Example: "  sagebench scale --nodes 50 --engines 300 --output json",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			if m.Nodes < 1 || m.Nodes > 200 {
				return fmt.Errorf("%w: --nodes %d: want 1 to 200", sagecli.ErrUsage, m.Nodes)
			}
			f, err := m.Run(c.Context())
			if err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), f, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "%d nodes, %d upstreams\n", f.Nodes, f.Upstreams)
				_, _ = fmt.Fprintf(w, "control bytes/s per node mean %.0f, max %.0f\n", f.ControlBytesPerSecond.Mean, f.ControlBytesPerSecond.Max)
				_, _ = fmt.Fprintf(w, "CPU %% of a core per node mean %.2f, max %.2f\n", f.CPUPercent.Mean, f.CPUPercent.Max)
				_, _ = fmt.Fprintf(w, "memory MB per node       mean %.1f, max %.1f\n", f.RSSMegabytes.Mean, f.RSSMegabytes.Max)
				_, _ = fmt.Fprintf(w, "store calls/s            %v\n", f.StoreCallsPerSecond)
				_, _ = fmt.Fprintf(w, "ticket in force          p50 %.0f ms, p99 %.0f ms, max %.0f ms, not reached %d\n", f.InForce.P50, f.InForce.P99, f.InForce.Max, f.InForce.NotReached)
				_, _ = fmt.Fprintf(w, "in force, store out      p50 %.0f ms, p99 %.0f ms, max %.0f ms, not reached %d\n", f.InForceStoreOut.P50, f.InForceStoreOut.P99, f.InForceStoreOut.Max, f.InForceStoreOut.NotReached)
			})
		},
	}
	addProgramFlag(c, &m.Sagestand, &m.Sagebench)
	c.Flags().IntVar(&m.Nodes, "nodes", 8, "number of routers, each a process")
	c.Flags().IntVar(&m.Engines, "engines", 48, "number of engines, all in this process")
	c.Flags().IntVar(&m.GrantMillis, "grant-millis", 0, "duration of grants and promises of allotments; 0 for the default")
	c.Flags().IntVar(&m.Seeds, "seeds", 0, "number of nodes that the settings list as seeds; 0 for all")
	c.Flags().IntVar(&m.SettleSeconds, "settle", 8, "seconds to wait before measuring")
	c.Flags().IntVar(&m.RestSeconds, "seconds", 10, "seconds to measure at rest")
	return c
}
