// Command sagestand is the router daemon and its operators' tool.
//
// See sagestand --help; each command has its own examples.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/platform"
)

// version is set by the linker in releases.
var version = "dev"

func main() { os.Exit(sagecli.Main(root())) }

func root() *cobra.Command {
	out := new(sagecli.Output)
	c := &cobra.Command{
		Use:   "sagestand",
		Short: "Router daemon for returning chats, and its operators' tool",
		Long:  "sagestand routes callers to model engines and application services.\n\n" + sagecli.ExitHelp,
	}
	out.AddFlag(c)
	c.AddCommand(serveCommand(), settingsCommand(out), ticketCommand(out), statusCommand(out), locateCommand(out), reportCommand(out), unknownCommand(out), demoCommand(out), versionCommand(out), platform.Command(), explainCommand(out))
	return c
}
