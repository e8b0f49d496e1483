package backend

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// View is what the control goroutine has decided about the group. The receiver
// of a View does not change it, and the sender must not either.
type View struct {
	// Primary is the member that takes writes; empty while there is none.
	Primary string
	// Term is the current term, TermStart the index of its first entry and
	// PreviousTerm the term of the entry before that.
	Term, TermStart, PreviousTerm uint64
	// InService holds the members that may get new work; a member that is
	// missing or false gets none, a primary included.
	InService map[string]bool
	// Budget is the number of connections that this instance may have open to
	// each member. A member that is missing gets none.
	Budget map[string]int
	// Hold makes new writes wait, for a planned switchover.
	Hold bool
}

// SetView replaces the view. Requests that wait for a member that may no longer
// get them choose again; transactions that run are not touched. The control
// goroutine calls it.
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
	if v.Primary != "" && v.Term != g.confirmingTerm {
		g.confirmingTerm = v.Term
		g.confirmTerm(group.Position{Term: v.Term, Index: v.TermStart})
	}
	for name, m := range g.members {
		in := v.InService[name]
		if in && !m.inService && g.viewSet {
			m.since = now
		}
		m.inService, m.budget = in, max(v.Budget[name], 0)
	}
	g.view, g.viewSet = v, true
	g.endReplaced(now)
	g.moveWaiters()
	for _, m := range g.members {
		g.closeSurplus(m)
		g.openWarm(m, now)
		g.dispatch(m)
	}
	g.broadcast(&g.viewChanged, &g.statusChanged)
}

// confirmTerm has the first entry of a new term confirmed without waiting for the
// next probes, because floors of older terms are served only then. The caller
// holds g.mu.
func (g *Group) confirmTerm(first group.Position) {
	if first.Index == 0 || g.confirmer.confirmed(first.Term) {
		return
	}
	g.kickProbes()
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		if err := g.Confirm(g.ctx, first); err == nil {
			g.wake()
		}
	}()
}

// wake makes all requests that wait for a member choose again.
func (g *Group) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broadcast(&g.viewChanged, &g.statusChanged)
}

// broadcast wakes what waits for a change. The caller holds g.mu.
func (g *Group) broadcast(changes ...*chan struct{}) {
	for _, c := range changes {
		close(*c)
		*c = make(chan struct{})
	}
}

// moveWaiters makes the requests choose again whose member may no longer get
// them. The caller holds g.mu.
func (g *Group) moveWaiters() {
	now := time.Now()
	moved := g.queue.RemoveMatching(func(it admission.Item) bool {
		m, w := g.members[it.Member], g.waiters[it.ID]
		if w == nil || !m.inService {
			return true
		}
		if !w.request.Read {
			return !g.takesWrites(&w.request) || it.Member != g.view.Primary
		}
		return it.Member != g.view.Primary && !m.isUsable(now)
	})
	for _, it := range moved {
		g.finish(it.ID, grant{})
	}
}

// takesWrites reports whether a write may be sent to the view's primary. The
// caller holds g.mu.
func (g *Group) takesWrites(r *Request) bool {
	m := g.members[g.view.Primary]
	return m != nil && m.inService && !g.view.Hold && consistency.PrimaryServes(g.term(), r.Floor)
}

// term returns the view's term. The caller holds g.mu.
func (g *Group) term() consistency.Term {
	return consistency.Term{
		Primary: g.view.Primary, Number: g.view.Term, Confirmed: g.confirmer.confirmed(g.view.Term),
	}
}

// upkeep keeps the pools within their budgets, closes idle connections that the
// member has closed, gives up transactions on lost members, and opens warm
// connections, until the group is closed.
func (g *Group) upkeep() {
	defer g.running.Done()
	// awakeSince is the end of the last pause of this process. A member is not
	// lost for lack of answers that the process was too late to ask for.
	last := time.Now()
	awakeSince := last
	for g.pause(upkeepInterval) {
		now := time.Now()
		if now.Sub(last) > pauseThreshold {
			awakeSince = now
		}
		last = now
		g.upkeepOnce(awakeSince, now)
	}
}

func (g *Group) upkeepOnce(awakeSince, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed {
		return
	}
	g.moveWaiters()
	g.endReplaced(now)
	for _, m := range g.members {
		m.giveUpLost(awakeSince, now)
		g.closeIdle(m, func(p *pooled) bool { return !isQuiet(p.wire.conn) })
		g.closeSurplus(m)
		g.openWarm(m, now)
		g.dispatch(m)
	}
}
