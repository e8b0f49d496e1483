// Command mulberrysill is the entry daemon for PostgreSQL clients. It runs on each
// instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/pkg/config"
	"github.com/mulberrysill/mulberrysill/pkg/entry"
	"github.com/mulberrysill/mulberrysill/pkg/logging"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	// Errors before the settings have been loaded are usage errors.
	code := exitUsage
	var path string
	cmd := &cobra.Command{
		Use:   "mulberrysill",
		Short: "Database proxy with session consistency: the entry daemon",
		Long: "Serves PostgreSQL clients until SIGTERM or SIGINT, then waits for open transactions to end.\n\n" +
			"Exit codes: 0 after a complete shutdown, 1 after a failure, 2 for wrong usage or invalid settings.",
		Example:       "  mulberrysill --config /etc/mulberrysill/entry.yaml\n  mulberrysill --config entry.yaml --check",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file in YAML")
	check := cmd.Flags().Bool("check", false, "check the settings and exit")
	cmd.RunE = func(*cobra.Command, []string) error {
		settings, secrets, err := config.Load(path)
		if err != nil {
			code = exitUsage
			return err
		}
		if *check {
			code = 0
			return nil
		}
		code = exitFailure
		err = serve(settings, secrets)
		if err == nil {
			code = 0
		}
		return err
	}
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "mulberrysill:", err)
		return code
	}
	return 0
}

func serve(settings config.Settings, secrets config.Secrets) error {
	log, err := logging.New(os.Stderr, settings.LogLevel, settings.ID, settings.Zone)
	if err != nil {
		return err
	}
	e, err := entry.New(settings, secrets, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return e.Run(ctx)
}
