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
	// defaultStallTimeout is far above a round trip and a retransmission; a
	// member has only a few slots, and a client that does not read holds one.
	defaultStallTimeout = 30 * time.Second
	// acceptPause is the wait after a failed accept, so that a lack of file
	// descriptors does not become a busy loop.
	acceptPause = 20 * time.Millisecond
)

// Config holds what a Server needs. Policy is required.
type Config struct {
	Instance string
	Zone     string
	// TLS enables SSLRequest; nil refuses it.
	TLS *tls.Config
	// RequireTLS refuses clients that do not use TLS.
	RequireTLS bool
	// StartupTimeout bounds startup and authentication; 0 means 10 s.
	StartupTimeout time.Duration
	// MaxMessageBytes bounds a client message; 0 means 256 MiB.
	MaxMessageBytes int
	// StallTimeout ends a client that takes less than 64 KB of an answer in this
	// time, because it holds a server connection; 0 means 30 s.
	StallTimeout time.Duration
	// MockSecret seeds the salts shown to unknown users. All instances need the
	// same one, because a salt that differs between instances reveals that the
	// user does not exist. A random one is used when it is empty.
	MockSecret []byte

	Policy  Policy
	Tokens  TokenCodec
	Metrics Metrics
	Log     *logrus.Logger
	// ForwardCancel receives cancel requests for sessions of other instances.
	ForwardCancel func(pid uint32, secret []byte)
}

// Server accepts clients. All methods may be called by any goroutine.
type Server struct {
	cfg Config
	log *logrus.Entry

	// mu guards the fields below.
	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	sessions  map[uint32]*session
	draining  bool
	// emptied is closed when the last session ends during a drain.
	emptied chan struct{}
	// starting holds connections that have not authenticated yet.
	starting map[net.Conn]struct{}

	// parameters holds the ParameterStatus values last seen of each group
	// (string to map[string]string), which are shown to new clients.
	parameters sync.Map
}

// New returns a server that is not listening yet.
func New(cfg Config) (*Server, error) {
	if cfg.Policy == nil {
		return nil, errors.New("frontend: no policy")
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
		cfg:       cfg,
		log:       cfg.Log.WithFields(logrus.Fields{"instance": cfg.Instance, "zone": cfg.Zone}),
		listeners: map[net.Listener]struct{}{},
		sessions:  map[uint32]*session{},
		starting:  map[net.Conn]struct{}{},
		emptied:   make(chan struct{}),
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
		time.Sleep(acceptPause)
	}
}

// serveConn runs one client connection from startup to its end.
func (s *Server) serveConn(conn net.Conn) {
	if !s.track(conn) {
		conn.Close()
		return
	}
	sess, err := s.startup(conn)
	if err != nil || sess == nil {
		s.untrack(conn)
		if err != nil {
			s.log.WithError(err).Debug("startup ended")
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
	if err := sess.welcome(); err != nil {
		return
	}
	sess.serve()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.starting[conn] = struct{}{}
	}
	return !s.draining
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.starting, conn)
	s.mu.Unlock()
}

// register gives the session its cancel key and makes it visible to Recheck,
// Drain and Cancel.
func (s *Server) register(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starting, sess.raw)
	if s.draining {
		return false
	}
	var random [8]byte
	for {
		rand.Read(random[:])
		// Drivers show the process as a signed number.
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
		s.closeEmptied()
	}
}

// closeEmptied is called with mu held.
func (s *Server) closeEmptied() {
	select {
	case <-s.emptied:
	default:
		close(s.emptied)
	}
}

func (s *Server) snapshot() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, sess := range s.sessions {
		all = append(all, sess)
	}
	return all
}

// Sessions returns the number of authenticated sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Recheck applies the bundle in force to connected clients. Call it after each
// change of the bundle. It does not block on sessions.
func (s *Server) Recheck() {
	b := s.cfg.Policy.Bundle()
	for _, sess := range s.snapshot() {
		if err := sess.identity.check(b); err != nil {
			sess.stop(err, revokeGrace)
		}
	}
}

// drainKillWait is the time that sessions get to send their last message after
// the end of a drain.
const drainKillWait = time.Second

// Drain stops accepting, ends idle sessions and waits for open transactions to
// finish. When ctx ends first, the remaining sessions are ended and the error
// of ctx is returned.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for l := range s.listeners {
		l.Close()
	}
	for conn := range s.starting {
		conn.Close()
	}
	if len(s.sessions) == 0 {
		s.closeEmptied()
	}
	s.mu.Unlock()
	for _, sess := range s.snapshot() {
		sess.drain()
	}
	select {
	case <-s.emptied:
		return nil
	case <-ctx.Done():
	}
	for _, sess := range s.snapshot() {
		sess.stop(errShuttingDown(), 0)
	}
	select {
	case <-s.emptied:
	case <-time.After(drainKillWait):
		for _, sess := range s.snapshot() {
			sess.raw.Close()
		}
	}
	return ctx.Err()
}

func errShuttingDown() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ShuttingDown, "the instance is shutting down").AsFatal()
}
