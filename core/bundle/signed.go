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

// Errors for signed bundles that are refused before validation.
var (
	// ErrTooLarge reports a signed bundle larger than MaxSignedBytes.
	ErrTooLarge = errors.New("signed bundle is too large")
	// ErrMalformed reports an envelope or YAML content that cannot be decoded.
	ErrMalformed = errors.New("malformed bundle")
	// ErrUntrusted reports a signature by a key that is not trusted.
	ErrUntrusted = errors.New("bundle is signed by an untrusted key")
	// ErrSignature reports a signature that does not match the bytes.
	ErrSignature = errors.New("bundle signature does not match")
)

// signatureContext provides domain separation from other uses of the signing key.
const signatureContext = "mulberrysill bundle v1\x00"

// Field numbers of the envelope, a protobuf message of three byte strings.
const (
	fieldContent   protowire.Number = 1
	fieldSignature protowire.Number = 2
	fieldKeyID     protowire.Number = 3
)

// envelope is a decoded signed bundle.
type envelope struct {
	content, signature []byte
	keyID              string
}

// signedMessage returns the bytes that the signature covers. The key ID is
// length-prefixed, so that no two pairs of key ID and content give the same bytes.
func signedMessage(keyID string, content []byte) []byte {
	b := protowire.AppendString([]byte(signatureContext), keyID)
	return append(b, content...)
}

// Sign wraps the exact bytes of a bundle in an envelope with an Ed25519 signature
// and the ID of the signing key. The bytes must be a valid bundle.
func Sign(content []byte, keyID string, key ed25519.PrivateKey) ([]byte, error) {
	if len(key) != ed25519.PrivateKeySize || keyID == "" {
		return nil, errors.New("sign bundle: an Ed25519 private key and its ID are required")
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
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes exceed %d", len(b), MaxSignedBytes)
	}
	return b, nil
}

// Open verifies and decodes a signed bundle. The returned digest is the hex
// SHA-256 of the signed bytes, their key in the object store. trusted maps key
// IDs to public keys. The spec is not validated yet; see Compile.
func Open(signed []byte, trusted map[string]ed25519.PublicKey) (Spec, string, error) {
	e, err := decodeEnvelope(signed)
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

// Digest returns the hex SHA-256 of the bytes.
func Digest(signed []byte) string {
	sum := sha256.Sum256(signed)
	return hex.EncodeToString(sum[:])
}

// Inspect returns the content of a signed bundle and the ID of its signing key
// without verifying the signature.
func Inspect(signed []byte) (content []byte, keyID string, err error) {
	e, err := decodeEnvelope(signed)
	return e.content, e.keyID, err
}

// decodeEnvelope decodes a signed bundle. Each field must occur exactly once and
// no other field may occur, which keeps the encoding unambiguous.
func decodeEnvelope(signed []byte) (envelope, error) {
	if len(signed) > MaxSignedBytes {
		return envelope{}, errors.Wrapf(ErrTooLarge, "%d bytes exceed %d", len(signed), MaxSignedBytes)
	}
	fields := map[protowire.Number][]byte{}
	for b := signed; len(b) > 0; {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 || kind != protowire.BytesType || number < fieldContent || number > fieldKeyID {
			return envelope{}, errors.Wrap(ErrMalformed, "not a signed bundle")
		}
		b = b[n:]
		value, n := protowire.ConsumeBytes(b)
		if _, repeated := fields[number]; n < 0 || repeated {
			return envelope{}, errors.Wrap(ErrMalformed, "signed bundle is truncated or repeats a field")
		}
		fields[number], b = value, b[n:]
	}
	if len(fields) != int(fieldKeyID) {
		return envelope{}, errors.Wrap(ErrMalformed, "signed bundle is missing a field")
	}
	return envelope{fields[fieldContent], fields[fieldSignature], string(fields[fieldKeyID])}, nil
}

// Decode decodes the YAML of a bundle. It rejects unknown and duplicate fields
// and multiple documents. Errors give line and column.
func Decode(content []byte) (Spec, error) {
	var spec Spec
	d := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := d.Decode(&spec); err != nil {
		return Spec{}, malformedYAML(err)
	}
	var more any
	switch err := d.Decode(&more); {
	case errors.Is(err, io.EOF):
		return spec, nil
	case err != nil:
		return Spec{}, malformedYAML(err)
	default:
		return Spec{}, errors.Wrap(ErrMalformed, "more than one YAML document")
	}
}

func malformedYAML(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.Wrap(ErrMalformed, "empty document")
	}
	return errors.Wrap(ErrMalformed, yaml.FormatError(err, false, false))
}

// Encode encodes a spec as YAML that Decode accepts.
func Encode(spec Spec) ([]byte, error) {
	return yaml.Marshal(spec)
}
