package frontend

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// revokeGrace is the time that a running statement gets after its key was
// revoked.
const revokeGrace = 2 * time.Second

// stop ends the session for a reason. A running statement gets the grace.
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
	s.poke()
	// A client goroutine that is blocked in a write sees neither the reason nor
	// the deadline.
	time.AfterFunc(grace+3*drainKillWait, func() {
		if s.ctx.Err() == nil {
			s.raw.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.att != nil && s.att.conn != nil {
				s.att.conn.NetConn().Close()
			}
		}
	})
}

// drain ends the session once it is idle.
func (s *session) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.poke()
}

// interrupted handles a poke. It returns nil when the session goes on.
func (s *session) interrupted() error {
	// The deadline is cleared before the state is read, so that a later poke is
	// not lost.
	s.raw.SetReadDeadline(time.Time{})
	s.mu.Lock()
	closing, draining, reason, deadline := s.closing, s.draining, s.stopping, s.stopAt
	idle := s.att == nil
	s.mu.Unlock()
	switch {
	case closing:
		return errEnded
	case reason != nil:
		return s.stopped(reason, deadline)
	case draining && idle && !s.skip.Load():
		return errShuttingDown()
	}
	return nil
}

// stopped waits until the running statement has its answer or the grace is
// over, and returns the reason. A transaction that is open after that is rolled
// back by closing its connection.
func (s *session) stopped(reason *verdict.Error, deadline time.Time) error {
	if err := s.flushServer(); err != nil {
		return err
	}
	wake := time.AfterFunc(time.Until(deadline), func() {
		s.mu.Lock()
		s.changed.Broadcast()
		s.mu.Unlock()
	})
	defer wake.Stop()
	s.mu.Lock()
	for s.att != nil && !s.closing && s.pending.len() > 0 && time.Now().Before(deadline) {
		s.changed.Wait()
	}
	closing, a := s.closing, s.att
	running := a != nil && s.pending.len() > 0
	open := a != nil && !running
	s.mu.Unlock()
	switch {
	case closing:
		return errEnded
	case running:
		s.cancelRequest()
		// A relay that is blocked on the client must not outlast the session.
		s.out.last.Store(true)
		s.raw.SetWriteDeadline(time.Now().Add(lastMessageTime))
	case open:
		v := verdict.New(reason.Verdict, reason.Code, "%s; the transaction was rolled back", reason.Message)
		return v.AsFatal()
	}
	return reason.AsFatal()
}
