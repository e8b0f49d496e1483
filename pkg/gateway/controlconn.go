package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/statement"
)

const (
	// controlTimeout bounds a control call, which may wait for an execution slot, and is
	// repeated while the member refuses it because of its load.
	controlTimeout = 500 * time.Millisecond
	// minControlRetryDelay and maxControlRetryDelay bound the delay before a refused control
	// call is repeated, which doubles each time.
	minControlRetryDelay, maxControlRetryDelay = 25 * time.Millisecond, 100 * time.Millisecond
	// controlOpenBackoff is how long this instance opens no further connection for control
	// calls to a member that has refused one because of its load.
	controlOpenBackoff = 150 * time.Millisecond
	// controlCheckInterval is the time between two checks of a control connection, or two
	// attempts to open it.
	controlCheckInterval = 500 * time.Millisecond
)

// ownConns are the connections to a member for statements of the gateway's own that do not
// belong to the pool. It is guarded by the pool's mutex.
type ownConns struct {
	// control is an idle connection that is reserved for control calls, or nil. The holder of
	// the promotion lease keeps one open to each member: a member whose connections are all
	// in use accepts no new one.
	control *pooledConn
	// witness is an idle connection for any statement of the gateway's own, or nil.
	witness *pooledConn
	// inUse counts the other open connections and those being opened.
	inUse int
	// checking is set while the control connection is checked, which was last done at checkedAt.
	checking  bool
	checkedAt time.Time
	// refusal is the error with which the member last refused a connection for a control call
	// because of its load; it stands for further attempts until refusedUntil.
	refusal      error
	refusedUntil time.Time
	// failed is set if the last check found no usable control connection.
	failed bool
}

// take returns a connection and removes it, or returns nil. Only a control call may use the
// control connection.
func (o *ownConns) take(forControl bool) *pooledConn {
	conn := o.witness
	if forControl && o.control != nil {
		conn, o.control = o.control, nil
	} else {
		o.witness = nil
	}
	if conn != nil {
		o.inUse++
	}
	return conn
}

// closeControl closes the control connection.
func (o *ownConns) closeControl() {
	if o.control != nil {
		o.control.Close()
		o.control = nil
	}
}

// closeWitness closes the other idle connection.
func (o *ownConns) closeWitness() {
	if o.witness != nil {
		o.witness.Close()
		o.witness = nil
	}
}

// closeUnusedOwn closes the idle connections outside the pool that are not needed. The
// caller holds p.mu.
func (p *pool) closeUnusedOwn(m *poolMember, now time.Time) {
	if m.own.witness != nil && now.Sub(m.own.witness.lastUsedAt) > witnessIdleTimeout {
		m.own.closeWitness()
	}
	if !p.keepsControlConns {
		m.own.closeControl()
	}
}

// unusedConn returns an open connection to the member that nothing else uses, or nil:
// for a control call the control connection, else an idle one of any workspace, else one
// outside the pool.
func (p *pool) unusedConn(m *poolMember, forControl bool) *pooledConn {
	for {
		p.mu.Lock()
		var conn *pooledConn
		if !forControl || m.own.control == nil {
			conn = m.anyIdle()
		}
		if conn != nil {
			p.takeIdle(m, conn)
		} else {
			conn = m.own.take(forControl)
		}
		p.mu.Unlock()
		if conn == nil || !conn.IsStale() {
			return conn
		}
		p.returnConn(conn, false)
	}
}

// openOwnConn opens a connection to the member that does not belong to the pool.
func (p *pool) openOwnConn(ctx context.Context, m *poolMember) (*pooledConn, error) {
	p.mu.Lock()
	entry := m.Member // the list of members may change it meanwhile
	m.own.inUse++
	p.mu.Unlock()
	opened, err := p.dialer.Open(ctx, entry, controlWorkspace)
	if err != nil {
		p.mu.Lock()
		m.own.inUse--
		p.mu.Unlock()
		return nil, err
	}
	return &pooledConn{MemberConn: opened, member: m, memberID: entry.ID, workspace: controlWorkspace, unpooled: true}, nil
}

// openControlConn opens a connection for a control call, unless the member has just refused
// one because of its load.
func (p *pool) openControlConn(ctx context.Context, m *poolMember) (*pooledConn, error) {
	p.mu.Lock()
	refusal, wait := m.own.refusal, time.Until(m.own.refusedUntil)
	p.mu.Unlock()
	if wait > 0 {
		return nil, refusal
	}
	conn, err := p.openOwnConn(ctx, m)
	if isLoadRefusal(err) {
		p.mu.Lock()
		m.own.refusal, m.own.refusedUntil = err, time.Now().Add(controlOpenBackoff)
		p.mu.Unlock()
	}
	return conn, err
}

