package gateway

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// startupTimeout bounds the wait for a client's first message.
	startupTimeout = 3 * time.Second
	// closeWait is how long a close waits for what the client has sent meanwhile.
	closeWait = 100 * time.Millisecond
	// defaultStatementTimeout holds for routes that state none.
	defaultStatementTimeout = 2 * time.Second
)

// preparedStatement is a statement that the client has prepared.
type preparedStatement struct {
	isWrite bool
	shape   string
}

// session serves one client. Its goroutine owns all fields.
type session struct {
	gw      *Gateway
	client  Client
	startup Startup
	// values and prepared are what the client has set and prepared. Members learn
	// them when a statement needs them.
	values   map[string]string
	prepared map[string]preparedStatement
	// lastWrite is the position of the session's last commit, in group lastGroup.
	lastWrite group.Position
	lastGroup string
	state     statement.State
	tx        *transaction
	// relayed sessions run statements for a client of another instance. That one has
	// charged the workspace's limit unless chargeHere is set.
	relayed, chargeHere bool
}

// transaction is the client's open transaction.
type transaction struct {
	readOnly  bool
	route     *catalog.Route
	workspace *catalog.Workspace
	pool      *pool
	// conn is nil until the first statement.
	conn  *pooled
	wrote bool
	// peer runs the transaction under the number relayed; nil if it runs here.
	peer    *peer
	relayed uint64
	// uncharged says that the workspace's limit has not been charged yet.
	uncharged bool
}

// run serves the client until the session ends.
func (s *session) run(ctx context.Context) {
	defer s.end()
	startup, err := s.client.Startup(time.Now().Add(startupTimeout))
	if err != nil {
		if e := new(verdict.Error); errors.As(err, &e) {
			s.reject(e)
		}
		return
	}
	s.startup = startup
	if _, _, err := s.gw.authorize(startup); err != nil {
		s.reject(verdict.FromError(err))
		return
	}
	if s.client.Ready() != nil {
		return
	}
	for s.serveNext(ctx) {
	}
}

// reject refuses the session. The client's first message carries no id, so the
// answer names one under which the log has the refusal.
func (s *session) reject(e *verdict.Error) {
	rec := requestRecord{id: s.gw.startID(), database: s.startup.Database, kind: "start", err: e}
	rec.believes(s.gw)
	s.gw.requests.record(rec)
	answer := *e
	answer.Message += "; id " + rec.id
	if s.client.Reject(&answer) == nil {
		s.client.CloseGently(closeWait)
	}
}

// end rolls back what is open and closes the client's connection.
func (s *session) end() {
	s.abandon()
	_ = s.client.Close()
	s.gw.sessionEnded(s)
}

// serveNext reads and answers one statement. It returns false when the session
// is over.
func (s *session) serveNext(ctx context.Context) bool {
	var deadline time.Time
	if s.state == statement.InTransaction {
		deadline = s.gw.transactionDeadline(time.Now())
	}
	if !s.gw.enterIdle(s, &deadline) {
		s.client.CloseGently(closeWait)
		return false
	}
	st, err := s.client.Next(deadline)
	s.gw.leaveIdle(s)
	if err != nil {
		return s.readFailed(st, err)
	}
	return s.serve(ctx, st) == nil
}

// readFailed handles what is not a statement.
func (s *session) readFailed(st statement.Statement, err error) bool {
	e := new(verdict.Error)
	timeout := net.Error(nil)
	switch {
	case errors.As(err, &e):
		s.failTransaction()
		s.gw.requests.record(requestRecord{id: st.ID, database: s.startup.Database, kind: "malformed", err: e})
		return s.client.Fail(e, s.state) == nil && !e.Fatal
	case errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout()):
		if s.gw.isClosing() && s.state != statement.InTransaction {
			s.client.CloseGently(closeWait)
			return false
		}
		// An idle transaction gives its connection back; the next statement is told.
		s.failTransaction()
		return true
	default:
		return false
	}
}

// failTransaction rolls an open transaction back and leaves the session in the
// state in which only its end is accepted.
func (s *session) failTransaction() {
	if s.state == statement.InTransaction {
		s.abandon()
		s.state = statement.Failed
	}
}

// abandon rolls back the open transaction, if there is one.
func (s *session) abandon() {
	if s.tx == nil {
		return
	}
	if c := s.tx.conn; c != nil {
		s.tx.pool.rollback(c)
	}
	if s.tx.peer != nil {
		s.abandonRelayed(s.tx)
	}
	s.tx = nil
}

