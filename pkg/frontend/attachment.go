package frontend

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// attachment is the use of a server connection from the first message of a
// request to the release. Fields without a remark belong to the client goroutine.
type attachment struct {
	s *session
	// conn, group, groupName, read, enforced and began do not change once the
	// relay runs.
	conn      Conn
	group     Group
	groupName string
	read      bool
	// enforced says that the settings of the connection refuse writes.
	enforced bool
	began    time.Time
	// done is closed when the relay has ended; started says that it was started.
	done    chan struct{}
	started bool
	// portable says that the unsent bytes suit any connection.
	portable bool
	retried  bool
	// boundary says that the last message ended a request.
	boundary  bool
	predicted prediction
	// ended says that a statement that may end the transaction was sent since
	// status was last in step with what was sent.
	ended bool
	// writable says that the client may have turned the read-only mode off.
	writable bool
	// executed says that a statement that may commit was sent since the last Sync.
	executed bool
	// shared counts requests after the first.
	shared int
	// unnamed is the unnamed statement on the connection, portals the bound ones.
	unnamed *statement
	portal  *statement
	portals map[string]*statement

	// The fields below are guarded by session.mu.

	// status is that of the last ReadyForQuery.
	status byte
	// sent says that the server may have received something of the client's.
	sent bool
	// skipping says that the server ignores messages up to the next Sync.
	skipping bool
	// copyIn says that the server reads copy data and ignores Sync.
	copyIn bool
	// confirmed says that a commit was confirmed since the last ReadyForQuery.
	confirmed bool
	// broken and cancelled keep the connection from being used again.
	broken    bool
	cancelled bool
	// cancelling says that a cancel request is on its way.
	cancelling bool
}

// resync takes over the state that the server reported. The caller holds mu and
// nothing is outstanding.
func (a *attachment) resync() {
	a.ended = false
	a.predicted = outsideTransaction
	if a.status != statusIdle {
		a.predicted = insideTransaction
	}
}

// mayCommit reports whether a statement of the class can make a change
// permanent by itself. When in doubt it can.
func (a *attachment) mayCommit(class statementClass) bool {
	a.s.mu.Lock()
	inTransaction := a.status != statusIdle && !a.ended
	a.s.mu.Unlock()
	switch class.kind {
	case kindUnknown:
		return true
	case kindBegin, kindEmpty, kindShow, kindRollback:
		return false
	}
	if a.read && !a.writable && (a.enforced || inTransaction) {
		return false
	}
	return !inTransaction || class.kind == kindEnd
}

// advance predicts the transaction state after a statement.
func (a *attachment) advance(class statementClass, sql []byte) {
	if a.read && (class.readWrite || class.kind == kindSet || class.kind == kindReset || mayAllowWrites(class, sql)) {
		a.writable = true
	}
	switch class.kind {
	case kindSet, kindReset:
		// The next request may need another kind of connection.
		if a.predicted == outsideTransaction {
			a.predicted = unknownTransaction
		}
	case kindBegin:
		a.predicted = insideTransaction
	case kindEnd, kindRollback:
		a.ended = true
		a.predicted = outsideTransaction
		if class.chain {
			a.predicted = insideTransaction
		}
	case kindUnknown:
		a.ended = true
		a.predicted = unknownTransaction
	}
}

// write sends bytes to the server. With retry true, the connection failed before
// it took any byte, and the same bytes are to be written to the new one.
func (a *attachment) write(b []byte) (retry bool, err error) {
	s := a.s
	if a.started {
		if _, err := a.conn.NetConn().Write(b); err != nil {
			a.awaitFailure()
		}
		return false, nil
	}
	// The relay is not reading yet, so only as much is written as the kernel
	// takes while the server is blocked on its answers.
	n, err := a.conn.NetConn().Write(b[:min(len(b), flushBytes)])
	if err != nil && n == 0 && a.portable && !a.retried {
		return true, a.replace()
	}
	s.mu.Lock()
	a.sent = n > 0
	s.mu.Unlock()
	a.started = true
	go a.relay()
	if err == nil && n < len(b) {
		_, err = a.conn.NetConn().Write(b[n:])
	}
	if err != nil {
		a.awaitFailure()
	}
	return false, nil
}

// awaitFailure lets the relay report a connection that no longer takes data.
func (a *attachment) awaitFailure() {
	a.s.mu.Lock()
	// A connection that was released may serve another session.
	if a.s.att == a {
		a.broken = true
		a.conn.NetConn().Close()
	}
	a.s.mu.Unlock()
	<-a.done
}

// replace acquires another connection after the first failed without taking a
// byte.
func (a *attachment) replace() error {
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
	close(a.done)
	a.finish(notRun(err), false)
	return nil
}

// kill closes the connection and waits for the relay. session.closing is set, so
// nothing is reported.
func (a *attachment) kill() {
	if !a.started {
		a.s.mu.Lock()
		a.s.att = nil
		a.s.mu.Unlock()
		a.conn.Release(false)
		return
	}
	a.awaitFailure()
}

// settingRefused is a server's refusal of a replayed setting.
type settingRefused struct{ message string }

func (e *settingRefused) Error() string { return e.message }

func asRefused(err error, target **settingRefused) bool { return errors.As(err, target) }

// prepareConn gives a connection the session's settings. A connection that
// another workspace used, or that has other settings, gets DISCARD ALL first.
func (s *session) prepareConn(conn Conn) error {
	s.mu.Lock()
	state := conn.Prepared()
	_, changed := state[settingsMark]
	_, matches := state[s.settings.key]
	last := conn.LastWorkspace()
	discard := (last != "" && last != s.identity.tenant) || (changed && !matches)
	replay := ""
	if (discard || !matches) && s.settings.needed(conn.Parameters()) {
		replay = s.settings.sql()
	}
	s.mu.Unlock()
	if !discard && replay == "" {
		return nil
	}
	net := conn.NetConn()
	if err := net.SetDeadline(time.Now().Add(setupTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if discard {
		if err := runSetup(conn, "DISCARD ALL"); err != nil {
			return errors.Newf("DISCARD ALL: %v", err)
		}
	}
	s.mu.Lock()
	if discard {
		clear(state)
	}
	if replay != "" {
		s.markSettings(state, "")
	}
	s.mu.Unlock()
	if replay != "" {
		if err := runSetup(conn, replay); err != nil {
			return err
		}
	}
	return errors.Wrap(net.SetDeadline(time.Time{}), "clear deadline")
}

// runSetup runs a simple query of the proxy's own and discards its answer.
func runSetup(conn Conn, sql string) error {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if _, err := conn.NetConn().Write(b); err != nil {
		return errors.Wrap(err, "write")
	}
	var refused error
	for {
		m, err := conn.Frontend().Receive()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			if isFatal(m) {
				return errors.Newf("server: %s", m.Message)
			}
			refused = &settingRefused{message: strings.Clone(m.Message)}
		case *pgproto3.ReadyForQuery:
			if refused == nil && m.TxStatus != statusIdle {
				return errors.New("the connection is in a transaction")
			}
			return refused
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
