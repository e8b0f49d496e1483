package backend

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// View is the state of the group as decided by the control goroutine. It must not be
// changed after it has been passed to SetView.
type View struct {
	// Primary is the member that receives writes; empty if there is none.
	Primary string
	// Term is the current term, TermStart the index of its first entry, and
	// PreviousTerm the term of the preceding entry.
	Term, TermStart, PreviousTerm uint64
	// InService holds the members that may receive new requests. A member that is
	// absent or false receives none, even if it is the primary.
	InService map[string]bool
	// Budget is the number of connections that this instance may have open to each
	// member; 0 for members that are absent.
	Budget map[string]int
	// HoldWrites makes new writes wait during a planned switchover.
	HoldWrites bool
}

// SetView replaces the view. Waiting requests whose member may no longer receive them
// are assigned to a member again; running transactions are not affected. Only the
// control goroutine calls it.
func (g *Group) SetView(v View) {
	if v.Primary != "" {
		g.confirmer.setPrimary(v.Term, v.Primary)
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed {
		return
	}
	if v.Primary != "" && v.Term != g.lastConfirmingTerm {
		g.lastConfirmingTerm = v.Term
		g.startTermConfirmation(group.Position{Term: v.Term, Index: v.TermStart})
	}
	for name, m := range g.members {
		inService := v.InService[name]
		if inService && !m.inService && g.viewSet {
			m.returnedAt = now
		}
		m.inService, m.budget = inService, max(v.Budget[name], 0)
	}
	g.view, g.viewSet = v, true
	g.closeReplacedPrimaries(now)
	g.requeueWaiters()
	for _, m := range g.members {
		g.closeSurplus(m)
		g.fillPool(m, now)
		g.dispatch(m)
	}
	g.broadcast(&g.viewChanged, &g.statusChanged)
}

// startTermConfirmation starts the confirmation of the first entry of a new term,
// without waiting for the next probes: floors of older terms cannot be served before
// it. The caller holds g.mu.
func (g *Group) startTermConfirmation(first group.Position) {
	if first.Index == 0 || g.confirmer.isTermConfirmed(first.Term) {
		return
	}
	g.requestProbes()
	g.goroutines.Add(1)
	go func() {
		defer g.goroutines.Done()
		if err := g.Confirm(g.ctx, first); err == nil {
			g.wakeWaiters()
		}
	}()
}

// wakeWaiters makes all held requests choose a member again.
func (g *Group) wakeWaiters() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broadcast(&g.viewChanged, &g.statusChanged)
}

// broadcast wakes all goroutines that wait for one of the changes. The caller holds
// g.mu.
func (g *Group) broadcast(changes ...*chan struct{}) {
	for _, c := range changes {
		close(*c)
		*c = make(chan struct{})
	}
}

// requeueWaiters makes the queued requests whose member may no longer receive them
// choose a member again. The caller holds g.mu.
func (g *Group) requeueWaiters() {
	now := time.Now()
	moved := g.queue.RemoveMatching(func(it admission.Item) bool {
		m, w := g.members[it.Member], g.waiters[it.ID]
		if w == nil || !m.inService {
			return true
		}
		if !w.request.Read {
			return !g.acceptsWrite(&w.request) || it.Member != g.view.Primary
		}
		return it.Member != g.view.Primary && !m.isUsable(now)
	})
	for _, it := range moved {
		g.endWait(it.ID, grant{})
	}
}

// acceptsWrite reports whether the primary of the view may receive the write. The
// caller holds g.mu.
func (g *Group) acceptsWrite(r *Request) bool {
	m := g.members[g.view.Primary]
	return m != nil && m.inService && !g.view.HoldWrites && consistency.PrimaryServes(g.term(), r.Floor)
}

// term returns the term of the view. The caller holds g.mu.
func (g *Group) term() consistency.Term {
	return consistency.Term{
		Primary: g.view.Primary, Number: g.view.Term, Confirmed: g.confirmer.isTermConfirmed(g.view.Term),
	}
}

// maintainPools runs the maintenance of the pools until the group is closed. It keeps
// them within their budgets, closes idle connections that the member has closed,
// closes the transactions on unresponsive members, and opens connections in advance.
func (g *Group) maintainPools() {
	defer g.goroutines.Done()
	// awakeSince is the end of the last pause of this process. Without it, a member
	// would count as unresponsive because the paused process sent it no probes.
	last := time.Now()
	awakeSince := last
	for g.sleep(maintenanceInterval) {
		now := time.Now()
		if now.Sub(last) > pauseThreshold {
			awakeSince = now
		}
		last = now
		g.maintainPoolsOnce(awakeSince, now)
	}
}

func (g *Group) maintainPoolsOnce(awakeSince, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed {
		return
	}
	g.requeueWaiters()
	g.closeReplacedPrimaries(now)
	for _, m := range g.members {
		m.closeUnresponsive(awakeSince, now)
		g.closeIdle(m, func(p *pooledConn) bool { return !isHealthyIdle(p.server.conn) })
		g.closeSurplus(m)
		g.fillPool(m, now)
		g.dispatch(m)
	}
}
