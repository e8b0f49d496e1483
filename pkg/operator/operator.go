// Package operator implements mulberryctl, the operators' command-line tool. The
// head is the newest published bundle; the fleet has accepted a bundle when a
// majority of its live instances has activated it.
package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// The exit codes of mulberryctl.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotAccepted = 4
)

const exitCodeHelp = `Exit codes:
  0  success
  1  failure
  2  wrong usage
  3  conflict: another bundle was published on the same parent
  4  the bundle was not accepted by a majority of instances in time`

// Outcomes with an exit code of their own.
var (
	errUsage = errors.New("wrong usage")
	// ErrConflict reports that the bundle's parent is not the head.
	ErrConflict = errors.New("another bundle was published on the same parent")
	// ErrNotAccepted reports that the fleet did not accept a bundle within the
	// timeout.
	ErrNotAccepted = errors.New("the bundle was not accepted in time")
)

// Run executes the command line and returns the exit code. Results go to out,
// errors to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(errOut, "mulberryctl: %v\n", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case errors.Is(err, ErrNotAccepted):
		return ExitNotAccepted
	default:
		return ExitFailure
	}
}

func newRootCommand() *cobra.Command {
	root := commandGroup("mulberryctl", "Generate keys, sign and publish bundles, and show the fleet's status",
		commandGroup("key", "Generate client keys", newKeyNewCommand()),
		commandGroup("signing-key", "Generate operators' bundle signing keys", newSigningKeyNewCommand()),
		commandGroup("bundle", "Validate, sign, compare, publish and show bundles",
			newBundleValidateCommand(), newBundleSignCommand(), newBundleDiffCommand(), newBundlePublishCommand(), newBundleShowCommand()),
		commandGroup("fleet", "Show the status of the fleet", newFleetStatusCommand()),
		newExplainCommand(),
	)
	root.SilenceUsage, root.SilenceErrors = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	return root
}

// commandGroup returns a command that has subcommands but no action of its own.
func commandGroup(use, short string, children ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Long: short + ".\n\n" + exitCodeHelp,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return errors.Wrapf(errUsage, "unknown command %q", args[0])
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			_ = c.Help()
			return errors.Wrap(errUsage, "a subcommand is required")
		},
	}
	c.AddCommand(children...)
	return c
}

// exactArgs is like cobra.ExactArgs, but its error leads to the exit code ExitUsage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return errors.Wrapf(errUsage, "want %d arguments, got %d", n, len(args))
		}
		return nil
	}
}

// requireFlag returns a usage error if the value of the flag is empty.
func requireFlag(flag, value string) error {
	if value == "" {
		return errors.Wrapf(errUsage, "flag --%s is required", flag)
	}
	return nil
}
