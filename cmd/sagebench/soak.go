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

// errFaultsFound reports a soak in which at least one seed found a fault.
var errFaultsFound = errors.New("soak found faults")

func soakCommand(out *sagecli.Output) *cobra.Command {
	var (
		seed, seeds uint64
		seconds     float64
		nodes       int
		calm        bool
		series      bool
		restores    bool
		paths       bool
		versions    bool
		parts       bool
		contention  bool
		retries     bool
		responses   bool
		stops       bool
		program     string
		self, dir   string
	)
	c := &cobra.Command{
		Use:     "soak",
		Short:   "Inject random faults around real nodes and check what callers and upstreams observe",
		Long:    "soak starts nodes as processes on loopback, between stand-ins for the platform, and injects faults chosen by a\nseed: signals, failures of upstreams and store, and a network that delays, resets, stalls or drops one direction.",
		Example: "  sagebench soak --seed 7 --seconds 10\n  sagebench soak --seed 1 --seeds 50\n  sagebench soak --calm",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			failed := 0
			for n := seed; n < seed+seeds; n++ {
				seedDir := filepath.Join(dir, fmt.Sprintf("seed-%d", n))
				if err := os.MkdirAll(seedDir, 0o700); err != nil {
					return fmt.Errorf("make directory for logs: %w", err)
				}
				s := &sagesoak.Soak{Seed: n, Program: program, Dir: seedDir, Nodes: nodes, Duration: time.Duration(seconds * float64(time.Second)), NoFaults: calm, Series: series, Restores: restores, Paths: paths, Versions: versions, Parts: parts, Contention: contention, Retries: retries, Responses: responses, Stops: stops}
				report, err := s.Run(c.Context())
				if err != nil {
					return fmt.Errorf("seed %d: %w", n, err)
				}
				if len(report.Violations) > 0 {
					failed++
				}
				err = out.Print(c.OutOrStdout(), report, func(w io.Writer) {
					_, _ = fmt.Fprintf(w, "soak: seed %d: %d faults injected, %d found; %v\n", n, len(report.InjectedFaults), len(report.Violations), report.Counts)
					for _, share := range report.PathShares {
						_, _ = fmt.Fprintf(w, "  first tries served %s\n", share)
					}
					if report.Returns != "" {
						_, _ = fmt.Fprintf(w, "  streams %s\n", report.Returns)
					}
					if report.Parts != "" {
						_, _ = fmt.Fprintf(w, "  parts %s\n", report.Parts)
					}
					if report.Stops != "" {
						_, _ = fmt.Fprintf(w, "  stops %s\n", report.Stops)
					}
					if report.Contention != "" {
						_, _ = fmt.Fprintf(w, "  contention %s\n", report.Contention)
					}
					for _, f := range report.Violations {
						_, _ = fmt.Fprintf(w, "  %s\n", f)
					}
				})
				if err != nil {
					return err
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds, logs in %s: %w", failed, seeds, dir, errFaultsFound)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "first seed")
	f.Uint64Var(&seeds, "seeds", 1, "number of seeds, run one after another")
	f.Float64Var(&seconds, "seconds", 8, "seconds during which faults are injected")
	f.IntVar(&nodes, "nodes", 4, "number of nodes")
	f.BoolVar(&calm, "calm", false, "inject no faults")
	f.BoolVar(&series, "series", false, "inject faults in series of one family, so that more of them overlap")
	f.BoolVar(&restores, "restores", false, "restore the store from earlier copies, beside the other faults")
	f.BoolVar(&paths, "paths", false, "cut nodes from upstreams, make upstreams brittle or unresponsive, beside the other faults")
	f.BoolVar(&versions, "versions", false, "have software versions replace each other, break streams and stop nodes, beside the other faults")
	f.BoolVar(&parts, "parts", false, "have parts of prompts crash engines, which also crash for other reasons, and stop nodes, beside the other faults")
	f.BoolVar(&contention, "contention", false, "have accounts ask for too much, applications slow down and callers read slowly, and stop and cut nodes, beside the other faults")
	f.BoolVar(&responses, "responses", false, "have upstreams repeat responses late, leave the ID out of rejections and send bytes that never end, beside the other faults")
	f.BoolVar(&stops, "stops", false, "stop nodes under requests that run for long, beside the other faults")
	f.BoolVar(&retries, "retries", false, "have all upstreams of a service fail while many nodes are killed and frozen, beside the other faults")
	f.StringVar(&dir, "dir", filepath.Join(os.TempDir(), "sagestand-soak"), "directory for the nodes' settings and logs")
	addProgramFlag(c, &program, &self)
	return c
}
