package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// stalenessMargin is taken off the age that a read accepts, for the time that
	// the read waits at the member after the choice of its floor.
	stalenessMargin = 350 * time.Millisecond
	// maxPrepared bounds the prepared statements that a connection keeps.
	maxPrepared = 64
	// readAttempts bounds how often one read is sent.
	readAttempts = 4
	// writeAttempts bounds how often a write that has not run is sent.
	writeAttempts = 4
	// busyPause separates attempts at a member whose queue is full.
	busyPause = 15 * time.Millisecond
	// silenceFactor times the target latency is how long an attempt of a read
	// waits for an answer before another member is asked, within the bounds.
	silenceFactor              = 2
	minSilence, maxReadSilence = 500 * time.Millisecond, 900 * time.Millisecond
	// minPatience is the least time that a request may wait for a connection.
	minPatience = 100 * time.Millisecond
)

// patience returns how long a request of the route may wait for a connection:
// one that waits longer misses its target latency, and its client is better
// served by another instance or a little later.
func patience(r *catalog.Route) time.Duration { return max(r.TargetLatency, minPatience) }

func notRun(code verdict.Code, text string) *verdict.Error {
	return verdict.New(verdict.NotRun, code, "%s", text)
}

// operation is a statement outside a transaction that has been admitted.
type operation struct {
	statement.Statement
	route     *catalog.Route
	workspace *catalog.Workspace
	pool      *pool
	deadline  time.Time
	rec       *requestRecord
}

func (o *operation) acquisition() *acquisition {
	return &acquisition{workspace: o.workspace.Name, deadline: o.deadline, patience: patience(o.route)}
}

// single runs a statement outside a transaction.
func (s *session) single(ctx context.Context, st statement.Statement, rec *requestRecord) (statement.Reply, error) {
	route, workspace, p, err := s.admit(rec)
	if err != nil {
		return statement.Reply{}, err
	}
	deadline := time.Now().Add(statementTimeout(route))
	reply, err := s.place(ctx, &operation{st, route, workspace, p, deadline, rec})
	if err != nil && rec.attempts == 0 && rec.relay == "" && verdict.FromError(err).Code != verdict.RateLimitExceeded {
		s.gw.limits.refund(workspace.Name)
	}
	return reply, err
}

// place runs a statement here or at the workspace's owner.
func (s *session) place(ctx context.Context, o *operation) (statement.Reply, error) {
	isWrite := s.isWrite(o.Statement)
	var to *peer
	if !s.relayed {
		to = s.gw.relayTarget(o.pool, &acquisition{workspace: o.workspace.Name, primary: isWrite || o.route.Consistency == catalog.Strict})
	}
	charged := to == nil || s.chargesHere(o.pool)
	if charged {
		if err := s.charge(o.workspace, o.rec); err != nil {
			return statement.Reply{}, err
		}
	}
	if to != nil {
		if reply, err := s.relaySingle(ctx, to, o, !charged); !errors.Is(err, errNotRelayed) {
			return reply, err
		}
		if !charged {
			if err := s.charge(o.workspace, o.rec); err != nil {
				return statement.Reply{}, err
			}
		}
	}
	if isWrite {
		return s.singleWrite(ctx, o)
	}
	return s.singleRead(ctx, o)
}

func (s *session) singleWrite(ctx context.Context, o *operation) (statement.Reply, error) {
	p, a := o.pool, o.acquisition()
	a.primary = true
	var last error
	for range writeAttempts {
		conn, err := p.acquire(ctx, a, o.rec)
		if err != nil {
			return statement.Reply{}, err
		}
		o.rec.attempt(conn)
		asked := bootTime()
		reply, sent, err := s.send(conn, p, o.Statement, o.deadline)
		switch {
		case err == nil && reply.Err == nil:
			p.committed(reply.Position)
			p.proved(conn, asked, reply.Position)
			s.wrote(o.route.Group, reply.Position)
			p.release(conn, true)
			return reply, nil
		case err == nil:
			p.release(conn, true)
			last = reply.Err
			if !s.retryWrite(p, conn, reply.Err) {
				return statement.Reply{}, memberError(reply.Err)
			}
		default:
			p.release(conn, false)
			last = err
			if sent {
				return statement.Reply{}, verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "no answer from member %s", conn.member.ID).WithCause(err)
			}
			if e := new(verdict.Error); errors.As(err, &e) {
				return statement.Reply{}, e
			}
		}
	}
	return statement.Reply{}, notRun(verdict.QueueFull, "the write was not taken").WithRetryAfter(refusalHint).WithCause(last)
}

// retryWrite reports whether a write that a member refused may go elsewhere.
func (s *session) retryWrite(p *pool, conn *pooled, e *statement.Error) bool {
	switch e.Code {
	case statement.ReadOnly:
		p.notPrimary(conn)
		return true
	case statement.Busy:
		time.Sleep(busyPause)
		return true
	default:
		return false
	}
}

func (s *session) wrote(groupName string, at group.Position) {
	s.lastWrite, s.lastGroup = at, groupName
}

// readFloor returns the position that a read of the route must see. It reports
// false if no recent position of the primary is known.
func (s *session) readFloor(route *catalog.Route, p *pool) (group.Position, bool) {
	since := bootTime() + stalenessMargin - route.MaxStaleness
	floor, ok := p.floor(since)
	if route.Consistency == catalog.ReadYourWrites && s.lastGroup == route.Group && s.lastWrite.Compare(floor) > 0 {
		floor = s.lastWrite
	}
	return floor, ok
}

