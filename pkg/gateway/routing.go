package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// If each member has a serving set of its own, the instance to which the client is
// connected chooses the member, relays the statement to an instance that serves it, and
// tries another member after a refusal.

const (
	// targetBackoff is how long a member that refused or failed a statement is the last
	// choice for further ones.
	targetBackoff = 200 * time.Millisecond
	// reportedWaitTTL is how long a reported wait counts.
	reportedWaitTTL = 500 * time.Millisecond
	// minPrimaryRetryDelay and maxPrimaryRetryDelay bound the delay before a statement that
	// needs the primary is sent again after it was refused. A change of primary ends the
	// delay.
	minPrimaryRetryDelay, maxPrimaryRetryDelay = 25 * time.Millisecond, 200 * time.Millisecond
)

// targetReport is what an instance that serves a member reported of it.
type targetReport struct {
	expectedWait     time.Duration
	reportedAt       time.Time
	backingOffBefore time.Time
}

// destination is a member with the instance that runs statements for it; peer is nil for
// this instance.
type destination struct {
	member string
	peer   *peer
}

// memberOwner returns the peer that runs the workspace's statements at the member, or nil
// if this instance does.
func (ps *peers) memberOwner(m Member, workspace string, size int) *peer {
	view, _ := ps.servingInstances()
	owner := view.memberOwner(m.ID, m.Zone, workspace, size)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.byID[owner]
}

// chooseDestination returns where to run a statement. It returns false if no member is
// known to take it.
func (p *pool) chooseDestination(req *connRequest) (destination, bool) {
	if _, listed := p.instances.servingInstances(); !listed {
		return destination{}, false
	}
	p.mu.Lock()
	now := time.Now()
	var members []Member
	var targets []placement.Target
	for id, m := range p.members {
		isPrimary := id == p.primary
		if (m.down && m.served) || req.excluded[id] || (req.needsPrimary && !isPrimary) || (req.commits && !p.takesCommits(id, now)) || !m.acceptsWork(req.needsPrimary, now) {
			continue
		}
		t := placement.Target{
			ID: id, SameZone: m.Zone == p.zone, IsPrimary: isPrimary, Rank: memberRank(req.workspace, id),
			BackingOff: !req.needsPrimary && now.Before(m.readBackoffUntil),
		}
		r := p.targets[id]
		t.BackingOff = t.BackingOff || now.Before(r.backingOffBefore)
		if m.served {
			item := admission.Item{Workspace: req.workspace, Priority: req.priority, Member: id}
			if load := p.memberLoad(m, item, now); !load.HasFreeSlot() {
				t.ExpectedWait = admission.ExpectedWait(load)
			}
		} else if now.Sub(r.reportedAt) < reportedWaitTTL {
			t.ExpectedWait = r.expectedWait
		}
		members, targets = append(members, m.Member), append(targets, t)
	}
	size := p.memberSetSize
	p.mu.Unlock()
	i := placement.ChooseTarget(targets)
	if i < 0 {
		return destination{}, false
	}
	return destination{members[i].ID, p.instances.memberOwner(members[i], req.workspace, size)}, true
}

// memberRank spreads the workspaces over members that are otherwise equal.
func memberRank(workspace, member string) float64 {
	return float64(xxhash.Sum64String(workspace+"/"+member)>>11) / (1 << 53)
}

// noteTarget records the wait that an instance reported for a member, and whether it
// refused or failed a statement.
func (p *pool) noteTarget(member string, expectedWait time.Duration, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	r := p.targets[member]
	if refused {
		r.backingOffBefore = now.Add(targetBackoff)
	} else {
		r.expectedWait, r.reportedAt = expectedWait, now
	}
	p.targets[member] = r
}

// mayRunElsewhere reports whether a statement may be sent to another member, or again to
// the primary, after the error. A read has no effects.
func mayRunElsewhere(err error, isRead bool) bool {
	if errors.Is(err, errNotRunAtPeer) {
		return true
	}
	e := verdict.FromError(err)
	switch e.Code {
	case verdict.QueueFull, verdict.NoPrimary, verdict.ReplicaBehind:
		return e.Verdict == verdict.NotRun
	case verdict.StatementFailed, verdict.OutcomeUnknown:
		return isRead
	default:
		return false
	}
}

// memberSearch is the search for a member that takes one statement or transaction.
type memberSearch struct {
	pool  *pool
	req   connRequest
	route *catalog.Route
	// started is when the statement arrived, and deadline when it times out.
	started, deadline time.Time
	isRead            bool
	retryDelay        time.Duration
	last              error
	// mayChange is set if a member did not take the statement for another reason than its
	// load.
	mayChange bool
}

// next returns where to try next, or the error with which to refuse the statement.
func (m *memberSearch) next(ctx context.Context) (destination, error) {
	for {
		if d, ok := m.pool.chooseDestination(&m.req); ok {
			return d, nil
		}
		if (m.last != nil && !m.mayChange) || !m.waitForMember(ctx) {
			return destination{}, m.refusal()
		}
	}
}

// waitForMember waits until members may take the statement again. It returns false once the
// statement has waited for as long as it is of use.
func (m *memberSearch) waitForMember(ctx context.Context) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	limit := m.started.Add(max(maxQueueWait(m.route), noMemberWait))
	if m.pool.awaitsPrimary(time.Now()) && m.req.needsPrimary || limit.After(m.deadline) {
		limit = m.deadline
	}
	left := time.Until(limit)
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	m.retryDelay = min(max(2*m.retryDelay, minPrimaryRetryDelay), maxPrimaryRetryDelay)
	m.pool.waitForMembersChange(ctx, min(left, m.retryDelay))
	clear(m.req.excluded)
	return true
}

