package gateway

import (
	"context"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// rollbackTimeout bounds the wait for the response to a rollback.
const rollbackTimeout = 500 * time.Millisecond

// executeInTransaction runs a statement of the open transaction.
func (s *session) executeInTransaction(ctx context.Context, st statement.Statement, rec *requestRecord) (statement.Reply, error) {
	tx := s.tx
	rec.route, rec.workspace = tx.route.Name, tx.workspace.Name
	switch st.Kind {
	case statement.Begin:
		s.failTransaction()
		return statement.Reply{}, notRun(verdict.ProtocolViolation, "a transaction is open already")
	case statement.Rollback:
		s.rollbackTransaction()
		s.state = statement.Idle
		return statement.Reply{}, nil
	}
	if err := s.gw.acceptStatement(time.Now(), true); err != nil {
		s.endAfterError(st)
		return statement.Reply{}, err
	}
	// A key that was revoked or moved ends the transaction; a change of the route does
	// not affect it.
	if err := s.gw.authorizeFor(s.startup, tx.workspace.Name); err != nil && verdict.FromError(err).Code != verdict.NoSuchRoute {
		s.endAfterError(st)
		return statement.Reply{}, err
	}
	if tx.readOnly && s.isWrite(st) {
		s.endAfterError(st)
		return statement.Reply{}, notRun(verdict.ReadOnlyRoute, "the transaction is read-only")
	}
	switch byMember := tx.pool.servingScope() == placement.ServingByMember; {
	case tx.peer != nil || tx.conn != nil || s.isRelayed:
	case byMember:
		if reply, ran, err := s.beginAtMembers(ctx, st, rec); ran {
			return reply, err
		}
	default:
		req := &connRequest{workspace: tx.workspace.Name, needsPrimary: !tx.readOnly || tx.route.Consistency == catalog.Strict}
		if to := s.gw.relayTarget(tx.pool, req); to != nil {
			tx.peer, tx.relayID = to, lastRelayedTransaction.Add(1)
			reply, err := s.relayInTransaction(ctx, st, true, rec)
			if !errors.Is(err, errNotRunAtPeer) {
				return reply, err
			}
			tx.peer = nil
		}
	}
	if tx.uncharged && tx.peer == nil {
		tx.uncharged = false
		if err := s.chargeLimit(tx.workspace, rec); err != nil {
			s.endAfterError(st)
			return statement.Reply{}, err
		}
	}
	if tx.peer != nil {
		return s.relayInTransaction(ctx, st, false, rec)
	}
	deadline := s.gw.answerDeadline(time.Now().Add(statementTimeout(tx.route) - s.waited))
	if tx.conn == nil {
		if err := s.beginAtMember(ctx, st, deadline, rec); err != nil {
			s.endAfterError(st)
			return statement.Reply{}, err
		}
	}
	if st.Kind == statement.Commit && tx.hasWritten && !tx.pool.awaitCommitsAt(ctx, tx.conn.memberID, deadline) {
		member := tx.conn.memberID
		s.endAfterError(st)
		return statement.Reply{}, verdict.New(verdict.NotRun, verdict.TransactionAborted, "member %s is being replaced; the transaction is rolled back", member)
	}
	rec.noteAttempt(tx.conn)
	tx.hasWritten = tx.hasWritten || s.isWrite(st)
	sentAt := time.Now()
	reply, sent, err := s.sendInTransaction(st, deadline)
	if err != nil {
		return statement.Reply{}, s.handleLostAnswer(st, sent, err)
	}
	if reply.Err != nil {
		return statement.Reply{}, s.handleMemberError(st, reply)
	}
	if st.Kind == statement.Commit {
		if err := s.finishCommit(ctx, reply, sentAt, deadline); err != nil {
			return statement.Reply{}, err
		}
	} else {
		tx.pool.markIdleInTransaction(tx.conn)
	}
	return reply, nil
}

// endAfterError ends the transaction after an error. A commit leaves the
// session idle, any other statement leaves it failed.
func (s *session) endAfterError(st statement.Statement) {
	s.failTransaction()
	if st.Kind == statement.Commit {
		s.state = statement.Idle
	}
}

// finishCommit releases the connection after a successful commit and records the commit.
func (s *session) finishCommit(ctx context.Context, reply statement.Reply, sent, deadline time.Time) error {
	tx := s.tx
	s.tx, s.state = nil, statement.Idle
	tx.pool.release(tx.conn, true)
	if !tx.hasWritten {
		return nil
	}
	return s.settleCommit(ctx, tx.conn, tx.pool, reply.Position, sent, deadline)
}

// beginAtMember acquires a connection and begins the transaction on it,
// retrying on other members.
func (s *session) beginAtMember(ctx context.Context, st statement.Statement, deadline time.Time, rec *requestRecord) error {
	tx := s.tx
	req := newConnRequest(tx.route, tx.workspace.Name, tx.member, deadline, s.waited)
	var last error
	useFloor := tx.route.Consistency != catalog.Strict
	for range readAttempts {
		begin := statement.Statement{Kind: statement.Begin}
		req.needsPrimary, req.commits = true, !tx.readOnly
		if useFloor {
			if floor, known := s.readFloor(tx.route, tx.pool); known {
				begin.AfterPosition, rec.floor = floor, floor
				begin.ReadOnly, req.needsPrimary = tx.readOnly, !tx.readOnly
			}
		}
		conn, err := tx.pool.acquire(ctx, req, rec)
		if err != nil {
			if last != nil && len(req.excluded) > 0 {
				req.excluded = nil
				time.Sleep(busyRetryDelay)
				continue
			}
			return err
		}
		begun, err := s.sendBegin(conn, begin, st, readAttemptDeadline(tx.route, deadline))
		if begun {
			tx.conn = conn
			return nil
		}
		if errors.Is(err, errUnconfirmed) {
			tx.pool.rollbackAndRelease(conn)
			return tx.pool.unconfirmedError()
		}
		tx.pool.release(conn, err == nil || isMemberError(err))
		last = err
		if req.needsPrimary {
			// Either this member has been replaced, or the floor includes commits that a
			// promotion rolled back: a leadership check tells.
			useFloor = useFloor && !isLagging(err)
			continue
		}
		if req.excluded == nil {
			req.excluded = map[string]bool{}
		}
		req.excluded[conn.memberID] = true
	}
	return notRun(verdict.QueueFull, "no member accepted the transaction").WithRetryAfter(refusalRetryAfter).WithCause(last)
}

func isLagging(err error) bool {
	e := new(statement.Error)
	return errors.As(err, &e) && e.Code == statement.Lagging
}

func isMemberError(err error) bool {
	e := new(statement.Error)
	return errors.As(err, &e)
}

// sendBegin begins the transaction on the connection, together with the
// session's state. It reports whether the transaction has begun.
func (s *session) sendBegin(conn *pooledConn, begin, first statement.Statement, deadline time.Time) (bool, error) {
	p := s.tx.pool
	setup := s.setupStatements(conn, first)
	asked := bootTime()
	// A floor already rules out a former primary, whose log ends before it.
	var check *leadershipCheck
	if !begin.ReadOnly && begin.AfterPosition.IsZero() {
		check = p.checkLeadership(conn.memberID, conn.workspace)
	}
	replies, err := p.exchange(conn, deadline, append(setup, begin)...)
	if err != nil {
		return false, err
	}
	for _, r := range replies[:len(setup)] {
		if r.Err != nil {
			return false, errors.Newf("cannot apply session state: %s", r.Err)
		}
	}
	s.recordSetup(conn, setup)
	switch r := replies[len(setup)]; {
	case r.Err == nil:
		if check != nil {
			switch check.wait(deadline) {
			case promotion.Superseded:
				p.recordNotPrimary(conn.memberID)
				return false, errUnconfirmed
			case promotion.Unconfirmed:
				return false, errUnconfirmed
			}
			p.recordLeadership(conn, asked, r.Position)
		}
		if begin.ReadOnly {
			p.resetReadBackoff(conn)
		}
		return true, nil
	case r.Err.Code == statement.ReadOnly:
		p.recordNotPrimary(conn.memberID)
		return false, r.Err
	case r.Err.Code == statement.Lagging:
		if begin.ReadOnly {
			p.backOffReads(conn)
		}
		return false, r.Err
	default:
		return false, r.Err
	}
}

// sendInTransaction sends a statement on the transaction's connection.
func (s *session) sendInTransaction(st statement.Statement, deadline time.Time) (statement.Reply, bool, error) {
	return s.send(s.tx.conn, s.tx.pool, st, deadline)
}

// handleLostAnswer handles a statement that got no response. Closing the
// connection rolls back the transaction unless a commit arrived before.
func (s *session) handleLostAnswer(st statement.Statement, sent bool, cause error) error {
	member := s.tx.conn.memberID
	s.tx.pool.release(s.tx.conn, false)
	wrote := s.tx.hasWritten
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

// handleMemberError handles a member's error, after which the transaction can
// only be rolled back.
func (s *session) handleMemberError(st statement.Statement, reply statement.Reply) error {
	e := memberError(reply.Err)
	if reply.Err.Code == statement.ReadOnly {
		s.tx.pool.recordNotPrimary(s.tx.conn.memberID)
		e = verdict.New(verdict.NotRun, verdict.TransactionAborted, "member %s is no longer primary; the transaction is rolled back", s.tx.conn.memberID)
	}
	if st.Kind == statement.Commit && !reply.Err.NotRun() {
		e = verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "the commit failed: %s", reply.Err.Text)
	}
	s.endAfterError(st)
	return e
}

// rollbackAndRelease rolls back the transaction on a connection in the
// background and releases the connection.
func (p *pool) rollbackAndRelease(c *pooledConn) {
	go func() {
		replies, err := p.exchange(c, time.Now().Add(rollbackTimeout), statement.Statement{Kind: statement.Rollback})
		p.release(c, err == nil && replies[0].Err == nil)
	}()
}
