package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// leadershipTimeout bounds one check of the primary's leadership.
	leadershipTimeout = 200 * time.Millisecond
	// witnessPatience is how long a check waits for all members before it asks those
	// that answered, and the primary, for their status. A status call occupies an
	// execution slot.
	witnessPatience = 25 * time.Millisecond
	// witnessBackoff is how long a member that left a check without an answer is not
	// waited for.
	witnessBackoff = 500 * time.Millisecond
	// witnessIdleTimeout is the time after which an unused connection outside the pool is
	// closed.
	witnessIdleTimeout = 2 * time.Second
)

// errUnconfirmed means that the primary could not be confirmed to lead its group.
var errUnconfirmed = errors.New("the primary's leadership is not confirmed")

// unconfirmedError returns the refusal of a statement that needs a confirmed primary.
func (p *pool) unconfirmedError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NoPrimary, "group %s: another member may have been promoted", p.name).
		WithRetryAfter(refusalRetryAfter).WithCause(errUnconfirmed)
}

// leadershipCheck is one check of the primary's leadership, shared by all statements that
// were received before it began.
type leadershipCheck struct {
	primary string
	// workspace owns connections that the check opens; "" if none did request it.
	workspace string
	// wanted is closed once a statement waits for the result although not all members
	// have answered. Only then the check asks for their status.
	wanted     chan struct{}
	wantedOnce sync.Once
	done       chan struct{}
	result     promotion.Leadership
}

// leadershipChecks runs the checks of one pool one after another. It is guarded by the
// pool's mutex.
type leadershipChecks struct {
	running bool
	next    *leadershipCheck
}

// checkLeadership returns a check of the member's leadership that has yet to begin, so
// that its result also covers everything before the call.
func (p *pool) checkLeadership(primary, workspace string) *leadershipCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next := p.leadership.next; next != nil && next.primary == primary {
		return next
	}
	check := &leadershipCheck{primary: primary, workspace: workspace, wanted: make(chan struct{}), done: make(chan struct{})}
	if p.leadership.running && p.leadership.next == nil {
		p.leadership.next = check
		return check
	}
	// A check of another member, around a change of primary, does not wait.
	first := !p.leadership.running
	p.leadership.running = true
	go p.runLeadershipChecks(check, first)
	return check
}

// runLeadershipChecks runs the check and, if it is the first of a series, those that were
// requested meanwhile.
func (p *pool) runLeadershipChecks(check *leadershipCheck, series bool) {
	for check != nil {
		check.result = p.askWitnesses(check)
		close(check.done)
		if !series {
			return
		}
		p.mu.Lock()
		check, p.leadership.next = p.leadership.next, nil
		p.leadership.running = check != nil
		p.mu.Unlock()
	}
}

// wait returns the result of the check, or Unconfirmed at the deadline.
func (c *leadershipCheck) wait(deadline time.Time) promotion.Leadership {
	c.wantedOnce.Do(func() { close(c.wanted) })
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.done:
		return c.result
	case <-timer.C:
		return promotion.Unconfirmed
	}
}

// askWitnesses asks the other members of the group whether they follow.
func (p *pool) askWitnesses(check *leadershipCheck) promotion.Leadership {
	primary, workspace := check.primary, check.workspace
	deadline := time.Now().Add(leadershipTimeout)
	members, witnesses := p.witnesses(primary)
	if len(witnesses) == 0 {
		return promotion.Confirmed
	}
	type answer struct {
		index int
		reply statement.Reply
		err   error
	}
	answers := make(chan answer, len(members))
	waiting := 0
	for i, m := range members {
		if m == nil {
			continue // not expected to answer
		}
		waiting++
		go func() {
			reply, err := p.askMember(m, workspace, deadline, statement.Statement{Kind: statement.Begin})
			answers <- answer{i, reply, err}
		}()
	}
	patience := time.NewTimer(witnessPatience)
	defer patience.Stop()
	for expired := false; waiting > 0 && !expired; {
		select {
		case a := <-answers:
			waiting--
			witnesses[a.index].Leads = a.err == nil && a.reply.Err == nil
			witnesses[a.index].Follows = a.err == nil && a.reply.Err != nil && a.reply.Err.Code == statement.ReadOnly
		case <-patience.C:
			expired = true
		}
	}
	result := promotion.CheckLeadership(witnesses, 0)
	if result != promotion.Unconfirmed {
		return result
	}
	select {
	case <-check.wanted:
	case <-time.After(time.Until(deadline)):
		return result
	}
	term := p.askStatuses(primary, members, witnesses, deadline)
	result = promotion.CheckLeadership(witnesses, term)
	for i, m := range members {
		switch w := &witnesses[i]; {
		case m == nil || !w.Leads || !w.HasStatus:
		case result == promotion.Superseded && w.Term > term:
			p.mu.Lock()
			p.setPrimary(m.ID, w.Term)
			p.mu.Unlock()
		case w.IsFormerPrimary(term):
			// While it cannot reach its successor, only a demotion makes it follow.
			go p.demote(m, term)
		}
	}
	return result
}

