package frontend

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// unknownClass is the class of messages whose statement is unknown.
var unknownClass = statementClass{kind: kindUnknown}

// classOf returns the class of a statement, which may be nil.
func classOf(st *statement) statementClass {
	if st == nil {
		return unknownClass
	}
	return st.class
}

// enqueue ensures that a connection is attached and adds an outstanding answer. It
// returns nil without an error if the message must be ignored.
func (s *session) enqueue(class statementClass, p pendingAnswer) (*attachment, error) {
	for {
		a, err := s.ensureAttachment(class)
		if err != nil {
			return nil, s.refuse(err, true)
		}
		sent, err := s.expectAnswer(a, p)
		if err != nil || sent {
			return a, err
		}
	}
}

// handleParse handles Parse. On the server, the statement gets its canonical name.
func (s *session) handleParse(f frame) error {
	name, definition, ok := cutCString(f.body())
	if !ok {
		return errProtocolViolation("malformed Parse message")
	}
	if _, types, ok := cutCString(definition); !ok || len(types) < 2 {
		return errProtocolViolation("malformed Parse message")
	}
	st := newStatement(len(name) > 0, definition)
	if verr := s.unsupportedError(st.class, st.sql); verr != nil {
		return s.refuseInOrder(verr, true)
	}
	if st.proxyCommand != nil {
		return s.parseProxyStatement(string(name), st)
	}
	if len(name) == 0 {
		a, err := s.enqueue(st.class, pendingAnswer{kind: expectParse})
		if a == nil || err != nil {
			return err
		}
		s.unnamedStatement, a.unnamedStatement = st, st
		a.atRequestEnd = false
		s.toServer.appendRaw(st.parse)
		return s.flushIfLarge()
	}
	return s.parseNamed(string(name), st)
}

// parseNamed registers a named statement. If the statement is already prepared on
// the connection, the proxy sends a Close of a nonexistent statement instead of
// the Parse, so that the server still sends an answer at this place in the order.
func (s *session) parseNamed(name string, st *statement) error {
	s.mu.Lock()
	existing := s.statements.byName[name]
	full := len(s.statements.byName) >= maxStatements
	s.mu.Unlock()
	if existing != nil {
		return s.parseDuplicate(existing)
	}
	if full {
		return s.refuseInOrder(errTooManyStatements(), true)
	}
	a, err := s.ensureExtended(st.class)
	if a == nil || err != nil {
		return err
	}
	s.mu.Lock()
	_, present := a.conn.SessionState()[st.canonical]
	s.mu.Unlock()
	if present {
		sent, err := s.expectAnswer(a, pendingAnswer{kind: expectClose, replacesParse: true})
		if !sent || err != nil {
			return err
		}
		a.connIndependent, a.atRequestEnd = false, false
		b := s.toServer.buffer()
		*b = appendStatementTarget(*b, 'C', nonexistentStatement)
	} else if sent, err := s.prepareOnServer(a, pendingAnswer{kind: expectParse, statement: st, name: name}); !sent || err != nil {
		return err
	}
	s.mu.Lock()
	s.statements.put(name, st)
	s.mu.Unlock()
	return s.flushIfLarge()
}

// parseDuplicate handles a Parse with a name that is in use. It prepares the
// existing statement and sends its Parse again, so that the server reports the
// error.
func (s *session) parseDuplicate(existing *statement) error {
	a, err := s.ensureExtended(existing.class)
	if a == nil || err != nil {
		return err
	}
	if sent, err := s.ensurePrepared(a, existing); !sent || err != nil {
		return err
	}
	sent, err := s.expectAnswer(a, pendingAnswer{kind: expectParse})
	if sent && err == nil {
		a.connIndependent, a.atRequestEnd = false, false
		s.toServer.appendRaw(existing.parse)
	}
	return err
}

