// Package peer carries messages between entry instances: twirp over HTTP, with
// every request authenticated by a secret that all instances share.
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
	// maxClockSkew bounds the age of a request, so that a recorded one cannot
	// be replayed later. Instances' wall clocks are assumed to agree this far.
	maxClockSkew = 30 * time.Second
	// maxRequestBytes bounds a request; the largest is a heartbeat, which
	// carries one row per database group and workspace.
	maxRequestBytes = 4 << 20
)

func sign(secret []byte, path, at string, body []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(path))
	mac.Write([]byte{0})
	mac.Write([]byte(at))
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
	at := strconv.FormatInt(time.Now().UnixMilli(), 10)
	signed.Header.Set(timeHeader, at)
	signed.Header.Set(macHeader, sign(t.secret, r.URL.Path, at, body))
	return t.next.RoundTrip(signed)
}

// Authenticate returns a handler that passes on only requests that were signed
// with the secret within the last 30 s.
func Authenticate(secret []byte, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			http.Error(w, "request too large or unreadable", http.StatusBadRequest)
			return
		}
		at := r.Header.Get(timeHeader)
		want := sign(secret, r.URL.Path, at, body)
		if !hmac.Equal([]byte(want), []byte(r.Header.Get(macHeader))) || !isRecent(at) {
			http.Error(w, "peer authentication failed", http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func isRecent(at string) bool {
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return false
	}
	age := time.Since(time.UnixMilli(ms))
	return age < maxClockSkew && age > -maxClockSkew
}
