package frontend

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// revocationGrace is the time that a running statement gets to finish after its key
// was revoked.
const revocationGrace = 2 * time.Second

// stop ends the session for a reason. A running statement may finish within the
// grace period.
func (s *session) stop(reason *verdict.Error, grace time.Duration) {
	s.mu.Lock()
	deadline := time.Now().Add(grace)
	if s.stopping == nil || deadline.Before(s.stopAt) {
		s.stopping, s.stopAt = reason, deadline
	}
	if s.cancelWait != nil {
		s.cancelWait()
	}
	s.changed.Broadcast()
	s.mu.Unlock()
	s.wake()
	// A client goroutine that is blocked in a write notices neither the reason nor
	// the deadline, so its connections are closed.
	time.AfterFunc(grace+3*lastMessageGrace, func() {
		if s.ctx.Err() == nil {
			s.rawConn.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.attached != nil && s.attached.conn != nil {
				s.attached.conn.NetConn().Close()
			}
		}
	})
}

// drain ends the session as soon as it is idle.
func (s *session) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.wake()
}

// handleWake checks why the client goroutine was woken. It returns nil if the
// session continues.
func (s *session) handleWake() error {
	// The deadline is cleared before the state is read, so that a later wake is not
	// lost.
	s.rawConn.SetReadDeadline(time.Time{})
	s.mu.Lock()
	closing, draining, reason, deadline := s.closing, s.draining, s.stopping, s.stopAt
	idle := s.attached == nil
	s.mu.Unlock()
	switch {
	case closing:
		return errSessionEnded
	case reason != nil:
		return s.awaitStop(reason, deadline)
	case draining && idle && !s.ignoreTillSync.Load():
		return errShuttingDown()
	}
	return nil
}

// awaitStop waits until the running statement is answered or the deadline has
// passed, and returns the reason as a fatal error. If a transaction is open then,
// closing its connection rolls it back.
func (s *session) awaitStop(reason *verdict.Error, deadline time.Time) error {
	if err := s.flushToServer(); err != nil {
		return err
	}
	wake := time.AfterFunc(time.Until(deadline), func() {
		s.mu.Lock()
		s.changed.Broadcast()
		s.mu.Unlock()
	})
	defer wake.Stop()
	s.mu.Lock()
	for s.attached != nil && !s.closing && s.pending.len() > 0 && time.Now().Before(deadline) {
		s.changed.Wait()
	}
	closing, a := s.closing, s.attached
	running := a != nil && s.pending.len() > 0
	open := a != nil && !running
	s.mu.Unlock()
	switch {
	case closing:
		return errSessionEnded
	case running:
		s.cancelRequest()
		// A relay that is blocked on a write to the client must not outlive the
		// session.
		s.out.lastDeadlineSet.Store(true)
		s.rawConn.SetWriteDeadline(time.Now().Add(lastMessageTimeout))
	case open:
		v := verdict.New(reason.Verdict, reason.Code, "%s; the transaction was rolled back", reason.Message)
		return v.AsFatal()
	}
	return reason.AsFatal()
}
