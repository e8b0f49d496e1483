package frontend

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// maxExtraRequests bounds the further requests that a pipeline runs on one
	// attachment, so that a long pipeline does not starve other sessions.
	maxExtraRequests = 32
	// setupTimeout bounds DISCARD ALL and the replay of settings, which take no
	// slot of the member. Two attempts stay far below the 8 s for which a write is
	// held at most.
	setupTimeout = time.Second
	// clientCheckAfter is the age of a request from which, once it has acquired a
	// connection, the session checks that the client is still connected. A client
	// that timed out may have repeated the request over another connection.
	clientCheckAfter = 10 * time.Millisecond
)

// txPrediction is the predicted transaction state after the server has executed
// everything that was sent.
type txPrediction uint8

const (
	outsideTransaction txPrediction = iota
	insideTransaction
	unknownTransaction
)

// attach acquires a server connection for a new request.
func (s *session) attach(class statementClass) (*attachment, error) {
	a := &attachment{s: s, txStatus: statusIdle, atRequestEnd: true, connIndependent: true, beganAt: time.Now(), relayDone: make(chan struct{})}
	if err := s.beginRequest(a, class); err != nil {
		s.observe(a.read, a.beganAt, notRun(err).Verdict)
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
	s.attached = a
	return a, nil
}

// beginRequest performs the checks at the start of a request, charges the rate
// limit and acquires a connection for a.
func (s *session) beginRequest(a *attachment, class statementClass) error {
	if err := s.checkNewRequest(); err != nil {
		return err
	}
	a.read, a.readOnlyEnforced = s.declaredRead(class)
	ctx, done := s.beginWait()
	defer done()
	var err error
	if !s.admitted {
		err = s.srv.cfg.Policy.Admit(ctx, s.identity.tenant)
	}
	if err == nil && a.read {
		err = s.ensureFloor(ctx)
	}
	s.admitted = false
	if err == nil {
		err = s.acquire(ctx, a)
	}
	if err != nil {
		return s.waitError(err)
	}
	// The wait may have been long, and the process may have been suspended in the
	// meantime.
	err = s.checkStillAllowed()
	if err == nil && time.Since(a.beganAt) > clientCheckAfter && clientClosed(s.rawConn) {
		err = errSessionEnded
	}
	if err != nil {
		a.conn.Release(true)
	}
	return err
}

// checkNewRequest checks the key, the route and the instance at the start of a
// request, and applies the active bundle to the session.
func (s *session) checkNewRequest() error {
	s.mu.Lock()
	s.requests++
	draining := s.draining
	s.mu.Unlock()
	if draining {
		return errShuttingDown()
	}
	if err := s.checkStillAllowed(); err != nil {
		return err
	}
	if b := s.srv.cfg.Policy.Bundle(); b != s.bundle && b != nil {
		return s.applyBundle(b)
	}
	return nil
}

// checkStillAllowed checks that the session was not stopped, that its key and route
// are still valid and that the instance accepts requests. It is called again just
// before a request takes effect.
func (s *session) checkStillAllowed() error {
	s.mu.Lock()
	stopping := s.stopping
	s.mu.Unlock()
	if stopping != nil {
		return stopping
	}
	if b := s.srv.cfg.Policy.Bundle(); b != s.bundle {
		if err := s.identity.checkAccess(b); err != nil {
			return err
		}
	}
	return s.srv.cfg.Policy.CheckServing()
}

// checkOpenTransaction repeats the checks for a request in an open transaction. The
// returned error ends the transaction and the session. During a shutdown, open
// transactions may continue.
func (s *session) checkOpenTransaction() *verdict.Error {
	err := s.checkStillAllowed()
	if err == nil {
		return nil
	}
	v := notRun(err)
	if v.Code == verdict.ShuttingDown {
		return nil
	}
	return verdict.New(v.Verdict, v.Code, "%s; the transaction was rolled back", v.Message).AsFatal()
}

// beginWait returns a context for the wait of a request for admission and for a
// server connection. A cancel request or the end of the session cancels it. The
// caller calls the returned function when the wait is over.
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

// waitError returns the error for a wait that ended with err. If stop or a cancel
// request ended the wait, this is the reason instead of err.
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

// ensureFloor sets the floor of a session that has none to the primary's current
// position. A floor from a token or from a confirmed write of the session is used
// as it is: the write came after the session began.
func (s *session) ensureFloor(ctx context.Context) error {
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

// acquire acquires a connection and sets it up. It retries once with another
// connection, which is safe because nothing of the request was sent yet.
func (s *session) acquire(ctx context.Context, a *attachment) error {
	s.mu.Lock()
	request := Request{
		Workspace: s.identity.tenant, Weight: s.queueWeight(), Database: s.route.Database,
		Read: a.read, Floor: s.floor, MaxAge: s.maxAge(), ReadWait: s.readWait(),
	}
	s.mu.Unlock()
	for attempt := 0; ; attempt++ {
		conn, err := s.group.Acquire(ctx, request)
		if err != nil {
			return err
		}
		if _, seen := s.srv.groupParameters.Load(s.route.Group); !seen {
			s.srv.groupParameters.Store(s.route.Group, conn.Parameters())
		}
		err = s.setUpConn(conn)
		if err == nil {
			a.conn, a.group, a.groupName = conn, s.group, s.route.Group
			return nil
		}
		conn.Release(false)
		var rejected *settingRejectedError
		if asSettingRejected(err, &rejected) {
			return verdict.New(verdict.NotRun, verdict.InvalidParameter, "the server rejected a setting of the session: %s", rejected.message)
		}
		if attempt > 0 {
			return verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the server connection failed before the request was sent").WithCause(err)
		}
	}
}

// queueWeight returns the workspace's weight in fair queueing.
func (s *session) queueWeight() uint32 {
	if w := s.bundle.Workspace(s.identity.workspace); w != nil && w.Weight > 0 {
		return w.Weight
	}
	return 1
}

// declaredRead reports whether the client declared the transaction read-only, and
// whether the settings on the server connection also enforce this outside of
// transaction blocks.
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

// ensureAttachment returns the attachment for a message of the class. A message
// that starts a request outside a transaction is charged to the rate limit and may
// get a new attachment.
func (s *session) ensureAttachment(class statementClass) (*attachment, error) {
	for {
		a, ready, err := s.reuseAttachment(class)
		if err != nil || ready {
			return a, err
		}
		if a == nil {
			return s.attach(class)
		}
		if err := s.awaitAnswers(a); err != nil {
			return nil, err
		}
	}
}

// reuseAttachment returns the current attachment and whether it can take a message
// of the class now. If it is not ready, the caller waits for the outstanding
// answers and tries again. It returns nil if there is no attachment.
func (s *session) reuseAttachment(class statementClass) (a *attachment, ready bool, err error) {
	read, _ := s.declaredRead(class)
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return nil, false, errSessionEnded
	}
	a = s.attached
	if a == nil {
		s.mu.Unlock()
		if s.ignoreTillSync.Load() {
			return nil, false, errMessageIgnored
		}
		return nil, false, nil
	}
	if a.copyIn {
		// In copy mode the server itself rejects other messages.
		s.mu.Unlock()
		return a, true, nil
	}
	if a.cancelInFlight {
		s.mu.Unlock()
		return a, false, nil
	}
	if s.pending.len() == 0 && a.atRequestEnd {
		a.syncPrediction()
	}
	if !a.atRequestEnd {
		s.mu.Unlock()
		return a, true, nil
	}
	if a.predictedTx == insideTransaction {
		s.mu.Unlock()
		if v := s.checkOpenTransaction(); v != nil {
			return nil, false, s.failAfterAnswers(a, v)
		}
		return a, true, nil
	}
	share := a.predictedTx == outsideTransaction && a.read == read && !a.cancelled && a.extraRequests < maxExtraRequests
	s.mu.Unlock()
	if !share {
		return a, false, nil
	}
	if err := s.checkNewRequest(); err != nil {
		return nil, false, s.failAfterAnswers(a, err)
	}
	ctx, done := s.beginWait()
	defer done()
	if err := s.srv.cfg.Policy.Admit(ctx, s.identity.tenant); err != nil {
		return nil, false, s.failAfterAnswers(a, s.waitError(err))
	}
	a.extraRequests++
	s.admitted = true
	return a, true, nil
}

// failAfterAnswers waits until the earlier requests have their answers and returns
// err.
func (s *session) failAfterAnswers(a *attachment, err error) error {
	if ended := s.awaitAnswers(a); ended != nil {
		return ended
	}
	return err
}

// awaitAnswers waits until all requests sent on the attachment are answered and no
// cancel request is being delivered.
func (s *session) awaitAnswers(a *attachment) error {
	if err := s.flushToServer(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.attached == a && !s.closing && ((s.pending.len() > 0 && a.atRequestEnd) || a.cancelInFlight) {
		if reason, deadline := s.stopping, s.stopAt; reason != nil {
			s.mu.Unlock()
			err := s.awaitStop(reason, deadline)
			s.mu.Lock()
			return err
		}
		s.changed.Wait()
	}
	if s.closing {
		return errSessionEnded
	}
	return nil
}

// expectAnswer adds an outstanding answer to the queue. It returns false if the
// attachment has ended in the meantime.
func (s *session) expectAnswer(a *attachment, p pendingAnswer) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closing:
		return false, errSessionEnded
	case s.attached != a:
		return false, nil
	case a.serverIgnoresTillSync && p.kind != expectSync:
		return true, nil
	case a.copyIn && p.kind == expectSync:
		return true, nil
	case s.pending.len() >= maxPendingAnswers:
		return false, errProtocolViolation("more than %d messages without an answer", maxPendingAnswers)
	}
	if p.kind == expectSync {
		a.serverIgnoresTillSync = false
	}
	s.pending.push(p)
	s.admitted = false
	return true, nil
}