// returnConn returns a connection after a statement of the gateway's own, or closes it if it
// is not usable or not needed.
func (p *pool) returnConn(conn *pooledConn, usable bool) {
	if !conn.unpooled {
		p.release(conn, usable)
		return
	}
	m := conn.member
	p.mu.Lock()
	m.own.inUse--
	kept := true
	switch {
	case !usable || conn.state != statement.Idle || p.members[m.ID] != m:
		kept = false
	case p.keepsControlConns && m.own.control == nil:
		m.own.control = conn
	case m.own.witness == nil:
		m.own.witness = conn
	default:
		kept = false
	}
	if kept {
		conn.lastUsedAt = time.Now()
	}
	p.mu.Unlock()
	if !kept {
		conn.Close()
	}
}

// controlCall sends one control statement to a member.
func (p *pool) controlCall(ctx context.Context, member Member, s statement.Statement) (statement.MemberStatus, error) {
	p.mu.Lock()
	m := p.members[member.ID]
	if m == nil || m.Address != member.Address || m.StartedMs != member.StartedMs {
		m = &poolMember{Member: member} // it has left the pool
	}
	p.mu.Unlock()
	return p.controlCallUntil(ctx, m, time.Now().Add(controlTimeout), s)
}

// controlCallUntil sends one control statement to a member, and repeats it until the deadline
// while the member refuses it because of its load, unless it is a RESUME.
func (p *pool) controlCallUntil(ctx context.Context, m *poolMember, deadline time.Time, s statement.Statement) (statement.MemberStatus, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	deadline, _ = ctx.Deadline()
	for delay := minControlRetryDelay; ; delay = min(2*delay, maxControlRetryDelay) {
		reply, err := p.sendControl(ctx, m, deadline, s)
		if err == nil && reply.Err != nil {
			err = reply.Err
		}
		if err == nil {
			return p.dialer.ParseStatus(reply)
		}
		// RESUME has no term: the caller confirms the promotion lease before each repetition.
		if !isLoadRefusal(err) || s.Kind == statement.Resume || time.Until(deadline) <= delay {
			return statement.MemberStatus{}, err
		}
		if sleep(ctx, delay); ctx.Err() != nil {
			return statement.MemberStatus{}, err
		}
	}
}

// isLoadRefusal reports whether a member refused a connection or a statement because of its
// load, so that a repetition may succeed.
func isLoadRefusal(err error) bool {
	refused := new(statement.Error)
	return errors.As(err, &refused) && (refused.Code == statement.TooMany || refused.Code == statement.Busy)
}

// sendControl sends a control statement on an open connection or, if there is none, on a new
// one. Control statements may be repeated: a member refuses a PAUSE or DEMOTE of a term that
// it already has, and its status then shows the effect.
func (p *pool) sendControl(ctx context.Context, m *poolMember, deadline time.Time, s statement.Statement) (statement.Reply, error) {
	for {
		conn := p.unusedConn(m, true)
		isNew := conn == nil
		if isNew {
			var err error
			if conn, err = p.openControlConn(ctx, m); err != nil {
				return statement.Reply{}, err
			}
		}
		replies, err := p.exchange(conn, deadline, s)
		p.returnConn(conn, err == nil)
		if err == nil {
			return replies[0], nil
		}
		// An open connection may have been lost unnoticed, unlike one just opened.
		if isNew || ctx.Err() != nil || !time.Now().Before(deadline) {
			return statement.Reply{}, err
		}
	}
}

// keepControlConns keeps one control connection to each member open while this instance
// holds the promotion lease, and closes them when it no longer does.
func (c *controller) keepControlConns(ctx context.Context, p *pool, holdsLease bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepsControlConns = holdsLease
	for _, m := range p.members {
		o := &m.own
		inUse := o.control == nil && o.inUse > 0
		if !holdsLease || m.down || !m.unlistedSince.IsZero() || inUse || o.checking || now.Sub(o.checkedAt) < controlCheckInterval {
			continue
		}
		o.checking, o.checkedAt = true, now
		go c.checkControlConn(ctx, p, m)
	}
}

// checkControlConn replaces the control connection to a member if it is stale or missing.
func (c *controller) checkControlConn(ctx context.Context, p *pool, m *poolMember) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var err error
	p.mu.Lock()
	conn := m.own.take(true)
	p.mu.Unlock()
	if conn != nil && conn.IsStale() {
		p.returnConn(conn, false)
		conn = nil
	}
	if conn == nil {
		conn, err = p.openControlConn(ctx, m)
	}
	if err == nil {
		p.returnConn(conn, true)
	}
	p.mu.Lock()
	id, failedBefore := m.ID, m.own.failed
	m.own.checking, m.own.failed = false, err != nil
	p.mu.Unlock()
	if err != nil && !failedBefore {
		c.gw.log.WithFields(logrus.Fields{"event": "control-connection", "group": p.name, "member": id}).WithError(err).Info("cannot open a control connection; trying again")
	}
}
