package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"sagestand.example/sagestand/internal/sagecli"
	"sagestand.example/sagestand/internal/sagestandin"
)

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for an external system"}
	c.AddCommand(platformCommand(), engineCommand(), applicationCommand())
	return c
}

func platformCommand() *cobra.Command {
	p := new(sagestandin.Platform)
	var listen string
	c := &cobra.Command{
		Use: "platform", Short: "Object API, VM list and weight store", Args: sagecli.ExactArgs(),
		Example: "  sagebench standin platform --listen 127.0.0.1:7000 --writes 400 --reads 2000",
		RunE: func(c *cobra.Command, _ []string) error {
			return serveStandin(c.Context(), listen, p.Handler())
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on")
	f.Float64Var(&p.ReadsPerSecond, "reads", 2000, "reads a second, 0 for no limit")
	f.Float64Var(&p.WritesPerSecond, "writes", 400, "writes a second, 0 for no limit")
	f.Float64Var(&p.WeightsPerSecond, "weights", 2, "loads from the weight store a second")
	f.IntVar(&p.ListLagMillis, "list-lag-millis", 2000, "delay until a change shows in the VM list, in milliseconds")
	return c
}

func engineCommand() *cobra.Command {
	e := new(sagestandin.Engine)
	var listen string
	c := &cobra.Command{
		Use: "engine", Short: "Model engine", Args: sagecli.ExactArgs(),
		Example: "  sagebench standin engine --listen 127.0.0.1:9001 --name engine1",
		RunE: func(c *cobra.Command, _ []string) error {
			return serveStandin(c.Context(), listen, e.Handler())
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9001", "address to listen on")
	f.StringVar(&e.Name, "name", "engine", "name in reports")
	f.IntVar(&e.Slots, "slots", 16, "requests in a batch when warm")
	f.IntVar(&e.CacheTokens, "cache-tokens", 100000, "capacity of the prefix cache, in tokens")
	f.IntVar(&e.TokenMicros, "token-micros", 500, "time between two tokens, in microseconds")
	f.IntVar(&e.PromptMicros, "prompt-micros", 20, "time for an uncached prompt token, in microseconds")
	f.IntVar(&e.ColdCompletions, "cold-completions", 0, "completed requests per additional concurrent request after a start; 0 starts warm")
	f.IntVar(&e.ReportLagMillis, "report-lag-millis", 500, "age of its load reports, in milliseconds")
	f.IntVar(&e.EventLag, "event-lag", 16, "number of newest cache events that are withheld")
	f.BoolVar(&e.ChecksFencing, "checks-fencing", true, "refuse orders with an outdated fencing number")
	return c
}

func applicationCommand() *cobra.Command {
	a := new(sagestandin.Application)
	var listen string
	c := &cobra.Command{
		Use: "application", Short: "Application service that counts executions", Args: sagecli.ExactArgs(),
		Example: "  sagebench standin application --listen 127.0.0.1:9101 --name application1",
		RunE: func(c *cobra.Command, _ []string) error {
			return serveStandin(c.Context(), listen, a.Handler())
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9101", "address to listen on")
	c.Flags().StringVar(&a.Name, "name", "application", "name in answers")
	return c
}

// serveStandin serves h until ctx is done.
func serveStandin(ctx context.Context, listen string, h http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("GET /standin/ready", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("%w: --listen: %v", sagecli.ErrUsage, err)
	}
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
