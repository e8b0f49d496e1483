package frontend

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// relay forwards the server's messages to the client until the connection is
// released. Once it was started, only the relay releases the connection.
func (a *attachment) relay() {
	defer close(a.relayDone)
	fe := a.conn.Frontend()
	for {
		m, err := fe.Receive()
		if err != nil {
			a.connectionLost(err)
			return
		}
		if !a.relayMessage(m, fe.ReadBufferLen() == 0) {
			return
		}
	}
}

// relayMessage handles one message from the server; last is set if no further
// message is buffered. It returns false if the attachment has ended.
func (a *attachment) relayMessage(m pgproto3.BackendMessage, last bool) bool {
	switch m := m.(type) {
	case *pgproto3.DataRow, *pgproto3.CopyData, *pgproto3.CopyOutResponse, *pgproto3.CopyDone,
		*pgproto3.ParameterDescription, *pgproto3.NoticeResponse:
		return a.forward(m, last)
	case *pgproto3.ReadyForQuery:
		return a.handleReadyForQuery(m, last)
	case *pgproto3.CommandComplete:
		return a.handleCommandComplete(m, last)
	case *pgproto3.ErrorResponse:
		return a.handleErrorResponse(m, last)
	case *pgproto3.ParameterStatus:
		return a.handleParameterStatus(m, last)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		a.takeAnswer(expectDescribe)
		return a.forward(m, last)
	case *pgproto3.ParseComplete:
		return a.forwardUnlessInjected(expectParse, m, last)
	case *pgproto3.BindComplete:
		return a.forwardUnlessInjected(expectBind, m, last)
	case *pgproto3.CloseComplete:
		return a.forwardUnlessInjected(expectClose, m, last)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		a.takeAnswer(expectExecute)
		return a.forward(m, last)
	case *pgproto3.CopyInResponse:
		a.beginCopyIn()
		return a.forward(m, last)
	case *pgproto3.FunctionCallResponse, *pgproto3.CopyBothResponse:
		return a.forward(m, last)
	}
	// Notifications and other messages that do not belong to a request of the
	// client are dropped.
	return true
}

// forward sends a message to the client. It blocks while the client does not read.
func (a *attachment) forward(m pgproto3.BackendMessage, last bool) bool {
	w := &a.s.out
	w.mu.Lock()
	w.append(m)
	err := w.flushIf(last)
	w.mu.Unlock()
	return a.afterClientWrite(err)
}

