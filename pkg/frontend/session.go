package frontend

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// Transaction states of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusInTx   = 'T'
	statusFailed = 'E'
)

// session is the session of one client. Fields that are not guarded by mu are
// used by the client goroutine only, unless stated otherwise.
type session struct {
	srv *Server
	// rawConn is the TCP connection; conn is the same connection, or TLS on top
	// of it.
	rawConn, conn net.Conn
	log           *logrus.Entry
	in            frameReader
	out           clientWriter

	pid      uint32
	secret   [4]byte
	user     string
	identity identity

	// ctx ends with the session.
	ctx       context.Context
	cancelCtx context.CancelFunc

	// bundle, route and group are those that the last request used.
	bundle        *bundle.Compiled
	route         *bundle.Route
	group         Group
	proxySettings proxySettings
	// toServer buffers messages for the attached connection.
	toServer outBuffer
	// unnamedStatement is the session's unnamed prepared statement.
	unnamedStatement *statement
	// proxyPortalStatement is the statement bound to the portal proxyPortalName
	// if the proxy executes it itself, and nil otherwise.
	proxyPortalStatement *statement
	proxyPortalName      []byte

	// admitted is set if the rate limit was charged for a request that was not
	// sent yet, so that the request is not charged again.
	admitted bool

	// ignoreTillSync makes the session discard messages up to the next Sync, as a
	// server does after an error in the extended protocol. It is set after errors
	// that the proxy itself reported.
	ignoreTillSync atomic.Bool
	// lingerOnClose makes close wait until the client has read its last message.
	lingerOnClose atomic.Bool

	// mu guards the fields below and some fields of the attachment. If both locks
	// are needed, out.mu is locked first.
	mu sync.Mutex
	// changed is signalled when pending, attached or attached.cancelInFlight
	// changes.
	changed  *sync.Cond
	attached *attachment
	pending  pendingQueue
	// floor is the log position that a member's visible state must have reached
	// for the session to read from it.
	floor      group.Position
	settings   settingList
	statements statementRegistry
	// closing is set once the session has ended; no further errors are reported
	// to the client.
	closing  bool
	draining bool
	// stopping is the reason why the session is being ended, and stopAt the
	// deadline for it. It is nil while the session may continue.
	stopping *verdict.Error
	stopAt   time.Time
	// cancelWait ends the wait of a request for admission and for a server
	// connection; it is nil if no request is waiting. cancelled is set if a cancel
	// request ended the wait.
	cancelWait context.CancelFunc
	cancelled  bool
	// requests counts the requests of the session, for generated request IDs.
	requests uint64
}

func newSession(srv *Server, conn net.Conn) *session {
	s := &session{srv: srv, rawConn: conn, conn: conn, log: srv.log}
	s.in = newFrameReader(conn, srv.cfg.MaxMessageBytes)
	s.out.conn, s.out.stallTimeout = conn, srv.cfg.StallTimeout
	s.changed = sync.NewCond(&s.mu)
	s.ctx, s.cancelCtx = context.WithCancel(context.Background())
	return s
}

// applyBundle makes the session use the route and group of a bundle. If the group
// changes, the floor is reset, because positions of different groups cannot be
// compared.
func (s *session) applyBundle(b *bundle.Compiled) error {
	route := b.Route(s.identity.route)
	g, ok := s.srv.cfg.Policy.Group(route.Group)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.NoPrimary, "group %q is not available yet", route.Group)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.route != nil && s.route.Group != route.Group {
		s.floor = group.Position{}
	}
	if s.route == nil || s.route.Access != route.Access {
		s.settings.enforceAccess(route.Access)
	}
	s.bundle, s.route, s.group = b, route, g
	return nil
}

// requestID returns the request ID that the client set, or a generated one.
func (s *session) requestID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proxySettings.requestID != "" {
		return s.proxySettings.requestID
	}
	return fmt.Sprintf("%s-%08x-%d", s.srv.cfg.Instance, s.pid, s.requests)
}

// serve handles messages until the session ends. It leaves no server connection
// attached.
func (s *session) serve() {
	defer s.cancelCtx()
	for {
		err := s.handleNext()
		if err == nil {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if err = s.handleWake(); err == nil {
				continue
			}
		}
		s.terminate(err)
		return
	}
}

