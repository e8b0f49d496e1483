// Package admin serves the administration API of an instance: publishing a
// bundle and reporting the state of the instance and of the rollout.
package admin

import (
	"context"
	"crypto/ed25519"
	"crypto/subtle"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/pkg/platform"
	pb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

// Source tells the state of the instance. All methods may be called by any goroutine.
type Source interface {
	InstanceStatus(ctx context.Context) (*pb.InstanceStatus, error)
	FleetStatus(ctx context.Context) (*pb.FleetStatusResponse, error)
	// SignedBundle returns the signed bundle in force, or nil.
	SignedBundle(ctx context.Context) ([]byte, error)
}

// Store is the part of the platform that publishing needs.
type Store interface {
	GetRow(ctx context.Context, key string) (platform.Row, error)
	Transact(ctx context.Context, writes ...platform.Write) ([]platform.Row, error)
	PutObject(ctx context.Context, data []byte) (string, error)
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// Config is what the administration API needs.
type Config struct {
	Store   Store
	Trusted map[string]ed25519.PublicKey
	// Token is the bearer token that every request must carry.
	Token  string
	Source Source
	Log    *logrus.Entry
}

type server struct{ cfg Config }

// NewHandler returns the administration API. Requests without the bearer token
// are refused with 401.
func NewHandler(cfg Config) http.Handler {
	return authenticate(cfg.Token, pb.NewAdminServer(&server{cfg}))
}

func authenticate(token string, next http.Handler) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "administration API: bearer token missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Status implements the administration API.
func (s *server) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.InstanceStatus, error) {
	return s.cfg.Source.InstanceStatus(ctx)
}

// FleetStatus implements the administration API.
func (s *server) FleetStatus(ctx context.Context, _ *pb.StatusRequest) (*pb.FleetStatusResponse, error) {
	return s.cfg.Source.FleetStatus(ctx)
}

// GetBundle implements the administration API.
func (s *server) GetBundle(ctx context.Context, _ *pb.GetBundleRequest) (*pb.GetBundleResponse, error) {
	signed, err := s.cfg.Source.SignedBundle(ctx)
	if err == nil && signed == nil {
		return nil, twirp.NotFoundError("no bundle is in force")
	}
	return &pb.GetBundleResponse{Signed: signed}, err
}

// Publish implements the administration API.
func (s *server) Publish(ctx context.Context, r *pb.PublishRequest) (*pb.PublishResponse, error) {
	answer, err := publish(ctx, s.cfg, r)
	var refused *refusedError
	if errors.As(err, &refused) {
		return nil, twirp.InvalidArgumentError("signed", refused.Error())
	}
	if err != nil {
		s.cfg.Log.WithError(err).Warn("publish failed")
		return nil, twirp.Unavailable.Errorf("publish: %v", err)
	}
	s.cfg.Log.WithFields(logrus.Fields{"version": answer.Version, "conflict": answer.Conflict}).Info("publish")
	return answer, nil
}
