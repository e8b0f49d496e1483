package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/encoding/protowire"
)

// The reasons for which a signed bundle is refused before it is compiled.
var (
	// ErrTooLarge reports a signed bundle above MaxSignedBytes.
	ErrTooLarge = errors.New("signed bundle is too large")
	// ErrMalformed reports bytes that are no signed bundle or no valid YAML of one.
	ErrMalformed = errors.New("malformed bundle")
	// ErrUntrusted reports a signature by a key that is not trusted.
	ErrUntrusted = errors.New("bundle is signed by an untrusted key")
	// ErrSignature reports a signature that does not match the bytes.
	ErrSignature = errors.New("bundle signature does not match")
)

// signContext separates these signatures from any other use of the same key.
const signContext = "mulberrysill bundle v1\x00"

// The fields of the signed form, a protobuf message of three byte strings.
const (
	fieldContent   protowire.Number = 1
	fieldSignature protowire.Number = 2
	fieldKeyID     protowire.Number = 3
)

// envelope is the decoded signed form.
type envelope struct {
	content, signature []byte
	keyID              string
}

// signedMessage returns the bytes that the signature covers. The length of the
// key identity precedes it, so that no two pairs give the same bytes.
func signedMessage(keyID string, content []byte) []byte {
	b := protowire.AppendString([]byte(signContext), keyID)
	return append(b, content...)
}

// Sign wraps the exact bytes of a bundle with an Ed25519 signature and the
// identity of the signing key. The bytes must be a valid bundle.
func Sign(content []byte, keyID string, key ed25519.PrivateKey) ([]byte, error) {
	if len(key) != ed25519.PrivateKeySize || keyID == "" {
		return nil, errors.New("sign bundle: want an Ed25519 private key and its identity")
	}
	spec, err := Decode(content)
	if err != nil {
		return nil, err
	}
	if _, err := Compile(spec, ""); err != nil {
		return nil, err
	}
	var b []byte
	b = protowire.AppendBytes(protowire.AppendTag(b, fieldContent, protowire.BytesType), content)
	b = protowire.AppendBytes(protowire.AppendTag(b, fieldSignature, protowire.BytesType), ed25519.Sign(key, signedMessage(keyID, content)))
	b = protowire.AppendString(protowire.AppendTag(b, fieldKeyID, protowire.BytesType), keyID)
	if len(b) > MaxSignedBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(b), MaxSignedBytes)
	}
	return b, nil
}

// Open verifies a signed bundle and decodes it. The digest is the hex SHA-256
// of the signed bytes, under which the object store holds them. trusted maps
// key identities to public keys. The spec is not validated yet; see Compile.
func Open(signed []byte, trusted map[string]ed25519.PublicKey) (Spec, string, error) {
	e, err := unwrap(signed)
	if err != nil {
		return Spec{}, "", err
	}
	key, ok := trusted[e.keyID]
	if !ok || len(key) != ed25519.PublicKeySize {
		return Spec{}, "", errors.Wrapf(ErrUntrusted, "key %q", e.keyID)
	}
	if !ed25519.Verify(key, signedMessage(e.keyID, e.content), e.signature) {
		return Spec{}, "", errors.Wrapf(ErrSignature, "key %q", e.keyID)
	}
	spec, err := Decode(e.content)
	if err != nil {
		return Spec{}, "", err
	}
	return spec, Digest(signed), nil
}

// Digest returns the hex SHA-256 of signed bytes.
func Digest(signed []byte) string {
	sum := sha256.Sum256(signed)
	return hex.EncodeToString(sum[:])
}

// Inspect returns the bundle's bytes and the identity of its signing key
// without verifying the signature.
func Inspect(signed []byte) (content []byte, keyID string, err error) {
	e, err := unwrap(signed)
	return e.content, e.keyID, err
}

// unwrap decodes the signed form. Each field must occur exactly once and no
// other field may occur, so that a bundle has one encoding per field order.
func unwrap(signed []byte) (envelope, error) {
	if len(signed) > MaxSignedBytes {
		return envelope{}, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(signed), MaxSignedBytes)
	}
	fields := map[protowire.Number][]byte{}
	for b := signed; len(b) > 0; {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 || kind != protowire.BytesType || number < fieldContent || number > fieldKeyID {
			return envelope{}, errors.Wrap(ErrMalformed, "not a signed bundle")
		}
		b = b[n:]
		value, n := protowire.ConsumeBytes(b)
		if _, twice := fields[number]; n < 0 || twice {
			return envelope{}, errors.Wrap(ErrMalformed, "signed bundle is cut off or has a field twice")
		}
		fields[number], b = value, b[n:]
	}
	if len(fields) != int(fieldKeyID) {
		return envelope{}, errors.Wrap(ErrMalformed, "signed bundle lacks a field")
	}
	return envelope{fields[fieldContent], fields[fieldSignature], string(fields[fieldKeyID])}, nil
}

// Decode reads the YAML of a bundle. It refuses unknown and duplicate fields
// and further documents; the error gives line and column.
func Decode(content []byte) (Spec, error) {
	var spec Spec
	d := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := d.Decode(&spec); err != nil {
		return Spec{}, malformed(err)
	}
	var more any
	switch err := d.Decode(&more); {
	case errors.Is(err, io.EOF):
		return spec, nil
	case err != nil:
		return Spec{}, malformed(err)
	default:
		return Spec{}, errors.Wrap(ErrMalformed, "more than one YAML document")
	}
}

func malformed(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.Wrap(ErrMalformed, "empty document")
	}
	return errors.Wrap(ErrMalformed, yaml.FormatError(err, false, false))
}

// Encode writes a spec as YAML that Decode reads.
func Encode(spec Spec) ([]byte, error) {
	return yaml.Marshal(spec)
}
