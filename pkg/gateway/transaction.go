package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// rollbackTimeout bounds the wait for the answer to a rollback.
const rollbackTimeout = 500 * time.Millisecond

// inTransaction runs a statement of the open transaction.
func (s *session) inTransaction(ctx context.Context, st statement.Statement, rec *requestRecord) (statement.Reply, error) {
	tx := s.tx
	rec.route, rec.workspace = tx.route.Name, tx.workspace.Name
	switch st.Kind {
	case statement.Begin:
		s.failTransaction()
		return statement.Reply{}, notRun(verdict.ProtocolViolation, "a transaction is open already")
	case statement.Rollback:
		s.abandon()
		s.state = statement.Idle
		return statement.Reply{}, nil
	}
	// A key that was withdrawn ends the transaction; a change to the route does
	// not concern it.
	if _, _, err := s.gw.authorize(s.startup); err != nil && verdict.FromError(err).Code != verdict.NoSuchRoute {
		s.fail(st)
		return statement.Reply{}, err
	}
	if tx.readOnly && s.isWrite(st) {
		s.fail(st)
		return statement.Reply{}, notRun(verdict.ReadOnlyRoute, "the transaction is read-only")
	}
	if tx.peer == nil && tx.conn == nil && !s.relayed {
		a := &acquisition{workspace: tx.workspace.Name, primary: !tx.readOnly || tx.route.Consistency == catalog.Strict}
		if to := s.gw.relayTarget(tx.pool, a); to != nil {
			tx.peer, tx.relayed = to, transactions.Add(1)
			reply, err := s.relayInTransaction(ctx, st, true, rec)
			if !errors.Is(err, errNotRelayed) {
				return reply, err
			}
			tx.peer = nil
		}
	}
	if tx.uncharged && tx.peer == nil {
		tx.uncharged = false
		if err := s.charge(tx.workspace, rec); err != nil {
			s.fail(st)
			return statement.Reply{}, err
		}
	}
	if tx.peer != nil {
		return s.relayInTransaction(ctx, st, false, rec)
	}
	deadline := time.Now().Add(statementTimeout(tx.route))
	if tx.conn == nil {
		if err := s.attach(ctx, st, deadline, rec); err != nil {
			s.fail(st)
			return statement.Reply{}, err
		}
	}
	rec.attempt(tx.conn)
	tx.wrote = tx.wrote || s.isWrite(st)
	reply, sent, err := s.sendInTransaction(st, deadline)
	if err != nil {
		return statement.Reply{}, s.transactionBroke(st, sent, err)
	}
	if reply.Err != nil {
		return statement.Reply{}, s.transactionRefused(st, reply)
	}
	if st.Kind == statement.Commit {
		s.committed(reply)
	} else {
		tx.pool.pause(tx.conn)
	}
	return reply, nil
}

// fail ends the transaction after an error: a commit leaves the session idle,
// anything else leaves it failed.
func (s *session) fail(st statement.Statement) {
	s.failTransaction()
	if st.Kind == statement.Commit {
		s.state = statement.Idle
	}
}

// committed takes up a successful commit.
func (s *session) committed(reply statement.Reply) {
	tx := s.tx
	if tx.wrote {
		tx.pool.committed(reply.Position)
		s.wrote(tx.route.Group, reply.Position)
	}
	tx.pool.release(tx.conn, true)
	s.tx, s.state = nil, statement.Idle
}

