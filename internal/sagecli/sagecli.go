package sagecli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Exit codes of the programs.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitSettings    = 3
	ExitRefused     = 4
	ExitUnreachable = 5
)

// Errors that select the exit code. Any other error exits with [ExitFailed].
var (
	ErrUsage       = errors.New("usage")
	ErrSettings    = errors.New("settings")
	ErrRefused     = errors.New("refused")
	ErrUnreachable = errors.New("unreachable")
)

// ExitHelp describes the exit codes in the help of the root commands.
const ExitHelp = `Exit codes: 0 success, 1 failure, 2 usage, 3 settings, 4 refused by the node, 5 node unreachable.`

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrSettings):
		return ExitSettings
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	}
	return ExitFailed
}

// Main runs a root command with a context that SIGTERM and SIGINT cancel, prints its error in one line
// on stderr and returns the exit code.
func Main(root *cobra.Command) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return fmt.Errorf("%w: %v (see %s --help)", ErrUsage, err, c.CommandPath())
	})
	err := root.ExecuteContext(ctx)
	if err != nil {
		if strings.HasPrefix(err.Error(), "unknown command") {
			err = fmt.Errorf("%w: %v (see %s --help)", ErrUsage, err, root.Name())
		}
		_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", root.Name(), strings.ReplaceAll(err.Error(), "\n", " "))
	}
	return ExitCode(err)
}

// ExactArgs requires one positional argument for each name. The error message lists the names.
func ExactArgs(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return fmt.Errorf("%w: want [%s], got %d arguments (see %s --help)", ErrUsage, strings.Join(names, " "), len(args), c.CommandPath())
		}
		return nil
	}
}

// Output prints results as text or as JSON.
type Output struct {
	Format string
}

// AddFlag adds the flag --output to c and its subcommands.
func (o *Output) AddFlag(c *cobra.Command) {
	c.PersistentFlags().StringVar(&o.Format, "output", "text", "text or json")
}

// Print writes v as JSON, or calls text to write it for people, as Format selects.
func (o *Output) Print(w io.Writer, v any, text func(w io.Writer)) error {
	switch o.Format {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		if err := e.Encode(v); err != nil {
			return fmt.Errorf("print: %w", err)
		}
		return nil
	case "text":
		text(w)
		return nil
	}
	return fmt.Errorf("%w: --output %q: want text or json", ErrUsage, o.Format)
}
