package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sageclaims"
	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sagewire"
)

func unknownCommand(out *sagecli.Output) *cobra.Command {
	f := new(nodeFlags)
	c := &cobra.Command{Use: "unknown", Short: "Requests with an idempotency key and an unknown outcome"}
	f.add(c)
	c.AddCommand(unknownListCommand(out, f), unknownSettleCommand(out, f))
	return c
}

func unknownListCommand(out *sagecli.Output, f *nodeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the requests whose outcome an operator has to resolve",
		Example: "  sagestand unknown list --key-file operator.key",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			var list []sageclaim.Record
			if err := f.call(c.Context(), http.MethodGet, "/v1/unknown", nil, &list); err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), list, func(w io.Writer) { printUnknown(w, list) })
		},
	}
}

func printUnknown(w io.Writer, list []sageclaim.Record) {
	_, _ = fmt.Fprintf(w, "%-16s %-40s %-36s %-20s %s\n", "ACCOUNT", "KEY", "CLAIM", "DEADLINE", "STATE")
	for _, r := range list {
		_, _ = fmt.Fprintf(w, "%-16s %-40s %-36s %-20s %s\n", r.Account, r.Key, r.ClaimID, r.Deadline.UTC().Format(time.RFC3339), r.State)
	}
	_, _ = fmt.Fprintf(w, "%d requests to resolve\n", len(list))
}

func unknownSettleCommand(out *sagecli.Output, f *nodeFlags) *cobra.Command {
	var account string
	var ran, notRun bool
	c := &cobra.Command{
		Use:     "settle KEY CLAIM",
		Short:   "Record whether a listed request ran; after --not-run its key can be used again",
		Example: "  sagestand unknown settle 1764700000123-box-17 5f0c… --account haller --ran",
		Args:    sagecli.ExactArgs("KEY", "CLAIM"),
		RunE: func(c *cobra.Command, args []string) error {
			if account == "" || ran == notRun {
				return fmt.Errorf("%w: want --account and one of --ran and --not-run", sagecli.ErrUsage)
			}
			resolution := sageclaims.Resolution{Account: account, Key: args[0], ClaimID: args[1], Outcome: sagewire.Complete}
			if notRun {
				resolution.Outcome = sagewire.NotRun
			}
			b, err := json.Marshal(&resolution)
			if err != nil {
				return fmt.Errorf("encode resolution: %w", err)
			}
			var rec sageclaim.Record
			if err := f.call(c.Context(), http.MethodPost, "/v1/unknown", b, &rec); err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), rec, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s %s: %s\n", rec.Account, rec.Key, rec.State) })
		},
	}
	c.Flags().StringVar(&account, "account", "", "client account of the request")
	c.Flags().BoolVar(&ran, "ran", false, "the request ran")
	c.Flags().BoolVar(&notRun, "not-run", false, "the request did not run")
	return c
}
