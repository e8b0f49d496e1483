package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

// leavingPrimaryGrace is how long a primary that is leaving still accepts
// statements if no other member has taken over. The platform allows 5 s for an
// evacuation.
const leavingPrimaryGrace = 4 * time.Second

// acceptsWork reports whether the member accepts new work. A replica that is
// leaving does not; a primary that is leaving does until leavingPrimaryGrace
// has passed, to leave time for a promotion.
func (m *poolMember) acceptsWork(asPrimary bool, now time.Time) bool {
	switch {
	case !m.unlistedSince.IsZero():
		return now.Sub(m.unlistedSince) < unlistedGrace
	case m.outOfServiceSince.IsZero():
		return true
	default:
		return asPrimary && now.Sub(m.outOfServiceSince) < leavingPrimaryGrace
	}
}

// unlistedGrace is how long a member stays in use after the platform stops
// listing it. Its entry may have expired during a store outage, and reappears
// within two seconds of the store's recovery.
const unlistedGrace = 3 * time.Second

// closeIdle closes an idle connection. The caller holds p.mu.
func (p *pool) closeIdle(m *poolMember, c *pooledConn) {
	list := m.idle[c.workspace]
	for i := range list {
		if list[i] == c {
			m.idle[c.workspace] = append(list[:i:i], list[i+1:]...)
			m.idleCount--
			m.open--
			break
		}
	}
	c.closed = true
	c.Close()
}

// openConn opens the connection that reserve granted.
func (p *pool) openConn(ctx context.Context, g grant, req *connRequest) (*pooledConn, error) {
	m := g.member
	started := time.Now()
	deadline := started.Add(openTimeout)
	if req.deadline.Before(deadline) {
		deadline = req.deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	p.mu.Lock()
	entry := m.Member // the list of members may change it meanwhile
	p.mu.Unlock()
	conn, err := p.dialer.Open(ctx, entry, req.workspace)
	p.mu.Lock()
	defer p.mu.Unlock()
	m.opening--
	if err != nil {
		m.open--
		if p.scope == placement.ServingByMember {
			p.queue.Cancel(req.workspace, g.priority, g.charged)
		}
		p.noteOpenFailure(m, err, time.Since(started))
		p.dispatch()
		return nil, err
	}
	m.noteAnswer(time.Now())
	c := &pooledConn{MemberConn: conn, member: m, memberID: m.ID, workspace: req.workspace, prepared: map[string]bool{}, charged: g.charged, priority: g.priority}
	if p.members[m.ID] != m || m.down {
		m.open--
		conn.Close()
		if p.scope == placement.ServingByMember {
			p.queue.Cancel(req.workspace, g.priority, g.charged)
			p.dispatch()
		}
		return nil, errors.New("the member was removed")
	}
	m.running[c] = struct{}{}
	return c, nil
}

// noteOpenFailure updates the member's state after a failure to open a
// connection. The caller holds p.mu.
func (p *pool) noteOpenFailure(m *poolMember, err error, took time.Duration) {
	now := time.Now()
	var refused *statement.Error
	if errors.As(err, &refused) {
		m.noteAnswer(now)
		switch refused.Code {
		case statement.TooMany, statement.Busy:
			m.connLimitUntil = now.Add(connLimitBackoff)
		case statement.Misrouted:
			// Another process now listens on the member's address.
			m.unlistedSince = now.Add(-unlistedGrace)
		}
		return
	}
	if errors.Is(err, context.Canceled) || (took < stallTimeout && errors.Is(err, context.DeadlineExceeded)) {
		return // this instance stops, or the request's deadline was shorter than stallTimeout
	}
	p.markDown(m, now)
}

func (m *poolMember) noteAnswer(now time.Time) {
	m.lastAnswerAt, m.failingSince, m.commitStalls = now, time.Time{}, 0
}

// markDown stops using a member until a probe succeeds. The caller holds p.mu.
func (p *pool) markDown(m *poolMember, now time.Time) {
	if m.down {
		return
	}
	m.down = true
	if m.failingSince.IsZero() {
		m.failingSince = now
	}
	for _, list := range m.idle {
		for _, c := range list {
			c.closed = true
			c.Close()
		}
	}
	for c := range m.running {
		if c.isRead && !c.busySince.IsZero() {
			c.closed = true
			c.Close() // the read is retried on another member
		}
	}
	m.open -= m.idleCount
	m.idle, m.idleCount = map[string][]*pooledConn{}, 0
	p.notifyMembersChanged()
	p.onEvent(poolEvent{group: p.name, member: m.ID})
}

// interruptStatements ends the wait for the members' answers to all statements in progress.
func (p *pool) interruptStatements() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.interrupted {
		p.interrupted = true
		p.notifyMembersChanged() // commits whose answers are held back
	}
	interrupt := func(m *poolMember) {
		for c := range m.running {
			if !c.busySince.IsZero() {
				c.closed = true
				c.Interrupt()
			}
		}
	}
	for _, m := range p.members {
		interrupt(m)
	}
	for m := range p.removed {
		interrupt(m)
	}
}

