package frontend

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// relay passes the server's messages to the client until the connection is
// released. It alone releases a connection on which it was started.
func (a *attachment) relay() {
	defer close(a.done)
	fe := a.conn.Frontend()
	for {
		m, err := fe.Receive()
		if err != nil {
			a.lost(err)
			return
		}
		if !a.pass(m, fe.ReadBufferLen() == 0) {
			return
		}
	}
}

// pass handles one message; last says that no further one is buffered. It
// returns false when the attachment has ended.
func (a *attachment) pass(m pgproto3.BackendMessage, last bool) bool {
	switch m := m.(type) {
	case *pgproto3.DataRow, *pgproto3.CopyData, *pgproto3.CopyOutResponse, *pgproto3.CopyDone,
		*pgproto3.ParameterDescription, *pgproto3.NoticeResponse:
		return a.forward(m, last)
	case *pgproto3.ReadyForQuery:
		return a.ready(m, last)
	case *pgproto3.CommandComplete:
		return a.complete(m, last)
	case *pgproto3.ErrorResponse:
		return a.serverError(m, last)
	case *pgproto3.ParameterStatus:
		return a.parameter(m, last)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		a.answered(expectDescribe)
		return a.forward(m, last)
	case *pgproto3.ParseComplete:
		return a.swallowOr(expectParse, m, last)
	case *pgproto3.BindComplete:
		return a.swallowOr(expectBind, m, last)
	case *pgproto3.CloseComplete:
		return a.swallowOr(expectClose, m, last)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		a.answered(expectExecute)
		return a.forward(m, last)
	case *pgproto3.CopyInResponse:
		a.beginCopyIn()
		return a.forward(m, last)
	case *pgproto3.FunctionCallResponse, *pgproto3.CopyBothResponse:
		return a.forward(m, last)
	}
	// Notifications and anything else that belongs to no request of the client.
	return true
}

// forward passes a message on and blocks while the client does not read.
func (a *attachment) forward(m pgproto3.BackendMessage, last bool) bool {
	w := &a.s.out
	w.mu.Lock()
	w.append(m)
	err := w.flushIf(last)
	w.mu.Unlock()
	return a.written(err)
}

