package bundle

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/sha256"
	"encoding/base64"

	"github.com/cockroachdb/errors"
)

// ScramIterations is the iteration count of new keys, the minimum of RFC 7677.
// Keys are random, so more iterations would add cost but no security.
const ScramIterations = 4096

// NewKey derives the SCRAM-SHA-256 verifier of a client key.
func NewKey(id, key string, salt []byte) (Key, error) {
	salted, err := pbkdf2.Key(sha256.New, key, salt, ScramIterations, sha256.Size)
	if err != nil {
		return Key{}, errors.Wrap(err, "derive SCRAM verifier")
	}
	stored := sha256.Sum256(keyedHash(salted, "Client Key"))
	return Key{
		ID: id, Iterations: ScramIterations,
		Salt:      base64.StdEncoding.EncodeToString(salt),
		StoredKey: base64.StdEncoding.EncodeToString(stored[:]),
		ServerKey: base64.StdEncoding.EncodeToString(keyedHash(salted, "Server Key")),
	}, nil
}

func keyedHash(key []byte, text string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(text))
	return mac.Sum(nil)
}