// serve answers one statement. An error means that the client has gone.
func (s *session) serve(ctx context.Context, st statement.Statement) error {
	started := time.Now()
	rec := requestRecord{id: st.ID, database: s.startup.Database, kind: st.Kind.String(), started: started}
	reply, err := s.execute(ctx, st, &rec)
	rec.took = time.Since(started)
	rec.believes(s.gw)
	if err == nil {
		s.gw.requests.record(rec)
		return s.client.Answer(reply, s.state)
	}
	e := verdict.FromError(err)
	rec.err = e
	s.gw.requests.record(rec)
	return s.client.Fail(e, s.state)
}

// execute runs or refuses one statement.
func (s *session) execute(ctx context.Context, st statement.Statement, rec *requestRecord) (statement.Reply, error) {
	if s.state == statement.Failed {
		return s.endFailed(st)
	}
	switch st.Kind {
	case statement.Set:
		if s.values == nil {
			s.values = map[string]string{}
		}
		s.values[st.Name] = st.Argument
		return statement.Reply{}, nil
	case statement.Prepare:
		if s.prepared == nil {
			s.prepared = map[string]preparedStatement{}
		}
		s.prepared[st.Name] = preparedStatement{st.IsWrite, st.Argument}
		return statement.Reply{}, nil
	case statement.Deallocate:
		if _, ok := s.prepared[st.Name]; !ok {
			return statement.Reply{}, s.unknownStatement()
		}
		delete(s.prepared, st.Name)
		return statement.Reply{}, nil
	case statement.Execute:
		if _, ok := s.prepared[st.Name]; !ok {
			return statement.Reply{}, s.unknownStatement()
		}
	}
	if s.tx != nil {
		return s.inTransaction(ctx, st, rec)
	}
	switch st.Kind {
	case statement.Begin:
		return s.beginTransaction(st, rec)
	case statement.Commit, statement.Rollback:
		return statement.Reply{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "no transaction is open")
	default:
		return s.single(ctx, st, rec)
	}
}

func (s *session) unknownStatement() error {
	s.failTransaction()
	return verdict.New(verdict.NotRun, verdict.NoSuchStatement, "no prepared statement of that name")
}

// endFailed answers a statement after an error in the transaction.
func (s *session) endFailed(st statement.Statement) (statement.Reply, error) {
	switch st.Kind {
	case statement.Rollback:
		s.state = statement.Idle
		return statement.Reply{}, nil
	case statement.Commit:
		s.state = statement.Idle
		return statement.Reply{}, verdict.New(verdict.NotRun, verdict.TransactionAborted, "the transaction has failed and is rolled back")
	default:
		return statement.Reply{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "the transaction has failed; end it first")
	}
}

// isWrite reports whether the statement writes.
func (s *session) isWrite(st statement.Statement) bool {
	return st.Kind == statement.Write || (st.Kind == statement.Execute && s.prepared[st.Name].isWrite)
}

// admit checks the client's key and finds the group's pool.
func (s *session) admit(rec *requestRecord) (*catalog.Route, *catalog.Workspace, *pool, error) {
	route, workspace, err := s.gw.authorize(s.startup)
	if err != nil {
		return nil, nil, nil, err
	}
	rec.route, rec.workspace = route.Name, workspace.Name
	p := s.gw.pool(route.Group)
	if p == nil {
		return nil, nil, nil, verdict.New(verdict.NotRun, verdict.NoPrimary, "group %s has no members", route.Group).WithRetryAfter(refusalHint)
	}
	return route, workspace, p, nil
}

// charge takes one operation from the workspace's limit.
func (s *session) charge(workspace *catalog.Workspace, rec *requestRecord) error {
	if s.relayed && !s.chargeHere {
		return nil
	}
	if ok, retryAfter, state := s.gw.limits.admit(workspace.Name); !ok {
		rec.limit = state
		return verdict.New(verdict.NotRun, verdict.RateLimitExceeded, "workspace %s is over its rate", workspace.Name).WithRetryAfter(retryAfter)
	}
	return nil
}

// chargesHere reports whether the limit is charged where the client is connected.
// Outside a group's serving set the owner charges it: a limit that is divided
// between many instances leaves each less than one operation.
func (s *session) chargesHere(p *pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.relayed || p.serves
}

func (s *session) beginTransaction(st statement.Statement, rec *requestRecord) (statement.Reply, error) {
	route, workspace, p, err := s.admit(rec)
	if err != nil {
		return statement.Reply{}, err
	}
	tx := &transaction{readOnly: st.ReadOnly, route: route, workspace: workspace, pool: p}
	if tx.uncharged = !s.chargesHere(p); !tx.uncharged {
		if err := s.charge(workspace, rec); err != nil {
			return statement.Reply{}, err
		}
	}
	s.tx, s.state = tx, statement.InTransaction
	return statement.Reply{}, nil
}

func statementTimeout(r *catalog.Route) time.Duration {
	if r.StatementTimeout <= 0 {
		return defaultStatementTimeout
	}
	return r.StatementTimeout
}
