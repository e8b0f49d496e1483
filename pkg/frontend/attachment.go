package frontend

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// attachment is a server connection in use by a session, from the first message
// of a request until the connection is released. Fields are used by the client
// goroutine only, unless stated otherwise.
type attachment struct {
	s *session
	// conn, group, groupName, read, readOnlyEnforced and beganAt do not change
	// once the relay runs.
	conn      Conn
	group     Group
	groupName string
	read      bool
	// readOnlyEnforced is set if the settings on the server connection make the
	// server refuse writes.
	readOnlyEnforced bool
	beganAt          time.Time
	// relayDone is closed when the relay has ended; relayStarted is set once it
	// was started.
	relayDone    chan struct{}
	relayStarted bool
	// connIndependent is set while the buffered messages do not depend on the
	// prepared statements of this connection, so that they can be sent on another
	// one. retried is set once the connection was replaced.
	connIndependent bool
	retried         bool
	// atRequestEnd is set if the last message ended a request (Query, Sync or
	// FunctionCall).
	atRequestEnd bool
	predictedTx  txPrediction
	// mayHaveEndedTx is set if a statement that may end the transaction was sent
	// since txStatus last covered everything that was sent.
	mayHaveEndedTx bool
	// maybeWritable is set if the client may have turned the read-only mode off.
	maybeWritable bool
	// mayCommitSinceSync is set if a statement that may commit was sent since the
	// last Sync.
	mayCommitSinceSync bool
	// extraRequests counts the requests after the first one that used this
	// attachment.
	extraRequests int
	// unnamedStatement is the unnamed statement on the connection. unnamedPortal
	// and namedPortals are the statements to which portals are bound.
	unnamedStatement *statement
	unnamedPortal    *statement
	namedPortals     map[string]*statement

	// The fields below are guarded by session.mu.

	// txStatus is the transaction status of the last ReadyForQuery.
	txStatus byte
	// mayHaveSent is set if the server may have received a part of the client's
	// messages.
	mayHaveSent bool
	// serverIgnoresTillSync is set while the server ignores messages up to the
	// next Sync.
	serverIgnoresTillSync bool
	// copyIn is set while the server reads copy data and ignores Sync.
	copyIn bool
	// commitConfirmed is set if a commit was confirmed since the last
	// ReadyForQuery.
	commitConfirmed bool
	// broken or cancelled is set if the connection must not be reused: after it
	// failed, or after a cancel request that may reach the server late.
	broken    bool
	cancelled bool
	// cancelInFlight is set while a cancel request is being delivered.
	cancelInFlight bool
}

// syncPrediction sets the prediction to the state that the server reported. The
// caller holds mu, and no answers are outstanding.
func (a *attachment) syncPrediction() {
	a.mayHaveEndedTx = false
	a.predictedTx = outsideTransaction
	if a.txStatus != statusIdle {
		a.predictedTx = insideTransaction
	}
}

// mayCommit reports whether a statement of the class may make a change
// permanent: by committing the open transaction, or because it runs outside of
// one. It reports true when in doubt.
func (a *attachment) mayCommit(class statementClass) bool {
	a.s.mu.Lock()
	inTransaction := a.txStatus != statusIdle && !a.mayHaveEndedTx
	a.s.mu.Unlock()
	switch class.kind {
	case kindUnknown:
		return true
	case kindBegin, kindEmpty, kindShow, kindRollback:
		return false
	}
	if a.read && !a.maybeWritable && (a.readOnlyEnforced || inTransaction) {
		return false
	}
	return !inTransaction || class.kind == kindCommit
}

// advancePrediction updates the predicted transaction state for a statement that is
// about to be sent.
func (a *attachment) advancePrediction(class statementClass, sql []byte) {
	if a.read && (class.readWrite || class.kind == kindSet || class.kind == kindReset || mayDisableReadOnly(class, sql)) {
		a.maybeWritable = true
	}
	switch class.kind {
	case kindSet, kindReset:
		// The setting can decide whether the next request is a read, and so which
		// kind of connection it needs.
		if a.predictedTx == outsideTransaction {
			a.predictedTx = unknownTransaction
		}
	case kindBegin:
		a.predictedTx = insideTransaction
	case kindCommit, kindRollback:
		a.mayHaveEndedTx = true
		a.predictedTx = outsideTransaction
		if class.chain {
			a.predictedTx = insideTransaction
		}
	case kindUnknown:
		a.mayHaveEndedTx = true
		a.predictedTx = unknownTransaction
	}
}

