package backend

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Conn is a connection that a session holds for one transaction. Only the
// session's goroutines use it, and only until Release. Its network connection is
// closed meanwhile if the member has not answered status calls for 2 s.
type Conn struct {
	group     *Group
	pooled    *pooled
	workspace string
	read      bool
	// primaryTerm is the term in which the member was the primary when the
	// connection was granted; 0 if it was a replica.
	primaryTerm uint64
	charged     time.Duration
	grantedAt   time.Time
	released    atomic.Bool
}

// Frontend returns the protocol side of the connection. Only the session reads
// from it.
func (c *Conn) Frontend() *pgproto3.Frontend { return c.pooled.wire.fe }

// NetConn returns the network connection, for deadlines.
func (c *Conn) NetConn() net.Conn { return c.pooled.wire.conn }

// Member returns the name of the member.
func (c *Conn) Member() string { return c.pooled.member.Name }

// LastWorkspace returns the workspace that held the connection before, or the
// empty string on a new connection. If it is another one, the session sends
// DISCARD ALL before anything else and clears Prepared.
func (c *Conn) LastWorkspace() string { return c.pooled.lastWorkspace }

// Prepared returns the names of the statements that are prepared on the
// connection. The session keeps the map up to date.
func (c *Conn) Prepared() map[string]struct{} { return c.pooled.prepared }

// Parameters returns the parameters that the member has reported when the
// connection was started. The session may keep the map up to date.
func (c *Conn) Parameters() map[string]string { return c.pooled.wire.params }

// CancelKey returns what a cancel request for the connection needs.
func (c *Conn) CancelKey() (address string, pid uint32, secret []byte) {
	return c.pooled.member.Address, c.pooled.wire.pid, c.pooled.wire.secret
}

// Release gives the connection back. reusable is false if anything is
// outstanding on it or its session state is not known; then it is closed. Further
// calls have no effect.
func (c *Conn) Release(reusable bool) {
	if c.released.Swap(true) {
		return
	}
	p, g := c.pooled, c.group
	m := p.member
	// A connection that was given up fails SetDeadline; bytes in the buffer belong
	// to an answer that nobody has read.
	reusable = reusable && p.wire.fe.ReadBufferLen() == 0 && p.wire.conn.SetDeadline(time.Time{}) == nil
	g.mu.Lock()
	defer g.mu.Unlock()
	p.lastWorkspace = c.workspace
	delete(m.attached, c)
	if c.read {
		g.reads--
	} else {
		g.writes--
	}
	g.queue.Done(c.workspace, c.charged, time.Since(c.grantedAt))
	if !reusable || g.isClosed || !m.inService || m.open > m.budget || !isQuiet(p.wire.conn) {
		g.closePooled(p)
	} else {
		m.idle = append(m.idle, p)
	}
	g.dispatch(m)
}