// written ends the attachment when the client is gone.
func (a *attachment) written(err error) bool {
	if err == nil {
		return true
	}
	a.s.log.WithError(err).WithField("request", a.s.requestID()).Debug("write to client failed")
	a.s.mu.Lock()
	a.s.closing = true
	a.s.mu.Unlock()
	a.finish(verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the client is gone"), false)
	a.s.poke()
	return false
}

// answered removes an outstanding answer of the kind, if it is the next one.
func (a *attachment) answered(kind expectation) pending {
	s := a.s
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pending.peek()
	if p == nil || p.kind != kind {
		return pending{}
	}
	answer := s.pending.pop()
	if s.pending.len() == 0 {
		s.changed.Broadcast()
	}
	return answer
}

func (a *attachment) swallowOr(kind expectation, m pgproto3.BackendMessage, last bool) bool {
	p := a.answered(kind)
	switch {
	case p.injected:
		return a.flushLast(last)
	case p.asParse:
		return a.forward(&pgproto3.ParseComplete{}, last)
	}
	return a.forward(m, last)
}

// flushLast flushes what is pending after a message that is not passed on.
func (a *attachment) flushLast(last bool) bool {
	w := &a.s.out
	w.mu.Lock()
	err := w.flushIf(last)
	w.mu.Unlock()
	return a.written(err)
}

// complete keeps a CommandComplete back while an answer after it is certain to
// come: the server may report the position of the commit just after it.
func (a *attachment) complete(m *pgproto3.CommandComplete, last bool) bool {
	s := a.s
	s.mu.Lock()
	if p := s.pending.peek(); p != nil {
		a.noteTag(m.CommandTag, p.setting)
		p.setting = nil
		if p.kind == expectExecute {
			s.pending.pop()
		}
	}
	hold := s.pending.requests > 0
	if s.pending.len() == 0 {
		s.changed.Broadcast()
	}
	s.mu.Unlock()
	if !hold {
		return a.forward(m, last)
	}
	s.out.mu.Lock()
	s.out.hold(m)
	err := s.out.flushIf(last)
	s.out.mu.Unlock()
	return a.written(err)
}

// noteTag records a setting that took effect, and marks the connection when the
// statement can have left state that is not tracked. The caller holds mu.
func (a *attachment) noteTag(tag []byte, setting *settingChange) {
	state := a.conn.Prepared()
	s := a.s
	switch string(tag) {
	case "SET", "RESET":
		if setting != nil {
			previous := s.settings.key
			s.settings.apply(setting)
			s.markSettings(state, previous)
			return
		}
		markUnknown(state, s.settings.key)
	case "LISTEN", "UNLISTEN", "PREPARE", "LOAD", "DECLARE CURSOR", "CREATE TABLE", "SELECT INTO", "CREATE TABLE AS":
		markUnknown(state, s.settings.key)
	case "DISCARD ALL":
		clear(state)
	case "DEALLOCATE ALL":
		for name := range state {
			if strings.HasPrefix(name, canonicalPrefix) {
				delete(state, name)
			}
		}
	}
}

// parameter passes a ParameterStatus on, except the members' own, and holds the
// answer of a commit until it is confirmed.
func (a *attachment) parameter(m *pgproto3.ParameterStatus, last bool) bool {
	if m.Name == group.ParamPosition {
		return a.confirm(m.Value) && a.flushLast(last)
	}
	if strings.HasPrefix(m.Name, ownPrefix) {
		return a.flushLast(last)
	}
	return a.forwardBeforeHeld(m, last)
}

func (a *attachment) forwardBeforeHeld(m pgproto3.BackendMessage, last bool) bool {
	w := &a.s.out
	w.mu.Lock()
	w.appendBeforeHeld(m)
	err := w.flushIf(last)
	w.mu.Unlock()
	return a.written(err)
}

// confirm waits until a majority has the commit. Nothing is read from the server
// or passed on meanwhile.
func (a *attachment) confirm(value string) bool {
	s := a.s
	p, err := group.ParsePosition(value)
	if err != nil {
		a.lost(errors.Wrap(err, "position of a commit"))
		return false
	}
	if err := a.group.Confirm(s.ctx, p); err != nil {
		v := verdict.FromError(err)
		if v.Verdict == verdict.MayHaveRun {
			v = v.AsFatal()
		}
		a.finish(v, false)
		return false
	}
	s.raiseFloor(p)
	s.mu.Lock()
	a.confirmed = true
	floor := s.floor
	s.mu.Unlock()
	if s.srv.cfg.Tokens == nil {
		return true
	}
	token := s.srv.cfg.Tokens.Sign(a.groupName, s.identity.tenant, floor)
	return a.forwardBeforeHeld(&pgproto3.ParameterStatus{Name: settingToken, Value: token}, false)
}

func (a *attachment) beginCopyIn() {
	s := a.s
	s.mu.Lock()
	defer s.mu.Unlock()
	a.copyIn = true
	if p := s.pending.peek(); p != nil && p.kind == expectExecute {
		s.pending.dropSyncsAfterHead()
	}
}

// serverError passes an error on. Errors that end the connection are not passed
// on, because their SQLSTATE says nothing about the request: 57P01 would make
// drivers repeat it.
func (a *attachment) serverError(m *pgproto3.ErrorResponse, last bool) bool {
	if isFatal(m) {
		a.lost(errors.Newf("server: %s (%s)", m.Message, m.Code))
		return false
	}
	s := a.s
	s.mu.Lock()
	a.copyIn = false
	p := s.pending.peek()
	if p != nil && p.mayCommit && !a.read && m.Code == string(verdict.ReadOnlyRoute) {
		s.mu.Unlock()
		a.finish(verdict.New(verdict.NotRun, verdict.NoPrimary, "the primary was replaced; the transaction was rolled back"), false)
		return false
	}
	if p != nil && !p.kind.endsRequest() {
		a.skipping = !s.pending.skipToSync(a.forget)
		if s.pending.len() == 0 {
			s.changed.Broadcast()
		}
	}
	s.mu.Unlock()
	return a.forward(m, last)
}

// forget takes back what the client goroutine assumed of a message that failed
// or was ignored. The caller holds mu.
func (a *attachment) forget(p pending) {
	if p.kind != expectParse || p.statement == nil {
		return
	}
	delete(a.conn.Prepared(), p.statement.canonical)
	if !p.injected {
		a.s.statements.remove(p.name, p.statement)
	}
}

// ready passes ReadyForQuery on, and first releases the connection when the
// transaction is over and nothing is outstanding.
func (a *attachment) ready(m *pgproto3.ReadyForQuery, last bool) bool {
	s := a.s
	s.out.mu.Lock()
	s.mu.Lock()
	p := s.pending.peek()
	if p == nil || !p.kind.endsRequest() {
		s.mu.Unlock()
		s.out.mu.Unlock()
		a.lost(errors.New("unexpected ReadyForQuery"))
		return false
	}
	s.pending.pop()
	a.status = m.TxStatus
	a.confirmed, a.copyIn = false, false
	release := m.TxStatus == statusIdle && s.pending.len() == 0
	reusable := !a.broken && !a.cancelled
	poke := false
	if release {
		s.att = nil
		s.pending.reset()
		poke = s.draining || s.stopping != nil
	}
	if s.pending.len() == 0 {
		s.changed.Broadcast()
	}
	s.mu.Unlock()
	// m belongs to the connection, so it is copied before the release; the
	// connection goes back before a slow client is written to.
	s.out.append(m)
	if release {
		a.conn.Release(reusable)
		s.observe(a.read, a.began, verdict.Ran)
	}
	err := s.out.flushIf(last || release)
	s.out.mu.Unlock()
	if !release {
		return a.written(err)
	}
	if poke || err != nil {
		s.poke()
	}
	return false
}
