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

// statusInterval is the interval at which the fleet's status is read while waiting.
const statusInterval = 250 * time.Millisecond

func newFleetStatus() *cobra.Command {
	var s servers
	var wait bool
	var timeout time.Duration
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show which bundle each instance has in force",
		Long:    "Show which bundle each instance has in force.\n\n" + exitCodeHelp,
		Example: "  mulberryctl fleet status --server http://10.0.0.1:7200 --token-file token --wait",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if wait {
				return waitAccepted(c.Context(), c.OutOrStdout(), &s, 0, timeout)
			}
			st, err := fleetStatus(c.Context(), &s)
			if err != nil {
				return err
			}
			return printFleet(c.OutOrStdout(), st)
		},
	}
	s.register(c)
	c.Flags().BoolVar(&wait, "wait", false, "wait until the newest bundle is accepted")
	c.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "longest wait")
	return c
}

func fleetStatus(ctx context.Context, s *servers) (st *pb.FleetStatusResponse, err error) {
	err = s.call(ctx, func(ctx context.Context, api pb.Admin) (err error) {
		st, err = api.FleetStatus(ctx, &pb.StatusRequest{})
		return err
	})
	return st, err
}

// waitAccepted waits until the fleet has accepted at least the version and
// prints the instances that lack it. A timeout of 0 does not wait.
func waitAccepted(ctx context.Context, out io.Writer, s *servers, version uint64, timeout time.Duration) error {
	if timeout == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var last *pb.FleetStatusResponse
	var failed error
	for {
		st, err := fleetStatus(ctx, s)
		switch {
		case err == nil && st.Accepted && st.HeadVersion >= max(version, 1):
			return printFleet(out, st)
		case err == nil:
			last, failed = st, nil
		case isFinal(err) || errors.Is(err, errUsage):
			return err
		case ctx.Err() == nil:
			failed = err
		}
		select {
		case <-ctx.Done():
			if last != nil {
				_ = printFleet(out, last)
			}
			return errors.CombineErrors(errors.Wrapf(ErrNotAccepted, "after %v", timeout), failed)
		case <-time.After(statusInterval):
		}
	}
}

// printFleet prints one line per instance and a summary.
func printFleet(out io.Writer, st *pb.FleetStatusResponse) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tZONE\tVERSION\tDIGEST\tHEARD")
	var lacking []string
	for _, i := range st.Instances {
		note := ""
		if i.Leaving {
			note = " leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.12s\t%v ago%s\n", i.Id, i.Zone, i.BundleVersion, i.BundleDigest,
			time.Duration(i.HeardAgeMs)*time.Millisecond, note)
		if i.BundleVersion < st.HeadVersion {
			lacking = append(lacking, i.Id)
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
	if len(lacking) > 0 {
		_, err = fmt.Fprintf(out, "lacking it: %s\n", strings.Join(lacking, ", "))
	}
	return err
}
