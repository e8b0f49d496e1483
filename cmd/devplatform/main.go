// Command devplatform runs a stand-in for the platform's table service, object store
// and instance list, for development and tests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/standin/platform"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var opts platform.Options
	cmd := &cobra.Command{
		Use:   "devplatform",
		Short: "Run the platform's services (development stand-in)",
		Long: "Run the platform's table service, object store and instance list. Faults are injected by\n" +
			"POST requests to /control/ on the same address.\n" +
			"Exit codes: 0 after SIGTERM or SIGINT, 1 if the settings are invalid or the start failed.",
		Example: "  devplatform --listen 127.0.0.1:7000\n" +
			"  curl -X POST 'http://127.0.0.1:7000/control/outage?mode=hang'",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, opts)
		},
	}
	f := cmd.Flags()
	f.StringVar(&opts.Listen, "listen", "", "TCP address (default: a free loopback port)")
	f.Float64Var(&opts.ReadsPerSecond, "reads", platform.DefaultReadsPerSecond, "maximum reads/s; negative for no limit")
	f.Float64Var(&opts.WritesPerSecond, "writes", platform.DefaultWritesPerSecond, "maximum writes/s; negative for no limit")
	f.DurationVar(&opts.InstanceLag, "instance-lag", 0, "delay after which changes appear in the instance list")
	return cmd
}

func run(ctx context.Context, opts platform.Options) error {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	opts.Log = logger
	p, err := platform.Start(opts)
	if err != nil {
		return err
	}
	defer p.Close()
	logger.WithField("url", p.URL()).Info("serving")
	<-ctx.Done()
	return nil
}