// write sends bytes to the server; the first write starts the relay. It returns
// retry if the connection failed before any byte was written. The connection has
// then been replaced, or the attachment has ended with an error, and the caller
// writes the same bytes to the current attachment, if any.
func (a *attachment) write(b []byte) (retry bool, err error) {
	s := a.s
	if a.relayStarted {
		if _, err := a.conn.NetConn().Write(b); err != nil {
			a.closeAndAwaitRelay()
		}
		return false, nil
	}
	// The relay does not read yet, and the server may block on writing its
	// answers. The first write is small enough for the kernel's buffers, so that
	// it cannot block on such a server.
	n, err := a.conn.NetConn().Write(b[:min(len(b), flushBytes)])
	if err != nil && n == 0 && a.connIndependent && !a.retried {
		return true, a.replaceConn()
	}
	s.mu.Lock()
	a.mayHaveSent = n > 0
	s.mu.Unlock()
	a.relayStarted = true
	go a.relay()
	if err == nil && n < len(b) {
		_, err = a.conn.NetConn().Write(b[n:])
	}
	if err != nil {
		a.closeAndAwaitRelay()
	}
	return false, nil
}

// closeAndAwaitRelay closes a connection to which a write failed and waits until
// the relay has reported the failure.
func (a *attachment) closeAndAwaitRelay() {
	a.s.mu.Lock()
	// After its release, the connection may serve another session.
	if a.s.attached == a {
		a.broken = true
		a.conn.NetConn().Close()
	}
	a.s.mu.Unlock()
	<-a.relayDone
}

// replaceConn acquires another connection after the first one failed before any
// byte was written to it.
func (a *attachment) replaceConn() error {
	s := a.s
	a.retried = true
	a.conn.Release(false)
	ctx, done := s.beginWait()
	defer done()
	fresh := &attachment{read: a.read}
	err := s.waitError(s.acquire(ctx, fresh))
	s.mu.Lock()
	if err == nil {
		a.conn = fresh.conn
		s.mu.Unlock()
		return nil
	}
	a.conn = nil
	s.mu.Unlock()
	close(a.relayDone)
	a.finish(notRun(err), false)
	return nil
}

// closeConn closes the connection and waits for the relay to end. The caller has
// set session.closing, so that the relay reports nothing to the client.
func (a *attachment) closeConn() {
	if !a.relayStarted {
		a.s.mu.Lock()
		a.s.attached = nil
		a.s.mu.Unlock()
		a.conn.Release(false)
		return
	}
	a.closeAndAwaitRelay()
}

// settingRejectedError is returned if the server rejects a replayed setting.
type settingRejectedError struct{ message string }

func (e *settingRejectedError) Error() string { return e.message }

func asSettingRejected(err error, target **settingRejectedError) bool { return errors.As(err, target) }

// setUpConn replays the session's settings on a connection. A connection that was
// used by another workspace, or that has other settings, is first reset by
// DISCARD ALL.
func (s *session) setUpConn(conn Conn) error {
	s.mu.Lock()
	state := conn.SessionState()
	_, changed := state[settingsMarker]
	_, matches := state[s.settings.key]
	last := conn.LastWorkspace()
	discard := (last != "" && last != s.identity.tenant) || (changed && !matches)
	replay := ""
	if (discard || !matches) && s.settings.needsReplay(conn.Parameters()) {
		replay = s.settings.sql()
	}
	s.mu.Unlock()
	if !discard && replay == "" {
		return nil
	}
	netConn := conn.NetConn()
	if err := netConn.SetDeadline(time.Now().Add(setupTimeout)); err != nil {
		return errors.Wrap(err, "set setup deadline")
	}
	if discard {
		if err := runSetupQuery(conn, "DISCARD ALL"); err != nil {
			return errors.Newf("DISCARD ALL: %v", err)
		}
	}
	s.mu.Lock()
	if discard {
		clear(state)
	}
	if replay != "" {
		s.recordSettings(state, "")
	}
	s.mu.Unlock()
	if replay != "" {
		if err := runSetupQuery(conn, replay); err != nil {
			return err
		}
	}
	return errors.Wrap(netConn.SetDeadline(time.Time{}), "clear setup deadline")
}

// runSetupQuery runs a simple query on behalf of the proxy and discards its
// result.
func runSetupQuery(conn Conn, sql string) error {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode setup query")
	}
	if _, err := conn.NetConn().Write(b); err != nil {
		return errors.Wrap(err, "send setup query")
	}
	var rejected error
	for {
		m, err := conn.Frontend().Receive()
		if err != nil {
			return errors.Wrap(err, "receive setup result")
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			if isFatal(m) {
				return errors.Newf("server error: %s", m.Message)
			}
			rejected = &settingRejectedError{message: strings.Clone(m.Message)}
		case *pgproto3.ReadyForQuery:
			if rejected == nil && m.TxStatus != statusIdle {
				return errors.New("the connection is in a transaction")
			}
			return rejected
		}
	}
}

// isFatal reports whether the server closes the connection after the error.
func isFatal(m *pgproto3.ErrorResponse) bool {
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	return severity == "FATAL" || severity == "PANIC"
}
