package frontend

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	defaultStartupTimeout  = 10 * time.Second
	defaultMaxMessageBytes = 256 << 20
	// defaultStallTimeout is far longer than a round trip with retransmissions. It
	// is bounded because a member has few slots, and a client that does not read
	// occupies one.
	defaultStallTimeout = 30 * time.Second
	// acceptRetryDelay is the wait after a failed accept, which prevents a busy loop
	// when file descriptors run out.
	acceptRetryDelay = 20 * time.Millisecond
)

// Config holds what a Server needs. Policy is required.
type Config struct {
	Instance string
	Zone     string
	// TLS is the configuration for clients that request TLS; nil disables TLS.
	TLS *tls.Config
	// RequireTLS rejects clients that do not use TLS.
	RequireTLS bool
	// StartupTimeout bounds startup and authentication; 0 means 10 s.
	StartupTimeout time.Duration
	// MaxMessageBytes bounds a client message; 0 means 256 MiB.
	MaxMessageBytes int
	// StallTimeout is the time within which a client must read 64 KB of an answer;
	// a slower client is disconnected, because it occupies a server connection.
	// 0 means 30 s.
	StallTimeout time.Duration
	// MockSecret is the key from which the salts for unknown users are derived. All
	// instances need the same one, because a salt that differs between instances
	// reveals that the user does not exist. If it is empty, a random one is used.
	MockSecret []byte

	Policy  Policy
	Tokens  TokenCodec
	Metrics Metrics
	Log     *logrus.Logger
	// ForwardCancel receives cancel requests for sessions of other instances.
	ForwardCancel func(pid uint32, secret []byte)
}

// Server accepts and serves clients. It is safe for concurrent use.
type Server struct {
	cfg Config
	log *logrus.Entry

	// mu guards the fields below.
	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	sessions  map[uint32]*session
	draining  bool
	// sessionsEnded is closed during a drain once no session is left.
	sessionsEnded chan struct{}
	// startingConns holds connections that have not completed startup.
	startingConns map[net.Conn]struct{}

	// groupParameters maps a group's name (string) to the ParameterStatus values of
	// its first server connection (map[string]string), which are reported to new
	// clients.
	groupParameters sync.Map
}

// New returns a server; Serve accepts clients for it.
func New(cfg Config) (*Server, error) {
	if cfg.Policy == nil {
		return nil, errors.New("frontend: Config.Policy is required")
	}
	if cfg.StartupTimeout == 0 {
		cfg.StartupTimeout = defaultStartupTimeout
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = defaultMaxMessageBytes
	}
	if cfg.StallTimeout == 0 {
		cfg.StallTimeout = defaultStallTimeout
	}
	if len(cfg.MockSecret) == 0 {
		cfg.MockSecret = make([]byte, 32)
		rand.Read(cfg.MockSecret)
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &Server{
		cfg:           cfg,
		log:           cfg.Log.WithFields(logrus.Fields{"instance": cfg.Instance, "zone": cfg.Zone}),
		listeners:     map[net.Listener]struct{}{},
		sessions:      map[uint32]*session{},
		startingConns: map[net.Conn]struct{}{},
		sessionsEnded: make(chan struct{}),
	}, nil
}

// Serve accepts clients until the listener is closed, by Drain or by the
// caller. It returns nil after Drain.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err == nil {
			go s.serveConn(conn)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.listeners, l)
			if s.draining {
				return nil
			}
			return errors.Wrap(err, "accept clients")
		}
		s.log.WithError(err).Warn("accept failed")
		time.Sleep(acceptRetryDelay)
	}
}

// serveConn serves one client connection from startup to its end.
func (s *Server) serveConn(conn net.Conn) {
	if !s.trackStarting(conn) {
		conn.Close()
		return
	}
	sess, err := s.startup(conn)
	if err != nil || sess == nil {
		s.untrackStarting(conn)
		if err != nil {
			s.log.WithError(err).Debug("startup failed")
		}
		return
	}
	if !s.register(sess) {
		sess.fatal(errShuttingDown())
		sess.close()
		return
	}
	defer s.unregister(sess)
	defer sess.close()
	if err := sess.completeStartup(); err != nil {
		return
	}
	sess.serve()
}

// trackStarting adds a connection whose startup begins, so that Drain closes it.
// It returns false if the server is draining.
func (s *Server) trackStarting(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.startingConns[conn] = struct{}{}
	}
	return !s.draining
}

func (s *Server) untrackStarting(conn net.Conn) {
	s.mu.Lock()
	delete(s.startingConns, conn)
	s.mu.Unlock()
}

// register gives the session its cancel key and makes it visible to RevalidateSessions,
// Drain and Cancel. It returns false if the server is draining.
func (s *Server) register(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.startingConns, sess.rawConn)
	if s.draining {
		return false
	}
	var random [8]byte
	for {
		rand.Read(random[:])
		// Drivers treat the process ID as a signed number.
		sess.pid = binary.BigEndian.Uint32(random[:4]) >> 1
		if s.sessions[sess.pid] == nil && sess.pid != 0 {
			break
		}
	}
	copy(sess.secret[:], random[4:])
	s.sessions[sess.pid] = sess
	return true
}

func (s *Server) unregister(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess.pid)
	if s.draining && len(s.sessions) == 0 {
		s.closeSessionsEnded()
	}
}

// closeSessionsEnded closes sessionsEnded unless it is closed already. The caller
// holds mu.
func (s *Server) closeSessionsEnded() {
	select {
	case <-s.sessionsEnded:
	default:
		close(s.sessionsEnded)
	}
}

func (s *Server) sessionSnapshot() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, sess := range s.sessions {
		all = append(all, sess)
	}
	return all
}

// SessionCount returns the number of authenticated sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// RevalidateSessions ends the sessions to which the active bundle no longer grants access.
// The caller calls it after each change of the bundle. It does not wait for the
// sessions to end.
func (s *Server) RevalidateSessions() {
	b := s.cfg.Policy.Bundle()
	for _, sess := range s.sessionSnapshot() {
		if err := sess.identity.checkAccess(b); err != nil {
			sess.stop(err, revocationGrace)
		}
	}
}

// lastMessageGrace is the time that sessions get to send their last message when
// the context of a drain has ended.
const lastMessageGrace = time.Second

// Drain stops accepting clients, ends idle sessions and waits for open transactions
// to finish. If ctx ends first, it ends the remaining sessions and returns the
// error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for l := range s.listeners {
		l.Close()
	}
	for conn := range s.startingConns {
		conn.Close()
	}
	if len(s.sessions) == 0 {
		s.closeSessionsEnded()
	}
	s.mu.Unlock()
	for _, sess := range s.sessionSnapshot() {
		sess.drain()
	}
	select {
	case <-s.sessionsEnded:
		return nil
	case <-ctx.Done():
	}
	for _, sess := range s.sessionSnapshot() {
		sess.stop(errShuttingDown(), 0)
	}
	select {
	case <-s.sessionsEnded:
	case <-time.After(lastMessageGrace):
		for _, sess := range s.sessionSnapshot() {
			sess.rawConn.Close()
		}
	}
	return ctx.Err()
}

func errShuttingDown() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ShuttingDown, "the instance is shutting down").AsFatal()
}
