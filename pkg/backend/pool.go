package backend

import (
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// member is one member of the group and its pool. All fields below kick are
// guarded by Group.mu.
type member struct {
	Member
	controls *controls
	kick     chan struct{}

	// known says that status is the member's last status, asked for at askedAt.
	// Statuses asked for before validFrom are out of date.
	known                          bool
	status                         group.Status
	askedAt, answeredAt, validFrom time.Time

	inService bool
	// since is the time at which the member came back into service; zero if it
	// has not been away.
	since  time.Time
	budget int

	idle []*pooled
	// open counts the connections, idle and attached; opening those being opened.
	open, opening int
	// openTo, openingTo and waitingFor count by database.
	openTo, openingTo, waitingFor map[string]int
	waiting                       int
	attached                      map[*Conn]struct{}
	rate                          *admission.OpenLimiter
	failures                      int
	retryAt                       time.Time
	timer                         *time.Timer
}

// pooled is a connection of the pool. Whoever holds it uses it alone: the pool
// while it is idle, a session while it is attached.
type pooled struct {
	wire          *wire
	member        *member
	database      string
	incarnation   uint64
	openedAt      time.Time
	lastWorkspace string
	prepared      map[string]struct{}
}

func newMember(cfg *Config, m Member) *member {
	return &member{
		Member: m, controls: &controls{cfg: cfg, member: m}, kick: make(chan struct{}, 1),
		openTo: map[string]int{}, openingTo: map[string]int{}, waitingFor: map[string]int{},
		attached: map[*Conn]struct{}{},
		rate:     admission.NewOpenLimiter(opensPerSecond, openBurst),
	}
}

// limit returns the number of connections that may be open at now.
func (m *member) limit(now time.Time) int {
	if !m.inService {
		return 0
	}
	limit, done := admission.RampUpLimit(m.budget, m.since, now)
	if done {
		m.since = time.Time{}
	}
	return limit
}

// isUsable reports whether reads may be sent to the member: it answers status
// calls, and accepts connections or has some.
func (m *member) isUsable(now time.Time) bool {
	return m.known && now.Sub(m.answeredAt) < statusLifetime && (m.open > 0 || !now.Before(m.retryAt))
}

// dispatch gives the member's idle connections to waiting requests in the order
// of the fair queue, and opens connections for those that remain. Reads that wait
// for another replica are served as well if this one is fresh enough. The caller
// holds g.mu.
func (g *Group) dispatch(m *member) {
	now := time.Now()
	serves := g.serves(m, now)
	for !g.isClosed && len(g.waiters) > 0 {
		if m.waiting > 0 {
			g.openFirst(m, now)
		}
		it, ok := g.queue.Peek(func(it admission.Item) bool { return m.hasIdle(it.Database) && serves(it) })
		if !ok {
			break
		}
		g.grantNext(m, it)
	}
	for database, waiting := range m.waitingFor {
		for m.openingTo[database] < waiting && g.startOpening(m, database, now) {
		}
	}
}

// openFirst opens a connection to the database of the request whose turn it is,
// if there is none at all. It would otherwise wait for ever behind a database
// whose connections are never idle. The caller holds g.mu.
func (g *Group) openFirst(m *member, now time.Time) {
	it, ok := g.queue.Peek(func(it admission.Item) bool { return it.Member == m.Name })
	if ok && m.openTo[it.Database]+m.openingTo[it.Database] == 0 {
		g.startOpening(m, it.Database, now)
	}
}

// serves returns the items that a connection to the member may be given to: its
// own, and reads of other members if it is a usable replica that is fresh enough.
// The caller holds g.mu, also when it calls the result.
func (g *Group) serves(m *member, now time.Time) func(admission.Item) bool {
	helps := m.Name != g.view.Primary && m.inService && m.isUsable(now)
	term := g.term()
	return func(it admission.Item) bool {
		if it.Member == m.Name {
			return true
		}
		w := g.waiters[it.ID]
		return helps && w.request.Read && w.isServedBy(m.status, term)
	}
}

// grantNext gives an idle connection to the item. If the connection is unfit it
// is closed instead; if the member is, the item chooses again. The caller holds
// g.mu.
func (g *Group) grantNext(m *member, it admission.Item) {
	w := g.waiters[it.ID]
	p := m.takeIdle(it.Database, it.Workspace)
	replicaRead := w.request.Read && m.Name != g.view.Primary
	switch {
	case !isQuiet(p.wire.conn), replicaRead && g.isOutdated(p):
		g.closePooled(p)
		return
	case replicaRead && !(m.known && w.isServedBy(m.status, g.term())):
		m.idle = append(m.idle, p)
		g.queue.Remove(it.Workspace, it.ID)
		g.finish(it.ID, grant{})
		return
	}
	_, charged, _ := g.queue.Next(func(other admission.Item) bool { return other.ID == it.ID })
	c := &Conn{group: g, pooled: p, workspace: it.Workspace, read: w.request.Read, charged: charged, grantedAt: time.Now()}
	if m.Name == g.view.Primary {
		c.primaryTerm = g.view.Term
	}
	m.attached[c] = struct{}{}
	if c.read {
		g.reads++
	} else {
		g.writes++
	}
	g.finish(it.ID, grant{conn: c})
}

// isOutdated reports whether the connection is of an earlier incarnation than the
// member's last status. If the status is the older one, it is dropped, and reads
// wait for the next. The caller holds g.mu.
func (g *Group) isOutdated(p *pooled) bool {
	m := p.member
	if !m.known || m.status.Incarnation == p.incarnation {
		return false
	}
	if p.openedAt.Before(m.askedAt) {
		return true
	}
	m.known, m.validFrom = false, p.openedAt
	g.kickProbes()
	return false
}

// isServedBy reports whether a replica with status s may still serve the read.
func (w *waiter) isServedBy(s group.Status, t consistency.Term) bool {
	return consistency.ReplicaServes(s, t, w.request.Floor) &&
		(w.request.MaxAge <= 0 || consistency.ReplicaServes(s, t, w.ageFloor))
}

func (m *member) hasIdle(database string) bool {
	return slices.ContainsFunc(m.idle, func(p *pooled) bool { return p.database == database })
}

// takeIdle removes and returns an idle connection to the database: the one last
// used by the workspace, which needs no DISCARD ALL, or else the last one used.
func (m *member) takeIdle(database, workspace string) *pooled {
	at := -1
	for i, p := range m.idle {
		if p.database == database && (at < 0 || p.lastWorkspace == workspace || m.idle[at].lastWorkspace != workspace) {
			at = i
		}
	}
	p := m.idle[at]
	m.idle = slices.Delete(m.idle, at, at+1)
	return p
}

// closeIdle closes the idle connections that are unfit. The caller holds g.mu.
func (g *Group) closeIdle(m *member, unfit func(*pooled) bool) {
	m.idle = slices.DeleteFunc(m.idle, func(p *pooled) bool {
		if !unfit(p) {
			return false
		}
		g.closePooled(p)
		return true
	})
}

// closePooled closes a connection that is neither idle nor attached any more. The
// caller holds g.mu.
func (g *Group) closePooled(p *pooled) {
	p.member.open--
	p.member.openTo[p.database]--
	p.wire.terminate()
}

// giveUpLost closes the connections of running transactions on a member that has
// not answered for lostAfter since the time given. Their sessions see a lost
// connection. The caller holds g.mu.
func (m *member) giveUpLost(since, now time.Time) {
	if now.Sub(since) < lostAfter || now.Sub(m.answeredAt) < lostAfter {
		return
	}
	for c := range m.attached {
		if now.Sub(c.grantedAt) >= lostAfter {
			c.pooled.wire.conn.Close()
		}
	}
}

// closeSurplus closes idle connections beyond the budget, those that were idle
// longest first, and all of a member out of service. The caller holds g.mu.
func (g *Group) closeSurplus(m *member) {
	g.closeIdle(m, func(*pooled) bool { return !m.inService || m.open > m.budget })
}