// attach begins the transaction at a member.
func (s *session) attach(ctx context.Context, st statement.Statement, deadline time.Time, rec *requestRecord) error {
	tx := s.tx
	a := &acquisition{workspace: tx.workspace.Name, deadline: deadline, patience: patience(tx.route)}
	var last error
	for range readAttempts {
		begin := statement.Statement{Kind: statement.Begin}
		a.primary = true
		if tx.readOnly && tx.route.Consistency != catalog.Strict {
			if floor, known := s.readFloor(tx.route, tx.pool); known {
				begin.ReadOnly, begin.AfterPosition, a.primary = true, floor, false
				rec.floor = floor
			}
		}
		conn, err := tx.pool.acquire(ctx, a, rec)
		if err != nil {
			if last != nil && len(a.avoid) > 0 {
				a.avoid = nil
				time.Sleep(busyPause)
				continue
			}
			return err
		}
		done, err := s.beginAt(conn, begin, st, silenceDeadline(tx.route, deadline))
		if done {
			tx.conn = conn
			return nil
		}
		tx.pool.release(conn, err == nil || isAnswer(err))
		last = err
		if !a.primary {
			if a.avoid == nil {
				a.avoid = map[string]bool{}
			}
			a.avoid[conn.member.ID] = true
		}
	}
	return notRun(verdict.QueueFull, "no member took the transaction").WithRetryAfter(refusalHint).WithCause(last)
}

func isAnswer(err error) bool {
	e := new(statement.Error)
	return errors.As(err, &e)
}

// beginAt sends the beginning of the transaction, with the session's state.
func (s *session) beginAt(conn *pooled, begin, first statement.Statement, deadline time.Time) (bool, error) {
	p := s.tx.pool
	setup := s.setup(conn, first)
	asked := bootTime()
	replies, err := p.exchange(conn, deadline, append(setup, begin)...)
	if err != nil {
		return false, err
	}
	for _, r := range replies[:len(setup)] {
		if r.Err != nil {
			return false, errors.Newf("session state: %s", r.Err)
		}
	}
	s.applied(conn, setup)
	switch r := replies[len(setup)]; {
	case r.Err == nil:
		if !begin.ReadOnly {
			p.proved(conn, asked, r.Position)
		} else {
			p.servesReads(conn)
		}
		return true, nil
	case r.Err.Code == statement.ReadOnly:
		p.notPrimary(conn)
		return false, r.Err
	case r.Err.Code == statement.Lagging:
		p.avoidReads(conn)
		return false, r.Err
	default:
		return false, r.Err
	}
}

// sendInTransaction sends a statement on the transaction's connection.
func (s *session) sendInTransaction(st statement.Statement, deadline time.Time) (statement.Reply, bool, error) {
	return s.send(s.tx.conn, s.tx.pool, st, deadline)
}

// transactionBroke handles a statement without an answer. The connection is
// closed, which rolls back unless the commit has arrived.
func (s *session) transactionBroke(st statement.Statement, sent bool, cause error) error {
	member := s.tx.conn.member.ID
	s.tx.pool.release(s.tx.conn, false)
	wrote := s.tx.wrote
	s.tx.conn, s.tx = nil, nil
	s.state = statement.Failed
	if st.Kind == statement.Commit {
		s.state = statement.Idle
	}
	if e := new(verdict.Error); errors.As(cause, &e) {
		return e
	}
	if sent && wrote && st.Kind == statement.Commit {
		return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "no answer to the commit from member %s", member).WithCause(cause)
	}
	return verdict.New(verdict.NotRun, verdict.TransactionAborted, "no answer from member %s; the transaction is rolled back", member).WithCause(cause)
}

// transactionRefused handles a member's error, after which the transaction can
// only be rolled back.
func (s *session) transactionRefused(st statement.Statement, reply statement.Reply) error {
	e := memberError(reply.Err)
	if reply.Err.Code == statement.ReadOnly {
		s.tx.pool.notPrimary(s.tx.conn)
		e = verdict.New(verdict.NotRun, verdict.TransactionAborted, "member %s has lost the lead; the transaction is rolled back", s.tx.conn.member.ID)
	}
	if st.Kind == statement.Commit && !reply.Err.NotRun() {
		e = verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "the commit failed: %s", reply.Err.Text)
	}
	s.fail(st)
	return e
}

// rollback ends the transaction on a connection and gives the connection back
// once the member has answered.
func (p *pool) rollback(c *pooled) {
	go func() {
		replies, err := p.exchange(c, time.Now().Add(rollbackTimeout), statement.Statement{Kind: statement.Rollback})
		p.release(c, err == nil && replies[0].Err == nil)
	}()
}
