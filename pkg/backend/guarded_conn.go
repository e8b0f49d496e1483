package backend

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errWriteFailed is returned for writes after one that has failed.
var errWriteFailed = errors.New("an earlier write to the connection has failed")

// guardedConn is a connection that sends nothing after a write that has failed. That write
// may have cut off a message, and the member would take the bytes of the next one, such as
// Terminate, for the rest of it.
type guardedConn struct {
	net.Conn
	writeFailed atomic.Bool
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.writeFailed.Load() {
		return 0, errWriteFailed
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// CloseWrite closes the sending side, if the connection has sides.
func (c *guardedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection has no sending side to close")
	}
	return half.CloseWrite()
}
