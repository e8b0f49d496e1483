//go:build unix

package frontend

import (
	"net"
	"syscall"
)

// clientClosed reports whether the client has closed the connection and no data is
// left to read. It does not block. Connections that are not sockets count as open.
func clientClosed(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = (err == nil && n == 0) || err == syscall.ECONNRESET
	})
	return err != nil || left
}
