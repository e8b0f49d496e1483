package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// signatureContext begins the signed bytes, so that a signature made for
// another purpose with the same key is not valid for a bundle.
const signatureContext = "mulberrysill bundle v1\n"

// envelope is the signed form. The payload is kept byte for byte, because a
// signature holds only for exactly the bytes that were signed.
type envelope struct {
	// Key is the identity of the operator's key.
	Key string `yaml:"key"`
	// Signature and Payload are in standard base64.
	Signature string `yaml:"signature"`
	Payload   string `yaml:"payload"`
}

// Parse decodes a bundle and refuses unknown fields. Errors name line and column.
func Parse(data []byte) (Spec, error) {
	var spec Spec
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&spec); err != nil {
		return Spec{}, errors.Newf("bundle: %s", yaml.FormatError(err, false, true))
	}
	return spec, nil
}

// Sign wraps the bytes of a bundle with a signature by the operator's key.
func Sign(data []byte, keyID string, key ed25519.PrivateKey) ([]byte, error) {
	signature := ed25519.Sign(key, append([]byte(signatureContext), data...))
	signed, err := yaml.Marshal(envelope{
		Key:       keyID,
		Signature: base64.StdEncoding.EncodeToString(signature),
		Payload:   base64.StdEncoding.EncodeToString(data),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode signed bundle")
	}
	if len(signed) > MaxSignedBytes {
		return nil, errors.Newf("signed bundle has %d bytes, more than %d", len(signed), MaxSignedBytes)
	}
	return signed, nil
}

// Open checks the size and signature of a signed bundle and decodes it. It
// returns the hex SHA-256 digest of the signed bytes. The spec is not
// validated; see Compile.
func Open(signed []byte, trusted map[string]ed25519.PublicKey) (Spec, string, error) {
	payload, err := OpenPayload(signed, trusted)
	if err != nil {
		return Spec{}, "", err
	}
	spec, err := Parse(payload)
	return spec, Digest(signed), err
}

// OpenPayload checks the size and signature of a signed bundle and returns the
// bytes that were signed.
func OpenPayload(signed []byte, trusted map[string]ed25519.PublicKey) ([]byte, error) {
	if len(signed) > MaxSignedBytes {
		return nil, errors.Newf("signed bundle has %d bytes, more than %d", len(signed), MaxSignedBytes)
	}
	var e envelope
	if err := yaml.NewDecoder(bytes.NewReader(signed), yaml.Strict()).Decode(&e); err != nil {
		return nil, errors.Newf("signed bundle: %s", yaml.FormatError(err, false, false))
	}
	key, ok := trusted[e.Key]
	if !ok {
		return nil, errors.Newf("signed bundle: key %q is not trusted", e.Key)
	}
	signature, err := base64.StdEncoding.DecodeString(e.Signature)
	if err != nil {
		return nil, errors.Wrap(err, "signed bundle: signature")
	}
	payload, err := base64.StdEncoding.DecodeString(e.Payload)
	if err != nil {
		return nil, errors.Wrap(err, "signed bundle: payload")
	}
	if !ed25519.Verify(key, append([]byte(signatureContext), payload...), signature) {
		return nil, errors.Newf("signed bundle: the signature by key %q does not match", e.Key)
	}
	return payload, nil
}

// Digest returns the hex SHA-256 digest by which a signed bundle is stored.
func Digest(signed []byte) string {
	sum := sha256.Sum256(signed)
	return hex.EncodeToString(sum[:])
}

// SignerOf returns the identity of the key that a bundle claims to be signed
// with; Open checks the claim.
func SignerOf(signed []byte) (string, error) {
	var e envelope
	if err := yaml.Unmarshal(signed, &e); err != nil {
		return "", errors.Wrap(err, "signed bundle")
	}
	return e.Key, nil
}
