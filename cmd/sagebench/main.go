// Command sagebench holds the stand-ins for what is outside the system, and the checks and
// measurements that run against them.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
)

func main() { os.Exit(sagecli.Main(root())) }

func root() *cobra.Command {
	out := new(sagecli.Output)
	c := &cobra.Command{
		Use:   "sagebench",
		Short: "Stand-ins, checks and measurements for sagestand",
		Long:  "sagebench holds the stand-ins for platform, engines and applications, and measures the system.\n\n" + sagecli.ExitHelp,
	}
	out.AddFlag(c)
	c.AddCommand(standinCommand(), pathCommand(out), chaosCommand(out), confirmCommand(out), costCommand(out), scaleCommand(out), measureCommand(out), recordCommand(out), replayCommand(out), soakCommand(out), lossCommand(), pairsCommand())
	return c
}
