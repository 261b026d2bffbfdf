package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagetrace"
)

// errMismatch reports a replay whose outcomes differ from those recorded in the trace.
var errMismatch = errors.New("outcomes differ from those of the trace")

func replayCommand(out *sagecli.Output) *cobra.Command {
	return &cobra.Command{
		Use:     "replay FILE",
		Short:   "Replay a trace on a system in this process and compare the outcomes",
		Example: "  sagebench replay internal/sagetrace/testdata/lost_answer.json",
		Args:    sagecli.ExactArgs("FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := sagetrace.Load(args[0])
			if err != nil {
				return fmt.Errorf("%w: %v", sagecli.ErrUsage, err)
			}
			res, err := sagetrace.Replay(c.Context(), t)
			if err != nil {
				return err
			}
			return printReplay(c.OutOrStdout(), out, &res)
		},
	}
}

func printReplay(w io.Writer, out *sagecli.Output, res *sagetrace.Result) error {
	err := out.Print(w, res, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: %d requests: complete %d, not_run %d, unknown %d, already_run %d; cache reuse %.3f; %d mismatches\n",
			res.Trace, res.Requests, res.Complete, res.NotRun, res.Unknown, res.AlreadyRun, res.CacheReuse, len(res.Mismatches))
		for _, m := range res.Mismatches {
			_, _ = fmt.Fprintln(w, "mismatch: "+m)
		}
	})
	if err == nil && len(res.Mismatches) > 0 {
		err = fmt.Errorf("%s: %d: %w", res.Trace, len(res.Mismatches), errMismatch)
	}
	return err
}

func recordCommand(out *sagecli.Output) *cobra.Command {
	var user, file string
	var requests, millis int
	var seed int64
	f := new(sagefleet.Fleet)
	c := &cobra.Command{
		Use:     "record",
		Short:   "Record a trace of one user's workload from real processes",
		Example: "  sagebench record --user haller --requests 200 --millis 3000 --file haller.json",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			t, err := sagetrace.Generate(user, requests, millis, seed)
			if err != nil {
				return fmt.Errorf("%w: --user: %v", sagecli.ErrUsage, err)
			}
			if f.Dir, err = os.MkdirTemp("", "sagestand-record"); err != nil {
				return fmt.Errorf("record: %w", err)
			}
			defer func() { _ = os.RemoveAll(f.Dir) }()
			res, err := sagetrace.Record(c.Context(), t, f)
			if err != nil {
				return err
			}
			b, err := json.MarshalIndent(t, "", " ")
			if err != nil {
				return fmt.Errorf("record: %w", err)
			}
			if err := os.WriteFile(file, append(b, '\n'), 0o644); err != nil {
				return fmt.Errorf("%w: --file: %v", sagecli.ErrUsage, err)
			}
			return printReplay(c.OutOrStdout(), out, &res)
		},
	}
	addProgramFlag(c, &f.Sagestand, &f.Sagebench)
	c.Flags().StringVar(&user, "user", "trentvale", "trentvale or haller")
	c.Flags().StringVar(&file, "file", "trace.json", "file to write")
	c.Flags().IntVar(&requests, "requests", 200, "number of requests")
	c.Flags().IntVar(&millis, "millis", 3000, "length of the trace, in milliseconds")
	c.Flags().Int64Var(&seed, "seed", 1, "seed of the workload")
	return c
}