// ensureExtended is ensureAttachment for messages of the extended protocol. It
// returns nil without an error if the message must be ignored.
func (s *session) ensureExtended(class statementClass) (*attachment, error) {
	a, err := s.ensureAttachment(class)
	if err != nil {
		return nil, s.refuse(err, true)
	}
	return a, nil
}

// prepareOnServer sends a Parse with the canonical name. On a connection that has
// reached its limit, it first closes another statement.
func (s *session) prepareOnServer(a *attachment, p pendingAnswer) (bool, error) {
	s.mu.Lock()
	state := a.conn.SessionState()
	evicted := evictionCandidate(state, p.statement.canonical)
	s.mu.Unlock()
	if evicted != "" {
		sent, err := s.expectAnswer(a, pendingAnswer{kind: expectClose, injected: true})
		if !sent || err != nil {
			return sent, err
		}
		b := s.toServer.buffer()
		*b = appendStatementTarget(*b, 'C', evicted)
	}
	sent, err := s.expectAnswer(a, p)
	if !sent || err != nil {
		return sent, err
	}
	a.connIndependent, a.atRequestEnd = false, false
	s.mu.Lock()
	delete(state, evicted)
	if !a.serverIgnoresTillSync {
		state[p.statement.canonical] = struct{}{}
	}
	s.mu.Unlock()
	s.toServer.appendRaw(p.statement.parse)
	return true, nil
}

// ensurePrepared prepares the statement on the connection unless it is prepared
// already.
func (s *session) ensurePrepared(a *attachment, st *statement) (bool, error) {
	if st.canonical == "" {
		if a.unnamedStatement == st {
			return true, nil
		}
		sent, err := s.expectAnswer(a, pendingAnswer{kind: expectParse, injected: true})
		if sent && err == nil {
			a.unnamedStatement, a.atRequestEnd = st, false
			s.toServer.appendRaw(st.parse)
		}
		return sent, err
	}
	s.mu.Lock()
	_, present := a.conn.SessionState()[st.canonical]
	s.mu.Unlock()
	a.connIndependent = false
	if present {
		return true, nil
	}
	return s.prepareOnServer(a, pendingAnswer{kind: expectParse, injected: true, statement: st})
}

