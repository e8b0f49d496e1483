package frontend

import (
	"crypto/subtle"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cancelTimeout bounds the delivery of a cancel request to a server, which closes
// the connection once it has processed the request.
const cancelTimeout = time.Second

// receiveCancel handles a cancel request that arrived instead of a startup message.
// Cancel requests are never answered.
func (s *session) receiveCancel(packet []byte) error {
	var m pgproto3.CancelRequest
	if err := m.Decode(packet); err != nil {
		return errProtocolViolation("malformed cancel request")
	}
	if !s.srv.Cancel(m.ProcessID, m.SecretKey) && s.srv.cfg.ForwardCancel != nil {
		s.srv.cfg.ForwardCancel(m.ProcessID, m.SecretKey)
	}
	return nil
}

// Cancel cancels the running request of the session with the process ID and secret
// key, and reports whether this instance has that session. It blocks until the
// server has processed the cancel request, for at most about a second.
func (s *Server) Cancel(pid uint32, secret []byte) bool {
	s.mu.Lock()
	sess := s.sessions[pid]
	s.mu.Unlock()
	if sess == nil || subtle.ConstantTimeCompare(sess.secret[:], secret) != 1 {
		return false
	}
	sess.cancelRequest()
	return true
}

// cancelRequest cancels the session's running request, or its wait for a
// connection. While the cancel request is being delivered, the session starts no
// further request on the same connection, and the connection is not reused
// afterwards, because a late cancel request would hit another request.
func (s *session) cancelRequest() {
	s.mu.Lock()
	if s.cancelWait != nil {
		s.cancelled = true
		s.cancelWait()
		s.mu.Unlock()
		return
	}
	a := s.attached
	if a == nil || s.pending.len() == 0 || a.cancelInFlight || a.conn == nil {
		s.mu.Unlock()
		return
	}
	a.cancelled, a.cancelInFlight = true, true
	address, pid, secret := a.conn.CancelKey()
	s.mu.Unlock()
	sendCancel(address, pid, secret)
	s.mu.Lock()
	a.cancelInFlight = false
	s.changed.Broadcast()
	s.mu.Unlock()
}

// sendCancel sends a cancel request to a server and waits until the server has
// processed it. It is best effort: errors are ignored.
func sendCancel(address string, pid uint32, secret []byte) {
	conn, err := net.DialTimeout("tcp", address, cancelTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(cancelTimeout))
	b, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}).Encode(nil)
	if err != nil {
		return
	}
	if _, err := conn.Write(b); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
