package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// stalenessMargin is subtracted from a read's accepted staleness to allow
	// for the time that the read waits at the member after its floor was
	// chosen.
	stalenessMargin = 350 * time.Millisecond
	// maxPreparedPerConn bounds the prepared statements kept on a connection.
	maxPreparedPerConn = 64
	// readAttempts bounds how often one read is sent.
	readAttempts = 4
	// writeAttempts bounds how often a write that has not run is sent.
	writeAttempts = 4
	// busyRetryDelay is the delay before a member with a full queue is tried
	// again.
	busyRetryDelay = 15 * time.Millisecond
	// readAttemptTimeoutFactor times the route's target latency is how long a
	// read waits for a member before it is sent to another one, within the
	// bounds below.
	readAttemptTimeoutFactor                     = 2
	minReadAttemptTimeout, maxReadAttemptTimeout = 500 * time.Millisecond, 900 * time.Millisecond
	// minQueueWait is the minimum time that a request may wait for a
	// connection.
	minQueueWait = 100 * time.Millisecond
)

// maxQueueWait returns how long a request of the route may wait for a
// connection. A longer wait would miss the target latency; the client does
// better to use another instance or to retry later.
func maxQueueWait(r *catalog.Route) time.Duration { return max(r.TargetLatency, minQueueWait) }

func notRun(code verdict.Code, text string) *verdict.Error {
	return verdict.New(verdict.NotRun, code, "%s", text)
}

// operation is an authorized statement outside a transaction.
type operation struct {
	statement.Statement
	route     *catalog.Route
	workspace *catalog.Workspace
	pool      *pool
	deadline  time.Time
	rec       *requestRecord
	// member restricts the statement to one member; "" does not.
	member string
	// waited is how long the statement has waited at the instance that relayed it.
	waited time.Duration
}

// newConnRequest returns a request for a connection for a statement of the route that has
// waited elsewhere before. The priority counts only among the statements for one member.
func newConnRequest(route *catalog.Route, workspace, member string, deadline time.Time, waited time.Duration) *connRequest {
	req := &connRequest{
		workspace: workspace, member: member, deadline: deadline, maxWait: max(maxQueueWait(route)-waited, busyRetryDelay),
	}
	if member != "" {
		req.priority, req.target = route.Priority, time.Now().Add(route.TargetLatency-waited)
	}
	return req
}

func (op *operation) connRequest() *connRequest {
	return newConnRequest(op.route, op.workspace.Name, op.member, op.deadline, op.waited)
}

// executeSingle runs a statement outside a transaction.
func (s *session) executeSingle(ctx context.Context, st statement.Statement, rec *requestRecord) (statement.Reply, error) {
	route, workspace, p, err := s.resolveRoute(rec)
	if err != nil {
		return statement.Reply{}, err
	}
	if err := s.gw.acceptStatement(time.Now(), false); err != nil {
		return statement.Reply{}, err
	}
	deadline := s.gw.answerDeadline(time.Now().Add(statementTimeout(route) - s.waited))
	op := &operation{Statement: st, route: route, workspace: workspace, pool: p, deadline: deadline, rec: rec, member: s.member, waited: s.waited}
	if p.servingScope() == placement.ServingByMember && !s.isRelayed {
		return s.runAtMembers(ctx, op)
	}
	reply, err := s.runOrRelay(ctx, op)
	if err != nil && rec.attempts == 0 && rec.relay == "" && verdict.FromError(err).Code != verdict.RateLimitExceeded {
		s.gw.limits.refund(workspace.Name)
	}
	return reply, err
}

// runOrRelay runs a statement locally or at the workspace's owner.
func (s *session) runOrRelay(ctx context.Context, op *operation) (statement.Reply, error) {
	isWrite := s.isWrite(op.Statement)
	var to *peer
	if !s.isRelayed {
		to = s.gw.relayTarget(op.pool, &connRequest{workspace: op.workspace.Name, needsPrimary: isWrite || op.route.Consistency == catalog.Strict})
	}
	charged := to == nil || s.chargesLocally(op.pool)
	if charged {
		if err := s.chargeLimit(op.workspace, op.rec); err != nil {
			return statement.Reply{}, err
		}
	}
	if to != nil {
		if reply, err := s.relaySingle(ctx, to, op, !charged); !errors.Is(err, errNotRunAtPeer) {
			return reply, err
		}
		if !charged {
			if err := s.chargeLimit(op.workspace, op.rec); err != nil {
				return statement.Reply{}, err
			}
		}
	}
	if isWrite {
		return s.runWrite(ctx, op)
	}
	return s.runRead(ctx, op)
}

