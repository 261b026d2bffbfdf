package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sageconfigd"
	"sagestand.example/sagestand/internal/sageoperator"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageticket"
)

func ticketCommand(out *sagecli.Output) *cobra.Command {
	f := new(nodeFlags)
	c := &cobra.Command{Use: "ticket", Short: "Submit change tickets and show where they are in force"}
	f.add(c)
	c.AddCommand(ticketSubmitCommand(out, f), ticketStatusCommand(out, f), ticketListCommand(out, f), ticketShowCommand(out, f))
	return c
}

func ticketSubmitCommand(out *sagecli.Output, f *nodeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "submit FILE",
		Short:   "Submit a ticket; exit 0 only if it is accepted",
		Example: "  sagestand ticket submit exit-derby.json --node http://127.0.0.1:7301 --key-file operator.key",
		Args:    sagecli.ExactArgs("FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("%w: %v", sagecli.ErrUsage, err)
			}
			_, err = sageconfig.DecodeTicket(b)
			if err != nil {
				return fmt.Errorf("%w: %s: %v", sagecli.ErrUsage, args[0], err)
			}
			var raw json.RawMessage
			if err := f.call(c.Context(), http.MethodPost, "/v1/tickets", b, &raw); err != nil {
				if errors.Is(err, sagecli.ErrUnreachable) || errors.Is(err, sageoperator.ErrUnknown) {
					return fmt.Errorf("%w; the ticket may have been accepted: submit it again to find out, which is safe", err)
				}
				return err
			}
			return out.Print(c.OutOrStdout(), raw, func(w io.Writer) { printAccepted(w, raw) })
		},
	}
}

func printAccepted(w io.Writer, raw json.RawMessage) {
	var acc sageticket.Accepted
	if json.Unmarshal(raw, &acc) != nil {
		_, _ = fmt.Fprintf(w, "%s\n", raw)
		return
	}
	suffix := ""
	if acc.Repeated {
		suffix = ", as before"
	}
	_, _ = fmt.Fprintf(w, "ticket %d accepted at revision %d%s\n", acc.Number, acc.Revision, suffix)
}

func ticketStatusCommand(out *sagecli.Output, f *nodeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "status NUMBER",
		Short:   "Show on which nodes a ticket is in force, since when, and on which it is not",
		Example: "  sagestand ticket status 17",
		Args:    sagecli.ExactArgs("NUMBER"),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
				return fmt.Errorf("%w: %q: want the number of a ticket", sagecli.ErrUsage, args[0])
			}
			var st sageconfigd.TicketStatus
			if err := f.call(c.Context(), http.MethodGet, "/v1/tickets/"+args[0], nil, &st); err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), st, func(w io.Writer) { printStatus(w, &st) })
		},
	}
}

func printStatus(w io.Writer, st *sageconfigd.TicketStatus) {
	_, _ = fmt.Fprintf(w, "ticket %d, revision %d, accepted at %s: in force on %d nodes, not on %d\n",
		st.Number, st.Revision, st.AcceptedAt.Format(time.RFC3339Nano), len(st.InForce), len(st.NotInForce))
	for _, n := range st.InForce {
		since := "since an unknown time"
		if !n.Since.IsZero() {
			since = "since " + n.Since.Format(time.RFC3339Nano)
		}
		_, _ = fmt.Fprintf(w, "  in force  %-12s %-12s %s\n", n.Node, n.DataCentre, since)
	}
	for _, n := range st.NotInForce {
		_, _ = fmt.Fprintf(w, "  not       %-12s %-12s at revision %d, last contact at %s\n", n.Node, n.DataCentre, n.Revision, n.LastContact.Format(time.RFC3339Nano))
	}
}

func ticketListCommand(out *sagecli.Output, f *nodeFlags) *cobra.Command {
	var count int
	c := &cobra.Command{
		Use:     "list",
		Short:   "List the newest accepted tickets",
		Example: "  sagestand ticket list --count 50",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			var summaries []sageticket.Summary
			if err := f.call(c.Context(), http.MethodGet, "/v1/tickets?n="+strconv.Itoa(count), nil, &summaries); err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), summaries, func(w io.Writer) {
				for _, s := range summaries {
					_, _ = fmt.Fprintf(w, "%8d  revision %-8d %s  %d changes  %s  %s\n", s.Number, s.Revision, s.AcceptedAt.Format(time.RFC3339), s.ChangeCount, s.Author, s.Reason)
				}
			})
		},
	}
	c.Flags().IntVar(&count, "count", 20, "number of tickets")
	return c
}

func ticketShowCommand(out *sagecli.Output, f *nodeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "show KIND/NAME",
		Short:   "Show a configuration entry and the ticket that set it",
		Example: "  sagestand ticket show data_centre/derby",
		Args:    sagecli.ExactArgs("KIND/NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			key, err := sageconfig.ParseEntryKey(args[0])
			if err != nil {
				return fmt.Errorf("%w: %v", sagecli.ErrUsage, err)
			}
			raw, err := f.get(c.Context(), "/v1/things/"+key.String())
			if err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), raw, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s\n", raw) })
		},
	}
}
