// Command sagebench provides the stand-ins for the external systems, and the checks and measurements
// that use them.
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
		Long:  "sagebench runs stand-ins for platform, engines and applications, and checks and measures the system.\n\n" + sagecli.ExitHelp,
	}
	out.AddFlag(c)
	c.AddCommand(standinCommand(), pathCommand(out), chaosCommand(out), confirmCommand(out), costCommand(out), scaleCommand(out), measureCommand(out), recordCommand(out), replayCommand(out), soakCommand(out), partitionCommand(), rejoinCommand(), pausesCommand(), stopsCommand(), crowdCommand(), takeoversCommand(), lossCommand(), pairsCommand())
	return c
}