// failed records that the destination did not run the statement. It returns false if the
// statement must not be tried again.
func (m *memberSearch) failed(ctx context.Context, at destination, err error) bool {
	if ctx.Err() != nil || !mayRunElsewhere(err, m.isRead) {
		return false
	}
	atPeer := errors.Is(err, errNotRunAtPeer)
	if atPeer && m.pool.instances.isSuspect(at.peer) {
		return time.Now().Before(m.deadline) // another instance serves the member now
	}
	if !atPeer {
		m.last = err
	}
	m.mayChange = m.mayChange || atPeer || verdict.FromError(err).Code != verdict.QueueFull
	if m.req.needsPrimary {
		// The member may no longer lead, or may be down, or the peer lacks the newest
		// configuration: only time helps. A queue that is too long does not get shorter by
		// asking again.
		return (atPeer || verdict.FromError(err).Code == verdict.NoPrimary) && m.waitForMember(ctx)
	}
	m.pool.noteTarget(at.member, 0, true)
	m.req.excluded[at.member] = true
	return true
}

// refusal returns the error to send if no member took the statement.
func (m *memberSearch) refusal() error {
	if m.last != nil {
		return m.last
	}
	return m.pool.queueFullError("no member can take the statement")
}

// runAtMembers runs a statement at the members that can serve it, one after another.
func (s *session) runAtMembers(ctx context.Context, op *operation) (statement.Reply, error) {
	if err := s.chargeLimit(op.workspace, op.rec); err != nil {
		return statement.Reply{}, err
	}
	reply, err := s.searchMember(ctx, op)
	if err != nil && op.rec.attempts == 0 && verdict.FromError(err).Verdict == verdict.NotRun {
		s.gw.limits.refund(op.workspace.Name)
	}
	return reply, err
}

func (s *session) searchMember(ctx context.Context, op *operation) (statement.Reply, error) {
	isWrite := s.isWrite(op.Statement)
	search := &memberSearch{
		pool: op.pool, route: op.route, started: op.rec.started, deadline: op.deadline, isRead: !isWrite,
		req: connRequest{workspace: op.workspace.Name, needsPrimary: isWrite || op.route.Consistency == catalog.Strict, commits: isWrite, priority: op.route.Priority, excluded: map[string]bool{}},
	}
	for {
		at, err := search.next(ctx)
		if err != nil {
			return statement.Reply{}, err
		}
		reply, err := s.runAt(ctx, op, at)
		if err == nil || !search.failed(ctx, at, err) {
			return reply, notRunUnlessKnown(err)
		}
	}
}

// notRunUnlessKnown replaces errNotRunAtPeer, which no client must see, by a refusal.
func notRunUnlessKnown(err error) error {
	if errors.Is(err, errNotRunAtPeer) {
		return notRun(verdict.QueueFull, "no instance that serves the member responds").WithRetryAfter(refusalRetryAfter).WithCause(err)
	}
	return err
}

// runAt runs the statement at the destination.
func (s *session) runAt(ctx context.Context, op *operation, at destination) (statement.Reply, error) {
	op.member, op.waited = at.member, time.Since(op.rec.started)
	switch {
	case at.peer != nil:
		return s.relaySingle(ctx, at.peer, op, false)
	case s.isWrite(op.Statement):
		return s.runWrite(ctx, op)
	default:
		return s.runRead(ctx, op)
	}
}

// beginAtMembers begins the transaction at a member that takes it, and runs its first
// statement there if that is at another instance. begun is false if the transaction has
// begun here and the statement remains to be run.
func (s *session) beginAtMembers(ctx context.Context, st statement.Statement, rec *requestRecord) (reply statement.Reply, ran bool, err error) {
	tx := s.tx
	search := &memberSearch{
		pool: tx.pool, route: tx.route, started: rec.started, deadline: s.gw.answerDeadline(rec.started.Add(statementTimeout(tx.route))), isRead: tx.readOnly,
		req: connRequest{workspace: tx.workspace.Name, needsPrimary: !tx.readOnly || tx.route.Consistency == catalog.Strict, commits: !tx.readOnly, priority: tx.route.Priority, excluded: map[string]bool{}},
	}
	for {
		at, err := search.next(ctx)
		if err != nil {
			s.endAfterError(st)
			return statement.Reply{}, true, err
		}
		tx.member = at.member
		if at.peer != nil {
			tx.peer, tx.relayID = at.peer, lastRelayedTransaction.Add(1)
			reply, err = s.relayInTransaction(ctx, st, true, rec)
		} else {
			s.waited = time.Since(rec.started)
			err = s.beginAtMember(ctx, st, search.deadline, rec)
			s.waited = 0
		}
		if err == nil {
			return reply, at.peer != nil, nil
		}
		if s.tx == nil {
			return reply, true, err // the transaction has ended at the peer
		}
		tx.peer, tx.hasWritten, tx.isCounted = nil, false, false
		if !search.failed(ctx, at, err) {
			s.endAfterError(st)
			return statement.Reply{}, true, notRunUnlessKnown(err)
		}
	}
}
