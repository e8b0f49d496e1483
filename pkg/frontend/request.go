package frontend

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// maxSharedRequests bounds the requests that a pipeline runs on one
	// attachment, so that other sessions get their turn.
	maxSharedRequests = 32
	// setupTimeout bounds DISCARD ALL and the replay of settings, which take no
	// slot of the member. Two attempts stay far below the 8 s of a held write.
	setupTimeout = time.Second
	// longWait is the wait before a request after which the client is looked
	// for: a client that gave up may have repeated the request elsewhere.
	longWait = 10 * time.Millisecond
)

// prediction is the transaction state after everything that was sent.
type prediction uint8

const (
	outsideTransaction prediction = iota
	insideTransaction
	unknownTransaction
)

// attach acquires a server connection for a new request.
func (s *session) attach(class statementClass) (*attachment, error) {
	a := &attachment{s: s, status: statusIdle, boundary: true, portable: true, began: time.Now(), done: make(chan struct{})}
	if err := s.enter(a, class); err != nil {
		s.observe(a.read, a.began, notRun(err).Verdict)
		return nil, err
	}
	s.toServer.release()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping != nil {
		a.conn.Release(true)
		return nil, s.stopping
	}
	s.pending.reset()
	s.att = a
	return a, nil
}

// enter runs the checks at the start of a request and fills in the connection.
func (s *session) enter(a *attachment, class statementClass) error {
	if err := s.checkRequest(); err != nil {
		return err
	}
	a.read, a.enforced = s.declaredRead(class)
	ctx, done := s.beginWait()
	defer done()
	var err error
	if !s.prepaid {
		err = s.srv.cfg.Policy.Admit(ctx, s.identity.tenant)
	}
	if err == nil && a.read {
		err = s.sampleFloor(ctx)
	}
	s.prepaid = false
	if err == nil {
		err = s.acquire(ctx, a)
	}
	if err != nil {
		return s.waitError(err)
	}
	// The wait can be long, and the process can have been paused in it.
	err = s.checkEffect()
	if err == nil && time.Since(a.began) > longWait && hasLeft(s.raw) {
		err = errEnded
	}
	if err != nil {
		a.conn.Release(true)
	}
	return err
}

// checkRequest checks the key, the route and the instance before a request.
func (s *session) checkRequest() error {
	s.mu.Lock()
	s.requests++
	draining := s.draining
	s.mu.Unlock()
	if draining {
		return errShuttingDown()
	}
	if err := s.checkEffect(); err != nil {
		return err
	}
	if b := s.srv.cfg.Policy.Bundle(); b != s.bundle && b != nil {
		return s.adopt(b)
	}
	return nil
}

// checkEffect repeats the checks at the point of effect.
func (s *session) checkEffect() error {
	s.mu.Lock()
	stopping := s.stopping
	s.mu.Unlock()
	if stopping != nil {
		return stopping
	}
	if b := s.srv.cfg.Policy.Bundle(); b != s.bundle {
		if err := s.identity.check(b); err != nil {
			return err
		}
	}
	return s.srv.cfg.Policy.Serving()
}

// checkOpen repeats the checks before a request in an open transaction, which
// the returned error ends. A shutdown lets open transactions finish.
func (s *session) checkOpen() *verdict.Error {
	err := s.checkEffect()
	if err == nil {
		return nil
	}
	v := notRun(err)
	if v.Code == verdict.ShuttingDown {
		return nil
	}
	return verdict.New(v.Verdict, v.Code, "%s; the transaction was rolled back", v.Message).AsFatal()
}

// beginWait returns the context of the wait before a request; a cancel request
// ends it.
func (s *session) beginWait() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancelWait, s.cancelled = cancel, false
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancelWait = nil
		s.mu.Unlock()
		cancel()
	}
}

func (s *session) waitError(err error) error {
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping != nil {
		return s.stopping
	}
	if s.cancelled {
		return verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled while waiting for a server connection")
	}
	return err
}

// sampleFloor gives a session without a token the primary's position. An
// acknowledged write of the session is as good: it came after the session began.
func (s *session) sampleFloor(ctx context.Context) error {
	s.mu.Lock()
	have := !s.floor.IsZero()
	s.mu.Unlock()
	if have {
		return nil
	}
	p, err := s.group.SampleFloor(ctx)
	if err != nil {
		return err
	}
	s.raiseFloor(p)
	return nil
}

// acquire takes a connection and prepares it, and tries once more when the first
// one fails: nothing of the client's was sent yet.
func (s *session) acquire(ctx context.Context, a *attachment) error {
	s.mu.Lock()
	request := Request{
		Workspace: s.identity.tenant, Weight: s.weight(), Database: s.route.Database,
		Read: a.read, Floor: s.floor, MaxAge: s.maxAge(), ReadWait: s.readWait(),
	}
	s.mu.Unlock()
	for attempt := 0; ; attempt++ {
		conn, err := s.group.Acquire(ctx, request)
		if err != nil {
			return err
		}
		if _, seen := s.srv.parameters.Load(s.route.Group); !seen {
			s.srv.parameters.Store(s.route.Group, conn.Parameters())
		}
		err = s.prepareConn(conn)
		if err == nil {
			a.conn, a.group, a.groupName = conn, s.group, s.route.Group
			return nil
		}
		conn.Release(false)
		var refused *settingRefused
		if asRefused(err, &refused) {
			return verdict.New(verdict.NotRun, verdict.InvalidParameter, "a setting of the session was refused: %s", refused.message)
		}
		if attempt > 0 {
			return verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the server connection failed before the request was sent").WithCause(err)
		}
	}
}

