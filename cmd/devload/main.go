// Command devload measures a deployment under load and faults and writes the page of
// results: M1 (reads and failover), M2 (fairness between workspaces), M3 (rate
// limits) and M4 (loss of an availability zone).
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/standin/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "devload", Short: "Measure deployments under load and faults"}
	opts := load.Options{Seed: 1}
	var directory, processLog string
	var names []string
	measure := &cobra.Command{
		Use:   "measure",
		Short: "Measure both deployments and write MEASURES.md and its plots",
		Long: "Start each deployment in turn, drive it with traffic and faults, and write MEASURES.md and its plots.\n" +
			"Exit codes: 0 if the run finished, whether or not it met the targets; 1 otherwise.",
		Example:      "  devload measure --out docs --seed 1\n  devload measure --out /tmp/trial --deployment velacruz --measure m1b",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logger := logrus.New()
			logger.SetFormatter(&logrus.JSONFormatter{})
			opts.Log, opts.ProcessLog = logger, io.Discard
			executable, err := os.Executable()
			if err != nil {
				return errors.Wrap(err, "find the directory of the binaries")
			}
			opts.Binaries = filepath.Dir(executable)
			if processLog != "" {
				file, err := os.Create(processLog)
				if err != nil {
					return errors.Wrap(err, "create the process log")
				}
				defer file.Close()
				opts.ProcessLog = file
			}
			return measureAll(cmd.Context(), cmd.OutOrStdout(), directory, names, opts)
		},
	}
	f := measure.Flags()
	f.StringVar(&directory, "out", "docs", "directory for MEASURES.md and its plots")
	f.StringVar(&processLog, "process-log", "", "file for the logs of the deployment's processes (default: discarded)")
	f.Uint64Var(&opts.Seed, "seed", opts.Seed, "seed of faults and think times")
	f.StringSliceVar(&names, "deployment", nil, "deployments to measure: velacruz, armacao (default: both)")
	f.StringSliceVar(&opts.Experiments, "measure", nil, "experiments to run: "+strings.Join(load.Experiments, ", ")+" (default: all)")
	root.AddCommand(measure)
	return root
}

func measureAll(ctx context.Context, out io.Writer, directory string, names []string, opts load.Options) error {
	deployments, err := load.Select(names, opts.Experiments)
	if err != nil {
		return err
	}
	page := load.Page{Command: strings.Join(append([]string{"devload"}, os.Args[1:]...), " "), Seed: opts.Seed, Date: time.Now()}
	for _, d := range deployments {
		results, err := load.Run(ctx, d, opts)
		if err != nil {
			return err
		}
		page.Results = append(page.Results, results)
		for _, missed := range results.Missed() {
			fmt.Fprintf(out, "%s: %s\n", d.Name, missed)
		}
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "create the output directory")
	}
	return page.Write(directory)
}
