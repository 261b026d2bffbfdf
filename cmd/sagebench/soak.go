package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagesoak"
)

// errSoak reports a soak that found a fault.
var errSoak = errors.New("soak found faults")

func soakCommand(out *sagecli.Output) *cobra.Command {
	var (
		seed, seeds uint64
		seconds     float64
		nodes       int
		calm        bool
		program     string
		self, dir   string
	)
	c := &cobra.Command{
		Use:     "soak",
		Short:   "Break what is around real nodes at random and check what callers and upstreams see",
		Long:    "soak starts nodes as processes on loopback, between stand-ins of the platform, and injects the faults that a seed\nchooses: signals, upstreams and a store that break, a network that delays, resets, silences or cuts one way.",
		Example: "  sagebench soak --seed 7 --seconds 10\n  sagebench soak --seed 1 --seeds 50\n  sagebench soak --calm",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			failed := 0
			for n := seed; n < seed+seeds; n++ {
				at := filepath.Join(dir, fmt.Sprintf("seed-%d", n))
				if err := os.MkdirAll(at, 0o700); err != nil {
					return fmt.Errorf("make directory for logs: %w", err)
				}
				s := &sagesoak.Soak{Seed: n, Program: program, Dir: at, Nodes: nodes, Duration: time.Duration(seconds * float64(time.Second)), NoFaults: calm}
				v, err := s.Run(c.Context())
				if err != nil {
					return fmt.Errorf("seed %d: %w", n, err)
				}
				if len(v.Violations) > 0 {
					failed++
				}
				err = out.Print(c.OutOrStdout(), v, func(w io.Writer) {
					_, _ = fmt.Fprintf(w, "soak: seed %d: %d faults injected, %d found; %v\n", n, len(v.InjectedFaults), len(v.Violations), v.Counts)
					for _, f := range v.Violations {
						_, _ = fmt.Fprintf(w, "  %s\n", f)
					}
				})
				if err != nil {
					return err
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds, logs in %s: %w", failed, seeds, dir, errSoak)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "the first seed")
	f.Uint64Var(&seeds, "seeds", 1, "how many seeds, one after another")
	f.Float64Var(&seconds, "seconds", 8, "how long faults are injected")
	f.IntVar(&nodes, "nodes", 4, "how many nodes")
	f.BoolVar(&calm, "calm", false, "inject nothing")
	f.StringVar(&dir, "dir", filepath.Join(os.TempDir(), "sagestand-soak"), "where settings and logs of the nodes go")
	addPrograms(c, &program, &self)
	return c
}
