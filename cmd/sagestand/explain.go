package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sageexplain"
)

func explainCommand(out *sagecli.Output) *cobra.Command {
	return &cobra.Command{
		Use:     "explain REQUEST_ID [LOGFILE ...]",
		Short:   "Show the log lines of one request from several nodes in order of time",
		Example: "  sagestand explain 9c41d07be2a35f68 vm1.log vm2.log\n  cat *.log | sagestand explain 9c41d07be2a35f68",
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("%w: REQUEST_ID is missing", sagecli.ErrUsage)
			}
			logs := []sageexplain.Log{{Name: "standard input", Reader: c.InOrStdin()}}
			if len(args) > 1 {
				logs = nil
			}
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return fmt.Errorf("%w: %v", sagecli.ErrUsage, err)
				}
				defer func() { _ = f.Close() }()
				logs = append(logs, sageexplain.Log{Name: name, Reader: f})
			}
			timeline, err := sageexplain.Read(args[0], logs...)
			if err != nil {
				return err
			}
			var werr error
			if err := out.Print(c.OutOrStdout(), timeline, func(w io.Writer) { werr = timeline.Write(w) }); err != nil {
				return err
			}
			return werr
		},
	}
}
