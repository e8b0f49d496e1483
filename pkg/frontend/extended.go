package frontend

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// anyClass is assumed of messages whose statement is not known.
var anyClass = statementClass{kind: kindUnknown}

// classOf returns the class of a statement, which may be nil.
func classOf(st *statement) statementClass {
	if st == nil {
		return anyClass
	}
	return st.class
}

// enqueue ensures an attachment and adds an outstanding answer. It returns nil
// without an error when the message is to be dropped.
func (s *session) enqueue(class statementClass, p pending) (*attachment, error) {
	for {
		a, err := s.ensure(class)
		if err != nil {
			return nil, s.refuse(err, true)
		}
		sent, err := s.push(a, p)
		if err != nil || sent {
			return a, err
		}
	}
}

// parse handles Parse. The statement gets its canonical name on the server.
func (s *session) parse(f frame) error {
	name, definition, ok := cutString(f.body())
	if !ok {
		return malformed("malformed Parse message")
	}
	if _, types, ok := cutString(definition); !ok || len(types) < 2 {
		return malformed("malformed Parse message")
	}
	st := newStatement(len(name) > 0, definition)
	if verr := s.unsupported(st.class, st.sql); verr != nil {
		return s.refuseInOrder(verr, true)
	}
	if st.own != nil {
		return s.parseOwn(string(name), st)
	}
	if len(name) == 0 {
		a, err := s.enqueue(st.class, pending{kind: expectParse})
		if a == nil || err != nil {
			return err
		}
		s.unnamed, a.unnamed = st, st
		a.boundary = false
		s.toServer.raw(st.parse)
		return s.relieve()
	}
	return s.parseNamed(string(name), st)
}

// parseNamed registers a statement. On a connection that has the statement, a
// Close of an absent one takes the place of the Parse, so that the server still
// sends an answer in order.
func (s *session) parseNamed(name string, st *statement) error {
	s.mu.Lock()
	existing := s.statements.byName[name]
	full := len(s.statements.byName) >= maxStatements
	s.mu.Unlock()
	if existing != nil {
		return s.parseAgain(existing)
	}
	if full {
		return s.refuseInOrder(errTooManyStatements(), true)
	}
	a, err := s.ensureExtended(st.class)
	if a == nil || err != nil {
		return err
	}
	s.mu.Lock()
	_, present := a.conn.Prepared()[st.canonical]
	s.mu.Unlock()
	if present {
		sent, err := s.push(a, pending{kind: expectClose, asParse: true})
		if !sent || err != nil {
			return err
		}
		a.portable, a.boundary = false, false
		b := s.toServer.bytes()
		*b = appendTarget(*b, 'C', absentStatement)
	} else if sent, err := s.prepare(a, pending{kind: expectParse, statement: st, name: name}); !sent || err != nil {
		return err
	}
	s.mu.Lock()
	s.statements.put(name, st)
	s.mu.Unlock()
	return s.relieve()
}

// parseAgain lets the server refuse a name that is in use.
func (s *session) parseAgain(existing *statement) error {
	a, err := s.ensureExtended(existing.class)
	if a == nil || err != nil {
		return err
	}
	if sent, err := s.inject(a, existing); !sent || err != nil {
		return err
	}
	sent, err := s.push(a, pending{kind: expectParse})
	if sent && err == nil {
		a.portable, a.boundary = false, false
		s.toServer.raw(existing.parse)
	}
	return err
}

// ensureExtended returns nil without an error when the message is to be dropped.
func (s *session) ensureExtended(class statementClass) (*attachment, error) {
	a, err := s.ensure(class)
	if err != nil {
		return nil, s.refuse(err, true)
	}
	return a, nil
}

// prepare sends a Parse with the canonical name. A full connection first drops
// another statement.
func (s *session) prepare(a *attachment, p pending) (bool, error) {
	s.mu.Lock()
	state := a.conn.Prepared()
	victim := evict(state, p.statement.canonical)
	s.mu.Unlock()
	if victim != "" {
		sent, err := s.push(a, pending{kind: expectClose, injected: true})
		if !sent || err != nil {
			return sent, err
		}
		b := s.toServer.bytes()
		*b = appendTarget(*b, 'C', victim)
	}
	sent, err := s.push(a, p)
	if !sent || err != nil {
		return sent, err
	}
	a.portable, a.boundary = false, false
	s.mu.Lock()
	delete(state, victim)
	if !a.skipping {
		state[p.statement.canonical] = struct{}{}
	}
	s.mu.Unlock()
	s.toServer.raw(p.statement.parse)
	return true, nil
}

