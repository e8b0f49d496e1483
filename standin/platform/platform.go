// Package platform is a development stand-in for the platform's table service,
// object store and instance list (rpc/platform), with fault injection for tests.
// It keeps all state in memory. Production binaries do not import it.
package platform

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	pb "github.com/mulberrysill/mulberrysill/rpc/platform"
)

// Default rate limits. Each write of a transaction counts as one write.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 400
)

// Options configure a Platform.
type Options struct {
	// Listen is the TCP listen address; empty means a free loopback port.
	Listen string
	// ReadsPerSecond and WritesPerSecond are rate limits; calls above them fail
	// with twirp code resource_exhausted. 0 means the default, a negative value
	// no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// InstanceLag is the delay after which a change appears in the instance list.
	InstanceLag time.Duration
	// Log is the logger; nil discards all log output.
	Log logrus.FieldLogger
}

// Platform is a running platform server.
type Platform struct {
	store    *store
	faults   faults
	reads    *tokenBucket
	writes   *tokenBucket
	listener net.Listener
	server   *http.Server
	logger   logrus.FieldLogger
}

// Start starts a platform that serves until Close.
func Start(opts Options) (*Platform, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.ReadsPerSecond == 0 {
		opts.ReadsPerSecond = DefaultReadsPerSecond
	}
	if opts.WritesPerSecond == 0 {
		opts.WritesPerSecond = DefaultWritesPerSecond
	}
	if opts.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		opts.Log = discard
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Platform{
		store: newStore(), reads: newTokenBucket(opts.ReadsPerSecond), writes: newTokenBucket(opts.WritesPerSecond),
		listener: listener, logger: opts.Log,
	}
	p.faults.instanceListLag = opts.InstanceLag
	p.faults.outageChanged = make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle(pb.PlatformPathPrefix, p.injectFaults(pb.NewPlatformServer(&service{p})))
	p.addControl(mux)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Addr returns the TCP address on which the platform listens.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// URL returns the base URL for pkg/platform.NewClient.
func (p *Platform) URL() string { return "http://" + p.Addr() }

// Close stops the platform immediately. Its state is lost.
func (p *Platform) Close() { _ = p.server.Close() }

// RemoveInstance removes an instance from the instance list, as the platform does
// after it detects a machine failure. The change appears after the list's lag.
func (p *Platform) RemoveInstance(id string) { p.store.addChange(id, nil) }

// service implements pb.Platform.
type service struct{ p *Platform }

var _ pb.Platform = (*service)(nil)

// chargeRead counts a read and applies the rate limit of reads.
func (s *service) chargeRead() error {
	s.p.faults.countCalls(1, 0)
	return s.p.reads.take(1, "reads")
}

// chargeWrites counts n writes and applies the rate limit of writes.
func (s *service) chargeWrites(n int) error {
	s.p.faults.countCalls(0, n)
	return s.p.writes.take(float64(n), "writes")
}

// GetRow implements pb.Platform.
func (s *service) GetRow(_ context.Context, r *pb.GetRowRequest) (*pb.Row, error) {
	if err := s.chargeRead(); err != nil {
		return nil, err
	}
	return s.p.store.get(r.Key), nil
}

// PutRow implements pb.Platform.
func (s *service) PutRow(_ context.Context, r *pb.PutRowRequest) (*pb.Row, error) {
	if err := s.chargeWrites(1); err != nil {
		return nil, err
	}
	rows, err := s.p.store.transact([]*pb.PutRowRequest{r})
	if err != nil {
		return nil, err
	}
	return rows[0], nil
}

// ListRows implements pb.Platform.
func (s *service) ListRows(_ context.Context, r *pb.ListRowsRequest) (*pb.ListRowsResponse, error) {
	if err := s.chargeRead(); err != nil {
		return nil, err
	}
	return &pb.ListRowsResponse{Rows: s.p.store.list(r.Prefix)}, nil
}

// Transact implements pb.Platform.
func (s *service) Transact(_ context.Context, r *pb.TransactRequest) (*pb.TransactResponse, error) {
	if err := s.chargeWrites(len(r.Writes)); err != nil {
		return nil, err
	}
	rows, err := s.p.store.transact(r.Writes)
	if err != nil {
		return nil, err
	}
	return &pb.TransactResponse{Rows: rows}, nil
}

// PutObject implements pb.Platform.
func (s *service) PutObject(_ context.Context, r *pb.PutObjectRequest) (*pb.PutObjectResponse, error) {
	if err := s.chargeWrites(1); err != nil {
		return nil, err
	}
	digest, err := s.p.store.putObject(r.Data)
	if err != nil {
		return nil, err
	}
	return &pb.PutObjectResponse{Digest: digest}, nil
}

// GetObject implements pb.Platform.
func (s *service) GetObject(_ context.Context, r *pb.GetObjectRequest) (*pb.GetObjectResponse, error) {
	if err := s.chargeRead(); err != nil {
		return nil, err
	}
	data, err := s.p.store.getObject(r.Digest)
	if err != nil {
		return nil, err
	}
	return &pb.GetObjectResponse{Data: data}, nil
}

// ListInstances implements pb.Platform.
func (s *service) ListInstances(context.Context, *pb.ListInstancesRequest) (*pb.ListInstancesResponse, error) {
	if err := s.chargeRead(); err != nil {
		return nil, err
	}
	return &pb.ListInstancesResponse{Instances: s.p.store.listInstances(s.p.faults.instanceLag())}, nil
}

// RegisterInstance implements pb.Platform.
func (s *service) RegisterInstance(_ context.Context, r *pb.Instance) (*pb.RegisterInstanceResponse, error) {
	if err := s.chargeWrites(1); err != nil {
		return nil, err
	}
	if err := s.p.store.register(r); err != nil {
		return nil, err
	}
	return &pb.RegisterInstanceResponse{}, nil
}

// rateLimitError returns the error of a call that exceeds the rate limit.
func rateLimitError(operation string, rate float64) error {
	return twirp.NewErrorf(twirp.ResourceExhausted, "more than %g %s/s", rate, operation)
}
