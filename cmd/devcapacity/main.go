// Command devcapacity measures how costs grow with size and writes the tables
// of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/standin/capacity"
)

func main() {
	var page string
	cmd := &cobra.Command{
		Use:           "devcapacity",
		Short:         "Measure how costs grow with size (development tool)",
		Long:          "Measures each role's memory, time and bytes at several sizes in about 3 minutes.\nExit codes: 0 success, 1 failure.",
		Example:       "  devcapacity --page docs/CAPACITY.md",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return capacity.Run(ctx, page)
		},
	}
	cmd.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "page whose tables are replaced")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "devcapacity:", err)
		os.Exit(1)
	}
}
