package backend

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// maxIdleControls is the maximum number of idle control connections per member: one
// each for probes, samples, the wait for commits, and a failover call.
const maxIdleControls = 4

// fenceRefusedCode is the SQLSTATE with which a member refuses to promise a term.
const fenceRefusedCode = "55000"

// FenceRefusedError reports that a member has promised a higher term, or the same
// term to another owner. It is immutable.
type FenceRefusedError struct {
	Member string
	// PromisedTerm is the term that the member has promised; 0 if it is not known.
	PromisedTerm uint64
}

// Error names the member and the promised term.
func (e *FenceRefusedError) Error() string {
	return "member " + e.Member + " has promised term " + strconv.FormatUint(e.PromisedTerm, 10)
}

// controlPool holds the control connections to one member. Each call has a connection
// of its own, so that a slow call does not delay others. A controlPool is safe for
// concurrent use.
type controlPool struct {
	cfg    *Config
	member Member

	mu     sync.Mutex // guards idle and closed
	idle   []*serverConn
	closed bool
}

// call executes a control call on an idle connection or on a new one.
func (c *controlPool) call(ctx context.Context, sql string) (group.Status, error) {
	conn := c.takeIdle()
	if conn == nil {
		var err error
		if conn, err = connect(ctx, c.cfg, c.member.Address, map[string]string{group.ParamControl: "on"}); err != nil {
			return group.Status{}, err
		}
	}
	var s group.Status
	reusable := false
	err := conn.withContext(ctx, func() (err error) {
		s, reusable, err = conn.controlCall(sql)
		return err
	})
	if !reusable || ctx.Err() != nil {
		conn.conn.Close()
	} else {
		c.putIdle(conn)
	}
	if err == nil && (s.Member != c.member.Name || s.Group != c.cfg.Group) {
		return s, errors.Newf("member %s of group %s answered as %q of %q at %s",
			c.member.Name, c.cfg.Group, s.Member, s.Group, c.member.Address)
	}
	return s, errors.Wrapf(err, "member %s", c.member.Name)
}

func (c *controlPool) takeIdle() *serverConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if isHealthyIdle(conn.conn) {
			return conn
		}
		conn.conn.Close()
	}
	return nil
}

func (c *controlPool) putIdle(conn *serverConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdleControls {
		conn.terminate()
		return
	}
	conn.conn.SetDeadline(time.Time{})
	c.idle = append(c.idle, conn)
}

func (c *controlPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.terminate()
	}
	c.idle = nil
}

// Status requests the status of the member. It is safe for concurrent use.
func (g *Group) Status(ctx context.Context, member string) (group.Status, error) {
	return g.controlCall(ctx, member, group.StatusSQL())
}

// Fence asks the member to promise the term to owner. The error wraps a
// *FenceRefusedError if the member refuses because of an earlier promise. Fence is
// safe for concurrent use.
func (g *Group) Fence(ctx context.Context, member string, term uint64, owner string) (group.Status, error) {
	s, err := g.controlCall(ctx, member, group.FenceSQL(term, owner))
	var refused *ServerError
	if errors.As(err, &refused) && refused.Code == fenceRefusedCode {
		promised, _ := strconv.ParseUint(refused.Detail, 10, 64)
		return s, errors.Wrap(&FenceRefusedError{Member: member, PromisedTerm: promised}, refused.Message)
	}
	return s, err
}

// Promote makes the member the primary of the term that it has promised to owner. If
// the error is not a *ServerError, the member may have been promoted. Promote is
// safe for concurrent use.
func (g *Group) Promote(ctx context.Context, member string, term uint64, owner string) (group.Status, error) {
	return g.controlCall(ctx, member, group.PromoteSQL(term, owner))
}

// AwaitPosition returns the status of the member once it has received p or the
// timeout has passed; the caller must check Status.Confirms. It is safe for
// concurrent use.
func (g *Group) AwaitPosition(ctx context.Context, member string, p group.Position, timeout time.Duration) (group.Status, error) {
	return g.controlCall(ctx, member, group.WaitSQL(p, timeout))
}

// controlCall executes a control call and records the status that it returns.
func (g *Group) controlCall(ctx context.Context, name, sql string) (group.Status, error) {
	m := g.members[name]
	if m == nil {
		return group.Status{}, errors.Newf("group %s has no member %q", g.cfg.Group, name)
	}
	requestedAt := time.Now()
	s, err := m.controls.call(ctx, sql)
	if err == nil {
		g.observe(m, s, requestedAt)
	}
	return s, err
}
