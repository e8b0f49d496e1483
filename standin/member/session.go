package member

import (
	"context"
	"crypto/rand"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// session serves one client connection or control connection.
type session struct {
	m       *Member
	id      uint32
	secret  []byte
	conn    net.Conn
	backend *pgproto3.Backend
	control bool
	// path is the database file of db. db is nil on a control connection.
	path   string
	db     *database
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the session has released all its resources.
	done chan struct{}

	settings settings
	tx       transaction
	prepared map[string]*preparedStatement
	portals  map[string]*portal
	// bufferedBytes is the size of the row messages that are not flushed yet.
	bufferedBytes int
	// skippingToSync is true after an error in the extended query protocol: messages
	// are then discarded until Sync.
	skippingToSync bool

	// mu guards cancelRunning, which cancels the running statement and is nil if
	// there is none.
	mu            sync.Mutex
	cancelRunning context.CancelFunc
}

// errConnectionDropped ends a session without any further message to the client.
var errConnectionDropped = errors.New("connection dropped")

// flushThresholdBytes is the size of buffered rows from which on they are sent.
const flushThresholdBytes = 64 << 10

func (m *Member) acceptClients() {
	for {
		conn, err := m.clientListener.Accept()
		if err != nil {
			return
		}
		m.goroutines.Go(func() { m.serve(conn) })
	}
}

func (m *Member) serve(raw net.Conn) {
	conn := newDelayedConn(raw, m.opts.NetworkDelay)
	defer closeOnDone(m.ctx, conn)()
	reader := conn
	if m.opts.RecordTraffic {
		reader = m.faults.newRecorder(conn)
	}
	s := &session{
		m: m, conn: conn, backend: pgproto3.NewBackend(reader, conn), done: make(chan struct{}),
		prepared: map[string]*preparedStatement{}, portals: map[string]*portal{},
	}
	s.ctx, s.cancel = context.WithCancel(m.ctx)
	defer s.cancel()
	startup, err := s.receiveStartup()
	if err != nil || startup == nil {
		return
	}
	if m.opts.RecordTraffic {
		m.faults.recordStartup(startup)
	}
	s.control = startup[group.ParamControl] == "on"
	incarnation, err := s.register()
	if err == nil {
		defer s.unregister()
		err = s.openDatabase()
	}
	if err != nil {
		s.backend.Send(asPGError(err).response())
		_ = s.flush()
		return
	}
	if err := s.completeStartup(startup, incarnation); err != nil {
		return
	}
	s.serveMessages()
}

// receiveStartup returns the startup parameters, or nil after a cancel request, which
// it executes. It rejects requests for encryption.
func (s *session) receiveStartup() (map[string]string, error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			s.m.cancelStatement(msg.ProcessID, msg.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return maps.Clone(msg.Parameters), nil
		}
	}
}

// cancelStatement cancels the running statement of the session with the given ID and
// secret key.
func (m *Member) cancelStatement(id uint32, secret []byte) {
	m.mu.Lock()
	s := m.sessions[id]
	m.mu.Unlock()
	if s == nil || string(s.secret) != string(secret) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelRunning != nil {
		s.cancelRunning()
	}
}

// register adds the session to the member's sessions, if the connection limit allows
// it, and returns the incarnation of the database that the session will open.
func (s *session) register() (uint64, error) {
	m := s.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.control {
		if m.rebuilding {
			return 0, fatalError(codeCannotConnectNow, "the database system is being rebuilt")
		}
		clients := 0
		for _, other := range m.sessions {
			if !other.control {
				clients++
			}
		}
		if clients >= m.opts.MaxConnections {
			return 0, fatalError(codeTooManyConnections, "sorry, too many clients already")
		}
		s.path = m.databasePath()
	}
	m.nextID++
	s.id = m.nextID
	s.secret = make([]byte, 4)
	_, _ = rand.Read(s.secret)
	m.sessions[s.id] = s
	return m.state.Incarnation, nil
}

// openDatabase opens the database file that was current when the session registered.
// A rebuild waits for registered sessions before it removes the file. Opening takes
// milliseconds, so it happens without Member.mu, which control calls need.
func (s *session) openDatabase() error {
	if s.control {
		return nil
	}
	db, err := openDatabase(s.path)
	if err != nil {
		return fatalError(codeInternal, "%s", err.Error())
	}
	s.db = db
	return nil
}

