// Package admin implements the administration API of an instance: publishing
// signed configuration bundles and reporting status. Every call is authenticated
// with a bearer token.
//
// The head is the row in the platform's table service that names the newest
// published bundle. Each bundle states the version of its parent, the head it was
// derived from, so that two operators can't overwrite each other's changes.
package admin

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	pb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

// maxBodyBytes bounds a request body: the largest signed bundle plus 64 KiB for the
// other fields and the encoding.
const maxBodyBytes = bundle.MaxSignedBytes + 64<<10

// minTokenBytes is the minimum length of a token read from a file.
const minTokenBytes = 16

// Store is the subset of platform.Store that publishing needs.
type Store interface {
	GetRow(ctx context.Context, key string) (platform.Row, error)
	Transact(ctx context.Context, writes ...platform.Write) ([]platform.Row, error)
	PutObject(ctx context.Context, data []byte) (string, error)
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// StatusSource provides the state of the instance and its view of the fleet.
type StatusSource interface {
	InstanceStatus(ctx context.Context) (*pb.InstanceStatus, error)
	FleetStatus(ctx context.Context) (*pb.FleetStatusResponse, error)
	// SignedBundle returns the active signed bundle, or nil if there is none.
	SignedBundle(ctx context.Context) ([]byte, error)
}

// Server implements the administration API.
type Server struct {
	store   Store
	source  StatusSource
	trusted map[string]ed25519.PublicKey
	// retryDelay is the pause before retrying an attempt whose outcome is unknown.
	retryDelay time.Duration
}

var _ pb.Admin = (*Server)(nil)

// NewServer returns a server that accepts bundles signed by a key in trusted, which
// maps key IDs to public keys.
func NewServer(store Store, source StatusSource, trusted map[string]ed25519.PublicKey) *Server {
	return &Server{store: store, source: source, trusted: trusted, retryDelay: 100 * time.Millisecond}
}

// Status returns the state of this instance.
func (s *Server) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.InstanceStatus, error) {
	st, err := s.source.InstanceStatus(ctx)
	return st, unavailable(err)
}

// FleetStatus returns this instance's view of the fleet.
func (s *Server) FleetStatus(ctx context.Context, _ *pb.StatusRequest) (*pb.FleetStatusResponse, error) {
	st, err := s.source.FleetStatus(ctx)
	return st, unavailable(err)
}

// GetBundle returns the active signed bundle.
func (s *Server) GetBundle(ctx context.Context, _ *pb.GetBundleRequest) (*pb.GetBundleResponse, error) {
	signed, err := s.source.SignedBundle(ctx)
	switch {
	case err != nil:
		return nil, unavailable(err)
	case signed == nil:
		return nil, twirp.NotFoundError("no bundle is active")
	}
	return &pb.GetBundleResponse{Signed: signed}, nil
}

// unavailable converts an error of the store or the status source to the code for
// temporary failures, so that the caller may retry.
func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return twirp.Unavailable.Error(err.Error())
}

// Handler serves the API below pb.AdminPathPrefix to callers that present the token.
// An empty token admits no caller.
func Handler(api pb.Admin, token string) http.Handler {
	inner := pb.NewAdminServer(api)
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(got))
		// Comparing digests of equal length in constant time reveals neither the
		// token nor its length.
		if !bearer || token == "" || subtle.ConstantTimeCompare(sum[:], want[:]) != 1 {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("missing or wrong bearer token"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		inner.ServeHTTP(w, r)
	})
}

// ReadToken reads a bearer token from a file and trims surrounding white space.
func ReadToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read administration token")
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenBytes {
		return "", errors.Newf("administration token in %s is shorter than %d bytes", path, minTokenBytes)
	}
	return token, nil
}
