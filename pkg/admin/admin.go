// Package admin is the administration API of an entry instance: publishing of
// signed bundles, and status. Every call needs the bearer token.
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

// maxBodyBytes bounds a request: the largest signed bundle and its framing.
const maxBodyBytes = bundle.MaxSignedBytes + 64<<10

// minTokenBytes is the shortest token that is accepted from a file.
const minTokenBytes = 16

// Store is the part of the platform that publishing needs.
type Store interface {
	GetRow(ctx context.Context, key string) (platform.Row, error)
	Transact(ctx context.Context, writes ...platform.Write) ([]platform.Row, error)
	PutObject(ctx context.Context, data []byte) (string, error)
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// Source answers what the instance knows of itself and of the fleet.
type Source interface {
	InstanceStatus(ctx context.Context) (*pb.InstanceStatus, error)
	FleetStatus(ctx context.Context) (*pb.FleetStatusResponse, error)
	// SignedBundle returns the signed bundle in force, or nil if there is none.
	SignedBundle(ctx context.Context) ([]byte, error)
}

// Server implements the administration API.
type Server struct {
	store   Store
	source  Source
	trusted map[string]ed25519.PublicKey
	// retryAfter is the pause before a write without an answer is resolved again.
	retryAfter time.Duration
}

var _ pb.Admin = (*Server)(nil)

// NewServer returns a server that accepts bundles signed by the trusted keys.
func NewServer(store Store, source Source, trusted map[string]ed25519.PublicKey) *Server {
	return &Server{store: store, source: source, trusted: trusted, retryAfter: 100 * time.Millisecond}
}

// Status returns the state of this instance.
func (s *Server) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.InstanceStatus, error) {
	st, err := s.source.InstanceStatus(ctx)
	return st, unavailable(err)
}

// FleetStatus returns what this instance knows of the fleet.
func (s *Server) FleetStatus(ctx context.Context, _ *pb.StatusRequest) (*pb.FleetStatusResponse, error) {
	st, err := s.source.FleetStatus(ctx)
	return st, unavailable(err)
}

// GetBundle returns the signed bundle in force.
func (s *Server) GetBundle(ctx context.Context, _ *pb.GetBundleRequest) (*pb.GetBundleResponse, error) {
	signed, err := s.source.SignedBundle(ctx)
	switch {
	case err != nil:
		return nil, unavailable(err)
	case signed == nil:
		return nil, twirp.NotFoundError("no bundle is in force")
	}
	return &pb.GetBundleResponse{Signed: signed}, nil
}

// unavailable reports an error of the store or the source as one that may pass.
func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return twirp.Unavailable.Error(err.Error())
}

// Handler serves the API below pb.AdminPathPrefix to callers with the token.
func Handler(api pb.Admin, token string) http.Handler {
	inner := pb.NewAdminServer(api)
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(got))
		// Digests have one length, so the comparison takes the same time for
		// every token.
		if !bearer || token == "" || subtle.ConstantTimeCompare(sum[:], want[:]) != 1 {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("missing or wrong bearer token"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		inner.ServeHTTP(w, r)
	})
}

// ReadToken reads a bearer token from a file; surrounding white space is cut.
func ReadToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read administration token")
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenBytes {
		return "", errors.Newf("administration token in %s: want at least %d characters", path, minTokenBytes)
	}
	return token, nil
}
