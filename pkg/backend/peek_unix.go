//go:build unix

package backend

import "syscall"

// isHealthyIdle reports whether an idle connection is open and has no unread input.
// Input on an idle connection is an error message or the end of the stream, because
// the member has closed it. The socket is peeked at without consuming input and
// without blocking. A connection that is not a socket is assumed to be healthy.
func isHealthyIdle(conn *guardedConn) bool {
	sc, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && quiet
}
