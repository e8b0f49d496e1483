package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// startupTimeout bounds the wait for a client's first message.
	startupTimeout = 3 * time.Second
	// closeDrainTimeout bounds how long closing a connection reads pending
	// client data.
	closeDrainTimeout = 100 * time.Millisecond
	// lateStatementWait is how long an instance that stops answers a statement that crosses
	// the end of its session. It covers one packet that is lost and sent again after 200 ms.
	lateStatementWait = 250 * time.Millisecond
	// defaultStatementTimeout applies to routes that set no statement timeout.
	defaultStatementTimeout = 2 * time.Second
)

// preparedStatement is a statement prepared by the client.
type preparedStatement struct {
	isWrite bool
	shape   string
	// memberName is the statement's name on connections to members.
	memberName string
}

// memberNameBytes is the number of bytes of the hash in memberName.
const memberNameBytes = 24

// newPreparedStatement derives the name on connections to members from the content, so that
// sessions share it and the names of different clients never collide. The hash must be
// cryptographic: with any other, a client can make up a statement that is taken for another
// client's.
func newPreparedStatement(isWrite bool, shape string) preparedStatement {
	kind := "mr"
	if isWrite {
		kind = "mw"
	}
	sum := sha256.Sum256([]byte(shape))
	return preparedStatement{isWrite, shape, kind + base64.RawURLEncoding.EncodeToString(sum[:memberNameBytes])}
}

// session serves one client. Its goroutine owns all fields.
type session struct {
	gw      *Gateway
	client  Client
	startup Startup
	// settings and prepared hold what the client has set and prepared. They
	// are sent to a member only when a statement needs them.
	settings map[string]string
	prepared map[string]preparedStatement
	commits  consistency.SessionCommits
	// committedGroup is the group of the commit that was recorded last.
	committedGroup string
	state          statement.State
	tx             *transaction
	// isRelayed is set for sessions that run statements for a client of
	// another instance. That instance has charged the workspace's limit unless
	// chargeRelayed is set.
	isRelayed, chargeRelayed bool
	// input is the memory of the present statement, if it is large.
	input inputHold
	// member is the member that the sender of a relayed statement has chosen, or "", and
	// waited is how long the statement has waited there.
	member string
	waited time.Duration
	// startedAttempts is the number of attempts that members began to run for the current
	// relayed statement, and lastStartedAt when the last one was sent, on the clock of
	// bootTime. Both are for the usage reports.
	startedAttempts uint32
	lastStartedAt   time.Duration
}

// transaction is the client's open transaction.
type transaction struct {
	readOnly  bool
	route     *catalog.Route
	workspace *catalog.Workspace
	pool      *pool
	// conn is nil until the first statement.
	conn       *pooledConn
	hasWritten bool
	// peer runs the transaction under the number relayID; nil if it runs
	// locally.
	peer    *peer
	relayID uint64
	// uncharged is set until the workspace's limit has been charged.
	uncharged bool
	// member restricts the transaction to one member; "" does not.
	member string
	// isCounted is set once a statement of the transaction has begun to run, and has been
	// counted for the usage reports.
	isCounted bool
}

// run serves the client until the session ends.
func (s *session) run(ctx context.Context) {
	defer s.close()
	startup, err := s.client.ReadStartup(time.Now().Add(startupTimeout))
	if err != nil {
		if e := new(verdict.Error); errors.As(err, &e) {
			s.reject(e)
		}
		return
	}
	s.startup = startup
	s.gw.noteProgress(s, running, "")
	if _, _, err := s.gw.authorize(startup); err != nil {
		s.reject(verdict.FromError(err))
		return
	}
	if err := s.gw.acceptTransaction(time.Now()); err != nil {
		s.reject(verdict.FromError(err))
		return
	}
	if s.client.Ready(s.state) != nil {
		return
	}
	if s.gw.statementMemory != nil {
		s.client.LimitInput(s.reserveInput)
	}
	defer s.input.release()
	for s.serveNext(ctx) {
	}
}

// reject refuses the session. The client's first message carries no request
// ID, so the response includes a generated one under which the refusal is
// logged.
func (s *session) reject(e *verdict.Error) {
	rec := requestRecord{id: s.gw.refusedStartID(), database: s.startup.Database, kind: "start", err: e}
	rec.noteConfiguration(s.gw)
	s.gw.requests.record(rec)
	answer := *e
	answer.Message += "; id " + rec.id
	if s.client.Reject(&answer) == nil {
		s.gw.removeSession(s)
		s.client.DrainAndClose(closeDrainTimeout)
	}
}