// unregister rolls back the open transaction and releases the session's resources.
func (s *session) unregister() {
	s.discardTransaction()
	if s.db != nil {
		s.db.close()
	}
	s.m.mu.Lock()
	delete(s.m.sessions, s.id)
	s.m.mu.Unlock()
	close(s.done)
}

// terminate closes the connection and cancels the running statement.
func (s *session) terminate() {
	s.cancel()
	_ = s.conn.Close()
}

// completeStartup accepts the client without authentication and reports the initial
// parameters.
func (s *session) completeStartup(startup map[string]string, incarnation uint64) error {
	if err := s.waitConnectCost(); err != nil {
		return err
	}
	s.settings = newSettings(startup)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, name := range reportedParameters {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: s.settings.value(strings.ToLower(name))})
	}
	s.backend.Send(&pgproto3.ParameterStatus{Name: group.ParamIncarnation, Value: strconv.FormatUint(incarnation, 10)})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secret})
	return s.sendReady()
}

// waitConnectCost waits for the simulated cost of a new connection. Connections are
// opened one at a time, so a burst of them takes the sum of their costs.
func (s *session) waitConnectCost() error {
	if s.control || s.m.opts.ConnectCost <= 0 {
		return nil
	}
	select {
	case s.m.connectTurn <- struct{}{}:
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	defer func() { <-s.m.connectTurn }()
	select {
	case <-time.After(s.m.opts.ConnectCost):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// send buffers a message and flushes the buffer once it holds flushThresholdBytes.
func (s *session) send(msg pgproto3.BackendMessage) error {
	s.backend.Send(msg)
	if row, ok := msg.(*pgproto3.DataRow); ok {
		for _, v := range row.Values {
			s.bufferedBytes += len(v)
		}
		s.bufferedBytes += len(row.Values)*4 + 7
	}
	if s.bufferedBytes < flushThresholdBytes {
		return nil
	}
	return s.flush()
}

func (s *session) flush() error {
	s.bufferedBytes = 0
	if err := s.m.faults.awaitResumed(s.ctx); err != nil {
		return &connectionError{err}
	}
	if err := s.backend.Flush(); err != nil {
		return &connectionError{err}
	}
	return nil
}

// sendReady sends ReadyForQuery, which ends the response, and flushes.
func (s *session) sendReady() error {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	return s.flush()
}

// serveMessages handles the client's messages until the connection ends.
func (s *session) serveMessages() {
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			if s.ctx.Err() == nil && isMalformed(err) {
				s.backend.Send(fatalError(codeProtocolViolation, "%s", err.Error()).response())
				_ = s.flush()
			}
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handle(msg); err != nil {
			return
		}
	}
}

// isMalformed reports whether an error of Receive was caused by a malformed message
// and not by the connection.
func isMalformed(err error) bool {
	var network net.Error
	return !errors.As(err, &network) && !errors.Is(err, net.ErrClosed) &&
		!strings.Contains(err.Error(), "EOF")
}

func (s *session) handle(msg pgproto3.FrontendMessage) error {
	if query, ok := msg.(*pgproto3.Query); ok {
		return s.simpleQuery(query.String)
	}
	return s.handleExtended(msg)
}

// beginStatement returns the context of a statement, which a cancel request cancels,
// and a function that must be called when the statement has ended.
func (s *session) beginStatement() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancelRunning = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancelRunning = nil
		s.mu.Unlock()
		cancel()
	}
}

// acquireSlot waits until fewer than Options.Slots statements run. The returned
// function releases the slot.
func (s *session) acquireSlot(ctx context.Context) (func(), error) {
	select {
	case s.m.slots <- struct{}{}:
		return func() { <-s.m.slots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// reportPosition sends the log position of a commit to the client, unless it is zero.
// It fails if the response to this commit is to be dropped.
func (s *session) reportPosition(p group.Position) error {
	if p.IsZero() {
		return nil
	}
	if s.m.faults.dropsResponse() {
		return errConnectionDropped
	}
	return s.send(&pgproto3.ParameterStatus{Name: group.ParamPosition, Value: p.String()})
}
