package main

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagesoak"
)

// errCaseFailed reports a case in which a promise was broken.
var errCaseFailed = errors.New("a case failed")

// casePlayer plays cases with real processes and prints a line for each.
type casePlayer struct {
	program, self, dir, only string
	failed                   bool
}

func (p *casePlayer) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.only, "only", "", "play only the cases whose names contain this")
	c.Flags().StringVar(&p.dir, "dir", filepath.Join(os.TempDir(), "sagestand-cases"), "directory for the nodes' settings and logs")
	addProgramFlag(c, &p.program, &p.self)
}

// play plays one case, unless the flags leave it out. run returns what is printed, and whether the case failed.
func (p *casePlayer) play(c *cobra.Command, name string, run func(dir string) (text string, failed bool, err error)) error {
	if !strings.Contains(name, p.only) {
		return nil
	}
	dir := filepath.Join(p.dir, strings.ReplaceAll(name, " ", "-"))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("make directory for logs: %w", err)
	}
	text, failed, err := run(dir)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, _ = fmt.Fprintf(c.OutOrStdout(), "%s: %s: %s\n", c.Name(), name, text)
	p.failed = p.failed || failed
	return nil
}

// result returns an error if a case failed.
func (p *casePlayer) result() error {
	if p.failed {
		return errCaseFailed
	}
	return nil
}

func partitionCommand() *cobra.Command {
	p := new(casePlayer)
	c := &cobra.Command{
		Use:   "partition",
		Short: "Count what is executed although it was given up, beside partitions between data centres",
		Args:  sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			for _, x := range sagesoak.Partitions() {
				err := p.play(c, x.Name, func(dir string) (string, bool, error) {
					x.Program, x.Dir = p.program, dir
					n, err := x.Run(c.Context())
					text := fmt.Sprintf("%d requests, %d late executions, %d violations", n.Asked, n.Late, len(n.Violations))
					return strings.Join(append([]string{text}, n.Violations...), "\n  "), n.Failed(), err
				})
				if err != nil {
					return err
				}
			}
			return p.result()
		},
	}
	p.addFlags(c)
	return c
}

func rejoinCommand() *cobra.Command {
	p := new(casePlayer)
	c := &cobra.Command{
		Use:   "rejoin",
		Short: "Kill all nodes while streams are open, and count how the streams go on that callers take up",
		Args:  sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			for _, x := range sagesoak.Rejoins() {
				err := p.play(c, x.Name, func(dir string) (string, bool, error) {
					x.Program, x.Dir = p.program, dir
					n, err := x.Run(c.Context())
					return fmt.Sprintf("%d streams broken, %d joined from two versions, %d whole (%d of %d whose version served), %d refusals, %d of %d new streams begun",
						n.Broken, n.Joined, n.Whole, n.WholeOfServing, n.OfServing, n.Refusals, n.NewBegun, n.NewSent), n.Failed(), err
				})
				if err != nil {
					return err
				}
			}
			return p.result()
		},
	}
	p.addFlags(c)
	return c
}

func pausesCommand() *cobra.Command {
	p := new(casePlayer)
	var seed uint64
	var count int
	c := &cobra.Command{
		Use:   "pauses",
		Short: "Have upstreams stand still while the configuration changes, beside other faults, and check all answers",
		Args:  sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			if count < 1 || count > sagesoak.MaxPauses {
				return fmt.Errorf("%w: --pauses: must be 1 to %d", sagecli.ErrUsage, sagesoak.MaxPauses)
			}
			for _, x := range sagesoak.PauseCases() {
				err := p.play(c, x.Name, func(dir string) (string, bool, error) {
					x.Program, x.Dir, x.Seed, x.Count = p.program, dir, seed, count
					r, err := x.Run(c.Context())
					if err != nil {
						return "", false, err
					}
					return strings.Join(append([]string{r.String()}, r.Details...), "\n  "), r.Failed(), nil
				})
				if err != nil {
					return err
				}
			}
			return p.result()
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the upstreams that stand still")
	c.Flags().IntVar(&count, "pauses", sagesoak.MaxPauses, "number of pauses, one every 6 s")
	p.addFlags(c)
	return c
}

func stopsCommand() *cobra.Command {
	p := new(casePlayer)
	var seed uint64
	var rounds int
	c := &cobra.Command{
		Use:   "stops",
		Short: "Stop nodes in series under callers that keep their connections, and check all answers",
		Args:  sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			if rounds < 0 {
				return fmt.Errorf("%w: --rounds: must not be negative", sagecli.ErrUsage)
			}
			for _, x := range sagesoak.StopCases() {
				err := p.play(c, x.Name, func(dir string) (string, bool, error) {
					x.Program, x.Dir, x.Seed, x.Rounds = p.program, dir, seed, cmp.Or(rounds, x.Rounds)
					r, err := x.Run(c.Context())
					if err != nil {
						return "", false, err
					}
					return strings.Join(append([]string{r.String()}, r.Details...), "\n  "), x.Failed(&r), nil
				})
				if err != nil {
					return err
				}
			}
			return p.result()
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the requests")
	c.Flags().IntVar(&rounds, "rounds", 0, "number of stops in series; 0 means that of each case")
	p.addFlags(c)
	return c
}

func crowdCommand() *cobra.Command {
	p := new(casePlayer)
	var seed uint64
	var nodes, callers int
	var duration time.Duration
	c := &cobra.Command{
		Use:   "crowd",
		Short: "Have many nodes send to upstreams at their capacity, beside one other fault, and check all answers",
		Args:  sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			if nodes < 2 || nodes > sagesoak.MaxCrowdNodes {
				return fmt.Errorf("%w: --nodes: must be 2 to %d", sagecli.ErrUsage, sagesoak.MaxCrowdNodes)
			}
			for _, x := range sagesoak.Crowds() {
				err := p.play(c, x.Name, func(dir string) (string, bool, error) {
					x.Program, x.Dir, x.Seed, x.Nodes, x.Callers, x.Duration = p.program, dir, seed, nodes, callers, duration
					r, err := x.Run(c.Context())
					if err != nil {
						return "", false, err
					}
					return strings.Join(append([]string{r.String()}, r.Details...), "\n  "), r.Failed(), nil
				})
				if err != nil {
					return err
				}
			}
			return p.result()
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the requests and of the times at which nodes stand still")
	c.Flags().IntVar(&nodes, "nodes", 16, "number of nodes")
	c.Flags().IntVar(&callers, "callers", 72, "number of callers")
	c.Flags().DurationVar(&duration, "duration", 10*time.Second, "time in which callers send")
	p.addFlags(c)
	return c
}
