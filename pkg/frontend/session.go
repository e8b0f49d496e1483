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

// session is one client. Fields without a lock belong to its client goroutine.
type session struct {
	srv *Server
	// raw is the TCP connection, net the same or TLS above it.
	raw, net net.Conn
	log      *logrus.Entry
	in       frameReader
	out      clientWriter

	pid      uint32
	secret   [4]byte
	user     string
	identity identity

	// ctx ends with the session.
	ctx  context.Context
	done context.CancelFunc

	// bundle, route and group are those of the last request.
	bundle *bundle.Compiled
	route  *bundle.Route
	group  Group
	own    ownSettings
	// toServer holds messages for the attached connection.
	toServer outBuffer
	// unnamed is the unnamed prepared statement.
	unnamed *statement
	// ownBound is the statement of the portal ownBoundName when the proxy answers
	// it itself.
	ownBound     *statement
	ownBoundName []byte

	// prepaid says that a token was taken for a request that was not sent yet.
	prepaid bool

	// skip drops messages up to the next Sync, after an error of the proxy's own
	// in the extended protocol.
	skip atomic.Bool
	// lingers lets the client read its last message before the close.
	lingers atomic.Bool

	// mu guards the fields below and those of the attachment that say so. It is
	// taken after out.mu when both are needed.
	mu sync.Mutex
	// changed is signalled when pending, att or att.cancelling changes.
	changed *sync.Cond
	att     *attachment
	pending pendingQueue
	// floor is the smallest position at which the session may read.
	floor      group.Position
	settings   settingList
	statements registry
	// closing says that the session has ended; nothing more is reported.
	closing  bool
	draining bool
	// stopping is the reason for which the session is ended, at stopAt at the
	// latest; nil while it may go on.
	stopping *verdict.Error
	stopAt   time.Time
	// cancelWait ends the wait before a request; nil when none is waiting.
	cancelWait context.CancelFunc
	cancelled  bool
	requests   uint64
}

func newSession(srv *Server, conn net.Conn) *session {
	s := &session{srv: srv, raw: conn, net: conn, log: srv.log}
	s.in = newFrameReader(conn, srv.cfg.MaxMessageBytes)
	s.out.conn, s.out.stall = conn, srv.cfg.StallTimeout
	s.changed = sync.NewCond(&s.mu)
	s.ctx, s.done = context.WithCancel(context.Background())
	return s
}

// adopt takes over the route and group of a bundle. A floor of another group
// says nothing about the new one.
func (s *session) adopt(b *bundle.Compiled) error {
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

// requestID returns the client's request identity or a generated one.
func (s *session) requestID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own.requestID != "" {
		return s.own.requestID
	}
	return fmt.Sprintf("%s-%08x-%d", s.srv.cfg.Instance, s.pid, s.requests)
}

// serve handles messages until the session ends, and leaves no server
// connection attached.
func (s *session) serve() {
	defer s.done()
	for {
		err := s.step()
		if err == nil {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if err = s.interrupted(); err == nil {
				continue
			}
		}
		s.end(err)
		return
	}
}

// step handles one message.
func (s *session) step() error {
	if !s.in.complete() || s.toServer.len() >= flushBytes {
		if err := s.flushServer(); err != nil {
			return err
		}
		if s.current() == nil {
			s.in.shrink()
		}
	}
	f, err := s.in.next()
	if err != nil {
		return err
	}
	return s.handle(f)
}

func (s *session) handle(f frame) error {
	if s.skip.Load() && f.kind() != 'S' && f.kind() != 'X' {
		return nil
	}
	switch f.kind() {
	case 'Q':
		return s.query(f)
	case 'P':
		return s.parse(f)
	case 'B':
		return s.bind(f)
	case 'D':
		return s.describe(f)
	case 'E':
		return s.execute(f)
	case 'C':
		return s.closeTarget(f)
	case 'S':
		return s.sync(f)
	case 'H':
		return s.flushRequest(f)
	case 'F':
		return s.functionCall(f)
	case 'd', 'c', 'f':
		return s.copyMessage(f)
	case 'X':
		return errEnded
	}
	return malformed("unknown message type %q", f.kind())
}

// malformed returns the fatal error for a message that breaks the protocol.
func malformed(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ProtocolViolation, format, args...).AsFatal()
}

// end closes the attachment, if any, and reports err when the client does not
// know it yet.
func (s *session) end(err error) {
	var v *verdict.Error
	if errors.Is(err, errMessageLength) {
		v = malformed("message length out of bounds; at most %d bytes are accepted", s.srv.cfg.MaxMessageBytes)
	} else if !errors.As(err, &v) && !errors.Is(err, errEnded) {
		// The client is gone: a relay that writes to it must not block.
		s.raw.Close()
	}
	outcome := s.abandon()
	if v == nil {
		return
	}
	if outcome != verdict.NotRun {
		v = verdict.New(outcome, verdict.OutcomeUnknown, "%s", v.Message)
	}
	s.fatal(v)
}

// abandon closes the attached server connection and returns what is known about
// the request that was running on it.
func (s *session) abandon() verdict.Verdict {
	s.mu.Lock()
	a := s.att
	alreadyClosing := s.closing
	s.closing = true
	outcome := verdict.NotRun
	running := false
	if a != nil {
		a.broken = true
		running = s.pending.len() > 0
		if a.sent && s.pending.mayCommit() {
			outcome = verdict.MayHaveRun
		}
	}
	s.mu.Unlock()
	s.done()
	if a == nil || alreadyClosing {
		if a != nil && a.started {
			<-a.done
		}
		return outcome
	}
	if running && outcome == verdict.NotRun {
		// The server would go on with a statement that nobody waits for.
		address, pid, secret := a.conn.CancelKey()
		go sendCancel(address, pid, secret)
	}
	a.kill()
	return outcome
}

// current returns the attachment, or nil.
func (s *session) current() *attachment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.att
}

// poke wakes the client goroutine from its read. State that it is to see must
// be set before.
func (s *session) poke() { s.raw.SetReadDeadline(time.Unix(1, 0)) }

// answer sends the proxy's own messages and the state that ends a request.
func (s *session) answer(messages ...pgproto3.BackendMessage) error {
	return s.out.send(append(messages, &pgproto3.ReadyForQuery{TxStatus: s.status()})...)
}

func (s *session) status() byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.att == nil {
		return statusIdle
	}
	return s.att.status
}

// refuse reports an error for a message that was not passed on. The session has
// no attachment. In the extended protocol it drops messages up to the Sync.
func (s *session) refuse(err error, extended bool) error {
	switch {
	case errors.Is(err, errEnded):
		return err
	case errors.Is(err, errDropped):
		return nil
	}
	v := notRun(err)
	if v.Fatal {
		return v
	}
	request := s.requestID()
	s.logRefusal(v, request)
	if extended {
		s.skip.Store(true)
		return s.out.send(errorResponse(v, request))
	}
	return s.answer(errorResponse(v, request))
}