// lookupStatement returns the session's statement with the name, or nil.
func (s *session) lookupStatement(name []byte) *statement {
	if len(name) == 0 {
		return s.unnamedStatement
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statements.get(name)
}

// useStatement prepares the statement to which a message refers, and adds the
// message's outstanding answer. It returns nil if the message must be ignored.
func (s *session) useStatement(st *statement, p pendingAnswer) (*attachment, error) {
	a, err := s.ensureExtended(classOf(st))
	if a == nil || err != nil {
		return nil, err
	}
	if st != nil {
		if sent, err := s.ensurePrepared(a, st); !sent || err != nil {
			return nil, err
		}
	}
	sent, err := s.expectAnswer(a, p)
	if !sent || err != nil {
		return nil, err
	}
	a.atRequestEnd = false
	return a, nil
}

// handleBind handles Bind.
func (s *session) handleBind(f frame) error {
	portal, rest, ok := cutCString(f.body())
	if !ok {
		return errProtocolViolation("malformed Bind message")
	}
	name, rest, ok := cutCString(rest)
	if !ok {
		return errProtocolViolation("malformed Bind message")
	}
	st := s.lookupStatement(name)
	if st != nil && st.proxyCommand != nil {
		return s.answerProxyStep(portal, st, &pgproto3.BindComplete{})
	}
	a, err := s.useStatement(st, pendingAnswer{kind: expectBind})
	if a == nil || err != nil {
		return err
	}
	a.bindPortal(portal, st)
	if bytes.Equal(s.proxyPortalName, portal) {
		s.proxyPortalStatement = nil
	}
	if st == nil {
		s.toServer.appendRaw(f)
	} else {
		b := s.toServer.buffer()
		*b = appendBind(*b, portal, st.canonical, rest)
	}
	return s.flushIfLarge()
}

// bindPortal records the statement to which a portal is bound.
func (a *attachment) bindPortal(portal []byte, st *statement) {
	if len(portal) == 0 {
		a.unnamedPortal = st
		return
	}
	if a.namedPortals == nil {
		a.namedPortals = map[string]*statement{}
	}
	a.namedPortals[string(portal)] = st
}

// portalStatement returns the statement to which a portal is bound, or nil.
func (a *attachment) portalStatement(portal []byte) *statement {
	if len(portal) == 0 {
		return a.unnamedPortal
	}
	return a.namedPortals[string(portal)]
}

// handleDescribe handles Describe.
func (s *session) handleDescribe(f frame) error {
	kind, name, ok := parseTarget(f)
	if !ok {
		return errProtocolViolation("malformed Describe message")
	}
	if kind == 'P' {
		if st := s.proxyStatementOf(name); st != nil {
			return s.answerProxyStep(name, st, st.proxyCommand.describe())
		}
		a, err := s.enqueue(unknownClass, pendingAnswer{kind: expectDescribe})
		if a != nil && err == nil {
			a.atRequestEnd = false
			s.toServer.appendRaw(f)
		}
		return err
	}
	st := s.lookupStatement(name)
	if st != nil && st.proxyCommand != nil {
		if err := s.answerProxyStep(nil, st, &pgproto3.ParameterDescription{}); err != nil {
			return err
		}
		return s.answerProxyStep(nil, st, st.proxyCommand.describe())
	}
	a, err := s.useStatement(st, pendingAnswer{kind: expectDescribe})
	if a == nil || err != nil {
		return err
	}
	if st == nil {
		s.toServer.appendRaw(f)
	} else {
		b := s.toServer.buffer()
		*b = appendStatementTarget(*b, 'D', st.canonical)
	}
	return nil
}

// parseTarget decodes the body of Describe and Close.
func parseTarget(f frame) (kind byte, name []byte, ok bool) {
	body := f.body()
	if len(body) < 2 || (body[0] != 'S' && body[0] != 'P') {
		return 0, nil, false
	}
	name, _, ok = cutCString(body[1:])
	return body[0], name, ok
}

// handleExecute handles Execute.
func (s *session) handleExecute(f frame) error {
	portal, _, ok := cutCString(f.body())
	if !ok {
		return errProtocolViolation("malformed Execute message")
	}
	if st := s.proxyStatementOf(portal); st != nil {
		return s.executeProxyStatement(st)
	}
	class, sql, setting, verr := s.executedStatement(portal)
	if verr != nil {
		return s.refuseInOrder(verr, true)
	}
	a, err := s.ensureExtended(class)
	if a == nil || err != nil {
		return err
	}
	p := pendingAnswer{kind: expectExecute, singleStatement: true, mayCommit: a.mayCommit(class)}
	if a.predictedTx == outsideTransaction {
		p.setting = setting
	}
	sent, err := s.expectAnswer(a, p)
	if !sent || err != nil {
		return err
	}
	a.mayCommitSinceSync = a.mayCommitSinceSync || p.mayCommit
	a.advancePrediction(class, sql)
	a.atRequestEnd = false
	s.toServer.appendRaw(f)
	return s.flushIfLarge()
}

// executedStatement returns the class and text of the portal's statement, and the
// setting that it changes.
func (s *session) executedStatement(portal []byte) (statementClass, []byte, *settingChange, *verdict.Error) {
	a := s.currentAttachment()
	if a == nil {
		return unknownClass, nil, nil, nil
	}
	st := a.portalStatement(portal)
	if st == nil {
		return unknownClass, nil, nil, nil
	}
	setting, verr := s.settingChangeOf(st.class, st.sql)
	return st.class, st.sql, setting, verr
}

// handleClose handles Close. A named statement stays on the server connection,
// where other sessions may use it; only the session's name for it is removed.
func (s *session) handleClose(f frame) error {
	kind, name, ok := parseTarget(f)
	if !ok {
		return errProtocolViolation("malformed Close message")
	}
	if kind == 'S' {
		if len(name) == 0 {
			s.unnamedStatement = nil
		}
		s.mu.Lock()
		delete(s.statements.byName, string(name))
		s.mu.Unlock()
	}
	if s.currentAttachment() == nil {
		return s.appendAnswer(&pgproto3.CloseComplete{})
	}
	a, err := s.enqueue(unknownClass, pendingAnswer{kind: expectClose})
	if a == nil || err != nil {
		return err
	}
	a.atRequestEnd = false
	if kind == 'P' || len(name) == 0 {
		s.toServer.appendRaw(f)
		return nil
	}
	b := s.toServer.buffer()
	*b = appendStatementTarget(*b, 'C', nonexistentStatement)
	return nil
}

// handleSync handles Sync, which ends a request of the extended protocol.
func (s *session) handleSync(f frame) error {
	a := s.currentAttachment()
	if a != nil {
		sent, err := s.expectAnswer(a, pendingAnswer{kind: expectSync, mayCommit: a.mayCommitSinceSync})
		if err != nil {
			return err
		}
		if sent {
			a.mayCommitSinceSync, a.atRequestEnd = false, true
			s.toServer.appendRaw(f)
			return nil
		}
	}
	s.ignoreTillSync.Store(false)
	if err := s.sendWithReady(); err != nil {
		return err
	}
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		s.wake()
	}
	return nil
}

