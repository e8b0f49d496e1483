package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// acquire returns a connection for the request. Its error is a *verdict.Error
// that says "not run".
func (p *pool) acquire(ctx context.Context, a *acquisition, rec *requestRecord) (*pooled, error) {
	started := time.Now()
	defer func() { rec.waited += time.Since(started) }()
	p.mu.Lock()
	if !a.primary {
		p.lastRead = started
	}
	for {
		now := time.Now()
		if !now.Before(a.deadline) {
			p.mu.Unlock()
			return nil, p.refuse("no connection in time")
		}
		candidates := p.candidates(a, now)
		if len(candidates) == 0 {
			if len(a.avoid) > 0 || (!p.changing && now.Sub(started) >= memberlessWait) {
				p.mu.Unlock()
				return nil, p.refuse("no member can take the statement")
			}
			p.awaitChange(ctx, min(a.deadline.Sub(now), memberlessWait))
			continue
		}
		g, ok := p.reserve(a, candidates)
		if !ok {
			if wait := p.expectedWait(a, candidates); wait > a.remainingPatience(started, now) {
				p.mu.Unlock()
				return nil, p.refuse("too many requests wait").WithRetryAfter(wait)
			}
			if g = p.await(ctx, a); g.err != nil {
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
		conn, err := p.openConn(ctx, g, a)
		if err == nil {
			return conn, nil
		}
		p.mu.Lock()
		if !a.primary {
			if a.avoid == nil {
				a.avoid = map[string]bool{}
			}
			a.avoid[g.member.ID] = true
		}
	}
}

func (p *pool) refuse(text string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.QueueFull, "group %s: %s", p.name, text).WithRetryAfter(refusalHint)
}

// awaitChange waits for a change of the members. The caller holds p.mu.
func (p *pool) awaitChange(ctx context.Context, wait time.Duration) {
	changed := p.changed
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

// remainingPatience returns how long the request may still wait in the queue.
func (a *acquisition) remainingPatience(started, now time.Time) time.Duration {
	left := a.deadline.Sub(now)
	if a.patience > 0 {
		left = min(left, a.patience-now.Sub(started))
	}
	return left
}

// expectedWait estimates how long a new request waits behind the others that
// need the same members. The caller holds p.mu.
func (p *pool) expectedWait(a *acquisition, candidates []placement.Member) time.Duration {
	ahead := p.queue.CountWaiting(func(it admission.Item) bool {
		return !a.primary || p.waiters[it.ID].acquisition.primary
	})
	servers := 0
	for i := range candidates {
		servers += candidates[i].BusyLimit
	}
	return time.Duration(float64(p.mean) * float64(ahead+1) / float64(max(servers, 1)))
}

// candidates returns the members that may take the request. The caller holds p.mu.
func (p *pool) candidates(a *acquisition, now time.Time) []placement.Member {
	var out []placement.Member
	for _, m := range p.members {
		if m.down || a.avoid[m.ID] || (a.primary && m.ID != p.primary) {
			continue
		}
		if !m.mayTake(a.primary, now) || (!a.primary && now.Before(m.avoidUntil)) {
			continue
		}
		c := placement.Member{
			ID: m.ID, Zone: m.Zone, IsPrimary: m.ID == p.primary, Idle: len(m.idle[a.workspace]),
			Open: m.open, OpenLimit: p.limit(m), Busy: m.opening + m.busy(), BusyLimit: p.concurrency(m),
			Preferred: m.ID == p.preferred(a.workspace),
		}
		c.IdleForOthers = m.idleCount - c.Idle
		if now.Before(m.fullUntil) {
			c.OpenLimit = min(c.OpenLimit, m.open)
		}
		out = append(out, c)
	}
	return out
}

// busy counts the connections with a statement in progress or about to begin.
func (m *poolMember) busy() int {
	n := 0
	for c := range m.running {
		if !c.paused {
			n++
		}
	}
	return n
}

// queueDepth is the number of statements for each slot of a member that all
// instances together may have there. More would only wait in the member's queue,
// where nothing orders them, and less would leave slots idle while answers travel.
const queueDepth = 3

// limit returns how many connections to the member the instance may have.
func (p *pool) limit(m *poolMember) int {
	if !p.serves {
		return strayConnections
	}
	share := replicaShare
	if m.ID == p.primary {
		share = primaryShare
	}
	return max(int(share*float64(p.maxConnections))/max(p.instances, 1), minConnections)
}

// concurrency returns how many statements the instance may have at the member.
func (p *pool) concurrency(m *poolMember) int {
	slots := max(m.Slots, 1)
	return max((slots*queueDepth+p.instances-1)/max(p.instances, 1), 1)
}

// preferred returns the replica at which the workspace's connections are opened
// while it is not loaded, so that each replica serves few workspaces. The caller
// holds p.mu.
func (p *pool) preferred(workspace string) string {
	best, highest := "", uint64(0)
	for id, m := range p.members {
		if id == p.primary || m.down || !m.outSince.IsZero() {
			continue
		}
		if score := xxhash.Sum64String(workspace + "/" + id); best == "" || score > highest {
			best, highest = id, score
		}
	}
	return best
}

// reserve takes an idle connection or the permission to open one. The caller
// holds p.mu.
func (p *pool) reserve(a *acquisition, candidates []placement.Member) (grant, bool) {
	choice := placement.Choose(candidates, p.zone)
	if choice.Action == placement.Wait {
		return grant{}, false
	}
	m := p.members[candidates[choice.Member].ID]
	switch choice.Action {
	case placement.UseIdle:
		list := m.idle[a.workspace]
		conn := list[len(list)-1]
		m.idle[a.workspace] = list[:len(list)-1]
		m.idleCount--
		m.running[conn] = struct{}{}
		return grant{conn: conn}, true
	case placement.Replace:
		p.closeIdle(m, m.oldestIdle(a.workspace))
	}
	m.open++
	m.opening++
	return grant{member: m}, true
}

// oldestIdle returns the idle connection of another workspace that has not been
// used for the longest time, or nil.
func (m *poolMember) oldestIdle(workspace string) *pooled {
	var oldest *pooled
	for w, list := range m.idle {
		if w != workspace && len(list) > 0 && (oldest == nil || list[0].usedAt.Before(oldest.usedAt)) {
			oldest = list[0]
		}
	}
	return oldest
}

// await queues the request. The caller holds p.mu.
func (p *pool) await(ctx context.Context, a *acquisition) grant {
	p.nextID++
	id := p.nextID
	w := &waiter{acquisition: a, grant: make(chan grant, 1), since: time.Now()}
	p.waiters[id] = w
	refused, full := p.queue.Push(admission.Item{ID: id, Workspace: a.workspace, Deadline: a.deadline})
	if full {
		p.finish(refused.ID, grant{err: p.refuse("the queue is full")})
	}
	changed := p.changed
	p.mu.Unlock()
	wait := time.Until(a.deadline)
	if a.patience > 0 {
		wait = min(wait, a.patience)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var g grant
	select {
	case g = <-w.grant:
		p.mu.Lock()
		return g
	case <-changed: // the members have changed: choose again
	case <-timer.C:
		g.err = p.refuse("no connection in time").WithRetryAfter(refusalHint)
	case <-ctx.Done():
		g.err = p.refuse("the instance is shutting down")
	}
	p.mu.Lock()
	if p.queue.Remove(a.workspace, id) {
		delete(p.waiters, id)
		return g
	}
	return <-w.grant
}

func (p *pool) finish(id uint64, g grant) {
	if w := p.waiters[id]; w != nil {
		delete(p.waiters, id)
		w.grant <- g
	}
}

// reusePreference is how long a waiting request lets others pass that can use an
// idle connection of their workspace, where it would have to open one: opening
// occupies a slot for about as long as a statement.
const reusePreference = 40 * time.Millisecond

// dispatch serves waiting requests. The caller holds p.mu.
func (p *pool) dispatch() {
	now := time.Now()
	action := func(it admission.Item) placement.Action {
		return placement.Choose(p.candidates(p.waiters[it.ID].acquisition, now), p.zone).Action
	}
	for p.queue.Len() > 0 {
		first, ok := p.queue.Peek(func(it admission.Item) bool { return action(it) != placement.Wait })
		if !ok {
			return
		}
		item, charged, ok := admission.Item{}, time.Duration(0), false
		if now.Sub(p.waiters[first.ID].since) < reusePreference && action(first) != placement.UseIdle {
			item, charged, ok = p.queue.Next(func(it admission.Item) bool { return action(it) == placement.UseIdle })
		}
		if !ok {
			item, charged, _ = p.queue.Next(func(it admission.Item) bool { return it.ID == first.ID })
		}
		a := p.waiters[item.ID].acquisition
		g, _ := p.reserve(a, p.candidates(a, now))
		g.charged = charged
		if g.conn != nil {
			g.conn.charged = charged
		}
		p.finish(item.ID, g)
	}
}