// handleNext reads and handles one message. Before a read that may block, it
// writes the buffered messages to the server.
func (s *session) handleNext() error {
	if !s.in.hasMessage() || s.toServer.len() >= flushBytes {
		if err := s.flushToServer(); err != nil {
			return err
		}
		if s.currentAttachment() == nil {
			s.in.shrink()
		}
	}
	f, err := s.in.next()
	if err != nil {
		return err
	}
	return s.dispatch(f)
}

// dispatch calls the handler for the message's type.
func (s *session) dispatch(f frame) error {
	if s.ignoreTillSync.Load() && f.kind() != 'S' && f.kind() != 'X' {
		return nil
	}
	switch f.kind() {
	case 'Q':
		return s.handleQuery(f)
	case 'P':
		return s.handleParse(f)
	case 'B':
		return s.handleBind(f)
	case 'D':
		return s.handleDescribe(f)
	case 'E':
		return s.handleExecute(f)
	case 'C':
		return s.handleClose(f)
	case 'S':
		return s.handleSync(f)
	case 'H':
		return s.handleFlush(f)
	case 'F':
		return s.handleFunctionCall(f)
	case 'd', 'c', 'f':
		return s.handleCopyMessage(f)
	case 'X':
		return errSessionEnded
	}
	return errProtocolViolation("unknown message type %q", f.kind())
}

// errProtocolViolation returns the fatal error for a message that violates the
// protocol.
func errProtocolViolation(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ProtocolViolation, format, args...).AsFatal()
}

// terminate ends the session: it closes the attachment, if any, and reports err
// unless it was already reported to the client.
func (s *session) terminate(err error) {
	var v *verdict.Error
	if errors.Is(err, errMessageLength) {
		v = errProtocolViolation("message length out of bounds; at most %d bytes are accepted", s.srv.cfg.MaxMessageBytes)
	} else if !errors.As(err, &v) && !errors.Is(err, errSessionEnded) {
		// The client has disconnected; a relay that writes to it must not block.
		s.rawConn.Close()
	}
	outcome := s.abandonAttachment()
	if v == nil {
		return
	}
	if outcome != verdict.NotRun {
		v = verdict.New(outcome, verdict.OutcomeUnknown, "%s", v.Message)
	}
	s.fatal(v)
}

// abandonAttachment closes the attached server connection and returns the
// verdict on the request that was running on it.
func (s *session) abandonAttachment() verdict.Verdict {
	s.mu.Lock()
	a := s.attached
	alreadyClosing := s.closing
	s.closing = true
	outcome := verdict.NotRun
	running := false
	if a != nil {
		a.broken = true
		running = s.pending.len() > 0
		if a.mayHaveSent && s.pending.mayCommit() {
			outcome = verdict.MayHaveRun
		}
	}
	s.mu.Unlock()
	s.cancelCtx()
	if a == nil || alreadyClosing {
		if a != nil && a.relayStarted {
			<-a.relayDone
		}
		return outcome
	}
	if running && outcome == verdict.NotRun {
		// Without a cancel request, the server would continue to execute a
		// statement whose result nobody reads.
		address, pid, secret := a.conn.CancelKey()
		go sendCancel(address, pid, secret)
	}
	a.closeConn()
	return outcome
}

// currentAttachment returns the attachment, or nil.
func (s *session) currentAttachment() *attachment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attached
}

// wake interrupts the client goroutine's read through an expired read deadline.
// The caller first sets the state that the client goroutine is to check.
func (s *session) wake() { s.rawConn.SetReadDeadline(time.Unix(1, 0)) }

// sendWithReady sends messages of the proxy itself, followed by ReadyForQuery with
// the transaction state.
func (s *session) sendWithReady(messages ...pgproto3.BackendMessage) error {
	return s.out.send(append(messages, &pgproto3.ReadyForQuery{TxStatus: s.txStatus()})...)
}

func (s *session) txStatus() byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attached == nil {
		return statusIdle
	}
	return s.attached.txStatus
}

// refuse reports an error for a message that was not forwarded. No server
// connection is attached. In the extended protocol, the session then ignores
// messages up to the next Sync.
func (s *session) refuse(err error, extended bool) error {
	switch {
	case errors.Is(err, errSessionEnded):
		return err
	case errors.Is(err, errMessageIgnored):
		return nil
	}
	v := notRun(err)
	if v.Fatal {
		return v
	}
	request := s.requestID()
	s.logRefusal(v, request)
	if extended {
		s.ignoreTillSync.Store(true)
		return s.out.send(errorResponse(v, request))
	}
	return s.sendWithReady(errorResponse(v, request))
}
