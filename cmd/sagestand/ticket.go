package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/pkg/sageconfig"
)

func ticketCommand(out *sagecli.Output) *cobra.Command {
	f := new(nodeFlags)
	c := &cobra.Command{Use: "ticket", Short: "Submit change tickets and see where they are in force"}
	f.add(c)
	c.AddCommand(ticketSubmitCommand(out, f), ticketShowCommand(out, f))
	return c
}

func ticketSubmitCommand(out *sagecli.Output, f *nodeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "submit FILE",
		Short:   "Submit a ticket; exit 0 only if it is accepted",
		Example: "  sagestand ticket submit exit-derby.json --node http://127.0.0.1:7301 --key-file operator.key",
		Args:    sagecli.Exactly("FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("%w: %v", sagecli.ErrUsage, err)
			}
			t, err := sageconfig.DecodeTicket(b)
			if err != nil {
				return fmt.Errorf("%w: %s: %v", sagecli.ErrUsage, args[0], err)
			}
			var raw json.RawMessage
			if err := f.call(c.Context(), http.MethodPost, "/v1/tickets", b, &raw); err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), raw, func(w io.Writer) { _, _ = fmt.Fprintf(w, "ticket %d accepted\n", t.Number) })
		},
	}
}

func ticketShowCommand(out *sagecli.Output, f *nodeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "show KIND/NAME",
		Short:   "Show the state of a thing and the ticket that set it",
		Example: "  sagestand ticket show data_centre/derby",
		Args:    sagecli.Exactly("KIND/NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := sageconfig.ParseThing(args[0])
			if err != nil {
				return fmt.Errorf("%w: %v", sagecli.ErrUsage, err)
			}
			raw, err := f.get(c.Context(), "/v1/things/"+t.String())
			if err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), raw, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s\n", raw) })
		},
	}
}
