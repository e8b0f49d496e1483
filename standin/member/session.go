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

// session is one client or control connection.
type session struct {
	m       *Member
	id      uint32
	secret  []byte
	conn    net.Conn
	be      *pgproto3.Backend
	control bool
	// path is the file of db, which is nil on a control connection.
	path   string
	db     *database
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the session has released everything.
	done chan struct{}

	settings settings
	tx       transaction
	prepared map[string]*prepared
	portals  map[string]*portal
	// pending is the size of the buffered rows in bytes.
	pending int
	// skipping is true after an error in the extended protocol, until Sync.
	skipping bool

	mu sync.Mutex
	// stop cancels the statement in progress, if there is one.
	stop context.CancelFunc
}

// errDropped ends a session without another word to the client.
var errDropped = errors.New("connection dropped")

// flushAbove is the size of buffered answers above which they are sent.
const flushAbove = 64 << 10

func (m *Member) acceptClients() {
	for {
		conn, err := m.clients.Accept()
		if err != nil {
			return
		}
		m.work.Go(func() { m.serve(conn) })
	}
}

func (m *Member) serve(raw net.Conn) {
	conn := delayed(raw, m.opts.NetworkDelay)
	defer closeOnDone(m.ctx, conn)()
	reader := conn
	if m.opts.Record {
		reader = m.faults.record(conn)
	}
	s := &session{
		m: m, conn: conn, be: pgproto3.NewBackend(reader, conn), done: make(chan struct{}),
		prepared: map[string]*prepared{}, portals: map[string]*portal{},
	}
	s.ctx, s.cancel = context.WithCancel(m.ctx)
	defer s.cancel()
	startup, err := s.receiveStartup()
	if err != nil || startup == nil {
		return
	}
	if m.opts.Record {
		m.faults.recordStartup(startup)
	}
	s.control = startup[group.ParamControl] == "on"
	incarnation, err := s.register()
	if err == nil {
		defer s.unregister()
		err = s.openDatabase()
	}
	if err != nil {
		s.be.Send(asPGError(err).response())
		_ = s.flush()
		return
	}
	if err := s.open(startup, incarnation); err != nil {
		return
	}
	s.loop()
}

// receiveStartup answers encryption requests with 'N', acts on a cancel request
// and returns the startup parameters. They are nil after a cancel request.
func (s *session) receiveStartup() (map[string]string, error) {
	for {
		msg, err := s.be.ReceiveStartupMessage()
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

// cancelStatement cancels the statement that the session runs, if the key fits.
func (m *Member) cancelStatement(id uint32, secret []byte) {
	m.mu.Lock()
	s := m.sessions[id]
	m.mu.Unlock()
	if s == nil || string(s.secret) != string(secret) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		s.stop()
	}
}

// register admits the session and returns the incarnation that it sees.
func (s *session) register() (uint64, error) {
	m := s.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.control {
		if m.rebuilding {
			return 0, fatalError(codeCannotConnectNow, "the database system is being rebuilt")
		}
		ordinary := 0
		for _, other := range m.sessions {
			if !other.control {
				ordinary++
			}
		}
		if ordinary >= m.opts.MaxConnections {
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

// openDatabase opens the database that the session found when it registered. A
// rebuild waits for registered sessions, so the file stays. Opening takes
// milliseconds, so it must not hold up the control calls, which need mu.
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

// unregister rolls back and releases what the session holds.
func (s *session) unregister() {
	s.abandonTransaction()
	if s.db != nil {
		s.db.close()
	}
	s.m.mu.Lock()
	delete(s.m.sessions, s.id)
	s.m.mu.Unlock()
	close(s.done)
}

// terminate breaks the connection and cancels what it runs.
func (s *session) terminate() {
	s.cancel()
	_ = s.conn.Close()
}

// open authenticates without a password and reports the initial parameters.
func (s *session) open(startup map[string]string, incarnation uint64) error {
	if err := s.payConnectCost(); err != nil {
		return err
	}
	s.settings = newSettings(startup)
	s.be.Send(&pgproto3.AuthenticationOk{})
	for _, name := range reportedParameters {
		s.be.Send(&pgproto3.ParameterStatus{Name: name, Value: s.settings.value(strings.ToLower(name))})
	}
	s.be.Send(&pgproto3.ParameterStatus{Name: group.ParamIncarnation, Value: strconv.FormatUint(incarnation, 10)})
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secret})
	return s.ready()
}

// payConnectCost takes the time that opening a connection costs. Connections
// are opened one at a time, so a burst of them takes the sum of their costs.
func (s *session) payConnectCost() error {
	if s.control || s.m.opts.ConnectCost <= 0 {
		return nil
	}
	select {
	case s.m.opening <- struct{}{}:
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	defer func() { <-s.m.opening }()
	select {
	case <-time.After(s.m.opts.ConnectCost):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// send buffers a message and sends what is buffered once it is large.
func (s *session) send(msg pgproto3.BackendMessage) error {
	s.be.Send(msg)
	if row, ok := msg.(*pgproto3.DataRow); ok {
		for _, v := range row.Values {
			s.pending += len(v)
		}
		s.pending += len(row.Values)*4 + 7
	}
	if s.pending < flushAbove {
		return nil
	}
	return s.flush()
}

func (s *session) flush() error {
	s.pending = 0
	if err := s.m.faults.awaitAnswers(s.ctx); err != nil {
		return &connectionError{err}
	}
	if err := s.be.Flush(); err != nil {
		return &connectionError{err}
	}
	return nil
}

// ready ends an answer.
func (s *session) ready() error {
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	return s.flush()
}

// loop serves messages until the connection ends.
func (s *session) loop() {
	for {
		msg, err := s.be.Receive()
		if err != nil {
			if s.ctx.Err() == nil && isMalformed(err) {
				s.be.Send(fatalError(codeProtocolViolation, "%s", err.Error()).response())
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

// isMalformed reports whether an error of Receive is about the message and not
// about the connection.
func isMalformed(err error) bool {
	var network net.Error
	return !errors.As(err, &network) && !errors.Is(err, net.ErrClosed) &&
		!strings.Contains(err.Error(), "EOF")
}

func (s *session) handle(msg pgproto3.FrontendMessage) error {
	if query, ok := msg.(*pgproto3.Query); ok {
		return s.simpleQuery(query.String)
	}
	return s.extended(msg)
}

// beginStatement returns the context of a statement, which a cancel request ends.
func (s *session) beginStatement() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.stop = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.stop = nil
		s.mu.Unlock()
		cancel()
	}
}

// acquireSlot waits for the right to run a statement.
func (s *session) acquireSlot(ctx context.Context) (func(), error) {
	select {
	case s.m.slots <- struct{}{}:
		return func() { <-s.m.slots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// reportPosition tells the client the position of a commit. It fails if the
// answer is to be lost.
func (s *session) reportPosition(p group.Position) error {
	if p.IsZero() {
		return nil
	}
	if s.m.faults.losesAnswer() {
		return errDropped
	}
	return s.send(&pgproto3.ParameterStatus{Name: group.ParamPosition, Value: p.String()})
}
