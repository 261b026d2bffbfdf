package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagesettings"
)

func settingsCommand(out *sagecli.Output) *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Check settings or print an example"}
	c.AddCommand(settingsCheckCommand(out), settingsExampleCommand(), settingsPageCommand())
	return c
}

func settingsCheckCommand(out *sagecli.Output) *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Report all errors in a settings file",
		Example: "  sagestand settings check node.json",
		Args:    sagecli.ExactArgs("FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			_, err := sagesettings.Load(args[0])
			var fieldErrs sagesettings.FieldErrors
			if err != nil && !errors.As(err, &fieldErrs) {
				return fmt.Errorf("%w: %v", sagecli.ErrSettings, err)
			}
			report := struct {
				OK     bool                     `json:"ok"`
				Faults sagesettings.FieldErrors `json:"faults"`
			}{OK: len(fieldErrs) == 0, Faults: fieldErrs}
			if report.Faults == nil {
				report.Faults = sagesettings.FieldErrors{}
			}
			perr := out.Print(c.OutOrStdout(), report, func(w io.Writer) {
				for _, f := range fieldErrs {
					_, _ = fmt.Fprintf(w, "%s: %s\n", f.Path, f.Problem)
				}
				if len(fieldErrs) == 0 {
					_, _ = fmt.Fprintln(w, "ok")
				}
			})
			if perr != nil {
				return perr
			}
			if len(fieldErrs) > 0 {
				return fmt.Errorf("%w: %s: %d invalid fields, see above", sagecli.ErrSettings, args[0], len(fieldErrs))
			}
			return nil
		},
	}
}

func settingsExampleCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "example",
		Short:   "Print complete settings of a first node",
		Example: "  sagestand settings example > node.json",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			e := json.NewEncoder(c.OutOrStdout())
			e.SetIndent("", "  ")
			if err := e.Encode(sagesettings.Example()); err != nil {
				return fmt.Errorf("print example: %w", err)
			}
			return nil
		},
	}
}

func settingsPageCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "page",
		Short:   "Generate docs/SETTINGS.md from the settings type",
		Example: "  sagestand settings page > docs/SETTINGS.md",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := io.WriteString(c.OutOrStdout(), sagesettings.MarkdownPage())
			return err
		},
	}
}
