package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// acquire returns a connection for the request. Any error is a *verdict.Error
// whose verdict is NotRun.
func (p *pool) acquire(ctx context.Context, req *connRequest, rec *requestRecord) (*pooledConn, error) {
	started := time.Now()
	defer func() { rec.connWait += time.Since(started) }()
	p.mu.Lock()
	for {
		now := time.Now()
		if ctx.Err() != nil {
			p.mu.Unlock()
			return nil, p.queueFullError("the instance is shutting down")
		}
		if !now.Before(req.deadline) {
			p.mu.Unlock()
			return nil, p.queueFullError("no connection in time")
		}
		candidates := p.candidates(req, now)
		if len(candidates) == 0 && req.member != "" {
			p.mu.Unlock()
			return nil, p.memberUnavailableError(req.member)
		}
		if len(candidates) == 0 {
			if len(req.excluded) > 0 || (!p.awaitsPrimary(now) && now.Sub(started) >= noMemberWait) {
				p.mu.Unlock()
				return nil, p.queueFullError("no member can take the statement")
			}
			p.waitForMembersChange(ctx, min(req.deadline.Sub(now), noMemberWait))
			continue
		}
		g, ok := p.reserve(req, candidates)
		if !ok && p.scope == placement.ServingByMember {
			if err := p.refuseUnlessInTime(req, req.remainingWait(started, now), now); err != nil {
				p.mu.Unlock()
				return nil, err
			}
			if g = p.waitInQueue(ctx, req); g.err != nil {
				p.mu.Unlock()
				return nil, g.err
			}
		} else if !ok {
			if wait := p.expectedWait(req, candidates); wait > req.remainingWait(started, now) {
				p.mu.Unlock()
				return nil, p.queueFullError("too many requests wait").WithRetryAfter(wait)
			}
			if g = p.waitInQueue(ctx, req); g.err != nil {
				p.mu.Unlock()
				return nil, g.err
			}
		}
		if g.conn == nil && g.member == nil {
			continue
		}
		if g.conn != nil {
			p.mu.Unlock()
			if g.conn.IsStale() {
				p.release(g.conn, false)
				p.mu.Lock()
				continue
			}
			return g.conn, nil
		}
		p.mu.Unlock()
		conn, err := p.openConn(ctx, g, req)
		if err == nil && ctx.Err() == nil {
			return conn, nil
		}
		if err == nil {
			p.release(conn, true)
			return nil, p.queueFullError("the instance is shutting down")
		}
		p.mu.Lock()
		if !req.needsPrimary {
			if req.excluded == nil {
				req.excluded = map[string]bool{}
			}
			req.excluded[g.member.ID] = true
		}
	}
}

func (p *pool) queueFullError(text string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.QueueFull, "group %s: %s", p.name, text).WithRetryAfter(refusalRetryAfter)
}

// memberUnavailableError returns the refusal of a statement that is to run at a member that
// does not take it.
func (p *pool) memberUnavailableError(member string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NoPrimary, "group %s: member %s does not take the statement", p.name, member).WithRetryAfter(refusalRetryAfter)
}

