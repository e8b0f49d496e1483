// Package platform is a development stand-in for the platform's table service,
// object store and instance list (rpc/platform), with faults that tests inject.
// It keeps everything in memory. Product binaries never import it.
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

// Default rates, in calls per second. A transaction counts as many writes as it
// holds.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 400
)

// Options are the settings of the platform.
type Options struct {
	// Listen is a TCP address; empty means a free loopback port.
	Listen string
	// ReadsPerSecond and WritesPerSecond bound the rates; more is refused with
	// twirp code resource_exhausted. 0 means the default, a negative value no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// InstanceLag is the age of the instance list.
	InstanceLag time.Duration
	// Log receives log lines; nil discards them.
	Log logrus.FieldLogger
}

// Platform is a running stand-in.
type Platform struct {
	store    *store
	faults   faults
	reads    *bucket
	writes   *bucket
	listener net.Listener
	server   *http.Server
	logger   logrus.FieldLogger
}

// Start starts a platform. It serves until Close.
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
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		opts.Log = silent
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Platform{
		store: newStore(), reads: newBucket(opts.ReadsPerSecond), writes: newBucket(opts.WritesPerSecond),
		listener: listener, logger: opts.Log,
	}
	p.faults.lag = opts.InstanceLag
	p.faults.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle(pb.PlatformPathPrefix, p.injectFaults(pb.NewPlatformServer(&service{p})))
	p.addControl(mux)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Addr returns the TCP address.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// URL returns the base URL for pkg/platform.NewClient.
func (p *Platform) URL() string { return "http://" + p.Addr() }

// Close stops the platform at once. Its contents are lost.
func (p *Platform) Close() { _ = p.server.Close() }

// RemoveInstance takes an instance off the instance list, as the platform does
// with a machine that it has seen die. The list's lag applies.
func (p *Platform) RemoveInstance(id string) { p.store.addChange(id, nil) }

// service implements the twirp service.
type service struct{ p *Platform }

var _ pb.Platform = (*service)(nil)

func (s *service) read() error {
	s.p.faults.count(1, 0)
	return s.p.reads.take(1, "reads")
}

func (s *service) write(n int) error {
	s.p.faults.count(0, n)
	return s.p.writes.take(float64(n), "writes")
}

// GetRow implements the service.
func (s *service) GetRow(_ context.Context, r *pb.GetRowRequest) (*pb.Row, error) {
	if err := s.read(); err != nil {
		return nil, err
	}
	return s.p.store.get(r.Key), nil
}

// PutRow implements the service.
func (s *service) PutRow(_ context.Context, r *pb.PutRowRequest) (*pb.Row, error) {
	if err := s.write(1); err != nil {
		return nil, err
	}
	rows, err := s.p.store.transact([]*pb.PutRowRequest{r})
	if err != nil {
		return nil, err
	}
	return rows[0], nil
}

// ListRows implements the service.
func (s *service) ListRows(_ context.Context, r *pb.ListRowsRequest) (*pb.ListRowsResponse, error) {
	if err := s.read(); err != nil {
		return nil, err
	}
	return &pb.ListRowsResponse{Rows: s.p.store.list(r.Prefix)}, nil
}

// Transact implements the service.
func (s *service) Transact(_ context.Context, r *pb.TransactRequest) (*pb.TransactResponse, error) {
	if err := s.write(len(r.Writes)); err != nil {
		return nil, err
	}
	rows, err := s.p.store.transact(r.Writes)
	if err != nil {
		return nil, err
	}
	return &pb.TransactResponse{Rows: rows}, nil
}

// PutObject implements the service.
func (s *service) PutObject(_ context.Context, r *pb.PutObjectRequest) (*pb.PutObjectResponse, error) {
	if err := s.write(1); err != nil {
		return nil, err
	}
	digest, err := s.p.store.putObject(r.Data)
	if err != nil {
		return nil, err
	}
	return &pb.PutObjectResponse{Digest: digest}, nil
}

// GetObject implements the service.
func (s *service) GetObject(_ context.Context, r *pb.GetObjectRequest) (*pb.GetObjectResponse, error) {
	if err := s.read(); err != nil {
		return nil, err
	}
	data, err := s.p.store.object(r.Digest)
	if err != nil {
		return nil, err
	}
	return &pb.GetObjectResponse{Data: data}, nil
}

// ListInstances implements the service.
func (s *service) ListInstances(context.Context, *pb.ListInstancesRequest) (*pb.ListInstancesResponse, error) {
	if err := s.read(); err != nil {
		return nil, err
	}
	return &pb.ListInstancesResponse{Instances: s.p.store.listInstances(s.p.faults.instanceLag())}, nil
}

// RegisterInstance implements the service.
func (s *service) RegisterInstance(_ context.Context, r *pb.Instance) (*pb.RegisterInstanceResponse, error) {
	if err := s.write(1); err != nil {
		return nil, err
	}
	if err := s.p.store.register(r); err != nil {
		return nil, err
	}
	return &pb.RegisterInstanceResponse{}, nil
}

// exhausted is the error of a call above the rate.
func exhausted(what string, rate float64) error {
	return twirp.NewErrorf(twirp.ResourceExhausted, "more than %g %s/s", rate, what)
}
