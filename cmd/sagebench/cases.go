package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagesoak"
)

// errCaseFailed reports a case in which a promise was broken.
var errCaseFailed = errors.New("a case failed")

// casesFlags are the flags of a command that plays cases with real processes.
type casesFlags struct{ program, self, dir, only string }

func (f *casesFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.only, "only", "", "play only the cases whose names contain this")
	c.Flags().StringVar(&f.dir, "dir", filepath.Join(os.TempDir(), "sagestand-cases"), "directory for the nodes' settings and logs")
	addProgramFlag(c, &f.program, &f.self)
}

// dirOf makes the directory of a case; it is empty if the case isn't played.
func (f *casesFlags) dirOf(name string) (string, error) {
	if !strings.Contains(name, f.only) {
		return "", nil
	}
	dir := filepath.Join(f.dir, strings.ReplaceAll(name, " ", "-"))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", fmt.Errorf("make directory for logs: %w", err)
	}
	return dir, nil
}

func partitionCommand() *cobra.Command {
	var f casesFlags
	c := &cobra.Command{
		Use:   "partition",
		Short: "Count what is executed although it was given up, beside partitions between data centres",
		Args:  sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			failed := false
			for _, p := range sagesoak.Partitions() {
				dir, err := f.dirOf(p.Name)
				if err != nil {
					return err
				}
				if dir == "" {
					continue
				}
				p.Program, p.Dir = f.program, dir
				result, err := p.Run(c.Context())
				if err != nil {
					return fmt.Errorf("%s: %w", p.Name, err)
				}
				_, _ = fmt.Fprintf(c.OutOrStdout(), "partition: %s: %d requests, %d late executions, %d violations\n", p.Name, result.Asked, result.Late, len(result.Violations))
				for _, v := range result.Violations {
					_, _ = fmt.Fprintf(c.OutOrStdout(), "  %s\n", v)
				}
				failed = failed || result.Failed()
			}
			if failed {
				return errCaseFailed
			}
			return nil
		},
	}
	f.add(c)
	return c
}

func rejoinCommand() *cobra.Command {
	var f casesFlags
	c := &cobra.Command{
		Use:   "rejoin",
		Short: "Kill all nodes while streams are open, and count how the streams go on that callers take up",
		Args:  sagecli.ExactArgs(),
		RunE:  func(c *cobra.Command, _ []string) error { return playRejoins(c.Context(), c, &f) },
	}
	f.add(c)
	return c
}

func playRejoins(ctx context.Context, c *cobra.Command, f *casesFlags) error {
	failed := false
	for _, r := range sagesoak.Rejoins() {
		dir, err := f.dirOf(r.Name)
		if err != nil {
			return err
		}
		if dir == "" {
			continue
		}
		r.Program, r.Dir = f.program, dir
		n, err := r.Run(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", r.Name, err)
		}
		_, _ = fmt.Fprintf(c.OutOrStdout(), "rejoin: %s: %d streams broken, %d joined from two versions, %d whole (%d of %d whose version served), %d refusals, %d of %d new streams begun\n",
			r.Name, n.Broken, n.Joined, n.Whole, n.WholeOfServing, n.OfServing, n.Refusals, n.NewBegun, n.NewSent)
		failed = failed || n.Failed()
	}
	if failed {
		return errCaseFailed
	}
	return nil
}
