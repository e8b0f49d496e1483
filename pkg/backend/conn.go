package backend

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Conn is a connection that a session holds for one transaction. It must be used by
// the goroutines of that session only, and not after Release. The network
// connection is closed under the session if the member has not responded to status
// calls for 2 s, or if it is a replaced primary that does not respond.
type Conn struct {
	group     *Group
	pooled    *pooledConn
	workspace string
	read      bool
	// primaryTerm is the term in which the member was the primary when the
	// connection was granted; 0 if the member was a replica.
	primaryTerm uint64
	// charged is the service that the fair queue has charged in advance.
	charged   time.Duration
	grantedAt time.Time
	released  atomic.Bool
}

// Frontend returns the protocol layer of the connection. Only the session reads
// from it.
func (c *Conn) Frontend() *pgproto3.Frontend { return c.pooled.server.frontend }

// NetConn returns the network connection, for setting deadlines.
func (c *Conn) NetConn() net.Conn { return c.pooled.server.conn }

// Member returns the name of the member.
func (c *Conn) Member() string { return c.pooled.member.Name }

// LastWorkspace returns the workspace that held the connection before, or an empty
// string if the connection is new. If it is a different workspace, the session must
// send DISCARD ALL before anything else and clear Prepared.
func (c *Conn) LastWorkspace() string { return c.pooled.lastWorkspace }

// SessionState returns the set of session state that exists on the server connection:
// the names of prepared statements and a key for the session's settings. The session
// must keep the map up to date.
func (c *Conn) SessionState() map[string]struct{} { return c.pooled.prepared }

// Parameters returns the parameters that the member reported during start-up. The
// session may update the map.
func (c *Conn) Parameters() map[string]string { return c.pooled.server.params }

// CancelKey returns the address and the key for a cancel request.
func (c *Conn) CancelKey() (address string, pid uint32, secret []byte) {
	return c.pooled.member.Address, c.pooled.server.pid, c.pooled.server.secret
}

// Release returns the connection to the pool. reusable must be false if a response is
// outstanding or the session state is unknown; the connection is then closed. Further
// calls have no effect.
func (c *Conn) Release(reusable bool) {
	if c.released.Swap(true) {
		return
	}
	p, g := c.pooled, c.group
	m := p.member
	// SetDeadline fails if the group has closed the connection. Buffered bytes
	// belong to a response that the session has not read.
	reusable = reusable && p.server.frontend.ReadBufferLen() == 0 && p.server.conn.SetDeadline(time.Time{}) == nil
	g.mu.Lock()
	defer g.mu.Unlock()
	p.lastWorkspace = c.workspace
	delete(m.attached, c)
	if c.read {
		g.runningReads--
	} else {
		g.runningWrites--
	}
	g.queue.Done(c.workspace, c.charged, time.Since(c.grantedAt))
	if !reusable || g.isClosed || !m.inService || m.open > m.budget || !isHealthyIdle(p.server.conn) {
		g.closePooled(p)
	} else {
		m.idle = append(m.idle, p)
	}
	g.dispatch(m)
}
