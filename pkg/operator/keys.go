package operator

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

const (
	// keyBytes is the number of random bytes in a client key. bundle.ScramIterations
	// relies on this entropy.
	keyBytes  = 24
	saltBytes = 16
	// privateKeyFileMode lets only the owner read a private key.
	privateKeyFileMode = 0o600
)

// signingKeyFile is the content of a signing key file.
type signingKeyFile struct {
	ID string `yaml:"id"`
	// PrivateKey is the Ed25519 seed in standard base64.
	PrivateKey string `yaml:"privateKey"`
}

// TrustedKey is the public part of a signing key, as printed by "signing-key new".
// In the instances' settings it is one entry of the map trustedKeys.
type TrustedKey struct {
	ID string `yaml:"id"`
	// PublicKey is the Ed25519 public key in standard base64.
	PublicKey string `yaml:"publicKey"`
}

func newKeyNewCommand() *cobra.Command {
	var workspace, id string
	c := &cobra.Command{
		Use:   "new",
		Short: "Generate a client key and print it with its verifier",
		Long: "Generate a client key and print it together with the verifier that belongs under\n" +
			"the workspace's keys in the bundle. The key itself is not stored and can't be printed again.\n\n" + exitCodeHelp,
		Example: "  mulberryctl key new --workspace inventario --id k2",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := errors.CombineErrors(requireFlag("workspace", workspace), requireFlag("id", id)); err != nil {
				return err
			}
			return printNewKey(c.OutOrStdout(), workspace, id)
		},
	}
	c.Flags().StringVar(&workspace, "workspace", "", "workspace that the key is for")
	c.Flags().StringVar(&id, "id", "", "ID of the key within the workspace")
	return c
}

func printNewKey(out io.Writer, workspace, id string) error {
	random := make([]byte, keyBytes+saltBytes)
	if _, err := rand.Read(random); err != nil {
		return errors.Wrap(err, "read random bytes")
	}
	key := base64.RawURLEncoding.EncodeToString(random[:keyBytes])
	verifier, err := bundle.NewKey(id, key, random[keyBytes:])
	if err != nil {
		return err
	}
	text, err := yaml.Marshal([]bundle.Key{verifier})
	if err != nil {
		return errors.Wrap(err, "encode verifier")
	}
	_, err = fmt.Fprintf(out, "# key of user %s.%s, shown only now:\n# %s\n%s", workspace, id, key, text)
	return err
}

func newSigningKeyNewCommand() *cobra.Command {
	var id, path string
	c := &cobra.Command{
		Use:   "new",
		Short: "Generate a signing key and print its public key",
		Long: "Generate an Ed25519 signing key. The private key is written to a new file and the\n" +
			"public key is printed. Add the public key to trustedKeys in the instances' settings,\n" +
			"as \"id: publicKey\".\n\n" + exitCodeHelp,
		Example: "  mulberryctl signing-key new --id ana --out ana.key",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := errors.CombineErrors(requireFlag("out", path), requireFlag("id", id)); err != nil {
				return err
			}
			return createSigningKey(c.OutOrStdout(), id, path)
		},
	}
	c.Flags().StringVar(&id, "id", "operator", "ID of the key, shown as the publisher")
	c.Flags().StringVar(&path, "out", "", "new file for the private key")
	return c
}

func createSigningKey(out io.Writer, id, path string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate signing key")
	}
	text, err := yaml.Marshal(signingKeyFile{ID: id, PrivateKey: base64.StdEncoding.EncodeToString(private.Seed())})
	if err != nil {
		return errors.Wrap(err, "encode signing key")
	}
	// O_EXCL: an existing file may hold a key that is in use and is never replaced.
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateKeyFileMode)
	if err != nil {
		return errors.Wrap(err, "create signing key file")
	}
	_, err = f.Write(text)
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return errors.Wrap(err, "write signing key file")
	}
	trusted, err := yaml.Marshal([]TrustedKey{{ID: id, PublicKey: base64.StdEncoding.EncodeToString(public)}})
	if err != nil {
		return errors.Wrap(err, "encode public key")
	}
	_, err = out.Write(trusted)
	return err
}

// readSigningKey reads a file written by createSigningKey.
func readSigningKey(path string) (id string, key ed25519.PrivateKey, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, errors.Wrap(err, "read signing key")
	}
	var file signingKeyFile
	if err := yaml.UnmarshalWithOptions(data, &file, yaml.Strict()); err != nil {
		// The parser's error is dropped, because it quotes the file, which holds the
		// private key.
		return "", nil, errors.Newf("signing key %s: not a file written by \"mulberryctl signing-key new\"", path)
	}
	seed, err := base64.StdEncoding.DecodeString(file.PrivateKey)
	if err != nil || len(seed) != ed25519.SeedSize || file.ID == "" {
		return "", nil, errors.Newf("signing key %s: want an id and an Ed25519 seed of %d bytes", path, ed25519.SeedSize)
	}
	return file.ID, ed25519.NewKeyFromSeed(seed), nil
}
