package backend

import (
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// member is one member of the group with its pool. All fields below probeNow are
// guarded by Group.mu.
type member struct {
	Member
	controls *controlPool
	probeNow chan struct{}

	// statusKnown is set if status is the last status of the member, requested at
	// statusRequestedAt. Statuses requested before statusValidFrom are out of date.
	statusKnown                                          bool
	status                                               group.Status
	statusRequestedAt, statusReceivedAt, statusValidFrom time.Time

	inService bool
	// returnedAt is the time at which the member came back into service; zero if it
	// was not out of service or the ramp-up is complete.
	returnedAt time.Time
	budget     int

	idle []*pooledConn
	// open counts idle and attached connections, opening those that are being opened.
	open, opening int
	// waiting counts the requests in the queue for the member. The maps hold the same
	// counts by database.
	openByDatabase, openingByDatabase, waitingByDatabase map[string]int
	waiting                                              int
	attached                                             map[*Conn]struct{}
	openLimiter                                          *admission.OpenLimiter
	openFailures                                         int
	nextOpenAt                                           time.Time
	dispatchTimer                                        *time.Timer
}

// pooledConn is a connection of the pool. It is used by the pool while it is idle
// and by one session while it is attached, never by both.
type pooledConn struct {
	server        *serverConn
	member        *member
	database      string
	incarnation   uint64
	openedAt      time.Time
	lastWorkspace string
	prepared      map[string]struct{}
}

func newMember(cfg *Config, m Member) *member {
	return &member{
		Member: m, controls: &controlPool{cfg: cfg, member: m}, probeNow: make(chan struct{}, 1),
		openByDatabase: map[string]int{}, openingByDatabase: map[string]int{}, waitingByDatabase: map[string]int{},
		attached:    map[*Conn]struct{}{},
		openLimiter: admission.NewOpenLimiter(opensPerSecond, openBurst),
	}
}

// limit returns the number of connections that may be open at now.
func (m *member) limit(now time.Time) int {
	if !m.inService {
		return 0
	}
	limit, done := admission.RampUpLimit(m.budget, m.returnedAt, now)
	if done {
		m.returnedAt = time.Time{}
	}
	return limit
}

// isUsable reports whether reads may be sent to the member: it responds to status
// calls, and has connections or may open some now.
func (m *member) isUsable(now time.Time) bool {
	return m.statusKnown && now.Sub(m.statusReceivedAt) < maxStatusAge && (m.open > 0 || !now.Before(m.nextOpenAt))
}

// dispatch gives idle connections of the member to waiting requests in the order of
// the fair queue, and opens connections for the remaining ones. Reads that wait for
// another replica are served too if this one is fresh enough. The caller holds g.mu.
func (g *Group) dispatch(m *member) {
	now := time.Now()
	isServable := g.servableItems(m, now)
	for !g.isClosed && len(g.waiters) > 0 {
		if m.waiting > 0 {
			g.openIfNone(m, now)
		}
		it, ok := g.queue.Peek(func(it admission.Item) bool { return m.hasIdle(it.Database) && isServable(it) })
		if !ok {
			break
		}
		g.grantItem(m, it)
	}
	for database, waiting := range m.waitingByDatabase {
		for m.openingByDatabase[database] < waiting && g.startOpening(m, database, now) {
		}
	}
}

// openIfNone starts to open a connection to the database of the first request in the
// queue if there is none. Otherwise the request could starve behind requests for a
// database whose connections are never idle. The caller holds g.mu.
func (g *Group) openIfNone(m *member, now time.Time) {
	it, ok := g.queue.Peek(func(it admission.Item) bool { return it.Member == m.Name })
	if ok && m.openByDatabase[it.Database]+m.openingByDatabase[it.Database] == 0 {
		g.startOpening(m, it.Database, now)
	}
}

// servableItems returns a predicate for the items that may get a connection to the
// member: its own items, and reads for other members if it is a usable replica that
// is fresh enough. The caller holds g.mu, also while it calls the predicate.
func (g *Group) servableItems(m *member, now time.Time) func(admission.Item) bool {
	mayServeReads := m.Name != g.view.Primary && m.inService && m.isUsable(now)
	term := g.term()
	return func(it admission.Item) bool {
		if it.Member == m.Name {
			return true
		}
		w := g.waiters[it.ID]
		return mayServeReads && w.request.Read && w.isServedBy(m.status, term)
	}
}

// grantItem gives an idle connection to the item. A connection that is unusable is
// closed instead. If the replica is no longer fresh enough, a member is chosen for
// the item again. The caller holds g.mu.
func (g *Group) grantItem(m *member, it admission.Item) {
	w := g.waiters[it.ID]
	p := m.takeIdle(it.Database, it.Workspace)
	replicaRead := w.request.Read && m.Name != g.view.Primary
	switch {
	case !isHealthyIdle(p.server.conn), replicaRead && g.isStaleIncarnation(p):
		g.closePooled(p)
		return
	case replicaRead && !(m.statusKnown && w.isServedBy(m.status, g.term())):
		m.idle = append(m.idle, p)
		g.queue.Remove(it.Workspace, it.ID)
		g.endWait(it.ID, grant{})
		return
	}
	_, charged, _ := g.queue.Next(func(other admission.Item) bool { return other.ID == it.ID })
	c := &Conn{group: g, pooled: p, workspace: it.Workspace, read: w.request.Read, charged: charged, grantedAt: time.Now()}
	if m.Name == g.view.Primary {
		c.primaryTerm = g.view.Term
	}
	m.attached[c] = struct{}{}
	if c.read {
		g.runningReads++
	} else {
		g.runningWrites++
	}
	g.endWait(it.ID, grant{conn: c})
}

// isStaleIncarnation reports whether the connection belongs to an earlier incarnation
// of the member than the last status. If instead the status is the older one, it is
// discarded, and reads wait for the next status. The caller holds g.mu.
func (g *Group) isStaleIncarnation(p *pooledConn) bool {
	m := p.member
	if !m.statusKnown || m.status.Incarnation == p.incarnation {
		return false
	}
	if p.openedAt.Before(m.statusRequestedAt) {
		return true
	}
	m.statusKnown, m.statusValidFrom = false, p.openedAt
	g.requestProbes()
	return false
}

// isServedBy reports whether a replica with status s may serve the read in term t.
func (w *waiter) isServedBy(s group.Status, t consistency.Term) bool {
	return consistency.ReplicaServes(s, t, w.request.Floor) &&
		(w.request.MaxAge <= 0 || consistency.ReplicaServes(s, t, w.stalenessFloor))
}

// hasIdle reports whether there is an idle connection to the database.
func (m *member) hasIdle(database string) bool {
	return slices.ContainsFunc(m.idle, func(p *pooledConn) bool { return p.database == database })
}

// takeIdle removes and returns an idle connection to the database. It prefers one that
// the workspace used last, which needs no DISCARD ALL, and then the most recently
// released one.
func (m *member) takeIdle(database, workspace string) *pooledConn {
	found := -1
	for i, p := range m.idle {
		if p.database == database && (found < 0 || p.lastWorkspace == workspace || m.idle[found].lastWorkspace != workspace) {
			found = i
		}
	}
	p := m.idle[found]
	m.idle = slices.Delete(m.idle, found, found+1)
	return p
}

// closeIdle closes the idle connections that match unfit. The caller holds g.mu.
func (g *Group) closeIdle(m *member, unfit func(*pooledConn) bool) {
	m.idle = slices.DeleteFunc(m.idle, func(p *pooledConn) bool {
		if !unfit(p) {
			return false
		}
		g.closePooled(p)
		return true
	})
}

// closePooled closes a connection that has been removed from the idle or attached ones.
// The caller holds g.mu.
func (g *Group) closePooled(p *pooledConn) {
	p.member.open--
	p.member.openByDatabase[p.database]--
	p.server.terminate()
}

// closeUnresponsive closes the connections of running transactions if the member has
// not responded to status calls for unresponsiveTimeout, counted from awakeSince at
// the earliest. Their sessions see a lost connection. The caller holds Group.mu.
func (m *member) closeUnresponsive(awakeSince, now time.Time) {
	if now.Sub(awakeSince) < unresponsiveTimeout || now.Sub(m.statusReceivedAt) < unresponsiveTimeout {
		return
	}
	for c := range m.attached {
		if now.Sub(c.grantedAt) >= unresponsiveTimeout {
			c.pooled.server.conn.Close()
		}
	}
}

// closeSurplus closes idle connections above the budget, the longest idle ones first,
// and all idle connections of a member that is out of service. The caller holds g.mu.
func (g *Group) closeSurplus(m *member) {
	g.closeIdle(m, func(*pooledConn) bool { return !m.inService || m.open > m.budget })
}
