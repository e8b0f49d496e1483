package gateway

import (
	"context"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

const (
	// stallTimeout is how long a member may leave a running statement
	// without a response, and send none on any other connection, before it is
	// probed. Statements take up to about 0.2 s.
	stallTimeout = 300 * time.Millisecond
	// commitStallTimeout is the same for commits on a primary that responds to
	// other statements.
	commitStallTimeout = 500 * time.Millisecond
	// probeTimeout bounds a probe. On an open connection a probe needs no
	// execution slot.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the delay between probes of a member that is down.
	probeInterval = 150 * time.Millisecond
	// maxSampleAge is the age of the newest known position from which on the
	// primary is asked for a new one while reads need it.
	maxSampleAge = 400 * time.Millisecond
	// sampleDemandWindow is how long positions are kept fresh after a read.
	sampleDemandWindow = 2 * time.Second
	// controlWorkspace is the workspace name of the gateway's own connections.
	controlWorkspace = "mulberrysill"
)

// tick probes members that do not respond, closes unused connections and keeps
// the primary's position fresh. It is called by the controller's goroutine.
func (p *pool) tick(ctx context.Context) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !m.probing && (m.down || m.isStalled(now)) {
			m.probing = true
			go p.probe(ctx, m)
		}
		if m.ID == p.primary && m.hasStalledCommit(now) {
			p.onEvent(poolEvent{group: p.name, member: m.ID, commitsStalled: true})
		}
		p.closeUnused(m, now)
	}
	if p.scope == placement.ServingByMember {
		p.dispatch() // a pause after a rejection may be over
	}
	if p.fetchesPositions() {
		if now.Sub(p.lastRead) < sampleDemandWindow && p.sampleAge() > maxSampleAge {
			p.beginPositionFetch()
		}
		return
	}
	m := p.members[p.primary]
	if m != nil && !m.down && now.Sub(p.lastRead) < sampleDemandWindow && p.sampleAge() > maxSampleAge {
		if conn := m.anyIdle(); conn != nil {
			p.takeIdle(m, conn)
			go p.samplePosition(conn)
		}
	}
}

// probeUnlisted probes a member that the platform no longer lists, unless it
// responded to a statement very recently.
func (p *pool) probeUnlisted(ctx context.Context, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil && !m.probing && !m.down && time.Since(m.lastAnswerAt) > stallTimeout {
		m.probing = true
		go p.probe(ctx, m)
	}
}

// sampleAge returns the age of the newest known position of the primary. The
// caller holds p.mu.
func (p *pool) sampleAge() time.Duration {
	askedAt, _, ok := p.positionSamples.Newest()
	if !ok {
		return math.MaxInt64
	}
	return bootTime() - askedAt
}

// needsSample reports whether reads lack a recent position of the primary.
func (p *pool) needsSample() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scope == placement.ServingByMember {
		return false // see fetchPosition
	}
	return time.Since(p.lastRead) < sampleDemandWindow && p.sampleAge() > 2*maxSampleAge
}

// isStalled reports whether a statement has been running for stallTimeout
// without any response from the member on any connection.
func (m *poolMember) isStalled(now time.Time) bool {
	if now.Sub(m.lastAnswerAt) < stallTimeout {
		return false
	}
	for c := range m.running {
		if !c.busySince.IsZero() && now.Sub(c.busySince) >= stallTimeout {
			return true
		}
	}
	return false
}

func (m *poolMember) hasStalledCommit(now time.Time) bool {
	for c := range m.running {
		if c.isCommit && !c.busySince.IsZero() && now.Sub(c.busySince) >= commitStallTimeout {
			return true
		}
	}
	return false
}

// closeUnused closes idle connections that were not used for idleConnTimeout,
// exceed the limit, or belong to a member that accepts no new work. The caller
// holds p.mu.
func (p *pool) closeUnused(m *poolMember, now time.Time) {
	refusesWork := !m.acceptsWork(m.ID == p.primary, now)
	p.closeUnusedOwn(m, now)
	for _, list := range m.idle {
		for _, c := range append([]*pooledConn(nil), list...) {
			if refusesWork || m.open > p.connLimit(m) || now.Sub(c.lastUsedAt) > p.idleTimeout(m) {
				p.closeIdle(m, c)
			}
		}
	}
}

// idleTimeout returns the time after which an unused connection to the member is closed.
func (p *pool) idleTimeout(m *poolMember) time.Duration {
	if p.scope == placement.ServingByMember && !m.served {
		return reserveIdleTimeout
	}
	return idleConnTimeout
}

func (m *poolMember) anyIdle() *pooledConn {
	for _, list := range m.idle {
		if len(list) > 0 {
			return list[len(list)-1]
		}
	}
	return nil
}