func (s *session) singleRead(ctx context.Context, o *operation) (statement.Reply, error) {
	st, p, a := o.Statement, o.pool, o.acquisition()
	var last error
	for range readAttempts {
		st.AfterPosition = group.Position{}
		floor, known := group.Position{}, false
		if o.route.Consistency != catalog.Strict {
			floor, known = s.readFloor(o.route, p)
		}
		a.primary = !known
		if known {
			st.AfterPosition = floor
		}
		conn, err := p.acquire(ctx, a, o.rec)
		if err != nil {
			if last != nil && len(a.avoid) > 0 {
				a.avoid = nil // every member has been tried: begin again
				time.Sleep(busyPause)
				continue
			}
			return statement.Reply{}, err
		}
		o.rec.attempt(conn)
		o.rec.floor = floor
		if a.primary {
			ok, err := s.proveFor(conn, p, st, o.deadline)
			if err != nil || !ok {
				p.release(conn, err == nil)
				if err == nil {
					p.notPrimary(conn)
				}
				last = err
				continue
			}
		}
		reply, _, err := s.send(conn, p, st, silenceDeadline(o.route, o.deadline))
		if err == nil && reply.Err == nil {
			if known {
				p.servesReads(conn)
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
			if !a.primary {
				p.avoidReads(conn)
			}
		}
		if !a.primary {
			if a.avoid == nil {
				a.avoid = map[string]bool{}
			}
			a.avoid[conn.member.ID] = true
		}
	}
	if e := new(statement.Error); errors.As(last, &e) {
		return statement.Reply{}, memberError(e)
	}
	// A read keeps nothing, so the promise holds even if it ran.
	return statement.Reply{}, notRun(verdict.QueueFull, "no member answered the read").WithRetryAfter(refusalHint).WithCause(last)
}

// silenceDeadline bounds one attempt of a read.
func silenceDeadline(route *catalog.Route, deadline time.Time) time.Time {
	silence := time.Duration(silenceFactor * float64(route.TargetLatency))
	attempt := time.Now().Add(min(max(silence, minSilence), maxReadSilence))
	if attempt.Before(deadline) {
		return attempt
	}
	return deadline
}

// proveFor proves the primary's leadership and brings the connection to the
// session's state in one exchange.
func (s *session) proveFor(conn *pooled, p *pool, st statement.Statement, deadline time.Time) (bool, error) {
	setup := s.setup(conn, st)
	ok, err := p.proveLeadership(conn, deadline, setup...)
	if err == nil {
		s.applied(conn, setup)
	}
	return ok, err
}

// send brings the connection to the session's state and sends the statement.
// sent reports whether the member may have received it. The configuration is
// checked again at this point, since the request may have waited.
func (s *session) send(conn *pooled, p *pool, st statement.Statement, deadline time.Time) (reply statement.Reply, sent bool, err error) {
	if setup := s.setup(conn, st); len(setup) > 0 {
		replies, err := p.exchange(conn, deadline, setup...)
		if err != nil {
			return statement.Reply{}, false, err
		}
		for _, r := range replies {
			if r.Err != nil {
				return statement.Reply{}, false, errors.Wrap(r.Err, "session state")
			}
		}
		s.applied(conn, setup)
	}
	if _, _, err := s.gw.authorize(s.startup); err != nil {
		return statement.Reply{}, false, err
	}
	if st.Kind == statement.Execute {
		st.Name = memberName(s.prepared[st.Name])
	}
	replies, err := p.exchange(conn, deadline, st)
	if err != nil {
		return statement.Reply{}, true, err
	}
	return replies[0], true, nil
}

// setup returns the statements that bring the connection to the session's state.
func (s *session) setup(conn *pooled, st statement.Statement) []statement.Statement {
	var out []statement.Statement
	reset := len(conn.prepared) >= maxPrepared
	for name := range conn.values {
		if _, ok := s.values[name]; !ok {
			reset = true
		}
	}
	if reset {
		out = append(out, statement.Statement{Kind: statement.Reset})
	}
	for name, value := range s.values {
		if current, ok := conn.values[name]; reset || !ok || current != value {
			out = append(out, statement.Statement{Kind: statement.Set, Name: name, Argument: value})
		}
	}
	if st.Kind == statement.Execute {
		prepared := s.prepared[st.Name]
		if name := memberName(prepared); reset || !conn.prepared[name] {
			out = append(out, statement.Statement{Kind: statement.Prepare, Name: name, IsWrite: prepared.isWrite, Argument: prepared.shape})
		}
	}
	return out
}

// applied notes what the connection holds after setup.
func (s *session) applied(conn *pooled, setup []statement.Statement) {
	for i := range setup {
		switch st := &setup[i]; st.Kind {
		case statement.Reset:
			conn.values, conn.prepared = nil, map[string]bool{}
		case statement.Set:
			if conn.values == nil {
				conn.values = map[string]string{}
			}
			conn.values[st.Name] = st.Argument
		case statement.Prepare:
			conn.prepared[st.Name] = true
		}
	}
}

// memberName names a prepared statement by its content, so that sessions share
// it and names of different clients never collide.
func memberName(p preparedStatement) string {
	kind := "r"
	if p.isWrite {
		kind = "w"
	}
	return "m" + kind + strconv.FormatUint(xxhash.Sum64String(p.shape), 36) + "x" + strconv.Itoa(len(p.shape))
}

// memberError turns a member's refusal into the client's error.
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
