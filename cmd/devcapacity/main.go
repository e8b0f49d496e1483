// Command devcapacity measures how the memory, time and network traffic of each
// role grow with the size of a deployment, and writes the tables of
// docs/CAPACITY.md.
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
		Short:         "Measure how resource usage grows with size (development tool)",
		Long:          "Measures the memory, time and bytes that each role uses at several sizes. Takes about 3 minutes.\nExit codes: 0 success, 1 failure.",
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
	cmd.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "page whose measured tables are replaced")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "devcapacity:", err)
		os.Exit(1)
	}
}
