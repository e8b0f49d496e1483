package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	pb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

// statusPollInterval is the interval between status requests while waiting.
const statusPollInterval = 250 * time.Millisecond

func newFleetStatusCommand() *cobra.Command {
	var flags connectionFlags
	var wait bool
	var timeout time.Duration
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show the active bundle of each instance",
		Long:    "Show the active bundle of each instance and whether the fleet has accepted the newest one.\n\n" + exitCodeHelp,
		Example: "  mulberryctl fleet status --server http://10.0.0.1:7200 --token-file token --wait",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if wait {
				return waitAccepted(c.Context(), c.OutOrStdout(), &flags, 0, timeout)
			}
			st, err := fleetStatus(c.Context(), &flags)
			if err != nil {
				return err
			}
			return printFleet(c.OutOrStdout(), st)
		},
	}
	flags.addTo(c)
	c.Flags().BoolVar(&wait, "wait", false, "wait until the newest bundle is accepted")
	c.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "maximum time to wait")
	return c
}

func fleetStatus(ctx context.Context, flags *connectionFlags) (st *pb.FleetStatusResponse, err error) {
	err = flags.callAny(ctx, func(ctx context.Context, api pb.Admin) (err error) {
		st, err = api.FleetStatus(ctx, &pb.StatusRequest{})
		return err
	})
	return st, err
}

// waitAccepted waits until the fleet has accepted the given version or a newer one,
// and prints the fleet's status. Version 0 stands for whatever head the server
// reports, but there must be one. A bundle is accepted when it is active on a majority
// of the instances that are alive or have a lease record. After the timeout
// waitAccepted prints the last status that it received and returns ErrNotAccepted.
// With a timeout of 0 it returns nil at once, without a status request or output.
func waitAccepted(ctx context.Context, out io.Writer, flags *connectionFlags, version uint64, timeout time.Duration) error {
	if timeout == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var last *pb.FleetStatusResponse
	var lastErr error
	for {
		st, err := fleetStatus(ctx, flags)
		switch {
		case err == nil && st.Accepted && st.HeadVersion >= max(version, 1):
			return printFleet(out, st)
		case err == nil:
			last, lastErr = st, nil
		case isPermanent(err) || errors.Is(err, errUsage):
			return err
		case ctx.Err() == nil:
			lastErr = err
		}
		select {
		case <-ctx.Done():
			if last != nil {
				_ = printFleet(out, last)
			}
			return errors.CombineErrors(errors.Wrapf(ErrNotAccepted, "after %v", timeout), lastErr)
		case <-time.After(statusPollInterval):
		}
	}
}

// printFleet prints one line per instance, the head (the newest bundle), and the
// instances whose active bundle is older than the head. HEARD is the time since the
// server's last contact with the instance, followed by "leaving" if the instance is
// leaving.
func printFleet(out io.Writer, st *pb.FleetStatusResponse) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tZONE\tVERSION\tDIGEST\tHEARD")
	var behind []string
	for _, i := range st.Instances {
		note := ""
		if i.Leaving {
			note = " leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.12s\t%v ago%s\n", i.Id, i.Zone, i.BundleVersion, i.BundleDigest,
			time.Duration(i.HeardAgeMs)*time.Millisecond, note)
		if i.BundleVersion < st.HeadVersion {
			behind = append(behind, i.Id)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	state := "not accepted"
	if st.Accepted {
		state = "accepted"
	}
	_, err := fmt.Fprintf(out, "head version %d, digest %.12s: %s\n", st.HeadVersion, st.HeadDigest, state)
	if len(behind) > 0 {
		_, err = fmt.Fprintf(out, "lacking it: %s\n", strings.Join(behind, ", "))
	}
	return err
}