// inject makes sure that the connection has the statement.
func (s *session) inject(a *attachment, st *statement) (bool, error) {
	if st.canonical == "" {
		if a.unnamed == st {
			return true, nil
		}
		sent, err := s.push(a, pending{kind: expectParse, injected: true})
		if sent && err == nil {
			a.unnamed, a.boundary = st, false
			s.toServer.raw(st.parse)
		}
		return sent, err
	}
	s.mu.Lock()
	_, present := a.conn.Prepared()[st.canonical]
	s.mu.Unlock()
	a.portable = false
	if present {
		return true, nil
	}
	return s.prepare(a, pending{kind: expectParse, injected: true, statement: st})
}

// lookup returns the session's statement with the name, or nil.
func (s *session) lookup(name []byte) *statement {
	if len(name) == 0 {
		return s.unnamed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statements.get(name)
}

// use sends what a message that refers to a statement needs before it, and adds
// the message's answer. It returns nil when the message is to be dropped.
func (s *session) use(st *statement, p pending) (*attachment, error) {
	a, err := s.ensureExtended(classOf(st))
	if a == nil || err != nil {
		return nil, err
	}
	if st != nil {
		if sent, err := s.inject(a, st); !sent || err != nil {
			return nil, err
		}
	}
	sent, err := s.push(a, p)
	if !sent || err != nil {
		return nil, err
	}
	a.boundary = false
	return a, nil
}

// bind handles Bind.
func (s *session) bind(f frame) error {
	portal, rest, ok := cutString(f.body())
	if !ok {
		return malformed("malformed Bind message")
	}
	name, rest, ok := cutString(rest)
	if !ok {
		return malformed("malformed Bind message")
	}
	st := s.lookup(name)
	if st != nil && st.own != nil {
		return s.ownStep(portal, st, &pgproto3.BindComplete{})
	}
	a, err := s.use(st, pending{kind: expectBind})
	if a == nil || err != nil {
		return err
	}
	a.bindPortal(portal, st)
	if bytes.Equal(s.ownBoundName, portal) {
		s.ownBound = nil
	}
	if st == nil {
		s.toServer.raw(f)
	} else {
		b := s.toServer.bytes()
		*b = appendBind(*b, portal, st.canonical, rest)
	}
	return s.relieve()
}

func (a *attachment) bindPortal(portal []byte, st *statement) {
	if len(portal) == 0 {
		a.portal = st
		return
	}
	if a.portals == nil {
		a.portals = map[string]*statement{}
	}
	a.portals[string(portal)] = st
}

func (a *attachment) statementOf(portal []byte) *statement {
	if len(portal) == 0 {
		return a.portal
	}
	return a.portals[string(portal)]
}

// describe handles Describe.
func (s *session) describe(f frame) error {
	kind, name, ok := target(f)
	if !ok {
		return malformed("malformed Describe message")
	}
	if kind == 'P' {
		if own := s.ownPortal(name); own != nil {
			return s.ownStep(name, own, own.own.describe())
		}
		a, err := s.enqueue(anyClass, pending{kind: expectDescribe})
		if a != nil && err == nil {
			a.boundary = false
			s.toServer.raw(f)
		}
		return err
	}
	st := s.lookup(name)
	if st != nil && st.own != nil {
		if err := s.ownStep(nil, st, &pgproto3.ParameterDescription{}); err != nil {
			return err
		}
		return s.ownStep(nil, st, st.own.describe())
	}
	a, err := s.use(st, pending{kind: expectDescribe})
	if a == nil || err != nil {
		return err
	}
	if st == nil {
		s.toServer.raw(f)
	} else {
		b := s.toServer.bytes()
		*b = appendTarget(*b, 'D', st.canonical)
	}
	return nil
}

// target reads the body of Describe and Close.
func target(f frame) (kind byte, name []byte, ok bool) {
	body := f.body()
	if len(body) < 2 || (body[0] != 'S' && body[0] != 'P') {
		return 0, nil, false
	}
	name, _, ok = cutString(body[1:])
	return body[0], name, ok
}

// execute handles Execute.
func (s *session) execute(f frame) error {
	portal, _, ok := cutString(f.body())
	if !ok {
		return malformed("malformed Execute message")
	}
	if own := s.ownPortal(portal); own != nil {
		return s.executeOwn(own)
	}
	class, sql, setting, verr := s.executed(portal)
	if verr != nil {
		return s.refuseInOrder(verr, true)
	}
	a, err := s.ensureExtended(class)
	if a == nil || err != nil {
		return err
	}
	p := pending{kind: expectExecute, single: true, mayCommit: a.mayCommit(class)}
	if a.predicted == outsideTransaction {
		p.setting = setting
	}
	sent, err := s.push(a, p)
	if !sent || err != nil {
		return err
	}
	a.executed = a.executed || p.mayCommit
	a.advance(class, sql)
	a.boundary = false
	s.toServer.raw(f)
	return s.relieve()
}

// executed returns what the portal's statement does.
func (s *session) executed(portal []byte) (statementClass, []byte, *settingChange, *verdict.Error) {
	a := s.current()
	if a == nil {
		return anyClass, nil, nil, nil
	}
	st := a.statementOf(portal)
	if st == nil {
		return anyClass, nil, nil, nil
	}
	setting, verr := s.settingOf(st.class, st.sql)
	return st.class, st.sql, setting, verr
}

// closeTarget handles Close. A statement stays on the server connection, where
// another session may use it; only the session's name is dropped.
func (s *session) closeTarget(f frame) error {
	kind, name, ok := target(f)
	if !ok {
		return malformed("malformed Close message")
	}
	if kind == 'S' {
		if len(name) == 0 {
			s.unnamed = nil
		}
		s.mu.Lock()
		delete(s.statements.byName, string(name))
		s.mu.Unlock()
	}
	if s.current() == nil {
		return s.appendOwn(&pgproto3.CloseComplete{})
	}
	a, err := s.enqueue(anyClass, pending{kind: expectClose})
	if a == nil || err != nil {
		return err
	}
	a.boundary = false
	if kind == 'P' || len(name) == 0 {
		s.toServer.raw(f)
		return nil
	}
	b := s.toServer.bytes()
	*b = appendTarget(*b, 'C', absentStatement)
	return nil
}

// sync handles Sync, which ends a request of the extended protocol.
func (s *session) sync(f frame) error {
	a := s.current()
	if a != nil {
		sent, err := s.push(a, pending{kind: expectSync, mayCommit: a.executed})
		if err != nil {
			return err
		}
		if sent {
			a.executed, a.boundary = false, true
			s.toServer.raw(f)
			return nil
		}
	}
	s.skip.Store(false)
	if err := s.answer(); err != nil {
		return err
	}
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		s.poke()
	}
	return nil
}

