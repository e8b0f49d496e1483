package backend

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// startOpening starts to open a connection to the database if the connection limit
// and the rate limit allow it, and reports whether it did. At the connection limit,
// an idle connection to another database is closed to make room. If the attempt has
// to be delayed, a later dispatch is scheduled. The caller holds g.mu.
func (g *Group) startOpening(m *member, database string, now time.Time) bool {
	limit := m.limit(now)
	replaceable := slices.IndexFunc(m.idle, func(p *pooledConn) bool { return p.database != database })
	if limit == 0 || (m.open+m.opening >= limit && (m.opening > 0 || replaceable < 0)) {
		return false
	}
	if now.Before(m.nextOpenAt) {
		g.dispatchLater(m, m.nextOpenAt.Sub(now))
		return false
	}
	if wait, ok := m.openLimiter.Take(now); !ok {
		g.dispatchLater(m, wait)
		return false
	}
	if m.open+m.opening >= limit {
		p := m.idle[replaceable]
		m.idle = slices.Delete(m.idle, replaceable, replaceable+1)
		g.closePooled(p)
	}
	m.opening++
	m.openingByDatabase[database]++
	g.goroutines.Add(1)
	go g.openConn(m, database)
	return true
}

// dispatchLater schedules a dispatch of the member's requests after d. The caller
// holds g.mu.
func (g *Group) dispatchLater(m *member, d time.Duration) {
	if m.dispatchTimer != nil {
		return
	}
	m.dispatchTimer = time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		m.dispatchTimer = nil
		if !g.isClosed {
			g.dispatch(m)
		}
	})
}

// fillPool opens connections up to the limit in advance, spread evenly over the
// databases, so that transactions do not wait for them. The caller holds g.mu.
func (g *Group) fillPool(m *member, now time.Time) {
	if len(g.cfg.Databases) == 0 {
		return
	}
	for m.open+m.opening < m.limit(now) && !now.Before(m.nextOpenAt) {
		fewest := slices.MinFunc(g.cfg.Databases, func(a, b string) int {
			return m.openByDatabase[a] + m.openingByDatabase[a] - m.openByDatabase[b] - m.openingByDatabase[b]
		})
		if !g.startOpening(m, fewest, now) {
			return
		}
	}
}

// openConn opens a connection and adds it to the pool.
func (g *Group) openConn(m *member, database string) {
	defer g.goroutines.Done()
	ctx, cancel := context.WithTimeout(g.ctx, dialTimeout)
	defer cancel()
	p, err := g.connectPooled(ctx, m, database)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.opening--
	m.openingByDatabase[database]--
	if err != nil {
		g.handleOpenFailure(m, database, err)
		return
	}
	m.openFailures = 0
	if g.isClosed || !m.inService || m.open >= m.budget {
		p.server.terminate()
		return
	}
	m.open++
	m.openByDatabase[database]++
	m.idle = append(m.idle, p)
	g.dispatch(m)
}

// connectPooled opens a connection and reads the incarnation of the member from it.
func (g *Group) connectPooled(ctx context.Context, m *member, database string) (*pooledConn, error) {
	conn, err := connect(ctx, &g.cfg, m.Address, map[string]string{"database": database})
	if err != nil {
		return nil, err
	}
	incarnation, err := strconv.ParseUint(conn.params[group.ParamIncarnation], 10, 64)
	if err != nil {
		conn.terminate()
		return nil, errors.Wrapf(err, "member %s: parameter %s", m.Name, group.ParamIncarnation)
	}
	return &pooledConn{
		server: conn, member: m, database: database, incarnation: incarnation,
		openedAt: time.Now(), prepared: map[string]struct{}{},
	}, nil
}

// handleOpenFailure delays the next attempt to open a connection. Requests for a
// database that the member does not have are refused. If the member has no connection
// at all, another member is chosen for its reads. The caller holds g.mu.
func (g *Group) handleOpenFailure(m *member, database string, err error) {
	if g.isClosed {
		return
	}
	backoff := min(minOpenBackoff<<min(m.openFailures, 10), maxOpenBackoff)
	m.openFailures++
	m.nextOpenAt = time.Now().Add(backoff)
	g.memberLog(m).WithError(err).WithField("database", database).Warn("cannot open a connection")
	var refused *ServerError
	if errors.As(err, &refused) && isPermanentRefusal(refused.Code) {
		g.refuseDatabase(m, database, err)
	}
	g.requeueWaiters()
	g.dispatchLater(m, backoff)
}

// isPermanentRefusal reports whether a further start-up would be refused again: the
// database is unknown (class 3D) or the credentials are invalid (class 28).
func isPermanentRefusal(code string) bool {
	return strings.HasPrefix(code, "3D") || strings.HasPrefix(code, "28")
}

// refuseDatabase refuses the requests that wait for connections to the database. The
// caller holds g.mu.
func (g *Group) refuseDatabase(m *member, database string, cause error) {
	refusal := verdict.New(verdict.NotRun, verdict.ConnectionFailure,
		"member %s refuses connections to database %q", m.Name, database).WithCause(cause)
	for id, w := range g.waiters {
		if w.member == m && w.request.Database == database && g.queue.Remove(w.request.Workspace, id) {
			g.endWait(id, grant{err: refusal})
		}
	}
}
