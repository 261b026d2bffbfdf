package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sageoperator"
	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/internal/sagesettings"
)

// callTimeout limits one call of the operators' tool to a node.
const callTimeout = 30 * time.Second

// nodeFlags are the flags that select a node and the credentials for it.
type nodeFlags struct {
	url     string
	keyFile string
	tls     sagesettings.TLS
}

// add registers the flags on c and its subcommands.
func (f *nodeFlags) add(c *cobra.Command) {
	c.PersistentFlags().StringVar(&f.url, "node", "http://127.0.0.1:7301", "base URL of a node's operator interface")
	c.PersistentFlags().StringVar(&f.keyFile, "key-file", "operator.key", "file with the operator key")
	c.PersistentFlags().StringVar(&f.tls.CertFile, "cert-file", "", "client certificate, if the nodes use TLS")
	c.PersistentFlags().StringVar(&f.tls.KeyFile, "cert-key-file", "", "private key of the client certificate")
	c.PersistentFlags().StringVar(&f.tls.CAFile, "ca-file", "", "certificate authority of the nodes")
}

// call sends a request to the node and decodes the response into out.
func (f *nodeFlags) call(ctx context.Context, method, path string, in []byte, out any) error {
	key, err := os.ReadFile(f.keyFile)
	if err != nil {
		return fmt.Errorf("%w: --key-file: %v", sagecli.ErrUsage, err)
	}
	h := &http.Client{Timeout: callTimeout}
	if f.tls.CertFile != "" {
		cfg, err := sagepeer.LoadTLS(f.tls.CertFile, f.tls.KeyFile, f.tls.CAFile)
		if err != nil {
			return fmt.Errorf("%w: %v", sagecli.ErrUsage, err)
		}
		h.Transport = &http.Transport{TLSClientConfig: cfg}
	}
	client := &sageoperator.Client{URL: strings.TrimRight(f.url, "/"), Key: strings.TrimSpace(string(key)), HTTP: h}
	err = client.Do(ctx, method, path, in, out)
	switch {
	case errors.Is(err, sageoperator.ErrRefused):
		return fmt.Errorf("%w: %v", sagecli.ErrRefused, err)
	case errors.Is(err, sageoperator.ErrUnreachable):
		return fmt.Errorf("%w: %v (is --node %s right?)", sagecli.ErrUnreachable, err, f.url)
	}
	return err
}

// get fetches a JSON value for output without decoding it.
func (f *nodeFlags) get(ctx context.Context, path string) (json.RawMessage, error) {
	var raw json.RawMessage
	err := f.call(ctx, http.MethodGet, path, nil, &raw)
	return raw, err
}
