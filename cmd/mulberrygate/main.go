// Command mulberrygate is the entry daemon for fleets on the users' platform,
// whose store holds the configuration and the list of members. It runs on each
// instance.
package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/quota"
	"github.com/mulberrysill/mulberrysill/pkg/config"
	"github.com/mulberrysill/mulberrysill/pkg/gateway"
	"github.com/mulberrysill/mulberrysill/pkg/logging"
	"github.com/mulberrysill/mulberrysill/pkg/metrics"
	"github.com/mulberrysill/mulberrysill/platform"
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
		Use:   "mulberrygate",
		Short: "Database proxy with session consistency: the entry daemon on the users' platform",
		Long: "Serves clients of the platform's line protocol until SIGTERM or SIGINT, then waits for open transactions to end.\n\n" +
			"Exit codes: 0 after a complete shutdown, 1 after a failure, 2 for wrong usage or invalid settings.",
		Example:       "  mulberrygate --config /etc/mulberrysill/gate.yaml\n  mulberrygate --config gate.yaml --check",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file in YAML")
	check := cmd.Flags().Bool("check", false, "check the settings and exit")
	cmd.RunE = func(*cobra.Command, []string) error {
		// Until a signal is caught, it ends the process, also one that has yet to start.
		reloads := make(chan os.Signal, 1)
		signal.Notify(reloads, syscall.SIGHUP)
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		settings, err := config.LoadGate(path)
		if err != nil {
			return err
		}
		if *check {
			code = 0
			return nil
		}
		code = exitFailure
		if err = serve(ctx, path, settings, reloads); err == nil {
			code = 0
		}
		return err
	}
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "mulberrygate:", err)
		return code
	}
	return 0
}

func serve(ctx context.Context, path string, settings config.GateSettings, reloads <-chan os.Signal) error {
	log, err := logging.New(logging.NonBlocking(os.Stdout), settings.LogLevel, settings.ID, settings.Zone)
	if err != nil {
		return err
	}
	scope, err := placement.ParseServingScope(settings.ServingScope)
	if err != nil {
		return err
	}
	memory := limitMemory(settings.MemoryMB)
	store, duties := platform.NewStore(settings.StoreAddress), platform.NewPromoter(settings.DutyAddress)
	cfg := gateway.Config{
		ID: settings.ID, Zone: settings.Zone, Capacity: settings.Capacity, PeerAddress: cmp.Or(settings.PeerAdvertisedAddress, settings.PeerAddress),
		RevocationBound: time.Duration(settings.RevocationBound), GracePeriod: time.Duration(settings.GracePeriod),
		FirstStart: settings.FirstStart, ServingScope: scope, MemoryLimit: memory,
		LimitTolerance: quota.Tolerance{
			Window: time.Duration(settings.LimitTolerance.Window), Overage: settings.LimitTolerance.Overage, Slack: settings.LimitTolerance.Slack,
		},
		Dialer: platform.MemberDialer{}, Store: store, UsageStore: store, Promoter: duties, UsageReporter: duties, Log: log, Metrics: metrics.New(settings.ID, settings.Zone),
	}
	if platform.ExpectsUsageReports(settings.Duties) {
		cfg.UsageReports = gateway.UsageReports{
			Window: time.Duration(settings.UsageReports.Window), Lateness: time.Duration(settings.UsageReports.Lateness), Tolerance: settings.UsageReports.Tolerance,
		}
	}
	if cfg.ClientListener, err = platform.ListenClients(settings.ClientAddress); err != nil {
		return err
	}
	if cfg.ReadinessListener, err = listen(settings.ReadinessAddress); err != nil {
		return err
	}
	if cfg.PeerListener, err = listen(settings.PeerAddress); err != nil {
		return err
	}
	if settings.MetricsAddress != "" {
		if cfg.MetricsListener, err = listen(settings.MetricsAddress); err != nil {
			return err
		}
	}
	go reload(path, log, reloads)
	return gateway.New(cfg).Run(ctx)
}

// memoryLimitShare is the part of the machine's memory at which the garbage collector works
// harder. The rest is for memory that the Go runtime does not count: the program itself, and
// bytes in sockets.
const memoryLimitShare = 0.7

// limitMemory sets the memory limit of the Go runtime and returns it in bytes.
func limitMemory(mb int64) int64 {
	limit := int64(memoryLimitShare * float64(mb<<20))
	debug.SetMemoryLimit(limit)
	return limit
}

func listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// reload reads and validates the settings file on each signal and applies the log level.
// Other settings take effect only after a restart.
func reload(path string, log *logrus.Entry, signals <-chan os.Signal) {
	for range signals {
		settings, err := config.LoadGate(path)
		level, levelErr := logrus.ParseLevel(settings.LogLevel)
		if err = errors.CombineErrors(err, levelErr); err != nil {
			log.WithField("event", "reload").WithError(err).Error("settings could not be reloaded")
			continue
		}
		log.Logger.SetLevel(level)
		log.WithFields(logrus.Fields{"event": "reload", "logLevel": level.String()}).Info("settings reloaded")
	}
}