func (s *session) weight() uint32 {
	if w := s.bundle.Workspace(s.identity.workspace); w != nil && w.Weight > 0 {
		return w.Weight
	}
	return 1
}

// declaredRead reports whether the client declared the transaction a read, and
// whether the server connection's settings enforce it outside of transactions.
func (s *session) declaredRead(class statementClass) (read, enforced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	enforced = s.readsByDefault()
	if class.kind == kindBegin {
		switch {
		case class.readOnly:
			return true, enforced
		case class.readWrite:
			return false, false
		}
	}
	return enforced, enforced
}

// ensure returns the attachment for a message of the class. A message that
// starts a request outside a transaction is charged and may get a new one.
func (s *session) ensure(class statementClass) (*attachment, error) {
	for {
		a, ready, err := s.reuse(class)
		if err != nil || ready {
			return a, err
		}
		if a == nil {
			return s.attach(class)
		}
		if err := s.settle(a); err != nil {
			return nil, err
		}
	}
}

// reuse reports whether the current attachment takes a message of the class.
// With an attachment that is not ready, the caller waits for its answers.
func (s *session) reuse(class statementClass) (a *attachment, ready bool, err error) {
	read, _ := s.declaredRead(class)
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return nil, false, errEnded
	}
	a = s.att
	if a == nil {
		s.mu.Unlock()
		if s.skip.Load() {
			return nil, false, errDropped
		}
		return nil, false, nil
	}
	if a.copyIn {
		// The server refuses what is not copy data.
		s.mu.Unlock()
		return a, true, nil
	}
	if a.cancelling {
		s.mu.Unlock()
		return a, false, nil
	}
	if s.pending.len() == 0 && a.boundary {
		a.resync()
	}
	if !a.boundary {
		s.mu.Unlock()
		return a, true, nil
	}
	if a.predicted == insideTransaction {
		s.mu.Unlock()
		if v := s.checkOpen(); v != nil {
			return nil, false, s.afterSettling(a, v)
		}
		return a, true, nil
	}
	share := a.predicted == outsideTransaction && a.read == read && !a.cancelled && a.shared < maxSharedRequests
	s.mu.Unlock()
	if !share {
		return a, false, nil
	}
	if err := s.checkRequest(); err != nil {
		return nil, false, s.afterSettling(a, err)
	}
	ctx, done := s.beginWait()
	defer done()
	if err := s.srv.cfg.Policy.Admit(ctx, s.identity.tenant); err != nil {
		return nil, false, s.afterSettling(a, s.waitError(err))
	}
	a.shared++
	s.prepaid = true
	return a, true, nil
}

// afterSettling returns err once earlier requests have their answers.
func (s *session) afterSettling(a *attachment, err error) error {
	if ended := s.settle(a); ended != nil {
		return ended
	}
	return err
}

// settle waits until all requests sent on the attachment are answered and no
// cancel request is on its way.
func (s *session) settle(a *attachment) error {
	if err := s.flushServer(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.att == a && !s.closing && ((s.pending.len() > 0 && a.boundary) || a.cancelling) {
		if reason, deadline := s.stopping, s.stopAt; reason != nil {
			s.mu.Unlock()
			err := s.stopped(reason, deadline)
			s.mu.Lock()
			return err
		}
		s.changed.Wait()
	}
	if s.closing {
		return errEnded
	}
	return nil
}

// push adds an outstanding answer. It returns false when the attachment has
// ended meanwhile.
func (s *session) push(a *attachment, p pending) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closing:
		return false, errEnded
	case s.att != a:
		return false, nil
	case a.skipping && p.kind != expectSync:
		return true, nil
	case a.copyIn && p.kind == expectSync:
		return true, nil
	case s.pending.len() >= maxPending:
		return false, malformed("more than %d messages without an answer", maxPending)
	}
	if p.kind == expectSync {
		a.skipping = false
	}
	s.pending.push(p)
	s.prepaid = false
	return true, nil
}

// flushServer writes pending messages to the attached connection. The relay
// starts with the first write and reports all failures after it.
func (s *session) flushServer() error {
	for s.toServer.len() > 0 {
		a := s.current()
		if a == nil {
			s.toServer.release()
			return nil
		}
		retry, err := a.write(*s.toServer.b)
		if err != nil {
			return err
		}
		if !retry {
			s.toServer.release()
		}
	}
	return nil
}

// local waits until the proxy can answer a message itself, in order. It refuses
// inside a pipeline that has no Sync yet, where the server may keep its answers
// back.
func (s *session) local() error {
	a := s.current()
	if a == nil {
		return nil
	}
	s.mu.Lock()
	blocked := !a.boundary && s.pending.len() > 0
	s.mu.Unlock()
	if blocked {
		return verdict.New(verdict.NotRun, verdict.FeatureNotSupported, "settings of the proxy need a Sync before them in a pipeline").AsFatal()
	}
	return s.settle(a)
}

// refuseInOrder reports an error after the answers to earlier messages. Inside
// a transaction the session ends, because the server does not know the error.
func (s *session) refuseInOrder(v *verdict.Error, extended bool) error {
	if err := s.local(); err != nil {
		return err
	}
	if s.current() != nil {
		return v.AsFatal()
	}
	return s.refuse(v, extended)
}

// ownQuery answers SET, RESET and SHOW of the proxy's settings.
func (s *session) ownQuery(c *ownCommand) error {
	if err := s.local(); err != nil {
		return err
	}
	row, tag, verr := c.run(s)
	if verr != nil {
		return s.refuseInOrder(verr, false)
	}
	complete := &pgproto3.CommandComplete{CommandTag: []byte(tag)}
	if row == nil {
		return s.answer(complete)
	}
	return s.answer(c.describe(), row, complete)
}