func (s *session) runWrite(ctx context.Context, op *operation) (statement.Reply, error) {
	p, req := op.pool, op.connRequest()
	req.needsPrimary, req.commits = true, true
	var last error
	for range writeAttempts {
		conn, err := p.acquire(ctx, req, op.rec)
		if err != nil {
			return statement.Reply{}, err
		}
		if !p.mayCommitAt(conn.memberID) {
			p.release(conn, true)
			continue // the next one is acquired once the fence has ended
		}
		op.rec.noteAttempt(conn)
		asked, sentAt := bootTime(), time.Now()
		reply, sent, err := s.send(conn, p, op.Statement, op.deadline)
		switch {
		case err == nil && reply.Err == nil:
			p.release(conn, true)
			if err := s.settleCommit(ctx, conn, p, reply.Position, sentAt, op.deadline); err != nil {
				return statement.Reply{}, err
			}
			p.recordLeadership(conn, asked, reply.Position)
			return reply, nil
		case err == nil:
			p.release(conn, true)
			last = reply.Err
			if !s.shouldRetryWrite(p, conn, reply.Err) {
				return statement.Reply{}, memberError(reply.Err)
			}
		default:
			p.release(conn, false)
			last = err
			if sent {
				return statement.Reply{}, verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "no answer from member %s", conn.memberID).WithCause(err)
			}
			if e := new(verdict.Error); errors.As(err, &e) {
				return statement.Reply{}, e
			}
		}
	}
	return statement.Reply{}, notRun(verdict.QueueFull, "no member accepted the write").WithRetryAfter(refusalRetryAfter).WithCause(last)
}

// shouldRetryWrite reports whether a write refused by a member should be sent
// again. It waits first if the member was busy.
func (s *session) shouldRetryWrite(p *pool, conn *pooledConn, e *statement.Error) bool {
	switch e.Code {
	case statement.ReadOnly:
		p.recordNotPrimary(conn.memberID)
		return true
	case statement.Busy:
		time.Sleep(busyRetryDelay)
		return true
	default:
		return false
	}
}

// settleCommit records the position of an acknowledged commit of this session, or returns an
// error if the commit may have been discarded.
func (s *session) settleCommit(ctx context.Context, conn *pooledConn, p *pool, at group.Position, sent, deadline time.Time) error {
	if err := p.settleCommit(ctx, conn.memberID, at, sent, deadline); err != nil {
		return err
	}
	s.commits.Record(p.name, at)
	s.committedGroup = p.name
	return nil
}

// readFloor returns the minimum position that a read of the route must see. It
// returns false if the primary must serve the read, because no recent position of the
// primary is known, or not all commits of the session are.
func (s *session) readFloor(route *catalog.Route, p *pool) (group.Position, bool) {
	own := group.Position{}
	if route.Consistency == catalog.ReadYourWrites {
		var known bool
		if own, known = s.commits.Floor(route.Group); !known {
			return group.Position{}, false
		}
	}
	floor, ok := p.floor(bootTime() + stalenessMargin - route.MaxStaleness)
	if !ok {
		p.awaitPosition()
		floor, ok = p.floor(bootTime() + stalenessMargin - route.MaxStaleness)
	}
	if own.Compare(floor) > 0 {
		floor = own
	}
	return floor, ok
}

// readAttempts returns how often the read is sent. If it is restricted to a replica, it is
// sent once, and the instance to which the client is connected tries another member.
func (op *operation) readAttempts() int {
	if op.member != "" && op.route.Consistency != catalog.Strict {
		return 1
	}
	return readAttempts
}

func (s *session) runRead(ctx context.Context, op *operation) (statement.Reply, error) {
	st, p, req := op.Statement, op.pool, op.connRequest()
	var last error
	for range op.readAttempts() {
		st.AfterPosition = group.Position{}
		floor, known := group.Position{}, false
		if op.route.Consistency != catalog.Strict {
			floor, known = s.readFloor(op.route, p)
		}
		req.needsPrimary = !known
		if known {
			st.AfterPosition = floor
		}
		conn, err := p.acquire(ctx, req, op.rec)
		if err != nil {
			if last != nil && len(req.excluded) > 0 {
				req.excluded = nil // every member has been tried: start over
				time.Sleep(busyRetryDelay)
				continue
			}
			return statement.Reply{}, err
		}
		op.rec.noteAttempt(conn)
		op.rec.floor = floor
		if req.needsPrimary {
			ok, err := s.proveLeadership(conn, p, st, op.deadline)
			if err != nil || !ok {
				unconfirmed := errors.Is(err, errUnconfirmed)
				p.release(conn, err == nil || unconfirmed)
				if unconfirmed {
					// Connections to the other members may be scarce for a moment.
					if time.Since(op.rec.started) > maxQueueWait(op.route) {
						return statement.Reply{}, p.unconfirmedError()
					}
					last = p.unconfirmedError()
					time.Sleep(busyRetryDelay)
					continue
				}
				if err == nil {
					p.recordNotPrimary(conn.memberID)
				}
				last = err
				continue
			}
		}
		reply, _, err := s.send(conn, p, st, readAttemptDeadline(op.route, op.deadline))
		if err == nil && reply.Err == nil {
			if known {
				p.resetReadBackoff(conn)
			}
			p.release(conn, true)
			return reply, nil
		}
		p.release(conn, err == nil)
		if e := new(verdict.Error); errors.As(err, &e) {
			return statement.Reply{}, e
		}
		last = err
		if err == nil {
			last = reply.Err
			if !req.needsPrimary {
				p.backOffReads(conn)
			}
		}
		if !req.needsPrimary {
			if req.excluded == nil {
				req.excluded = map[string]bool{}
			}
			req.excluded[conn.memberID] = true
		}
	}
	if e := new(verdict.Error); errors.As(last, &e) {
		return statement.Reply{}, e
	}
	if e := new(statement.Error); errors.As(last, &e) {
		return statement.Reply{}, memberError(e)
	}
	// A read has no effects, so "not run" is safe even if a member did run it.
	return statement.Reply{}, notRun(verdict.QueueFull, "no member answered the read").WithRetryAfter(refusalRetryAfter).WithCause(last)
}

