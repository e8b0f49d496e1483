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
	// the platform's instance list.
	registerInterval = 5 * time.Second
	// registerRetryInterval replaces registerInterval after a failed attempt.
	registerRetryInterval = 500 * time.Millisecond
	// readHeaderTimeout bounds the time to read the header of an HTTP request,
	// so that a stalled caller doesn't occupy a connection for long.
	readHeaderTimeout = 5 * time.Second
	// leaveTimeout bounds the release of the instance's lease share at shutdown.
	leaveTimeout = 5 * time.Second
)

// Daemon is the entry daemon of one instance.
type Daemon struct {
	settings     config.Settings
	self         platform.Instance
	log          *logrus.Entry
	store        platform.Store
	plane        *control.Plane
	clientServer *frontend.Server
	metrics      *metrics.Metrics
	listeners    listeners
	httpServers  []*http.Server
}

type listeners struct{ client, peer, admin, metrics net.Listener }

// New opens all listeners, starts the HTTP servers for peers, administrators and
// metrics, and builds the daemon. Clients are served and the control plane runs
// only after Run is called.
func New(settings config.Settings, secrets config.Secrets, log *logrus.Entry) (*Daemon, error) {
	d := &Daemon{settings: settings, log: log, metrics: metrics.New(settings.ID, settings.Zone)}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.self = platform.Instance{
		ID: settings.ID, Zone: settings.Zone, Epoch: uint64(lease.NewEpoch(time.Now())),
		ClientAddress: d.listeners.client.Addr().String(), PeerAddress: d.listeners.peer.Addr().String(),
		AdminAddress: d.listeners.admin.Addr().String(),
	}
	d.store = platform.NewClient(settings.PlatformURL, time.Duration(settings.PlatformTimeout))
	d.plane = control.New(control.Config{
		Self: d.self, Store: d.store, Peers: peer.NewClients(secrets.PeerSecret), TrustedKeys: secrets.TrustedKeys,
		Log: log, BackendUser: settings.BackendUser, BackendPassword: secrets.BackendPassword,
		Seed:         uint64(time.Now().UnixNano()),
		OnBundle:     func(*bundle.Compiled) { go d.clientServer.RevalidateSessions() },
		CancelLocal:  func(pid uint32, secret []byte) bool { return d.clientServer.Cancel(pid, secret) },
		CountClients: func() int { return d.clientServer.SessionCount() },
	})
	tlsConfig, err := loadTLS(settings)
	if err != nil {
		return nil, err
	}
	d.clientServer, err = frontend.New(frontend.Config{
		Instance: settings.ID, Zone: settings.Zone, TLS: tlsConfig, RequireTLS: settings.RequireTLS,
		MockSecret: secrets.SessionTokenKey,
		Policy:     policyAdapter{d.plane}, Tokens: tokenCodec{secrets.SessionTokenKey}, Metrics: d.metrics, Log: log.Logger,
		ForwardCancel: func(pid uint32, secret []byte) { d.plane.ForwardCancel(pid, secret) },
	})
	if err != nil {
		return nil, err
	}
	d.serveHTTP(secrets)
	return d, nil
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

func (d *Daemon) listen() error {
	targets := []struct {
		field, address string
		listener       *net.Listener
	}{
		{"clientAddress", d.settings.ClientAddress, &d.listeners.client},
		{"peerAddress", d.settings.PeerAddress, &d.listeners.peer},
		{"adminAddress", d.settings.AdminAddress, &d.listeners.admin},
		{"metricsAddress", d.settings.MetricsAddress, &d.listeners.metrics},
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

func (d *Daemon) serveHTTP(secrets config.Secrets) {
	serve := func(l net.Listener, h http.Handler) {
		s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
		d.httpServers = append(d.httpServers, s)
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				d.log.WithError(err).Error("listener ended")
			}
		}()
	}
	serve(d.listeners.peer, peer.Authenticate(secrets.PeerSecret, peerpb.NewPeerServer(d.plane)))
	api := admin.NewServer(d.store, d.plane, secrets.TrustedKeys)
	serve(d.listeners.admin, admin.Handler(api, secrets.AdminToken))
	serve(d.listeners.metrics, d.metrics.Handler())
}

// ClientAddress returns the address of the client listener.
func (d *Daemon) ClientAddress() string { return d.self.ClientAddress }

// Run serves until the context ends and then shuts down gracefully: it refuses
// new work, waits for open transactions until the drain timeout and releases the
// instance's lease share.
func (d *Daemon) Run(ctx context.Context) error {
	planeCtx, stopPlane := context.WithCancel(context.Background())
	planeDone := make(chan struct{})
	go func() {
		defer close(planeDone)
		d.plane.Run(planeCtx)
	}()
	registerCtx, stopRegister := context.WithCancel(context.Background())
	go d.register(registerCtx)
	go func() {
		if err := d.clientServer.Serve(d.listeners.client); err != nil {
			d.log.WithError(err).Error("client listener ended")
		}
	}()
	d.log.WithField("address", d.self.ClientAddress).Info("serving clients")
	<-ctx.Done()
	stopRegister()
	err := d.shutDown()
	stopPlane()
	<-planeDone
	for _, s := range d.httpServers {
		err = errors.CombineErrors(err, s.Close())
	}
	return errors.CombineErrors(err, d.metrics.Close())
}

func (d *Daemon) shutDown() error {
	d.log.Info("shutting down")
	d.plane.SetDraining()
	d.registerLeaving()
	drainCtx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.DrainTimeout))
	defer cancel()
	err := d.clientServer.Drain(drainCtx)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if leaveErr := d.plane.Leave(leaveCtx); leaveErr != nil {
		// Another instance reclaims the share once the lease has expired.
		d.log.WithError(leaveErr).Warn("share not handed back")
	}
	return errors.Wrap(err, "drain")
}

func (d *Daemon) registerLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	self := d.self
	self.Leaving = true
	if err := d.store.Register(ctx, self); err != nil {
		d.log.WithError(err).Warn("platform not told that the instance leaves")
	}
}

// register renews the instance's entry in the platform's list until the context
// ends.
func (d *Daemon) register(ctx context.Context) {
	for {
		wait := registerInterval
		if err := d.store.Register(ctx, d.self); err != nil {
			d.log.WithError(err).Warn("instance not registered")
			wait = registerRetryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// AdminAddress returns the address of the administration API's listener.
func (d *Daemon) AdminAddress() string { return d.self.AdminAddress }
