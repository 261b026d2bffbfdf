package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"runtime"
	"strings"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/internal/sagecli"
)

func statusCommand(out *sagecli.Output) *cobra.Command {
	f := new(nodeFlags)
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show the status of a node",
		Example: "  sagestand status --node http://127.0.0.1:7301 --key-file operator.key --output json",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			raw, err := f.get(c.Context(), "/v1/status")
			if err != nil {
				return err
			}
			return out.Print(c.OutOrStdout(), raw, func(w io.Writer) { printFields(w, raw) })
		},
	}
	f.add(c)
	return c
}

// printFields writes one line for each field of a JSON object, sorted by name.
func printFields(w io.Writer, raw json.RawMessage) {
	var m map[string]json.RawMessage
	if json.Unmarshal(raw, &m) != nil {
		_, _ = fmt.Fprintf(w, "%s\n", raw)
		return
	}
	for _, k := range sortedKeys(m) {
		_, _ = fmt.Fprintf(w, "%-14s %s\n", k, m[k])
	}
}

func locateCommand(out *sagecli.Output) *cobra.Command {
	var entry, keyFile, chat string
	c := &cobra.Command{
		Use:     "locate",
		Short:   "Ask an entry address where a chat should connect",
		Example: "  sagestand locate --entry 127.0.0.1:7101 --key-file account.key --chat chat-42",
		Args:    sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			key, err := os.ReadFile(keyFile)
			if err != nil {
				return fmt.Errorf("%w: --key-file: %v", sagecli.ErrUsage, err)
			}
			if _, err := url.Parse("http://" + entry); err != nil {
				return fmt.Errorf("%w: --entry: %v", sagecli.ErrUsage, err)
			}
			caller := &sagecaller.Caller{Entries: []string{entry}, Key: strings.TrimSpace(string(key)), HTTP: &http.Client{Timeout: callTimeout}}
			addrs, err := caller.Locate(c.Context(), chat)
			if err != nil {
				return fmt.Errorf("%w: %v", sagecli.ErrUnreachable, err)
			}
			return out.Print(c.OutOrStdout(), map[string][]string{"addresses": addrs}, func(w io.Writer) {
				for _, a := range addrs {
					_, _ = fmt.Fprintln(w, a)
				}
			})
		},
	}
	c.Flags().StringVar(&entry, "entry", "127.0.0.1:7101", "entry address of any node")
	c.Flags().StringVar(&keyFile, "key-file", "account.key", "file with the client account's key")
	c.Flags().StringVar(&chat, "chat", "", "identifier of the chat")
	return c
}

func versionCommand(out *sagecli.Output) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  sagecli.ExactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			return out.Print(c.OutOrStdout(), map[string]string{"version": version, "go": runtime.Version()}, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "sagestand %s (%s)\n", version, runtime.Version())
			})
		},
	}
}