// demote tells a former primary that the group has a primary in the term.
func (p *pool) demote(m *poolMember, term uint64) {
	// A failed call is repeated by the next check.
	_, _ = p.controlCallUntil(context.Background(), m, time.Now().Add(leadershipTimeout), statement.Statement{Kind: statement.Demote, Term: term})
}

// witnesses returns the other members of the group and an empty witness for each. A
// member that is not expected to answer is nil.
func (p *pool) witnesses(primary string) ([]*poolMember, []promotion.Witness) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []*poolMember
	var witnesses []promotion.Witness
	for id, m := range p.members {
		if id == primary {
			continue
		}
		witnesses = append(witnesses, promotion.Witness{Unlisted: !m.unlistedSince.IsZero()})
		if m.down || now.Before(m.witnessSilentUntil) {
			m = nil
		}
		members = append(members, m)
	}
	return members, witnesses
}

// askStatuses adds the status of the members that answered to their witnesses, and returns
// the term of the primary, or 0 if it did not answer.
func (p *pool) askStatuses(primary string, members []*poolMember, witnesses []promotion.Witness, deadline time.Time) uint64 {
	p.mu.Lock()
	leader := p.members[primary]
	p.mu.Unlock()
	if leader == nil {
		return 0
	}
	var term uint64
	var calls sync.WaitGroup
	calls.Go(func() {
		if status, err := p.askStatus(leader, deadline); err == nil && status.Role == group.Primary {
			term = status.Term
		}
	})
	for i, m := range members {
		if m == nil || !(witnesses[i].Follows || witnesses[i].Leads) {
			continue
		}
		calls.Go(func() {
			status, err := p.askStatus(m, deadline)
			w := &witnesses[i]
			if err == nil {
				w.HasStatus, w.Term, w.Paused = true, status.Term, status.PausedTerm > 0
				w.Leads, w.Follows = status.Role == group.Primary, status.Role == group.Replica
			}
		})
	}
	calls.Wait()
	return term
}

func (p *pool) askStatus(m *poolMember, deadline time.Time) (statement.MemberStatus, error) {
	status, err := p.controlCallUntil(context.Background(), m, deadline, statement.Statement{Kind: statement.Status})
	if err != nil {
		p.noteSilentWitness(m, err)
	}
	return status, err
}

// askMember sends one statement of the gateway's own to a member.
func (p *pool) askMember(m *poolMember, workspace string, deadline time.Time, st statement.Statement) (statement.Reply, error) {
	conn, err := p.witnessConn(m, workspace, deadline)
	if err != nil {
		p.noteSilentWitness(m, err)
		return statement.Reply{}, err
	}
	replies, err := p.exchange(conn, deadline, st)
	if err == nil && conn.state != statement.Idle {
		// The member leads, or failed otherwise: end its transaction.
		_, err = p.exchange(conn, deadline, statement.Statement{Kind: statement.Rollback})
	}
	p.returnConn(conn, err == nil)
	if len(replies) == 1 {
		return replies[0], nil
	}
	p.noteSilentWitness(m, err)
	return statement.Reply{}, err
}

// witnessConn returns a connection to the member for one statement: an unused one, or a new
// one of the given workspace that stays in the pool. Connections to members are scarce, above
// all after a loss of power, when members keep the old ones for several seconds. Only if all
// connections of this instance are in use, one more is opened, which does not belong to the
// pool.
func (p *pool) witnessConn(m *poolMember, workspace string, deadline time.Time) (*pooledConn, error) {
	if conn := p.unusedConn(m, false); conn != nil {
		return conn, nil
	}
	now := time.Now()
	p.mu.Lock()
	if workspace != "" && m.open < p.connLimit(m) && !now.Before(m.connLimitUntil) && m.acceptsWork(false, now) {
		m.open++
		m.opening++
		p.mu.Unlock()
		return p.openConn(context.Background(), grant{member: m}, &connRequest{workspace: workspace, deadline: deadline})
	}
	p.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return p.openOwnConn(ctx, m)
}

// noteSilentWitness makes the next checks not wait for a member that did not answer.
func (p *pool) noteSilentWitness(m *poolMember, err error) {
	if isMemberError(err) {
		return
	}
	p.mu.Lock()
	m.witnessSilentUntil = time.Now().Add(witnessBackoff)
	p.mu.Unlock()
}