// markUp returns a member to service. The caller holds p.mu.
func (p *pool) markUp(m *poolMember, now time.Time) {
	m.noteAnswer(now)
	if m.down {
		m.down = false
		if m.pace != nil {
			m.pace.Recovered(now)
		}
		p.notifyMembersChanged()
		p.dispatch()
	}
}

// release returns a connection to the pool, or closes it if it is not
// reusable.
func (p *pool) release(c *pooledConn, reusable bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := c.member
	delete(m.running, c)
	if len(m.running) == 0 {
		delete(p.removed, m)
	}
	// The gateway's own calls are much shorter than clients' statements and would make
	// the expected wait in the queue too short.
	if !c.lastUsedAt.IsZero() && !c.isOwnCall {
		holdTime := now.Sub(c.lastUsedAt)
		p.meanHoldTime += time.Duration(holdTimeSmoothing * float64(holdTime-p.meanHoldTime))
		p.queue.DoneWithPriority(c.workspace, c.priority, c.charged, holdTime)
	} else if p.scope == placement.ServingByMember {
		p.queue.Cancel(c.workspace, c.priority, c.charged)
	}
	c.charged, c.isOwnCall = 0, false
	if !reusable || c.closed || c.state != statement.Idle || m.down || p.members[m.ID] != m || !m.acceptsWork(m.ID == p.primary, now) || m.open > p.connLimit(m) {
		m.open--
		c.closed = true
		c.Close()
	} else {
		c.lastUsedAt = now
		m.idle[c.workspace] = append(m.idle[c.workspace], c)
		m.idleCount++
		if p.queue.Len() == 0 {
			p.closeSurplus(m)
		}
	}
	p.dispatch()
}

// statementStarted marks the start of a statement on the connection. takesSlot says that it
// occupies an execution slot of the member.
func (p *pool) statementStarted(c *pooledConn, takesSlot, isCommit bool) {
	p.mu.Lock()
	c.busySince, c.isCommit, c.idleInTransaction = time.Now(), isCommit, false
	if takesSlot && c.member.pace != nil {
		c.paced = c.member.pace.Start(c.busySince)
	}
	if c.lastUsedAt.IsZero() || c.busySince.Sub(c.lastUsedAt) > 0 {
		c.lastUsedAt = c.busySince
	}
	p.mu.Unlock()
}

// statementEnded marks the end of a statement. refused is the member's error, or nil.
func (p *pool) statementEnded(c *pooledConn, takesSlot bool, refused *statement.Error, err error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notePace(c, now, takesSlot, refused, err)
	c.inTransaction = c.state != statement.Idle
	c.busySince = time.Time{}
	if err == nil {
		c.member.noteAnswer(now)
	}
}

// markIdleInTransaction marks a connection whose open transaction waits for
// its client.
func (p *pool) markIdleInTransaction(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleInTransaction = true
	p.dispatch()
}
