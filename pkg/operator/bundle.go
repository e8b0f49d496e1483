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

// signedFileMode lets other users read a signed bundle, which holds no secret.
const signedFileMode = 0o644

// publishTries bounds how often a publish without an answer is repeated.
const publishTries = 3

func newBundleValidate() *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE",
		Short:   "Check a bundle and list every fault",
		Long:    "Check a bundle in YAML and list every fault.\n\n" + exitCodeHelp,
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

func newBundleSign() *cobra.Command {
	var keyPath, outPath string
	c := &cobra.Command{
		Use:     "sign FILE",
		Short:   "Sign the exact bytes of a bundle",
		Long:    "Validate a bundle and sign its exact bytes.\n\n" + exitCodeHelp,
		Example: "  mulberryctl bundle sign bundle.yaml --key ana.key --out bundle.signed",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := errors.CombineErrors(required("key", keyPath), required("out", outPath)); err != nil {
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
			if err := os.WriteFile(outPath, signed, signedFileMode); err != nil {
				return errors.Wrap(err, "write signed bundle")
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "digest %s, signed by %s\n", bundle.Digest(signed), id)
			return err
		},
	}
	c.Flags().StringVar(&keyPath, "key", "", "file of the signing key")
	c.Flags().StringVar(&outPath, "out", "", "file for the signed bundle")
	return c
}

func newBundleDiff() *cobra.Command {
	var s servers
	c := &cobra.Command{
		Use:   "diff [OLD] NEW",
		Short: "Show the differences between two bundles",
		Long: "Show the differences between two bundles in YAML, or between the bundle in force\n" +
			"on an instance and one in YAML.\n\n" + exitCodeHelp,
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
			from, err := oldSpec(c.Context(), &s, args)
			if err != nil {
				return err
			}
			return printDiff(c.OutOrStdout(), bundle.Diff(from, to))
		},
	}
	s.register(c)
	return c
}

// oldSpec returns the first of two files, or the bundle in force.
func oldSpec(ctx context.Context, s *servers, args []string) (bundle.Spec, error) {
	if len(args) == 2 {
		return readSpec(args[0])
	}
	content, _, err := fetchBundle(ctx, s)
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

func newBundleShow() *cobra.Command {
	var s servers
	c := &cobra.Command{
		Use:     "show",
		Short:   "Print the bundle in force on an instance",
		Long:    "Print the bundle in force on an instance, as its operator signed it.\n\n" + exitCodeHelp,
		Example: "  mulberryctl bundle show --server http://10.0.0.1:7200 --token-file token",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			content, keyID, err := fetchBundle(c.Context(), &s)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "# signed by %s\n%s", keyID, content)
			return err
		},
	}
	s.register(c)
	return c
}

// fetchBundle returns the bytes and the signer of the bundle in force. The
// instance has verified the signature.
func fetchBundle(ctx context.Context, s *servers) (content []byte, keyID string, err error) {
	err = s.call(ctx, func(ctx context.Context, api pb.Admin) error {
		resp, err := api.GetBundle(ctx, &pb.GetBundleRequest{})
		if err != nil {
			return err
		}
		content, keyID, err = bundle.Inspect(resp.Signed)
		return err
	})
	return content, keyID, err
}

func newBundlePublish() *cobra.Command {
	var s servers
	var timeout time.Duration
	var publishID string
	c := &cobra.Command{
		Use:   "publish SIGNED",
		Short: "Publish a signed bundle and wait until the fleet has accepted it",
		Long: "Publish a signed bundle and wait until a majority of the live instances has it in\n" +
			"force. The instances that lack it are listed.\n\n" + exitCodeHelp,
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
			resp, err := publish(c.Context(), &s, signed, publishID)
			if err != nil {
				return errors.Wrapf(err, "publish id %s", publishID)
			}
			out := c.OutOrStdout()
			if resp.Conflict {
				fmt.Fprintf(out, "version %d by %q is the head; this bundle differs from it:\n", resp.WinnerVersion, resp.Winner)
				return errors.CombineErrors(printDiff(out, resp.Differences), ErrConflict)
			}
			fmt.Fprintf(out, "version %d is published, digest %s\n", resp.Version, resp.Digest)
			return waitAccepted(c.Context(), out, &s, resp.Version, timeout)
		},
	}
	s.register(c)
	c.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "longest wait for acceptance; 0 does not wait")
	c.Flags().StringVar(&publishID, "publish-id", "", "identity of the publish, to repeat one whose outcome is unknown")
	return c
}

// publish repeats a publish without an answer under the same identity, so that
// it cannot take effect twice or conflict with itself.
func publish(ctx context.Context, s *servers, signed []byte, id string) (resp *pb.PublishResponse, err error) {
	for range publishTries {
		err = s.call(ctx, func(ctx context.Context, api pb.Admin) (err error) {
			resp, err = api.Publish(ctx, &pb.PublishRequest{Signed: signed, PublishId: id})
			return err
		})
		if err == nil || isFinal(err) || errors.Is(err, errUsage) || ctx.Err() != nil {
			return resp, err
		}
	}
	return nil, err
}