// afterClientWrite ends the attachment if a write to the client failed. It reports
// whether the attachment continues.
func (a *attachment) afterClientWrite(err error) bool {
	if err == nil {
		return true
	}
	a.s.log.WithError(err).WithField("request", a.s.requestID()).Debug("write to client failed")
	a.s.mu.Lock()
	a.s.closing = true
	a.s.mu.Unlock()
	a.finish(verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the client disconnected"), false)
	a.s.wake()
	return false
}

// takeAnswer removes the next outstanding answer from the queue and returns it, if
// it is of the kind.
func (a *attachment) takeAnswer(kind answerKind) pendingAnswer {
	s := a.s
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pending.peek()
	if p == nil || p.kind != kind {
		return pendingAnswer{}
	}
	answer := s.pending.pop()
	if s.pending.len() == 0 {
		s.changed.Broadcast()
	}
	return answer
}

// forwardUnlessInjected forwards the answer to a message of the client, and drops
// the answer to a message that the proxy inserted.
func (a *attachment) forwardUnlessInjected(kind answerKind, m pgproto3.BackendMessage, last bool) bool {
	p := a.takeAnswer(kind)
	switch {
	case p.injected:
		return a.flushIfLast(last)
	case p.replacesParse:
		return a.forward(&pgproto3.ParseComplete{}, last)
	}
	return a.forward(m, last)
}

// flushIfLast flushes buffered messages after a message that is not forwarded.
func (a *attachment) flushIfLast(last bool) bool {
	w := &a.s.out
	w.mu.Lock()
	err := w.flushIf(last)
	w.mu.Unlock()
	return a.afterClientWrite(err)
}

// handleCommandComplete holds a CommandComplete back if a ReadyForQuery is certain
// to follow, because the server may report the position of the commit between the
// two.
func (a *attachment) handleCommandComplete(m *pgproto3.CommandComplete, last bool) bool {
	s := a.s
	s.mu.Lock()
	if p := s.pending.peek(); p != nil {
		a.trackSessionState(m.CommandTag, p.setting)
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
	return a.afterClientWrite(err)
}

// trackSessionState records a setting that took effect, and marks the connection's
// settings as unknown if the statement may have left state that is not tracked.
// The caller holds mu.
func (a *attachment) trackSessionState(tag []byte, setting *settingChange) {
	state := a.conn.SessionState()
	s := a.s
	switch string(tag) {
	case "SET", "RESET":
		if setting != nil {
			previous := s.settings.key
			s.settings.apply(setting)
			s.recordSettings(state, previous)
			return
		}
		markSettingsUnknown(state, s.settings.key)
	case "LISTEN", "UNLISTEN", "PREPARE", "LOAD", "DECLARE CURSOR", "CREATE TABLE", "SELECT INTO", "CREATE TABLE AS":
		markSettingsUnknown(state, s.settings.key)
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

// handleParameterStatus forwards a ParameterStatus, except for parameters that
// members report to the proxy. A commit position holds the answer to the commit
// until the commit is confirmed.
func (a *attachment) handleParameterStatus(m *pgproto3.ParameterStatus, last bool) bool {
	if m.Name == group.ParamPosition {
		return a.confirmCommit(m.Value) && a.flushIfLast(last)
	}
	if strings.HasPrefix(m.Name, proxyPrefix) {
		return a.flushIfLast(last)
	}
	return a.forwardBeforeHeld(m, last)
}

// forwardBeforeHeld sends a message to the client ahead of a CommandComplete that
// is held back.
func (a *attachment) forwardBeforeHeld(m pgproto3.BackendMessage, last bool) bool {
	w := &a.s.out
	w.mu.Lock()
	w.appendBeforeHeld(m)
	err := w.flushIf(last)
	w.mu.Unlock()
	return a.afterClientWrite(err)
}

// confirmCommit waits until a majority of the members has received the commit at the
// position. The relay neither reads from the server nor writes to the client in
// the meantime. It returns false if the attachment has ended.
func (a *attachment) confirmCommit(value string) bool {
	s := a.s
	p, err := group.ParsePosition(value)
	if err != nil {
		a.connectionLost(errors.Wrap(err, "parse commit position"))
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
	a.commitConfirmed = true
	floor := s.floor
	s.mu.Unlock()
	if s.srv.cfg.Tokens == nil {
		return true
	}
	token := s.srv.cfg.Tokens.Sign(a.groupName, s.identity.tenant, floor)
	return a.forwardBeforeHeld(&pgproto3.ParameterStatus{Name: settingToken, Value: token}, false)
}

// beginCopyIn notes that the server reads copy data, and that it ignores Syncs
// that were sent before it switched to copy mode.
func (a *attachment) beginCopyIn() {
	s := a.s
	s.mu.Lock()
	defer s.mu.Unlock()
	a.copyIn = true
	if p := s.pending.peek(); p != nil && p.kind == expectExecute {
		s.pending.dropSyncsAfterHead()
	}
}

// handleErrorResponse forwards an error of the server. Errors that end the server
// connection are not forwarded, because their SQLSTATE does not state the outcome
// of the request: 57P01 would make drivers repeat a request that may have run.
func (a *attachment) handleErrorResponse(m *pgproto3.ErrorResponse, last bool) bool {
	if isFatal(m) {
		a.connectionLost(errors.Newf("server error: %s (%s)", m.Message, m.Code))
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
		a.serverIgnoresTillSync = !s.pending.dropUntilSync(a.undoParse)
		if s.pending.len() == 0 {
			s.changed.Broadcast()
		}
	}
	s.mu.Unlock()
	return a.forward(m, last)
}

// undoParse removes the statement that the client goroutine registered for a Parse
// that failed or was ignored by the server. The caller holds mu.
func (a *attachment) undoParse(p pendingAnswer) {
	if p.kind != expectParse || p.statement == nil {
		return
	}
	delete(a.conn.SessionState(), p.statement.canonical)
	if !p.injected {
		a.s.statements.remove(p.name, p.statement)
	}
}

// handleReadyForQuery forwards ReadyForQuery. If the transaction is over and no
// answers are outstanding, it first releases the connection.
func (a *attachment) handleReadyForQuery(m *pgproto3.ReadyForQuery, last bool) bool {
	s := a.s
	s.out.mu.Lock()
	s.mu.Lock()
	p := s.pending.peek()
	if p == nil || !p.kind.endsRequest() {
		s.mu.Unlock()
		s.out.mu.Unlock()
		a.connectionLost(errors.New("unexpected ReadyForQuery"))
		return false
	}
	s.pending.pop()
	a.txStatus = m.TxStatus
	a.commitConfirmed, a.copyIn = false, false
	release := m.TxStatus == statusIdle && s.pending.len() == 0
	reusable := !a.broken && !a.cancelled
	wakeClient := false
	if release {
		s.attached = nil
		s.pending.reset()
		wakeClient = s.draining || s.stopping != nil
	}
	if s.pending.len() == 0 {
		s.changed.Broadcast()
	}
	s.mu.Unlock()
	// m belongs to the connection, so it is encoded before the release. The
	// connection is released before the write to the client, which may be slow.
	s.out.append(m)
	if release {
		a.conn.Release(reusable)
		s.observe(a.read, a.beganAt, verdict.Ran)
	}
	err := s.out.flushIf(last || release)
	s.out.mu.Unlock()
	if !release {
		return a.afterClientWrite(err)
	}
	if wakeClient || err != nil {
		s.wake()
	}
	return false
}
