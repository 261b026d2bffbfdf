package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	sageloss "sagestand.example/sagestand/platform/loss"
)

func lossCommand() *cobra.Command {
	var site, log string
	c := &cobra.Command{
		Use:     "loss REPORT...",
		Short:   "Account for the losses of bench days by cause",
		Long:    "loss reads reports of bench days and prints for each a table of losses that adds up to one minus the day's worth,\nthe worst windows with the events active in them, and the worth without the avoidable losses.",
		Example: "  sagebench loss --site further/site.toml day.json\n  sagebench loss --site site.toml --log day.log day.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := readSite(site)
			if err != nil {
				return err
			}
			for _, name := range args {
				if err := printAccount(c, s, name); err != nil {
					return err
				}
			}
			if log == "" {
				return nil
			}
			return printAbandoned(c, log)
		},
	}
	c.Flags().StringVar(&site, "site", "", "deployment file, which states the worth of each class of request")
	c.Flags().StringVar(&log, "log", "", "nodes' logs of a day, for the causes of abandoned requests")
	_ = c.MarkFlagRequired("site") // fails only if the flag is not defined
	return c
}

func readSite(name string) (*sageloss.Site, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%w: open site: %v", sagecli.ErrUsage, err)
	}
	defer func() { _ = f.Close() }()
	s, err := sageloss.ReadSite(f)
	if err != nil {
		return nil, fmt.Errorf("%w: read site %s: %v", sagecli.ErrUsage, name, err)
	}
	return s, nil
}

func printAccount(c *cobra.Command, s *sageloss.Site, name string) error {
	d, err := readDay(name)
	if err != nil {
		return err
	}
	a := sageloss.NewAccount(d, s)
	if _, err := fmt.Fprintf(c.OutOrStdout(), "%s: worth %.3f\n", name, a.Worth); err != nil {
		return fmt.Errorf("write name: %w", err)
	}
	return a.Write(c.OutOrStdout())
}

func printAbandoned(c *cobra.Command, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("%w: open log: %v", sagecli.ErrUsage, err)
	}
	defer func() { _ = f.Close() }()
	abandoned, err := sageloss.ReadAbandoned(f)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return sageloss.WriteAbandoned(c.OutOrStdout(), abandoned)
}
