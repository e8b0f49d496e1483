// Package entry assembles the entry daemon: the listeners for clients, peers,
// administrators and metrics around one control plane.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/pkg/admin"
	"github.com/mulberrysill/mulberrysill/pkg/config"
	"github.com/mulberrysill/mulberrysill/pkg/control"
	"github.com/mulberrysill/mulberrysill/pkg/frontend"
	"github.com/mulberrysill/mulberrysill/pkg/metrics"
	"github.com/mulberrysill/mulberrysill/pkg/peer"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	peerpb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

const (
	// registerInterval is the period at which an instance renews its entry in
	// the platform's list.
	registerInterval = 5 * time.Second
	// registerRetry is the period while it has not been registered yet.
	registerRetry = 500 * time.Millisecond
	// headerTimeout bounds the header of a request to a twirp or metrics
	// listener, so that a stalled peer holds no connection.
	headerTimeout = 5 * time.Second
	// leaveTimeout bounds the hand-back of the instance's share at shutdown.
	leaveTimeout = 5 * time.Second
)

// Entry is one entry daemon.
type Entry struct {
	settings  config.Settings
	self      platform.Instance
	log       *logrus.Entry
	store     platform.Store
	plane     *control.Plane
	clients   *frontend.Server
	metrics   *metrics.Metrics
	listeners listeners
	servers   []*http.Server
}

type listeners struct{ client, peer, admin, metrics net.Listener }

// New opens the listeners and builds the daemon. Nothing is served before Run.
func New(settings config.Settings, secrets config.Secrets, log *logrus.Entry) (*Entry, error) {
	e := &Entry{settings: settings, log: log, metrics: metrics.New(settings.ID, settings.Zone)}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.self = platform.Instance{
		ID: settings.ID, Zone: settings.Zone, Epoch: uint64(lease.NewEpoch(time.Now())),
		ClientAddress: e.listeners.client.Addr().String(), PeerAddress: e.listeners.peer.Addr().String(),
		AdminAddress: e.listeners.admin.Addr().String(),
	}
	e.store = platform.NewClient(settings.PlatformURL, time.Duration(settings.PlatformTimeout))
	e.plane = control.New(control.Config{
		Self: e.self, Store: e.store, Peers: peer.NewClients(secrets.PeerSecret), TrustedKeys: secrets.TrustedKeys,
		Log: log, BackendUser: settings.BackendUser, BackendPassword: secrets.BackendPassword,
		Seed:     uint64(time.Now().UnixNano()),
		OnBundle: func(*bundle.Compiled) { go e.clients.Recheck() },
		CancelLocal:   func(pid uint32, secret []byte) bool { return e.clients.Cancel(pid, secret) },
		CountClients:  func() int { return e.clients.Sessions() },
	})
	tlsConfig, err := loadTLS(settings)
	if err != nil {
		return nil, err
	}
	e.clients, err = frontend.New(frontend.Config{
		Instance: settings.ID, Zone: settings.Zone, TLS: tlsConfig, RequireTLS: settings.RequireTLS,
		MockSecret: secrets.SessionTokenKey,
		Policy:     policy{e.plane}, Tokens: tokenCodec{secrets.SessionTokenKey}, Metrics: e.metrics, Log: log.Logger,
		ForwardCancel: func(pid uint32, secret []byte) { e.plane.ForwardCancel(pid, secret) },
	})
	if err != nil {
		return nil, err
	}
	e.serveHTTP(secrets)
	return e, nil
}

func loadTLS(s config.Settings) (*tls.Config, error) {
	if s.TLSCertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.TLSCertFile, s.TLSKeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "tlsCertFile, tlsKeyFile")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

func (e *Entry) listen() error {
	targets := []struct {
		field, address string
		listener       *net.Listener
	}{
		{"clientAddress", e.settings.ClientAddress, &e.listeners.client},
		{"peerAddress", e.settings.PeerAddress, &e.listeners.peer},
		{"adminAddress", e.settings.AdminAddress, &e.listeners.admin},
		{"metricsAddress", e.settings.MetricsAddress, &e.listeners.metrics},
	}
	for _, t := range targets {
		l, err := net.Listen("tcp", t.address)
		if err != nil {
			return errors.Wrapf(err, "%s", t.field)
		}
		*t.listener = l
	}
	return nil
}

func (e *Entry) serveHTTP(secrets config.Secrets) {
	serve := func(l net.Listener, h http.Handler) {
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
		e.servers = append(e.servers, s)
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				e.log.WithError(err).Error("listener ended")
			}
		}()
	}
	serve(e.listeners.peer, peer.Authenticate(secrets.PeerSecret, peerpb.NewPeerServer(e.plane)))
	api := admin.NewServer(e.store, e.plane, secrets.TrustedKeys)
	serve(e.listeners.admin, admin.Handler(api, secrets.AdminToken))
	serve(e.listeners.metrics, e.metrics.Handler())
}

// ClientAddress returns the address on which clients are served.
func (e *Entry) ClientAddress() string { return e.self.ClientAddress }

// Run serves until the context ends and then shuts down: no new work is taken,
// running transactions end, and the instance's share goes back.
func (e *Entry) Run(ctx context.Context) error {
	planeCtx, stopPlane := context.WithCancel(context.Background())
	planeDone := make(chan struct{})
	go func() {
		defer close(planeDone)
		e.plane.Run(planeCtx)
	}()
	registerCtx, stopRegister := context.WithCancel(context.Background())
	go e.register(registerCtx)
	go func() {
		if err := e.clients.Serve(e.listeners.client); err != nil {
			e.log.WithError(err).Error("client listener ended")
		}
	}()
	e.log.WithField("address", e.self.ClientAddress).Info("serving clients")
	<-ctx.Done()
	stopRegister()
	err := e.shutDown()
	stopPlane()
	<-planeDone
	for _, s := range e.servers {
		err = errors.CombineErrors(err, s.Close())
	}
	return errors.CombineErrors(err, e.metrics.Close())
}

func (e *Entry) shutDown() error {
	e.log.Info("shutting down")
	e.plane.SetDraining()
	e.announceLeaving()
	drainCtx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.DrainTimeout))
	defer cancel()
	err := e.clients.Drain(drainCtx)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if leaveErr := e.plane.Leave(leaveCtx); leaveErr != nil {
		// The share is then taken back after the lease has ended.
		e.log.WithError(leaveErr).Warn("share not handed back")
	}
	return errors.Wrap(err, "drain")
}

func (e *Entry) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	self := e.self
	self.Leaving = true
	if err := e.store.Register(ctx, self); err != nil {
		e.log.WithError(err).Warn("platform not told that the instance leaves")
	}
}

// register keeps the instance in the platform's list until the context ends.
func (e *Entry) register(ctx context.Context) {
	for {
		wait := registerInterval
		if err := e.store.Register(ctx, e.self); err != nil {
			e.log.WithError(err).Warn("instance not registered")
			wait = registerRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// AdminAddress returns the address of the administration API.
func (e *Entry) AdminAddress() string { return e.self.AdminAddress }
