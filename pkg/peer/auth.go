// Package peer authenticates twirp requests between entry instances with an HMAC
// whose secret all instances share, and keeps the clients of the peers.
package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	timeHeader = "Mulberrysill-Time"
	macHeader  = "Mulberrysill-Mac"
	// maxClockSkew limits the age of a request, so that a recorded request cannot be
	// replayed later. The wall clocks of instances are assumed to differ by less.
	maxClockSkew = 30 * time.Second
	// maxRequestBytes limits the size of a request. The largest one is a heartbeat,
	// which has an entry for each pair of database group and workspace.
	maxRequestBytes = 4 << 20
)

// sign returns the HMAC-SHA256 of the path, the timestamp and the body in hexadecimal.
func sign(secret []byte, path, timestamp string, body []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(path))
	mac.Write([]byte{0})
	mac.Write([]byte(timestamp))
	mac.Write([]byte{0})
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// signingTransport adds the authentication headers to each request.
type signingTransport struct {
	secret []byte
	next   http.RoundTripper
}

func (t *signingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, errors.Wrap(err, "read request body")
		}
		if err := r.Body.Close(); err != nil {
			return nil, errors.Wrap(err, "close request body")
		}
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	timestamp := strconv.FormatInt(time.Now().UnixMilli(), 10)
	signed.Header.Set(timeHeader, timestamp)
	signed.Header.Set(macHeader, sign(t.secret, r.URL.Path, timestamp, body))
	return t.next.RoundTrip(signed)
}

// Authenticate returns a handler that calls next only for requests whose signature is
// valid and whose timestamp differs from the local clock by less than maxClockSkew.
func Authenticate(secret []byte, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			http.Error(w, "request too large or unreadable", http.StatusBadRequest)
			return
		}
		timestamp := r.Header.Get(timeHeader)
		want := sign(secret, r.URL.Path, timestamp, body)
		if !hmac.Equal([]byte(want), []byte(r.Header.Get(macHeader))) || !isRecent(timestamp) {
			http.Error(w, "peer authentication failed", http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func isRecent(timestamp string) bool {
	ms, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil {
		return false
	}
	age := time.Since(time.UnixMilli(ms))
	return age < maxClockSkew && age > -maxClockSkew
}
