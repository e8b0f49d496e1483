// Command devstack starts a whole deployment on loopback for development.
package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/standin/devstack"
)

func init() {
	// The kernel terminates the child processes when the thread that started them
	// ends. Children are therefore started on the main thread, which lives as long
	// as the process; see devstack.Run.
	runtime.LockOSThread()
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "devstack", Short: "Start whole deployments on loopback for development"}
	var name string
	opts := devstack.Options{ApplyLag: devstack.DefaultApplyLag, NetworkDelay: devstack.DefaultNetworkDelay}
	run := &cobra.Command{
		Use:   "run",
		Short: "Start a deployment and stop it on SIGTERM or SIGINT",
		Long: "Start the platform, three database groups and six entry instances as separate processes,\n" +
			"publish the first bundle and print \"ready: URL\" once a query works through an instance.\n" +
			"Exit codes: 0 after SIGTERM or SIGINT, 1 if the start failed.",
		Example: "  devstack run --deployment velacruz\n" +
			"  devstack run --deployment armacao --directory /tmp/armacao --apply-lag 100ms",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := devstack.FindDeployment(name)
			if err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return errors.Wrap(err, "find the directory of the binaries")
			}
			opts.BinDir = filepath.Dir(executable)
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			logger := logrus.New()
			logger.SetFormatter(&logrus.JSONFormatter{})
			return devstack.Run(ctx, d, opts, cmd.OutOrStdout(), logger)
		},
	}
	f := run.Flags()
	f.StringVar(&name, "deployment", "velacruz", "velacruz or armacao")
	f.StringVar(&opts.Directory, "directory", "", "directory for settings, logs and data, kept on exit (default: a temporary one, removed on exit)")
	f.DurationVar(&opts.ApplyLag, "apply-lag", opts.ApplyLag, "age at which replicas apply log entries")
	f.DurationVar(&opts.NetworkDelay, "network-delay", opts.NetworkDelay, "one-way network delay of connections to members")
	root.AddCommand(run)
	return root
}