// close rolls back an open transaction and closes the client's connection.
func (s *session) close() {
	s.rollbackTransaction()
	_ = s.client.Close()
	s.gw.removeSession(s)
}

// serveNext reads and answers one statement. It returns false when the session
// is over.
func (s *session) serveNext(ctx context.Context) bool {
	var deadline time.Time
	if s.state == statement.InTransaction {
		deadline = s.gw.idleTransactionDeadline(time.Now())
	}
	if !s.gw.beginWait(s) {
		s.closeWaiting()
		return false
	}
	st, err := s.client.NextStatement(deadline)
	s.gw.noteProgress(s, running, st.ID)
	if err != nil {
		return s.handleReadError(st, err)
	}
	defer s.input.release()
	return s.serve(ctx, st) == nil
}

// closeWaiting ends a session that waits for a statement, since the instance stops. A
// statement that crosses the error on the way is not run: the error is its answer.
func (s *session) closeWaiting() {
	e := verdict.FromError(s.gw.shuttingDownError())
	if s.state != statement.Idle {
		e = shutdownAbortedError()
	}
	if s.client.Reject(e) != nil {
		return
	}
	st, err := s.client.NextStatement(time.Now().Add(lateStatementWait))
	if malformed := new(verdict.Error); err == nil || errors.As(err, &malformed) {
		s.failTransaction()
		if st.Kind == statement.Commit || st.Kind == statement.Rollback {
			s.state = statement.Idle
		}
		rec := requestRecord{id: st.ID, database: s.startup.Database, kind: st.Kind.String(), started: time.Now(), err: e}
		if s.finishAnswer(rec, func() error { return s.client.Ready(s.state) }) != nil {
			return
		}
	}
	s.client.DrainAndClose(closeDrainTimeout)
}

// handleReadError handles a malformed statement, a timeout or a broken
// connection. It returns false if the session is over.
func (s *session) handleReadError(st statement.Statement, err error) bool {
	e := new(verdict.Error)
	netErr := net.Error(nil)
	switch {
	case errors.As(err, &e):
		s.failTransaction()
		kind := "malformed"
		if e.Code == verdict.QueueFull {
			kind = "refused"
		}
		rec := requestRecord{id: st.ID, database: s.startup.Database, kind: kind, started: time.Now(), err: e}
		return s.answer(statement.Reply{}, rec) == nil && !e.Fatal
	case s.input.isOverdue(time.Now()):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout()):
		if schedule := s.gw.stopSchedule(); !schedule.AcceptsTransactions(time.Now()) && (s.state == statement.Idle || !schedule.AwaitsTransactions(time.Now())) {
			return true // serveNext closes the session unless a statement has arrived
		}
		// An idle transaction is rolled back to free its connection; the
		// client learns of it from the response to its next statement.
		s.failTransaction()
		return true
	default:
		return false
	}
}

// failTransaction rolls back an open transaction and puts the session into the
// failed state, in which only COMMIT and ROLLBACK are accepted.
func (s *session) failTransaction() {
	if s.state == statement.InTransaction {
		s.rollbackTransaction()
		s.state = statement.Failed
	}
}

// rollbackTransaction rolls back the open transaction, if there is one.
func (s *session) rollbackTransaction() {
	if s.tx == nil {
		return
	}
	if c := s.tx.conn; c != nil {
		s.tx.pool.rollbackAndRelease(c)
	}
	if s.tx.peer != nil {
		s.rollbackAtPeer(s.tx)
	}
	s.tx = nil
}

// serve runs and answers one statement. An error means that the client's
// connection is broken.
func (s *session) serve(ctx context.Context, st statement.Statement) error {
	started := time.Now()
	rec := requestRecord{id: st.ID, database: s.startup.Database, kind: st.Kind.String(), started: started}
	reply, err := s.execute(ctx, st, &rec)
	rec.took = time.Since(started)
	rec.noteConfiguration(s.gw)
	if err != nil {
		rec.err = verdict.FromError(err)
	}
	return s.answer(reply, rec)
}

// answer records the statement and writes its answer. An error means that the client has no
// complete answer.
func (s *session) answer(reply statement.Reply, rec requestRecord) error {
	return s.finishAnswer(rec, func() error {
		if rec.err == nil {
			return s.client.Answer(reply, s.state)
		}
		return s.client.AnswerError(rec.err, s.state)
	})
}