// handleFlush handles Flush.
func (s *session) handleFlush(f frame) error {
	if s.currentAttachment() != nil {
		s.toServer.appendRaw(f)
		return s.flushToServer()
	}
	return s.out.send()
}

// flushIfLarge writes the buffered messages to the server if there are many.
func (s *session) flushIfLarge() error {
	if s.toServer.len() >= flushBytes {
		return s.flushToServer()
	}
	return nil
}

// parseProxyStatement registers a statement that the proxy executes itself.
func (s *session) parseProxyStatement(name string, st *statement) error {
	if name == "" {
		s.unnamedStatement = st
	} else {
		s.mu.Lock()
		full := len(s.statements.byName) >= maxStatements
		if !full {
			s.statements.put(name, st)
		}
		s.mu.Unlock()
		if full {
			return s.refuseInOrder(errTooManyStatements(), true)
		}
	}
	return s.answerProxyStep(nil, st, &pgproto3.ParseComplete{})
}

// answerProxyStep answers a message about a statement that the proxy executes
// itself.
func (s *session) answerProxyStep(portal []byte, st *statement, m pgproto3.BackendMessage) error {
	if err := s.awaitProxyTurn(); err != nil {
		return err
	}
	if _, bound := m.(*pgproto3.BindComplete); bound {
		s.proxyPortalStatement, s.proxyPortalName = st, bytes.Clone(portal)
	}
	return s.appendAnswer(m)
}

// proxyStatementOf returns the statement bound to a portal if the proxy executes
// it itself, and nil otherwise.
func (s *session) proxyStatementOf(portal []byte) *statement {
	if s.proxyPortalStatement == nil || !bytes.Equal(s.proxyPortalName, portal) {
		return nil
	}
	return s.proxyPortalStatement
}

// executeProxyStatement executes a statement of the proxy itself and answers Execute.
func (s *session) executeProxyStatement(st *statement) error {
	if err := s.awaitProxyTurn(); err != nil {
		return err
	}
	row, tag, verr := st.proxyCommand.run(s)
	if verr != nil {
		return s.refuseInOrder(verr, true)
	}
	if row != nil {
		if err := s.appendAnswer(row); err != nil {
			return err
		}
	}
	return s.appendAnswer(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// appendAnswer buffers a message, which is sent with the answer to Sync or Flush.
func (s *session) appendAnswer(m pgproto3.BackendMessage) error {
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	s.out.append(m)
	return s.out.err
}

func errTooManyStatements() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.FeatureNotSupported, "a session keeps at most %d prepared statements", maxStatements)
}