// readAttemptDeadline returns the deadline for one attempt of a read.
func readAttemptDeadline(route *catalog.Route, deadline time.Time) time.Time {
	timeout := time.Duration(readAttemptTimeoutFactor * float64(route.TargetLatency))
	attempt := time.Now().Add(min(max(timeout, minReadAttemptTimeout), maxReadAttemptTimeout))
	if attempt.Before(deadline) {
		return attempt
	}
	return deadline
}

// proveLeadership verifies that the member is primary and applies the
// session's state to the connection in one round trip.
func (s *session) proveLeadership(conn *pooledConn, p *pool, st statement.Statement, deadline time.Time) (bool, error) {
	setup := s.setupStatements(conn, st)
	ok, err := p.proveLeadership(conn, deadline, setup...)
	if err == nil || errors.Is(err, errUnconfirmed) {
		s.recordSetup(conn, setup)
	}
	return ok, err
}

// send applies the session's state to the connection and sends the statement.
// sent reports whether the member may have received it. The client is
// authorized again because the request may have waited.
func (s *session) send(conn *pooledConn, p *pool, st statement.Statement, deadline time.Time) (reply statement.Reply, sent bool, err error) {
	if setup := s.setupStatements(conn, st); len(setup) > 0 {
		replies, err := p.exchange(conn, deadline, setup...)
		if err != nil {
			return statement.Reply{}, false, err
		}
		for _, r := range replies {
			if r.Err != nil {
				return statement.Reply{}, false, errors.Wrap(r.Err, "cannot apply session state")
			}
		}
		s.recordSetup(conn, setup)
	}
	if err := s.gw.authorizeFor(s.startup, conn.workspace); err != nil {
		return statement.Reply{}, false, err
	}
	if st.Kind == statement.Execute {
		st.Name = s.prepared[st.Name].memberName
	}
	attempt := s.beginAttempt(st)
	replies, err := p.exchange(conn, deadline, st)
	s.endAttempt(attempt, conn.workspace, replies, err)
	if err != nil {
		return statement.Reply{}, true, err
	}
	return replies[0], true, nil
}

// setupStatements returns the statements that apply the session's state to the
// connection.
func (s *session) setupStatements(conn *pooledConn, st statement.Statement) []statement.Statement {
	var out []statement.Statement
	reset := len(conn.prepared) >= maxPreparedPerConn
	for name := range conn.settings {
		if _, ok := s.settings[name]; !ok {
			reset = true
		}
	}
	if reset {
		out = append(out, statement.Statement{Kind: statement.Reset})
	}
	for name, value := range s.settings {
		if current, ok := conn.settings[name]; reset || !ok || current != value {
			out = append(out, statement.Statement{Kind: statement.Set, Name: name, Argument: value})
		}
	}
	if st.Kind == statement.Execute {
		prepared := s.prepared[st.Name]
		if reset || !conn.prepared[prepared.memberName] {
			out = append(out, statement.Statement{Kind: statement.Prepare, Name: prepared.memberName, IsWrite: prepared.isWrite, Argument: prepared.shape})
		}
	}
	return out
}

// recordSetup records what the connection holds after the setup statements.
func (s *session) recordSetup(conn *pooledConn, setup []statement.Statement) {
	for i := range setup {
		switch st := &setup[i]; st.Kind {
		case statement.Reset:
			conn.settings, conn.prepared = nil, map[string]bool{}
		case statement.Set:
			if conn.settings == nil {
				conn.settings = map[string]string{}
			}
			conn.settings[st.Name] = st.Argument
		case statement.Prepare:
			conn.prepared[st.Name] = true
		}
	}
}

// memberError converts a member's error to the client's error.
func memberError(e *statement.Error) *verdict.Error {
	code, v := verdict.OutcomeUnknown, verdict.MayHaveRun
	switch e.Code {
	case statement.Busy, statement.TooMany, statement.Misrouted:
		code, v = verdict.QueueFull, verdict.NotRun
	case statement.Lagging:
		code, v = verdict.ReplicaBehind, verdict.NotRun
	case statement.ReadOnly:
		code, v = verdict.NoPrimary, verdict.NotRun
	case statement.NoStatement:
		code, v = verdict.NoSuchStatement, verdict.NotRun
	case statement.Failure:
		code = verdict.StatementFailed
	case statement.Timeout:
		code = verdict.Cancelled
	}
	return verdict.New(v, code, "%s", e.Text).WithCause(e)
}