// finishAnswer records the statement and calls write, which writes its answer or the rest of
// it.
func (s *session) finishAnswer(rec requestRecord, write func() error) error {
	s.gw.noteProgress(s, answering, rec.id)
	s.gw.requests.record(rec)
	err := write()
	if err != nil {
		rec.undelivered = err
		s.gw.requests.record(rec)
	}
	return err
}

// execute runs or refuses one statement.
func (s *session) execute(ctx context.Context, st statement.Statement, rec *requestRecord) (statement.Reply, error) {
	if s.state == statement.Failed {
		return s.executeInFailed(st)
	}
	switch st.Kind {
	case statement.Set:
		if s.settings == nil {
			s.settings = map[string]string{}
		}
		s.settings[st.Name] = st.Argument
		return statement.Reply{}, nil
	case statement.Prepare:
		if s.prepared == nil {
			s.prepared = map[string]preparedStatement{}
		}
		s.prepared[st.Name] = newPreparedStatement(st.IsWrite, st.Argument)
		return statement.Reply{}, nil
	case statement.Deallocate:
		if _, ok := s.prepared[st.Name]; !ok {
			return statement.Reply{}, s.unknownStatementError()
		}
		delete(s.prepared, st.Name)
		return statement.Reply{}, nil
	case statement.Execute:
		if _, ok := s.prepared[st.Name]; !ok {
			return statement.Reply{}, s.unknownStatementError()
		}
	}
	if s.tx != nil {
		return s.executeInTransaction(ctx, st, rec)
	}
	switch st.Kind {
	case statement.Begin:
		return s.beginTransaction(st, rec)
	case statement.Commit, statement.Rollback:
		return statement.Reply{}, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "no transaction is open")
	default:
		return s.executeSingle(ctx, st, rec)
	}
}

func (s *session) unknownStatementError() error {
	s.failTransaction()
	return verdict.New(verdict.NotRun, verdict.NoSuchStatement, "no prepared statement with that name")
}

// executeInFailed answers a statement while the session's transaction has
// failed.
func (s *session) executeInFailed(st statement.Statement) (statement.Reply, error) {
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

// resolveRoute authorizes the client and returns its route, its workspace and
// the group's pool.
func (s *session) resolveRoute(rec *requestRecord) (*catalog.Route, *catalog.Workspace, *pool, error) {
	route, workspace, err := s.gw.authorize(s.startup)
	if err != nil {
		return nil, nil, nil, err
	}
	rec.route, rec.workspace = route.Name, workspace.Name
	p := s.gw.awaitPool(route.Group)
	if p == nil {
		return nil, nil, nil, verdict.New(verdict.NotRun, verdict.NoPrimary, "group %s has no members", route.Group).WithRetryAfter(refusalRetryAfter)
	}
	return route, workspace, p, nil
}

// chargeLimit charges one operation to the workspace's limit, unless the
// instance that relayed the statement has done so.
func (s *session) chargeLimit(workspace *catalog.Workspace, rec *requestRecord) error {
	if s.isRelayed && !s.chargeRelayed {
		return nil
	}
	if ok, retryAfter, state := s.gw.limits.admit(workspace.Name); !ok {
		rec.limit = state
		return verdict.New(verdict.NotRun, verdict.RateLimitExceeded, "workspace %s is over its rate", workspace.Name).WithRetryAfter(retryAfter)
	}
	return nil
}

// chargesLocally reports whether this instance charges the limit rather than
// the workspace's owner. Outside a group's serving set the owner charges it:
// divided between many instances, a limit would leave each less than one
// operation.
func (s *session) chargesLocally(p *pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.isRelayed || p.inServingSet
}

func (s *session) beginTransaction(st statement.Statement, rec *requestRecord) (statement.Reply, error) {
	if err := s.gw.acceptTransaction(time.Now()); err != nil {
		return statement.Reply{}, err
	}
	route, workspace, p, err := s.resolveRoute(rec)
	if err != nil {
		return statement.Reply{}, err
	}
	tx := &transaction{readOnly: st.ReadOnly, route: route, workspace: workspace, pool: p}
	if tx.uncharged = !s.chargesLocally(p); !tx.uncharged {
		if err := s.chargeLimit(workspace, rec); err != nil {
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