// flushToServer writes buffered messages to the attached connection. The first
// write starts the relay, which reports all failures from then on.
func (s *session) flushToServer() error {
	for s.toServer.len() > 0 {
		a := s.currentAttachment()
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

// awaitProxyTurn waits until all earlier answers are sent, so that the proxy can
// answer a message itself in order. Inside a pipeline without a Sync it returns an
// error, because the server may buffer its answers until the Sync.
func (s *session) awaitProxyTurn() error {
	a := s.currentAttachment()
	if a == nil {
		return nil
	}
	s.mu.Lock()
	blocked := !a.atRequestEnd && s.pending.len() > 0
	s.mu.Unlock()
	if blocked {
		return verdict.New(verdict.NotRun, verdict.FeatureNotSupported, "this statement needs a Sync before it in a pipeline").AsFatal()
	}
	return s.awaitAnswers(a)
}

// refuseInOrder reports an error after the answers to earlier messages. Inside a
// transaction it ends the session, because the server's transaction would not be
// in the failed state that the client expects after an error.
func (s *session) refuseInOrder(v *verdict.Error, extended bool) error {
	if err := s.awaitProxyTurn(); err != nil {
		return err
	}
	if s.currentAttachment() != nil {
		return v.AsFatal()
	}
	return s.refuse(v, extended)
}

// handleProxyCommand answers SET, RESET and SHOW of the proxy's settings in the
// simple protocol.
func (s *session) handleProxyCommand(c *proxyCommand) error {
	if err := s.awaitProxyTurn(); err != nil {
		return err
	}
	row, tag, verr := c.run(s)
	if verr != nil {
		return s.refuseInOrder(verr, false)
	}
	complete := &pgproto3.CommandComplete{CommandTag: []byte(tag)}
	if row == nil {
		return s.sendWithReady(complete)
	}
	return s.sendWithReady(c.describe(), row, complete)
}
