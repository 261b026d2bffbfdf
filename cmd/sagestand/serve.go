package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagenode"
	"sagestand.example/sagestand/internal/sagesettings"
)

func serveCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run the daemon until SIGTERM, then stop gracefully",
		Example: "  sagestand serve --settings node.json",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := loadSettings(path)
			if err != nil {
				return err
			}
			n := &sagenode.Node{Settings: cfg, Log: sagelog.New(os.Stderr, cfg.Node.Name)}
			sagelog.CaptureStandard(n.Log.Component("library"))
			if err := n.Open(); err != nil {
				return fmt.Errorf("%w: %s: %v", sagecli.ErrSettings, path, err)
			}
			return n.Run(c.Context())
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file (see sagestand settings example)")
	return c
}

// loadSettings reads a settings file. The error lists every invalid field in one line.
func loadSettings(path string) (sagesettings.Settings, error) {
	if path == "" {
		return sagesettings.Settings{}, fmt.Errorf("%w: --settings FILE is missing", sagecli.ErrUsage)
	}
	cfg, err := sagesettings.Load(path)
	var fieldErrs sagesettings.FieldErrors
	if errors.As(err, &fieldErrs) {
		return cfg, fmt.Errorf("%w: %s: %v", sagecli.ErrSettings, path, fieldErrs)
	}
	if err != nil {
		return cfg, fmt.Errorf("%w: %v", sagecli.ErrSettings, err)
	}
	return cfg, nil
}
