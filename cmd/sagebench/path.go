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
		Short: "Check the whole path with real processes, a line per step",
		Long:  "path starts the stand-ins and three routers as processes of their own on loopback, sends chats and bookings\nthrough them, and checks every answer. It needs the program sagestand, by default beside itself.",
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
	addPrograms(c, &p.Sagestand, &p.Sagebench)
	return c
}

// addPrograms adds the flag that names the program sagestand, by default beside this one.
func addPrograms(c *cobra.Command, sagestand, sagebench *string) {
	self, err := os.Executable()
	if err != nil {
		self = "sagebench"
	}
	*sagebench = self
	c.Flags().StringVar(sagestand, "sagestand", filepath.Join(filepath.Dir(self), "sagestand"), "the program sagestand")
}
