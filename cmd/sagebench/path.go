package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagepath"
)

func pathCommand(out *sagecli.Output) *cobra.Command {
	p := new(sagepath.Check)
	c := &cobra.Command{
		Use:   "path",
		Short: "Check the path of a request with real processes, one line per step",
		Long:  "path starts the stand-ins and three routers as separate processes on loopback, sends chats and bookings\nthrough them, and checks every answer. It needs the program sagestand, by default in its own directory.",
		Args:  sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			steps, err := p.Run(c.Context(), func(s sagepath.Step) {
				if out.Format == "text" {
					_, _ = fmt.Fprintf(c.OutOrStdout(), "path: %-10s %-4s %s\n", s.Name, s.Status(), s.Detail)
				}
			})
			if perr := out.Print(c.OutOrStdout(), steps, func(io.Writer) {}); perr != nil {
				return perr
			}
			return err
		},
	}
	addProgramFlag(c, &p.Sagestand, &p.Sagebench)
	return c
}

// addProgramFlag adds the flag --sagestand for the path of the program sagestand, by default in the
// directory of the running program, and sets sagebench to the path of the running program.
func addProgramFlag(c *cobra.Command, sagestand, sagebench *string) {
	self, err := os.Executable()
	if err != nil {
		self = "sagebench"
	}
	*sagebench = self
	c.Flags().StringVar(sagestand, "sagestand", filepath.Join(filepath.Dir(self), "sagestand"), "path of the program sagestand")
}
