package frontend

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// query handles a simple query.
func (s *session) query(f frame) error {
	sql, _, ok := cutString(f.body())
	if !ok {
		return malformed("malformed Query message")
	}
	class := classify(sql)
	if own := parseOwn(class, sql); own != nil {
		return s.ownQuery(own)
	}
	switch class.kind {
	case kindDeallocate, kindDiscard:
		if done, err := s.discardQuery(class, sql); done || err != nil {
			return err
		}
	}
	if verr := s.unsupported(class, sql); verr != nil {
		return s.refuseInOrder(verr, false)
	}
	setting, verr := s.settingOf(class, sql)
	if verr != nil {
		return s.refuseInOrder(verr, false)
	}
	for {
		a, err := s.ensure(class)
		if err != nil {
			return s.refuse(err, false)
		}
		p := pending{kind: expectQuery, single: class.kind != kindUnknown, mayCommit: a.mayCommit(class)}
		if a.predicted == outsideTransaction {
			p.setting = setting
		}
		sent, err := s.push(a, p)
		if err != nil {
			return err
		}
		if sent {
			a.advance(class, sql)
			a.boundary = true
			return s.pass(a, f)
		}
	}
}

// unsupported returns the refusal of a statement that the proxy does not pass
// on, or nil. Notifications have no place in a pooled connection.
func (s *session) unsupported(class statementClass, sql []byte) *verdict.Error {
	switch {
	case s.route.Access == bundle.ReadOnly && (class.readWrite || mayAllowWrites(class, sql)):
		return errReadRoute()
	case class.kind == kindListen:
		return verdict.New(verdict.NotRun, verdict.FeatureNotSupported, "LISTEN is not supported under transaction pooling")
	}
	return nil
}

// pass sends a message as it is. A large one is not copied once the relay runs.
func (s *session) pass(a *attachment, f frame) error {
	if len(f) < flushBytes || !a.started {
		s.toServer.raw(f)
		return s.relieve()
	}
	if err := s.flushServer(); err != nil || s.current() != a {
		return err
	}
	_, err := a.write(f)
	return err
}

// settingOf returns the setting that a statement changes when it runs outside a
// transaction, or nil.
func (s *session) settingOf(class statementClass, sql []byte) (*settingChange, *verdict.Error) {
	if class.kind != kindSet && class.kind != kindReset {
		return nil, nil
	}
	return s.newSetting(class, sql)
}

// discardQuery answers DEALLOCATE of statements that the session prepared by
// the protocol, and DISCARD ALL outside a transaction: server connections have
// those statements under other names. It reports whether the query is done.
func (s *session) discardQuery(class statementClass, sql []byte) (bool, error) {
	t := tokenizer{rest: sql}
	t.next()
	word := t.next()
	if class.kind == kindDiscard {
		if !is(word, "ALL") || s.current() != nil {
			return false, nil
		}
		s.mu.Lock()
		s.statements.byName = nil
		s.settings.apply(&settingChange{reset: true})
		s.mu.Unlock()
		return true, s.answer(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")})
	}
	if is(word, "PREPARE") {
		word = t.next()
	}
	name := unquote(word)
	if len(word) > 0 && word[0] != '"' {
		name = strings.ToLower(name)
	}
	all := is(word, "ALL")
	s.mu.Lock()
	known := s.statements.byName[name] != nil
	s.mu.Unlock()
	if !all && !known {
		return false, nil
	}
	if err := s.local(); err != nil {
		return true, err
	}
	if s.status() == statusFailed {
		return false, nil
	}
	s.mu.Lock()
	tag := "DEALLOCATE"
	if all {
		tag = "DEALLOCATE ALL"
		s.statements.byName = nil
	} else {
		delete(s.statements.byName, name)
	}
	s.mu.Unlock()
	return true, s.answer(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// functionCall handles the fast-path call, which is a request of its own.
func (s *session) functionCall(f frame) error {
	class := statementClass{kind: kindOther}
	for {
		a, err := s.ensure(class)
		if err != nil {
			return s.refuse(err, false)
		}
		sent, err := s.push(a, pending{kind: expectCall, single: true, mayCommit: a.mayCommit(class)})
		if err != nil {
			return err
		}
		if sent {
			s.toServer.raw(f)
			a.boundary = true
			return nil
		}
	}
}

// copyMessage passes copy data on. Outside of a copy it is ignored, as the
// server does.
func (s *session) copyMessage(f frame) error {
	a := s.current()
	if a == nil {
		return nil
	}
	if f.kind() != 'd' {
		s.mu.Lock()
		a.copyIn = false
		s.mu.Unlock()
	}
	return s.pass(a, f)
}
