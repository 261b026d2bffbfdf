package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sageburnd"
	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/pkg/sageburn"
)

func reportCommand(out *sagecli.Output) *cobra.Command {
	f := new(nodeFlags)
	c := &cobra.Command{Use: "report", Short: "Reports over all nodes"}
	f.add(c)
	c.AddCommand(reportBurnCommand(out, f))
	return c
}

func reportBurnCommand(out *sagecli.Output, f *nodeFlags) *cobra.Command {
	var plot string
	c := &cobra.Command{
		Use:     "burn",
		Short:   "Error-budget burn per client account and priority, over several windows",
		Example: "  sagestand report burn --key-file operator.key\n  sagestand report burn --plot burn.svg",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			raw, err := f.get(c.Context(), "/v1/report/burn")
			if err != nil {
				return err
			}
			var rep sageburnd.Report
			if err := json.Unmarshal(raw, &rep); err != nil {
				return fmt.Errorf("decode report: %w", err)
			}
			if plot != "" {
				if err := sageburnd.Plot(&rep, plot); err != nil {
					return fmt.Errorf("%w: --plot: %v", sagecli.ErrUsage, err)
				}
			}
			return out.Print(c.OutOrStdout(), rep, func(w io.Writer) { printBurn(w, &rep) })
		},
	}
	c.Flags().StringVar(&plot, "plot", "", "also plot the last hour to this file (.svg or .png)")
	return c
}

// printBurn writes the report as a table. Each window shows the burn rate and the numbers of bad
// requests and of all requests.
func printBurn(w io.Writer, rep *sageburnd.Report) {
	_, _ = fmt.Fprintf(w, "%-16s %-8s %-7s %-6s", "ACCOUNT", "PRIORITY", "TARGET", "P95MS")
	for _, win := range sageburn.Windows {
		_, _ = fmt.Fprintf(w, " %18s", strings.ToUpper(win.Name))
	}
	_, _ = fmt.Fprintln(w, "  ALERT")
	for _, l := range rep.Lines {
		_, _ = fmt.Fprintf(w, "%-16s %-8s %-7.4g %-6d", l.Account, l.Priority, l.Objective.Target, l.P95Millis)
		for _, b := range l.Burns {
			_, _ = fmt.Fprintf(w, " %18s", fmt.Sprintf("%.2f (%d/%d)", b.Rate, b.Bad, b.Total))
		}
		_, _ = fmt.Fprintln(w, "  "+string(l.Alert))
	}
	_, _ = fmt.Fprintf(w, "%d nodes", rep.Nodes)
	if len(rep.Missing) > 0 {
		_, _ = fmt.Fprintf(w, "; no response from, and therefore not included: %s", strings.Join(rep.Missing, ", "))
	}
	_, _ = fmt.Fprintln(w)
}
