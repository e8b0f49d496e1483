package frontend

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// handleQuery handles a simple query.
func (s *session) handleQuery(f frame) error {
	sql, _, ok := cutCString(f.body())
	if !ok {
		return errProtocolViolation("malformed Query message")
	}
	class := classify(sql)
	if command := parseProxyCommand(class, sql); command != nil {
		return s.handleProxyCommand(command)
	}
	switch class.kind {
	case kindDeallocate, kindDiscard:
		if done, err := s.answerDiscard(class, sql); done || err != nil {
			return err
		}
	}
	if verr := s.unsupportedError(class, sql); verr != nil {
		return s.refuseInOrder(verr, false)
	}
	setting, verr := s.settingChangeOf(class, sql)
	if verr != nil {
		return s.refuseInOrder(verr, false)
	}
	for {
		a, err := s.ensureAttachment(class)
		if err != nil {
			return s.refuse(err, false)
		}
		p := pendingAnswer{kind: expectQuery, singleStatement: class.kind != kindUnknown, mayCommit: a.mayCommit(class)}
		if a.predictedTx == outsideTransaction {
			p.setting = setting
		}
		sent, err := s.expectAnswer(a, p)
		if err != nil {
			return err
		}
		if sent {
			a.advancePrediction(class, sql)
			a.atRequestEnd = true
			return s.forwardToServer(a, f)
		}
	}
}

// unsupportedError returns the error for a statement that the proxy does not
// forward, or nil. LISTEN is not supported, because notifications would arrive on
// a pooled connection that the session no longer holds.
func (s *session) unsupportedError(class statementClass, sql []byte) *verdict.Error {
	switch {
	case s.route.Access == bundle.ReadOnly && (class.readWrite || mayDisableReadOnly(class, sql)):
		return errReadOnlyRoute()
	case class.kind == kindListen:
		return verdict.New(verdict.NotRun, verdict.FeatureNotSupported, "LISTEN is not supported under transaction pooling")
	}
	return nil
}

// forwardToServer sends a message unchanged. If the relay runs, a large message is
// written directly instead of being copied to the buffer.
func (s *session) forwardToServer(a *attachment, f frame) error {
	if len(f) < flushBytes || !a.relayStarted {
		s.toServer.appendRaw(f)
		return s.flushIfLarge()
	}
	if err := s.flushToServer(); err != nil || s.currentAttachment() != a {
		return err
	}
	_, err := a.write(f)
	return err
}

// settingChangeOf returns the setting that a statement changes if it runs outside a
// transaction, or nil.
func (s *session) settingChangeOf(class statementClass, sql []byte) (*settingChange, *verdict.Error) {
	if class.kind != kindSet && class.kind != kindReset {
		return nil, nil
	}
	return s.newSetting(class, sql)
}

// answerDiscard answers DEALLOCATE of statements that the session prepared with
// Parse, and DISCARD ALL outside a transaction. These are not forwarded, because
// the statements have other names on server connections. It reports whether it
// handled the query.
func (s *session) answerDiscard(class statementClass, sql []byte) (bool, error) {
	t := tokenizer{rest: sql}
	t.next()
	word := t.next()
	if class.kind == kindDiscard {
		if !isKeyword(word, "ALL") || s.currentAttachment() != nil {
			return false, nil
		}
		s.mu.Lock()
		s.statements.byName = nil
		s.settings.apply(&settingChange{reset: true})
		s.mu.Unlock()
		return true, s.sendWithReady(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")})
	}
	if isKeyword(word, "PREPARE") {
		word = t.next()
	}
	name := unquote(word)
	if len(word) > 0 && word[0] != '"' {
		name = strings.ToLower(name)
	}
	all := isKeyword(word, "ALL")
	s.mu.Lock()
	known := s.statements.byName[name] != nil
	s.mu.Unlock()
	if !all && !known {
		return false, nil
	}
	if err := s.awaitProxyTurn(); err != nil {
		return true, err
	}
	if s.txStatus() == statusFailed {
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
	return true, s.sendWithReady(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// handleFunctionCall handles FunctionCall, which is a request by itself.
func (s *session) handleFunctionCall(f frame) error {
	class := statementClass{kind: kindOther}
	for {
		a, err := s.ensureAttachment(class)
		if err != nil {
			return s.refuse(err, false)
		}
		sent, err := s.expectAnswer(a, pendingAnswer{kind: expectCall, singleStatement: true, mayCommit: a.mayCommit(class)})
		if err != nil {
			return err
		}
		if sent {
			s.toServer.appendRaw(f)
			a.atRequestEnd = true
			return nil
		}
	}
}

// handleCopyMessage forwards copy data. Without an attachment, it is ignored, as a
// server ignores it outside of a copy.
func (s *session) handleCopyMessage(f frame) error {
	a := s.currentAttachment()
	if a == nil {
		return nil
	}
	if f.kind() != 'd' {
		s.mu.Lock()
		a.copyIn = false
		s.mu.Unlock()
	}
	return s.forwardToServer(a, f)
}
