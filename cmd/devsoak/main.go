// Command devsoak runs the soak test: it injects faults into real instances from
// outside and checks that the system's guarantees hold. The seed determines the
// schedule of the faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/test/soak"
)

// maxInstances bounds the processes of a run.
const maxInstances = 150

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "devsoak:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var seed, count uint64
	var duration time.Duration
	var instances int
	var binaries []string
	var planned, replicaChanges, unreachable bool
	cmd := &cobra.Command{
		Use:           "devsoak",
		Short:         "Run the soak test: inject faults into real instances and check the guarantees",
		Long:          "Prints the result, the faults and the log directory of each seed. Exit code 1 if a guarantee was violated or a run could not be completed.",
		Example:       "  devsoak --seed 7\n  devsoak --seed 1 --count 50 --duration 20s",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().Uint64Var(&count, "count", 1, "number of consecutive seeds to run")
	cmd.Flags().DurationVar(&duration, "duration", 20*time.Second, "time during which faults are started")
	cmd.Flags().IntVar(&instances, "instances", 4, "number of instances; above 16 they exchange states through collectors")
	cmd.Flags().BoolVar(&planned, "planned", false, "planned work only: restarts, reloads, configurations, replaced members; checks that it cuts no statement")
	cmd.Flags().BoolVar(&replicaChanges, "replica-changes", false, "replicas that join, leave, fall behind and restart empty, with primaries that are replaced or cut off and late promotions")
	cmd.Flags().BoolVar(&unreachable, "unreachable-instances", false, "planned changes of primary while instances are cut off from the others, paused or restarted, and unlisted replicas receive commits")
	cmd.MarkFlagsMutuallyExclusive("planned", "replica-changes", "unreachable-instances")
	cmd.Flags().StringSliceVar(&binaries, "binary", nil, "builds of mulberrygate that the instances run in turn (default: the present sources)")
	cmd.RunE = func(*cobra.Command, []string) error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		if instances < 1 || instances > maxInstances {
			return errors.Newf("--instances: %d is not between 1 and %d", instances, maxInstances)
		}
		return runAll(ctx, seed, count, soak.Options{Duration: duration, Instances: instances, Binaries: binaries, Planned: planned, ReplicaChanges: replicaChanges, UnreachableInstances: unreachable})
	}
	return cmd
}

func runAll(ctx context.Context, first, count uint64, options soak.Options) error {
	directory, err := os.MkdirTemp("", "mulberrysill-soak-")
	if err != nil {
		return err
	}
	binary := filepath.Join(directory, "mulberrygate")
	if len(options.Binaries) > 0 {
		return runSeeds(ctx, directory, first, count, options)
	}
	options.Binaries = []string{binary}
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "github.com/mulberrysill/mulberrysill/cmd/mulberrygate").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", out)
	}
	return runSeeds(ctx, directory, first, count, options)
}

func runSeeds(ctx context.Context, directory string, first, count uint64, options soak.Options) error {
	failed := 0
	for seed := first; seed < first+count && ctx.Err() == nil; seed++ {
		logs := filepath.Join(directory, fmt.Sprintf("seed-%d", seed))
		if err := os.Mkdir(logs, 0o700); err != nil {
			return err
		}
		options.Seed, options.Directory = seed, logs
		result, err := soak.Run(ctx, options)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Printf("seed %d: %d operations served, %d failed, %d acknowledged commits lost, %d violations; logs in %s\n",
			seed, result.Served, result.Failed, result.Lost, len(result.Violations), logs)
		if result.Summary != "" {
			fmt.Println("  " + result.Summary)
		}
		if len(result.Violations) == 0 && count > 1 {
			continue
		}
		for _, line := range append(result.Timeline, result.Violations...) {
			fmt.Println("  " + line)
		}
		if len(result.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d seeds violated a guarantee", failed, count)
	}
	return ctx.Err()
}
