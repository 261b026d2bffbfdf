package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagesoak"
)

func takeoversCommand() *cobra.Command {
	p := new(casePlayer)
	var seed uint64
	var duration time.Duration
	c := &cobra.Command{
		Use:   "takeovers",
		Short: "Have callers take up streams at other nodes beside faults, and count what two upstreams execute",
		Args:  sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			for _, x := range sagesoak.TakeoverCases() {
				err := p.play(c, x.Name, func(dir string) (string, bool, error) {
					x.Program, x.Dir, x.Seed, x.Duration = p.program, dir, seed, duration
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
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the requests and of what happens beside them")
	c.Flags().DurationVar(&duration, "duration", 15*time.Second, "time in which callers send")
	p.addFlags(c)
	return c
}