// waitForMembersChange waits until the set of usable members changes. The
// caller holds p.mu.
func (p *pool) waitForMembersChange(ctx context.Context, wait time.Duration) {
	changed := p.membersChanged
	p.mu.Unlock()
	defer p.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// remainingWait returns how long the request may still wait in the queue.
func (req *connRequest) remainingWait(started, now time.Time) time.Duration {
	left := req.deadline.Sub(now)
	if req.maxWait > 0 {
		left = min(left, req.maxWait-now.Sub(started))
	}
	return left
}

// expectedWait estimates how long a new request will wait behind queued
// requests that need the same members. The caller holds p.mu.
func (p *pool) expectedWait(req *connRequest, candidates []placement.Member) time.Duration {
	ahead := p.queue.CountWaiting(func(item admission.Item) bool {
		return !req.needsPrimary || p.waiters[item.ID].request.needsPrimary
	})
	slots := 0
	for i := range candidates {
		slots += candidates[i].BusyLimit
	}
	return time.Duration(float64(p.meanHoldTime) * float64(ahead+1) / float64(max(slots, 1)))
}

// expectedMemberWait estimates how long a further request of the workspace and priority would
// wait for the member.
func (p *pool) expectedMemberWait(member, workspace string, priority int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[member]
	if m == nil {
		return 0
	}
	item := admission.Item{Workspace: workspace, Priority: priority, Member: member}
	load := p.memberLoad(m, item, time.Now())
	if load.HasFreeSlot() {
		return 0
	}
	return admission.ExpectedWait(load)
}

// servingScope says whether each member has a serving set of its own.
func (p *pool) servingScope() placement.ServingScope {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scope
}

// candidates returns the members that can serve the request. The caller holds
// p.mu.
func (p *pool) candidates(req *connRequest, now time.Time) []placement.Member {
	var out []placement.Member
	for _, m := range p.members {
		if req.member != "" && m.ID != req.member {
			continue
		}
		if m.down || req.excluded[m.ID] || (req.needsPrimary && m.ID != p.primary) {
			continue
		}
		if req.commits && !p.takesCommits(m.ID, now) {
			continue
		}
		if !m.acceptsWork(req.needsPrimary, now) || (!req.needsPrimary && now.Before(m.readBackoffUntil)) {
			continue
		}
		c := placement.Member{
			ID: m.ID, Zone: m.Zone, IsPrimary: m.ID == p.primary, Idle: len(m.idle[req.workspace]),
			Open: m.open, OpenLimit: p.connLimit(m), Busy: m.opening + m.busyConns(), BusyLimit: p.statementLimit(m),
			Preferred: m.ID == p.preferredReplica(req.workspace),
		}
		if c.IdleForOthers = m.idleCount - c.Idle; c.IdleForOthers > 0 {
			c.OpenLimit = min(c.OpenLimit, p.keptConns(m))
		}
		if now.Before(m.connLimitUntil) {
			c.OpenLimit = min(c.OpenLimit, m.open)
		}
		out = append(out, c)
	}
	return out
}

// busyConns counts the connections that run a statement or are about to.
func (m *poolMember) busyConns() int {
	n := 0
	for c := range m.running {
		if !c.idleInTransaction {
			n++
		}
	}
	return n
}

// statementsPerSlot is the number of statements per execution slot of a member
// that all instances together may have in flight. More would only wait in the
// member's own queue, which is unordered; fewer would leave slots idle during
// network round trips.
const statementsPerSlot = 3

// connLimit returns the maximum number of connections from this instance to
// the member.
func (p *pool) connLimit(m *poolMember) int {
	if p.scope == placement.ServingByMember {
		return p.memberConnLimit(m)
	}
	if !p.inServingSet {
		return nonServingConnsPerMember
	}
	share := replicaConnShare
	if m.ID == p.primary {
		share = primaryConnShare
	}
	return max(int(share*float64(p.maxConnections))/max(p.servingInstances, 1), minConnsPerMember)
}

// statementLimit returns the maximum number of statements that this instance
// may have in flight on the member.
func (p *pool) statementLimit(m *poolMember) int {
	slots, instances := max(m.Slots, 1), p.servingInstances
	if p.scope == placement.ServingByMember {
		instances = max(p.memberSetSize, 1)
		if m.pace != nil {
			return m.pace.LimitAt(time.Now())
		}
	}
	return max((slots*statementsPerSlot+instances-1)/max(instances, 1), 1)
}

// preferredReplica returns the replica on which the workspace's connections
// are opened while it is not loaded, so that each replica serves few
// workspaces. The caller holds p.mu.
func (p *pool) preferredReplica(workspace string) string {
	best, highest := "", uint64(0)
	for id, m := range p.members {
		if id == p.primary || m.down || !m.outOfServiceSince.IsZero() {
			continue
		}
		if score := xxhash.Sum64String(workspace + "/" + id); best == "" || score > highest {
			best, highest = id, score
		}
	}
	return best
}

// reserve takes an idle connection or reserves a place to open one. The caller
// holds p.mu.
func (p *pool) reserve(req *connRequest, candidates []placement.Member) (grant, bool) {
	choice := placement.Choose(candidates, p.zone)
	if choice.Action == placement.Wait || p.awaitsOwnConn(req, candidates, choice, time.Now()) {
		return grant{}, false
	}
	m := p.members[candidates[choice.Member].ID]
	switch choice.Action {
	case placement.UseIdle:
		list := m.idle[req.workspace]
		conn := list[len(list)-1]
		m.idle[req.workspace] = list[:len(list)-1]
		m.idleCount--
		m.running[conn] = struct{}{}
		conn.priority = req.priority
		if p.scope == placement.ServingByMember {
			// Until the statement is sent, the connection has not been used for it.
			conn.lastUsedAt = time.Time{}
		}
		return grant{conn: conn}, true
	case placement.Replace:
		p.closeIdle(m, p.surplusIdle(m, req.workspace))
	}
	m.open++
	m.opening++
	return grant{member: m, priority: req.priority}, true
}

// awaitsOwnConn reports whether the request waits for a connection on which its workspace
// runs a statement, for at most reuseWindow, rather than close one of another workspace.
// Otherwise workspaces that take turns close each other's connections at every statement.
// The caller holds p.mu.
func (p *pool) awaitsOwnConn(req *connRequest, candidates []placement.Member, choice placement.Choice, now time.Time) bool {
	if p.scope != placement.ServingByMember || choice.Action != placement.Replace {
		return false
	}
	if req.awaitsOwnUntil.IsZero() {
		req.awaitsOwnUntil = now.Add(reuseWindow)
		time.AfterFunc(reuseWindow, p.dispatchNow)
	}
	if !now.Before(req.awaitsOwnUntil) {
		return false
	}
	for c := range p.members[candidates[choice.Member].ID].running {
		if c.workspace == req.workspace && !c.inTransaction {
			return true
		}
	}
	return false
}

// oldestIdle returns the least recently used idle connection of any other
// workspace, or nil.
func (m *poolMember) oldestIdle(workspace string) *pooledConn {
	return m.oldestIdleOf(workspace, 1)
}

// oldestIdleOf returns the least recently used idle connection of any other workspace that
// has at least so many, or nil.
func (m *poolMember) oldestIdleOf(workspace string, atLeast int) *pooledConn {
	var oldest *pooledConn
	for w, list := range m.idle {
		if w != workspace && len(list) >= atLeast && (oldest == nil || list[0].lastUsedAt.Before(oldest.lastUsedAt)) {
			oldest = list[0]
		}
	}
	return oldest
}

// surplusIdle returns the idle connection to close for one of the workspace: of a workspace
// that has several, so that more workspaces keep one, or else the least recently used.
func (p *pool) surplusIdle(m *poolMember, workspace string) *pooledConn {
	if p.scope == placement.ServingByMember {
		if c := m.oldestIdleOf(workspace, 2); c != nil {
			return c
		}
	}
	return m.oldestIdle(workspace)
}

// waitInQueue queues the request and waits for a grant. An empty grant means
// that the members changed and the caller must choose again. The caller holds
// p.mu.
func (p *pool) waitInQueue(ctx context.Context, req *connRequest) grant {
	p.nextWaiterID++
	id := p.nextWaiterID
	w := &waiter{request: req, grant: make(chan grant, 1), queuedAt: time.Now(), item: req.queueItem(id), load: req.load}
	p.waiters[id] = w
	refused, full := p.queue.Push(w.item)
	if full {
		p.deliverGrant(refused.ID, grant{err: p.evictionError(refused.ID)})
	}
	changed := p.membersChanged
	p.mu.Unlock()
	wait := time.Until(req.deadline)
	if req.maxWait > 0 {
		wait = min(wait, req.maxWait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var g grant
	select {
	case g = <-w.grant:
		p.mu.Lock()
		return g
	case <-changed: // the members changed: choose again
	case <-timer.C:
		g.err = p.queueFullError("no connection in time").WithRetryAfter(refusalRetryAfter)
	case <-ctx.Done():
		g.err = p.queueFullError("the instance is shutting down")
	}
	p.mu.Lock()
	if p.queue.Remove(req.workspace, id) {
		p.endWait(w)
		if g.err != nil && p.scope == placement.ServingByMember && ctx.Err() == nil {
			g.err = p.refuse("no connection in time", req, w.load, time.Now())
		}
		return g
	}
	return <-w.grant
}

func (p *pool) deliverGrant(id uint64, g grant) {
	if w := p.waiters[id]; w != nil {
		p.endWait(w)
		w.grant <- g
	}
}

// evictionError returns the refusal of a request that has to leave a full queue. The caller
// holds p.mu.
func (p *pool) evictionError(id uint64) error {
	if w := p.waiters[id]; w != nil && p.scope == placement.ServingByMember {
		return p.refuse("the queue is full", w.request, w.load, time.Now())
	}
	return p.queueFullError("the queue is full")
}

// endWait removes a request that no longer waits, and records how long it has waited. The
// caller holds p.mu.
func (p *pool) endWait(w *waiter) {
	delete(p.waiters, w.item.ID)
	if p.scope == placement.ServingByMember {
		p.queue.RecordWait(w.item, w.load, time.Since(w.queuedAt))
	}
}

// refuseUnlessInTime returns the refusal of a request that is not expected to get a
// connection within the remaining time, and nil for one that may wait. The caller holds p.mu.
func (p *pool) refuseUnlessInTime(req *connRequest, remaining time.Duration, now time.Time) error {
	m := p.members[req.member]
	if m == nil {
		return nil
	}
	if m.pace != nil {
		m.pace.NoteWaiting()
		remaining -= m.pace.ServiceTime().Mean
	}
	req.load = p.memberLoad(m, req.queueItem(0), now)
	if !admission.ShouldRefuse(req.load, remaining) {
		return nil
	}
	return p.refuse("too many requests wait", req, req.load, now)
}

// reuseWindow is how long a queued request that needs a new connection can be
// overtaken by requests that can reuse an idle connection of their workspace.
// Opening a connection occupies a slot for about as long as a statement.
const reuseWindow = 40 * time.Millisecond

func (p *pool) dispatchNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

// dispatch grants connections to queued requests. The caller holds p.mu.
func (p *pool) dispatch() {
	now := time.Now()
	p.queue.Advance(now)
	action := func(queued admission.Item) placement.Action {
		req := p.waiters[queued.ID].request
		candidates := p.candidates(req, now)
		choice := placement.Choose(candidates, p.zone)
		if p.awaitsOwnConn(req, candidates, choice, now) {
			return placement.Wait
		}
		return choice.Action
	}
	for p.queue.Len() > 0 {
		first, ok := p.queue.Peek(func(queued admission.Item) bool { return action(queued) != placement.Wait })
		if !ok {
			return
		}
		item, charged, ok := admission.Item{}, time.Duration(0), false
		if now.Sub(p.waiters[first.ID].queuedAt) < reuseWindow && action(first) != placement.UseIdle {
			item, charged, ok = p.queue.Next(func(queued admission.Item) bool {
				return queued.Priority <= first.Priority && action(queued) == placement.UseIdle
			})
		}
		if !ok {
			item, charged, _ = p.queue.Next(func(queued admission.Item) bool { return queued.ID == first.ID })
		}
		req := p.waiters[item.ID].request
		g, _ := p.reserve(req, p.candidates(req, now))
		g.charged, g.priority = charged, req.priority
		if g.conn != nil {
			g.conn.charged = charged
		}
		p.deliverGrant(item.ID, g)
	}
}
