package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	pb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

// signedBundleFileMode lets every user read a signed bundle, which holds no secret.
const signedBundleFileMode = 0o644

// maxPublishAttempts bounds the attempts of a publish whose outcome is unknown.
const maxPublishAttempts = 3

func newBundleValidateCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE",
		Short:   "Validate a bundle and list all errors",
		Long:    "Validate a bundle in YAML and list all errors.\n\n" + exitCodeHelp,
		Example: "  mulberryctl bundle validate bundle.yaml",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			spec, err := readSpec(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "version %d on parent %d is valid\n", spec.Version, spec.Parent)
			return err
		},
	}
}

// readSpec reads and validates a bundle in YAML.
func readSpec(path string) (bundle.Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return bundle.Spec{}, errors.Wrap(err, "read bundle")
	}
	spec, err := bundle.Decode(data)
	if err != nil {
		return bundle.Spec{}, errors.Wrap(err, path)
	}
	_, err = bundle.Compile(spec, "")
	return spec, errors.Wrap(err, path)
}

func newBundleSignCommand() *cobra.Command {
	var keyPath, outPath string
	c := &cobra.Command{
		Use:     "sign FILE",
		Short:   "Validate and sign a bundle",
		Long:    "Validate a bundle in YAML and sign its exact bytes.\n\n" + exitCodeHelp,
		Example: "  mulberryctl bundle sign bundle.yaml --key ana.key --out bundle.signed",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := errors.CombineErrors(requireFlag("key", keyPath), requireFlag("out", outPath)); err != nil {
				return err
			}
			id, key, err := readSigningKey(keyPath)
			if err != nil {
				return err
			}
			content, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "read bundle")
			}
			signed, err := bundle.Sign(content, id, key)
			if err != nil {
				return errors.Wrap(err, args[0])
			}
			if err := os.WriteFile(outPath, signed, signedBundleFileMode); err != nil {
				return errors.Wrap(err, "write signed bundle")
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "digest %s, signed by %s\n", bundle.Digest(signed), id)
			return err
		},
	}
	c.Flags().StringVar(&keyPath, "key", "", "file with the signing key")
	c.Flags().StringVar(&outPath, "out", "", "output file for the signed bundle")
	return c
}

func newBundleDiffCommand() *cobra.Command {
	var flags connectionFlags
	c := &cobra.Command{
		Use:   "diff [OLD] NEW",
		Short: "Show the differences between two bundles",
		Long: "Show the differences between two bundles in YAML, or between the active bundle of an\n" +
			"instance and one in YAML.\n\n" + exitCodeHelp,
		Example: "  mulberryctl bundle diff old.yaml new.yaml\n" +
			"  mulberryctl bundle diff new.yaml --server http://10.0.0.1:7200 --token-file token",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) < 1 || len(args) > 2 {
				return errors.Wrapf(errUsage, "want one or two files, got %d", len(args))
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			to, err := readSpec(args[len(args)-1])
			if err != nil {
				return err
			}
			from, err := readOldSpec(c.Context(), &flags, args)
			if err != nil {
				return err
			}
			return printDiff(c.OutOrStdout(), bundle.Diff(from, to))
		},
	}
	flags.addTo(c)
	return c
}

// readOldSpec reads the bundle to compare with: the first of two files, or the
// active bundle if there is only one file.
func readOldSpec(ctx context.Context, flags *connectionFlags, args []string) (bundle.Spec, error) {
	if len(args) == 2 {
		return readSpec(args[0])
	}
	content, _, err := fetchBundle(ctx, flags)
	if err != nil {
		return bundle.Spec{}, err
	}
	return bundle.Decode(content)
}

func printDiff(out io.Writer, lines []string) error {
	if len(lines) == 0 {
		lines = []string{"no differences"}
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

func newBundleShowCommand() *cobra.Command {
	var flags connectionFlags
	c := &cobra.Command{
		Use:     "show",
		Short:   "Print the active bundle of an instance",
		Long:    "Print the active bundle of an instance with the exact bytes that were signed.\n\n" + exitCodeHelp,
		Example: "  mulberryctl bundle show --server http://10.0.0.1:7200 --token-file token",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			content, keyID, err := fetchBundle(c.Context(), &flags)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "# signed by %s\n%s", keyID, content)
			return err
		},
	}
	flags.addTo(c)
	return c
}

// fetchBundle returns the content of the active bundle and the ID of the key that
// signed it. The signature isn't checked here; the instance has verified it.
func fetchBundle(ctx context.Context, flags *connectionFlags) (content []byte, keyID string, err error) {
	err = flags.callAny(ctx, func(ctx context.Context, api pb.Admin) error {
		resp, err := api.GetBundle(ctx, &pb.GetBundleRequest{})
		if err != nil {
			return err
		}
		content, keyID, err = bundle.Inspect(resp.Signed)
		return err
	})
	return content, keyID, err
}

func newBundlePublishCommand() *cobra.Command {
	var flags connectionFlags
	var timeout time.Duration
	var publishID string
	c := &cobra.Command{
		Use:   "publish SIGNED",
		Short: "Publish a signed bundle and wait until the fleet has accepted it",
		Long: "Publish a signed bundle and wait until a majority of the live instances has activated\n" +
			"it. The instances that haven't are listed.\n\n" + exitCodeHelp,
		Example: "  mulberryctl bundle publish bundle.signed --server http://10.0.0.1:7200 --token-file token",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			signed, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "read signed bundle")
			}
			if publishID == "" {
				publishID = uuid.NewString()
			}
			resp, err := publish(c.Context(), &flags, signed, publishID)
			if err != nil {
				return errors.Wrapf(err, "publish id %s", publishID)
			}
			out := c.OutOrStdout()
			if resp.Conflict {
				fmt.Fprintf(out, "version %d by %q is the head; this bundle differs from it:\n", resp.WinnerVersion, resp.Winner)
				return errors.CombineErrors(printDiff(out, resp.Differences), ErrConflict)
			}
			fmt.Fprintf(out, "version %d is published, digest %s\n", resp.Version, resp.Digest)
			return waitAccepted(c.Context(), out, &flags, resp.Version, timeout)
		},
	}
	flags.addTo(c)
	c.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "maximum time to wait for acceptance; 0 to not wait")
	c.Flags().StringVar(&publishID, "publish-id", "", "ID of the publish, to retry one whose outcome is unknown (default: a random one)")
	return c
}

// publish retries a publish whose outcome is unknown under the same publish ID, so
// that it can't take effect twice or conflict with itself.
func publish(ctx context.Context, flags *connectionFlags, signed []byte, id string) (resp *pb.PublishResponse, err error) {
	for range maxPublishAttempts {
		err = flags.callAny(ctx, func(ctx context.Context, api pb.Admin) (err error) {
			resp, err = api.Publish(ctx, &pb.PublishRequest{Signed: signed, PublishId: id})
			return err
		})
		if err == nil || isPermanent(err) || errors.Is(err, errUsage) || ctx.Err() != nil {
			return resp, err
		}
	}
	return nil, err
}