// takeIdle removes a specific idle connection from the pool for a call of the
// gateway's own. The caller holds p.mu.
func (p *pool) takeIdle(m *poolMember, c *pooledConn) {
	list := m.idle[c.workspace]
	for i := range list {
		if list[i] == c {
			m.idle[c.workspace] = append(list[:i:i], list[i+1:]...)
			m.idleCount--
			m.running[c] = struct{}{}
			c.isOwnCall = true
			return
		}
	}
}

// samplePosition asks the primary for its position.
func (p *pool) samplePosition(c *pooledConn) {
	ok, err := p.proveLeadership(c, time.Now().Add(probeTimeout))
	if err == nil && !ok {
		p.recordNotPrimary(c.memberID)
	}
	p.release(c, err == nil || errors.Is(err, errUnconfirmed))
}

// proveLeadership begins and rolls back an empty read-write transaction, which
// only a primary accepts and which needs no execution slot. A primary that has
// been replaced accepts it until it learns of that, so the other members must
// confirm as well that none of them leads. It returns false if the member is not
// primary, and an error with the cause errUnconfirmed if that is not known.
func (p *pool) proveLeadership(c *pooledConn, deadline time.Time, setup ...statement.Statement) (bool, error) {
	asked := bootTime()
	check := p.checkLeadership(c.memberID, c.workspace)
	statements := append(setup, statement.Statement{Kind: statement.Begin}, statement.Statement{Kind: statement.Rollback})
	replies, err := p.exchange(c, deadline, statements...)
	if err != nil {
		return false, err
	}
	begin := replies[len(setup)]
	for _, r := range replies[:len(setup)] {
		if r.Err != nil {
			return false, r.Err
		}
	}
	if begin.Err != nil {
		if begin.Err.Code == statement.ReadOnly {
			return false, nil
		}
		return false, begin.Err
	}
	switch check.wait(deadline) {
	case promotion.Superseded:
		return false, nil
	case promotion.Unconfirmed:
		return false, p.unconfirmedError()
	}
	p.recordLeadership(c, asked, begin.Position)
	return true, nil
}

// exchange sends statements and receives their replies. After an error the
// connection is unusable.
func (p *pool) exchange(c *pooledConn, deadline time.Time, statements ...statement.Statement) ([]statement.Reply, error) {
	last := &statements[len(statements)-1]
	c.isRead = last.Kind == statement.Read || !last.AfterPosition.IsZero()
	takesSlot := last.Kind.TakesSlot()
	p.statementStarted(c, takesSlot, last.Kind == statement.Commit || last.Kind == statement.Write)
	err := c.Send(deadline, statements...)
	replies := make([]statement.Reply, 0, len(statements))
	for err == nil && len(replies) < len(statements) {
		var r statement.Reply
		if r, err = c.Receive(); err == nil {
			replies = append(replies, r)
			c.state = r.State
		}
	}
	var refused *statement.Error
	if err == nil {
		refused = replies[len(replies)-1].Err
	}
	p.statementEnded(c, takesSlot, refused, err)
	return replies, err
}

// probe checks whether a member responds, and repeats the check until it does.
func (p *pool) probe(ctx context.Context, m *poolMember) {
	for ctx.Err() == nil {
		reached := p.isReachable(ctx, m)
		p.mu.Lock()
		if p.members[m.ID] != m || reached {
			m.probing = false
			if reached {
				p.markUp(m, time.Now())
			}
			p.mu.Unlock()
			return
		}
		p.markDown(m, time.Now())
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// isReachable reports whether the member responds on an idle or a new
// connection.
func (p *pool) isReachable(ctx context.Context, m *poolMember) bool {
	p.mu.Lock()
	conn := m.anyIdle()
	if conn != nil {
		p.takeIdle(m, conn)
	}
	entry := m.Member // the list of members may change it meanwhile
	p.mu.Unlock()
	if conn != nil {
		_, err := p.exchange(conn, time.Now().Add(probeTimeout),
			statement.Statement{Kind: statement.Begin, ReadOnly: true}, statement.Statement{Kind: statement.Rollback})
		p.release(conn, err == nil)
		if err == nil {
			return true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.dialer.Open(ctx, entry, controlWorkspace)
	if err == nil {
		c.Close()
	}
	return err == nil || isMemberError(err)
}

// entry returns a copy of a member's entry, or false if the group has no such member.
func (p *pool) entry(id string) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	if m == nil {
		return Member{}, false
	}
	return m.Member, true
}

// snapshot returns copies of the members, and the primary, its term and the
// highest acknowledged position.
func (p *pool) snapshot() (members []poolMember, primary string, term uint64, acknowledged group.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		members = append(members, poolMember{
			Member: m.Member, down: m.down, outOfServiceSince: m.outOfServiceSince, unlistedSince: m.unlistedSince,
			failingSince: m.failingSince, lastAnswerAt: m.lastAnswerAt,
			listedAt: m.listedAt, sinceFirstStart: m.sinceFirstStart,
		})
	}
	return members, p.primary, p.term, p.acknowledged
}
