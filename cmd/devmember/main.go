// Command devmember runs a stand-in for one member of a database group, for
// development and tests.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/standin/member"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	s := defaults()
	var config string
	cmd := &cobra.Command{
		Use:   "devmember",
		Short: "Run one member of a database group (development stand-in)",
		Long: "Run one member of a database group: a PostgreSQL wire protocol server on SQLite.\n" +
			"Exit codes: 0 after SIGTERM or SIGINT, 1 if the settings are invalid or the start failed.",
		Example:      "  devmember --group rentals --name rentals1 --role primary --listen 127.0.0.1:5001",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config != "" {
				if err := s.load(config, cmd.Flags()); err != nil {
					return err
				}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, s)
		},
	}
	cmd.Flags().StringVar(&config, "config", "", "YAML file of settings; flags take precedence")
	s.addFlags(cmd.Flags())
	return cmd
}

func run(ctx context.Context, s settings) error {
	opts, err := s.options()
	if err != nil {
		return err
	}
	m, err := member.Start(opts)
	if err != nil {
		return err
	}
	defer m.Close()
	if s.ControlListen != "" {
		listener, err := net.Listen("tcp", s.ControlListen)
		if err != nil {
			return errors.Wrap(err, "open the control listener")
		}
		server := &http.Server{Handler: m.ControlHandler()}
		defer func() { _ = server.Close() }()
		go func() { _ = server.Serve(listener) }()
	}
	opts.Log.WithField("address", m.Addr()).WithField("replication", m.ReplicationAddr()).Info("serving")
	<-ctx.Done()
	return nil
}