// flushRequest handles Flush.
func (s *session) flushRequest(f frame) error {
	if s.current() != nil {
		s.toServer.raw(f)
		return s.flushServer()
	}
	return s.out.send()
}

// relieve writes pending messages when they are many.
func (s *session) relieve() error {
	if s.toServer.len() >= flushBytes {
		return s.flushServer()
	}
	return nil
}

// parseOwn registers a statement that the proxy answers itself.
func (s *session) parseOwn(name string, st *statement) error {
	if name == "" {
		s.unnamed = st
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
	return s.ownStep(nil, st, &pgproto3.ParseComplete{})
}

// ownStep answers a message about a statement that the proxy answers itself.
func (s *session) ownStep(portal []byte, st *statement, m pgproto3.BackendMessage) error {
	if err := s.local(); err != nil {
		return err
	}
	if _, bound := m.(*pgproto3.BindComplete); bound {
		s.ownBound, s.ownBoundName = st, bytes.Clone(portal)
	}
	return s.appendOwn(m)
}

// ownPortal returns the statement of a portal that the proxy answers itself, or
// nil.
func (s *session) ownPortal(portal []byte) *statement {
	if s.ownBound == nil || !bytes.Equal(s.ownBoundName, portal) {
		return nil
	}
	return s.ownBound
}

// executeOwn runs a statement that the proxy answers itself.
func (s *session) executeOwn(st *statement) error {
	if err := s.local(); err != nil {
		return err
	}
	row, tag, verr := st.own.run(s)
	if verr != nil {
		return s.refuseInOrder(verr, true)
	}
	if row != nil {
		if err := s.appendOwn(row); err != nil {
			return err
		}
	}
	return s.appendOwn(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// appendOwn adds a message that goes out with the answer to Sync or Flush.
func (s *session) appendOwn(m pgproto3.BackendMessage) error {
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	s.out.append(m)
	return s.out.err
}

func errTooManyStatements() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.FeatureNotSupported, "a session keeps at most %d prepared statements", maxStatements)
}
