package gateway

import (
	"context"
	"math"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

const (
	// stallLimit is how long a member may answer nothing on any connection while
	// a statement runs before it is probed: statements take up to about 0.2 s.
	stallLimit = 300 * time.Millisecond
	// commitStallLimit is the same for commits of a primary that answers otherwise.
	commitStallLimit = 500 * time.Millisecond
	// probeTimeout bounds a probe, which needs no slot on an open connection.
	probeTimeout = 300 * time.Millisecond
	// probePause separates the probes of a member that is down.
	probePause = 150 * time.Millisecond
	// sampleAge is the age of the newest position from which on the primary is
	// asked for another while reads need it.
	sampleAge = 400 * time.Millisecond
	// sampleDemand is how long after a read positions are kept fresh.
	sampleDemand = 2 * time.Second
	// controlWorkspace names the proxy itself on its own connections.
	controlWorkspace = "mulberrysill"
)

// tick looks for members that do not answer, closes idle connections and keeps
// the primary's position fresh. The control goroutine calls it.
func (p *pool) tick(ctx context.Context) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !m.probing && (m.down || m.isStalled(now)) {
			m.probing = true
			go p.probe(ctx, m)
		}
		if m.ID == p.primary && m.commitsStall(now) {
			p.events(poolEvent{group: p.name, member: m.ID, stalled: true})
		}
		p.closeUnused(m, now)
	}
	m := p.members[p.primary]
	if m != nil && !m.down && now.Sub(p.lastRead) < sampleDemand && p.sampleAge() > sampleAge {
		if conn := m.anyIdle(); conn != nil {
			p.take(m, conn)
			go p.sample(conn)
		}
	}
}

// suspect probes a member that the platform no longer lists, unless it has just
// answered a statement.
func (p *pool) suspect(ctx context.Context, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil && !m.probing && !m.down && time.Since(m.lastOK) > stallLimit {
		m.probing = true
		go p.probe(ctx, m)
	}
}

// sampleAge returns the age of the newest position of the primary. The caller
// holds p.mu.
func (p *pool) sampleAge() time.Duration {
	askedAt, _, ok := p.samples.Newest()
	if !ok {
		return math.MaxInt64
	}
	return bootTime() - askedAt
}

// needsSample reports whether reads lack a recent position of the primary.
func (p *pool) needsSample() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastRead) < sampleDemand && p.sampleAge() > 2*sampleAge
}

// isStalled reports whether a statement has run for a while with no answer from
// the member on any connection.
func (m *poolMember) isStalled(now time.Time) bool {
	if now.Sub(m.lastOK) < stallLimit {
		return false
	}
	for c := range m.running {
		if !c.busySince.IsZero() && now.Sub(c.busySince) >= stallLimit {
			return true
		}
	}
	return false
}

func (m *poolMember) commitsStall(now time.Time) bool {
	for c := range m.running {
		if c.commits && !c.busySince.IsZero() && now.Sub(c.busySince) >= commitStallLimit {
			return true
		}
	}
	return false
}

// closeUnused closes connections that are idle for long, or of a member that
// takes no more work. The caller holds p.mu.
func (p *pool) closeUnused(m *poolMember, now time.Time) {
	out := !m.mayTake(m.ID == p.primary, now)
	for _, list := range m.idle {
		for _, c := range append([]*pooled(nil), list...) {
			if out || m.open > p.limit(m) || now.Sub(c.usedAt) > idleLimit {
				p.closeIdle(m, c)
			}
		}
	}
}

func (m *poolMember) anyIdle() *pooled {
	for _, list := range m.idle {
		if len(list) > 0 {
			return list[len(list)-1]
		}
	}
	return nil
}

// take removes an idle connection from the pool. The caller holds p.mu.
func (p *pool) take(m *poolMember, c *pooled) {
	list := m.idle[c.workspace]
	for i := range list {
		if list[i] == c {
			m.idle[c.workspace] = append(list[:i:i], list[i+1:]...)
			m.idleCount--
			m.running[c] = struct{}{}
			return
		}
	}
}

// sample asks the primary for its position.
func (p *pool) sample(c *pooled) {
	ok, err := p.proveLeadership(c, time.Now().Add(probeTimeout))
	if err == nil && !ok {
		p.notPrimary(c)
	}
	p.release(c, err == nil)
}

// proveLeadership begins and ends an empty read-write transaction, which only
// the primary accepts and which needs no slot. It reports false if the member is
// not the primary.
func (p *pool) proveLeadership(c *pooled, deadline time.Time, setup ...statement.Statement) (bool, error) {
	asked := bootTime()
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
	p.proved(c, asked, begin.Position)
	return true, nil
}

// exchange sends statements and returns their replies. After an error the
// connection cannot be used any more.
func (p *pool) exchange(c *pooled, deadline time.Time, statements ...statement.Statement) ([]statement.Reply, error) {
	last := &statements[len(statements)-1]
	c.isRead = last.Kind == statement.Read || !last.AfterPosition.IsZero()
	p.begin(c, last.Kind == statement.Commit || last.Kind == statement.Write)
	err := c.Send(deadline, statements...)
	replies := make([]statement.Reply, 0, len(statements))
	for err == nil && len(replies) < len(statements) {
		var r statement.Reply
		if r, err = c.Receive(); err == nil {
			replies = append(replies, r)
			c.state = r.State
		}
	}
	p.end(c, err)
	return replies, err
}

// probe finds out whether a member answers, and keeps trying while it does not.
func (p *pool) probe(ctx context.Context, m *poolMember) {
	for ctx.Err() == nil {
		reached := p.reach(ctx, m)
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
		case <-time.After(probePause):
		}
	}
}

// reach reports whether the member answers on an idle or a new connection.
func (p *pool) reach(ctx context.Context, m *poolMember) bool {
	p.mu.Lock()
	conn := m.anyIdle()
	if conn != nil {
		p.take(m, conn)
	}
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
	c, err := p.dialer.Open(ctx, m.Member, controlWorkspace)
	if err == nil {
		c.Close()
	}
	return err == nil || isAnswer(err)
}

// control sends one control statement over a connection of its own.
func (p *pool) control(ctx context.Context, m Member, s statement.Statement) (statement.MemberStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	c, err := p.dialer.Open(ctx, m, controlWorkspace)
	if err != nil {
		return statement.MemberStatus{}, err
	}
	defer c.Close()
	deadline, _ := ctx.Deadline()
	if err := c.Send(deadline, s); err != nil {
		return statement.MemberStatus{}, err
	}
	r, err := c.Receive()
	if err != nil {
		return statement.MemberStatus{}, err
	}
	if r.Err != nil {
		return statement.MemberStatus{}, r.Err
	}
	return p.dialer.ParseStatus(r)
}

// controlTimeout bounds a control call, which may wait for a slot.
const controlTimeout = 500 * time.Millisecond

// snapshot returns the members, the primary and the highest acknowledged position.
func (p *pool) snapshot() (members []poolMember, primary string, term uint64, acknowledged group.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		members = append(members, poolMember{
			Member: m.Member, down: m.down, outSince: m.outSince, missingSince: m.missingSince,
			failingSince: m.failingSince, lastOK: m.lastOK,
		})
	}
	return members, p.primary, p.term, p.acknowledged
}
