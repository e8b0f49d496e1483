package frontend

import (
	"crypto/subtle"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cancelTimeout bounds the delivery of a cancel request to a server. The server
// closes the connection once it has acted.
const cancelTimeout = time.Second

// receiveCancel handles the cancel request that arrived in place of a startup
// packet. It is never answered.
func (s *session) receiveCancel(packet []byte) error {
	var m pgproto3.CancelRequest
	if err := m.Decode(packet); err != nil {
		return malformed("malformed cancel request")
	}
	if !s.srv.Cancel(m.ProcessID, m.SecretKey) && s.srv.cfg.ForwardCancel != nil {
		s.srv.cfg.ForwardCancel(m.ProcessID, m.SecretKey)
	}
	return nil
}

// Cancel cancels the request that the session with the key is running, and
// reports whether this instance has that session. It blocks until the server
// has the cancel request, for at most about a second.
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

// cancelRequest cancels what the session is running now. While the cancel is on
// its way, the session sends no further statement on the same connection, and
// the connection is not used again: a late cancel would hit another request.
func (s *session) cancelRequest() {
	s.mu.Lock()
	if s.cancelWait != nil {
		s.cancelled = true
		s.cancelWait()
		s.mu.Unlock()
		return
	}
	a := s.att
	if a == nil || s.pending.len() == 0 || a.cancelling || a.conn == nil {
		s.mu.Unlock()
		return
	}
	a.cancelled, a.cancelling = true, true
	address, pid, secret := a.conn.CancelKey()
	s.mu.Unlock()
	sendCancel(address, pid, secret)
	s.mu.Lock()
	a.cancelling = false
	s.changed.Broadcast()
	s.mu.Unlock()
}

// sendCancel delivers a cancel request and waits until the server has acted.
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
