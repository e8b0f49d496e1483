//go:build unix

package backend

import (
	"net"
	"syscall"
)

// isQuiet reports whether an idle connection is still open and has received
// nothing. A member that closes a connection, with or without an error message,
// makes it unquiet. It looks at the socket without reading from it and without
// waiting. Connections that are not sockets are taken to be quiet.
func isQuiet(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
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
